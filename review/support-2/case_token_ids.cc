// Sound engines number the events of a stream by the tokens that were made so
// far: the ids increase, by the number of tokens in each event. With
// TROUBLE=0 each event has one token. Either way, one machine is stopped with
// SIGTERM while streams run that end long before the end of the grace.
#include <algorithm>
#include <csignal>
#include <map>
#include <thread>

#include "small_fleet.h"

using namespace endiveyard::review;
using endiveyard::soak::HttpListener;
using endiveyard::soak::HttpMessage;
using endiveyard::soak::HttpPeer;
using endiveyard::soak::RegistryStandin;
using endiveyard::soak::SleepMs;

namespace {

constexpr int kFronts = 2;
constexpr int kEngines = 4;
constexpr int kClients = 16;
constexpr int kEvents = 20;
constexpr int kTokensPerEvent = 3;
constexpr int kDeadlineMs = 8000;

struct Stream {
  std::string id;
  size_t front = 0;
  int64_t sent_ms = 0;
  bool on_kept_connection = false;
  int status = 0;
  bool complete = false;
  size_t events = 0;
  int64_t ended_ms = 0;
};

std::string RouteSpec(const std::string& name, bool resumable) {
  return R"({"name":"r-)" + name +
         R"(","host":"yard.example","path_prefix":"/)" + name +
         R"(/","kind":"streaming","timeout_ms":8000,)"
         R"("target_latency_ms":800,"priority":1,"service":"llm",)"
         R"("max_attempts":2,"session_affinity":true,"resumable":)" +
         (resumable ? "true" : "false") + R"(,"target_gap_ms":300})";
}

size_t CountEvents(const std::string& body) {
  size_t count = 0;
  for (size_t n = body.find("id: "); n != std::string::npos;
       n = body.find("id: ", n + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  const CaseOptions options = ParseOptions(argc, argv);
  Record record(options.record);
  const std::string network = Network();
  RegistryStandin store(network + "1", 1);
  store.Put("config", "main",
            R"({"version":3,"routes":[)" + RouteSpec("summary", false) + "," +
                RouteSpec("quote", true) +
                R"(],"services":[{"name":"llm","health_path":"/healthz",)"
                R"("max_connections":370,"protocol":"h1","tls":false,)"
                R"("engine":{"slots":64,"kv_tokens":540532,)"
                R"("kv_bytes":35136,"link_mbps":1100000.0,"moves":true,)"
                R"("backups":true,"handle_ttl_s":5.0,"switch_s":3.0,)"
                R"("pin_ms":4000.0,"hold_ms":2000.0}}],)"
                R"("limits":{"max_header_bytes":16384,)"
                R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
                R"("idle_timeout_ms":15000}})");

  const int step = options.trouble ? kTokensPerEvent : 1;
  std::mutex mutex;
  std::map<std::string, int> arrivals;  // at engines, by request
  const auto serve = [&](HttpPeer& peer, int engine) {
    constexpr int kIdleMs = 60000;
    while (true) {
      const HttpMessage request = peer.Read(kIdleMs);
      if (request.start_line.empty()) {
        return;
      }
      const std::string id = request.Header("Endiveyard-Request-Id");
      if (id.empty()) {
        const std::string body =
            R"({"stage":"decode","models":[{"name":"m","version":1,)"
            R"("adapters":[]}],"busy":false,"sequence":1,"waiting":0,)"
            R"("running":1,"kv_used":1000,"kv_total":540532,)"
            R"("kv_handles":0})";
        peer.Send(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Endiveyard-Replica-Id: i-" +
            std::to_string(engine) + "\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
        continue;
      }
      {
        const std::lock_guard<std::mutex> lock(mutex);
        ++arrivals[id];
      }
      const std::string last = request.Header("Last-Event-Id");
      record.Write("engine i-" + std::to_string(engine) + " runs " + id +
                   (last.empty() ? "" : " after event " + last));
      if (!peer.Send("HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
                     "\r\nEndiveyard-Response-Signature: 3e1b.07\r\n"
                     "Endiveyard-Replica-Load: 4,0,64\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n")) {
        return;
      }
      for (int n = std::atoi(last.c_str()) / step + 1; n <= kEvents; ++n) {
        if (peer.WaitForEnd(50)) {
          return;
        }
        std::string event = "id: " + std::to_string(n * step) + "\ndata:";
        for (int k = 0; k < step; ++k) {
          event += " token" + std::to_string((n - 1) * step + k + 1);
        }
        event += "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!peer.Send(size + event + "\r\n")) {
          return;
        }
      }
      if (!peer.Send("0\r\n\r\n")) {
        return;
      }
    }
  };
  std::vector<std::unique_ptr<HttpListener>> engines;
  for (int n = 0; n < kEngines; ++n) {
    const std::string ip = network + std::to_string(11 + n);
    engines.push_back(std::make_unique<HttpListener>(
        ip, [&serve, n](HttpPeer& peer) { serve(peer, n); }));
    ReplicaEntry entry;
    entry.service = "llm";
    entry.address = ip + ":" + std::to_string(engines.back()->port());
    entry.zone = n % 2 == 0 ? "a" : "b";
    entry.slots = 64;
    entry.is_engine = true;
    entry.born = UnixMs();
    store.Put("servers", "i-" + std::to_string(n), SpecOf(entry));
  }

  const std::string store_address =
      network + "1:" + std::to_string(store.port(0));
  std::string seeds;
  for (int n = 0; n < kFronts; ++n) {
    seeds += (n > 0 ? "," : "") + network + std::to_string(101 + n) + ":" +
             std::to_string(Front::ControlPort());
  }
  std::vector<std::unique_ptr<Front>> fronts;
  for (int n = 0; n < kFronts; ++n) {
    fronts.push_back(
        std::make_unique<Front>(options, "front-" + std::to_string(n + 1),
                                network + std::to_string(101 + n),
                                n == 0 ? "a" : "b", store_address, seeds));
    fronts.back()->Start();
  }
  for (const auto& it : fronts) {
    if (!it->WaitUntilReady(15000)) {
      record.Say(it->name() + " is not ready");
      End(kCouldNotRun, &fronts);
    }
  }
  record.Say("all processes are ready; event ids rise by " +
             std::to_string(step));

  std::atomic<bool> stop{false};
  std::atomic<bool> is_stopping{false};  // front-1
  std::vector<Stream> streams;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      std::unique_ptr<HttpPeer> peer;
      const auto front = static_cast<size_t>(n % kFronts);
      for (int k = 0; !stop && !(front == 0 && is_stopping); ++k) {
        Stream it;
        it.front = front;
        const std::string route = n / kFronts % 2 == 0 ? "summary" : "quote";
        it.id = route + std::to_string(n) + "-" + std::to_string(k);
        it.on_kept_connection = peer && !peer->HasEnded();
        if (!it.on_kept_connection) {
          peer = HttpPeer::Connect(fronts[front]->ip(), fronts[front]->port());
        }
        it.sent_ms = record.Now();
        if (peer &&
            peer->Send(PostRequest(
                "/" + route + "/x", it.id, kDeadlineMs,
                "Endiveyard-Model: m\r\nEndiveyard-Token-Count: 500,60\r\n"
                "Endiveyard-Prompt-Prefix: aa:100," +
                    std::to_string(1000 * (n + 1) + k) + ":400\r\n"))) {
          const HttpMessage answer = peer->Read(kDeadlineMs + 500);
          it.status = answer.start_line.empty() ? 0 : answer.Status();
          it.complete = answer.complete;
          it.events = CountEvents(answer.body);
        }
        it.ended_ms = record.Now();
        if (!it.complete) {
          peer.reset();
        }
        record.Write(
            "client: " + it.id + " sent at " + std::to_string(it.sent_ms) +
            " to front-" + std::to_string(front + 1) +
            (it.on_kept_connection ? " (kept connection): " : ": ") +
            std::to_string(it.status) + ", " + std::to_string(it.events) +
            " events" + (it.complete ? "" : ", not complete"));
        const std::lock_guard<std::mutex> lock(mutex);
        streams.push_back(it);
      }
    });
  }
  SleepMs(6000);
  const int64_t term_ms = record.Now();
  is_stopping = true;
  fronts[0]->Signal(SIGTERM);
  record.Say("SIGTERM to front-1; all of its streams were sent before");
  SleepMs(6000);
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }

  int lost = 0;
  int cut = 0;
  int complete = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  for (const Stream& it : streams) {
    const bool is_passed_on = arrivals.count(it.id) > 0;
    complete += it.complete && it.status == 200 ? 1 : 0;
    if (it.complete || !is_passed_on) {
      continue;
    }
    ++cut;
    // Taken by the machine that is stopped, and cut within the planned work.
    if (it.front == 0 && it.ended_ms >= term_ms) {
      ++lost;
      record.Write("LOST: " + it.id + ", sent at " +
                   std::to_string(it.sent_ms) + ", ended at " +
                   std::to_string(it.ended_ms) + " after " +
                   std::to_string(it.events) + " of " +
                   std::to_string(kEvents) + " events");
    }
  }
  record.Say(std::to_string(streams.size()) + " streams, " +
             std::to_string(complete) + " complete, " + std::to_string(cut) +
             " cut though their engine was sound and at work");
  record.Say("LOST: " + std::to_string(lost) +
             " streams cut around the SIGTERM of their machine");
  if (arrivals.empty()) {
    End(kCouldNotRun, &fronts);
  }
  End(lost > 0 ? kBroken : kHeld, &fronts);
}
