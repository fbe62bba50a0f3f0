// Engines in trouble answer with a head of thousands of short lines, within the
// size that a head may have, and then send bytes without end, a few at a time.
//
// The stand-in for the platform ends a process that holds more memory than
// `limits.memory_mb`, as DEPLOY.md says. A process that ends by itself counts
// as running all the while, so LOST counts the requests on kept connections
// that it had passed on to sound engines and that got no answer.
#include <algorithm>
#include <csignal>
#include <map>
#include <set>
#include <thread>

#include "small_fleet.h"

using namespace endiveyard::review;
using endiveyard::soak::HttpListener;
using endiveyard::soak::HttpMessage;
using endiveyard::soak::HttpPeer;
using endiveyard::soak::RegistryStandin;
using endiveyard::soak::SleepMs;

namespace {

// The loss of any number of machines is to be borne: one is left.
constexpr int kFronts = 1;
constexpr int kEngines = 12;
// The largest share of `garble` in the site file is 0.6.
constexpr int kEnginesInTrouble = 7;
constexpr int64_t kTroubleMs = 6000;
// Of a head: below 64 KB.
constexpr int kLines = 12900;
// Streams a second on all machines, by route, as on the sheet of the site.
struct RouteTraffic {
  const char* name;
  double per_second;
  int deadline_ms;
  int prompt_tokens;
  int events;
  bool resumable;
};
constexpr RouteTraffic kTraffic[] = {{"quote", 22.5, 10000, 11992, 38, true},
                                     {"summary", 32.9, 8000, 826, 29, false},
                                     {"tag", 43.5, 2500, 2368, 2, true}};
constexpr int64_t kMaxLost = 3;

struct Request {
  std::string id;
  int front = 0;
  int64_t sent_ms = 0;
  bool on_kept_connection = false;
  int status = 0;
  bool complete = false;
  bool has_ended = false;
};

std::string RouteSpec(const RouteTraffic& route) {
  return R"({"name":"r-)" + std::string(route.name) +
         R"(","host":"yard.example","path_prefix":"/)" + route.name +
         R"(/","kind":"streaming","timeout_ms":)" +
         std::to_string(route.deadline_ms) +
         R"(,"target_latency_ms":800,"priority":1,"service":"llm",)" +
         R"("max_attempts":)" + (route.resumable ? "2" : "1") +
         R"(,"session_affinity":true,"resumable":)" +
         (route.resumable ? "true" : "false") + R"(,"target_gap_ms":300})";
}

}  // namespace

int main(int argc, char** argv) {
  const CaseOptions options = ParseOptions(argc, argv);
  Record record(options.record);
  const std::string network = Network();
  RegistryStandin store(network + "1", 1);
  std::string routes;
  for (const RouteTraffic& it : kTraffic) {
    routes += (routes.empty() ? "" : ",") + RouteSpec(it);
  }
  store.Put("config", "main",
            R"({"version":3,"routes":[)" + routes +
                R"(],"services":[{"name":"llm","health_path":"/healthz",)"
                R"("max_connections":370,"protocol":"h1","tls":false,)"
                R"("engine":{"slots":64,"kv_tokens":540532,)"
                R"("kv_bytes":35136,"link_mbps":1100000.0,"moves":true,)"
                R"("backups":true,"handle_ttl_s":5.0,"switch_s":3.0,)"
                R"("pin_ms":4000.0,"hold_ms":2000.0}}],)"
                R"("limits":{"max_header_bytes":16384,)"
                R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
                R"("idle_timeout_ms":15000}})");

  std::mutex mutex;
  std::map<std::string, Request> requests;
  // Requests that a sound engine has got.
  std::set<std::string> at_sound_engines;
  std::atomic<bool> in_trouble{false};
  std::atomic<int> long_heads{0};
  std::string lines;
  for (int n = 0; n < kLines; ++n) {
    lines += "a:b\r\n";
  }

  const auto serve = [&](HttpPeer& peer, int engine) {
    constexpr int kIdleMs = 60000;
    const bool may_be_in_trouble = engine < kEnginesInTrouble;
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
      const std::string head =
          "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id + "\r\n";
      if (may_be_in_trouble && in_trouble) {
        ++long_heads;
        record.Write("engine i-" + std::to_string(engine) + " answers " + id +
                     " with a long head");
        if (!peer.Send(head + lines + "\r\n")) {
          return;
        }
        while (!peer.WaitForEnd(100) && peer.Send("zzzzzzzz")) {
        }
        return;
      }
      {
        const std::lock_guard<std::mutex> lock(mutex);
        at_sound_engines.insert(id);
      }
      record.Write("engine i-" + std::to_string(engine) + " runs " + id);
      const std::string path = request.Target();
      const auto* const route = std::find_if(
          std::begin(kTraffic), std::end(kTraffic), [&](const auto& it) {
            return path.compare(1, std::string(it.name).size(), it.name) == 0;
          });
      if (!peer.Send(head + "Endiveyard-Response-Signature: 3e1b.07\r\n"
                            "Endiveyard-Replica-Load: 20,0,64\r\n"
                            "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n")) {
        return;
      }
      const std::string last = request.Header("Last-Event-Id");
      for (int n = std::atoi(last.c_str()) + 1; n <= route->events; ++n) {
        if (peer.WaitForEnd(n == 1 ? 120 : 30)) {
          return;
        }
        const std::string event = "id: " + std::to_string(n) +
                                  "\ndata: " + std::string(60, 'x') + "\n\n";
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
  record.Write("all processes are ready");

  // Clients keep connections for further requests.
  std::vector<std::vector<std::unique_ptr<HttpPeer>>> kept(kFronts);
  std::atomic<int> open{0};
  std::atomic<bool> stop{false};
  const auto ask = [&](const RouteTraffic& route, int number) {
    Request it;
    it.id = std::string(route.name) + std::to_string(number);
    it.front = number % kFronts;
    std::unique_ptr<HttpPeer> peer;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      auto& idle = kept[static_cast<size_t>(it.front)];
      if (!idle.empty()) {
        peer = std::move(idle.back());
        idle.pop_back();
      }
    }
    const Front& front = *fronts[static_cast<size_t>(it.front)];
    it.on_kept_connection = peer && !peer->HasEnded();
    if (!it.on_kept_connection) {
      peer = HttpPeer::Connect(front.ip(), front.port());
    }
    it.sent_ms = record.Now();
    {
      const std::lock_guard<std::mutex> lock(mutex);
      requests[it.id] = it;
    }
    const std::string tokens = std::to_string(route.prompt_tokens);
    const bool is_sent =
        peer &&
        peer->Send(PostRequest(
            "/" + std::string(route.name) + "/x", it.id, route.deadline_ms,
            "Endiveyard-Model: m\r\nEndiveyard-Token-Count: " + tokens + "," +
                std::to_string(route.events * 2) +
                "\r\nEndiveyard-Prompt-Prefix: aa:100," +
                std::to_string(1000 + number) + ":" +
                std::to_string(route.prompt_tokens - 100) + "\r\n"));
    if (is_sent) {
      const HttpMessage answer = peer->Read(route.deadline_ms + 500);
      it.status = answer.start_line.empty() ? 0 : answer.Status();
      it.complete = answer.complete;
    }
    it.has_ended = true;
    record.Write(
        "client: " + it.id + " sent at " + std::to_string(it.sent_ms) + " to " +
        front.name() + (it.on_kept_connection ? " (kept connection): " : ": ") +
        std::to_string(it.status) + (it.complete ? "" : " (not complete)"));
    {
      const std::lock_guard<std::mutex> lock(mutex);
      requests[it.id] = it;
      if (it.complete && it.status == 200) {
        kept[static_cast<size_t>(it.front)].push_back(std::move(peer));
      }
    }
    --open;
  };
  std::thread generator([&] {
    std::vector<double> due(std::size(kTraffic), 0);
    int number = 0;
    const int64_t begin = record.Now();
    while (!stop) {
      const double seconds = static_cast<double>(record.Now() - begin) / 1000;
      for (size_t n = 0; n < due.size(); ++n) {
        while (due[n] < seconds) {
          due[n] += 1 / kTraffic[n].per_second;
          ++open;
          std::thread(ask, std::cref(kTraffic[n]), number++).detach();
        }
      }
      SleepMs(5);
    }
  });

  // The platform looks at the memory of the processes.
  std::vector<double> peak_mb(kFronts, 0);
  std::vector<int64_t> killed_at_ms(kFronts, -1);
  const auto watch_memory = [&](int64_t ms) {
    const int64_t until = record.Now() + ms;
    int64_t next_line = 0;
    while (record.Now() < until) {
      const bool is_due = record.Now() >= next_line;
      std::string line = "memory in MB:";
      for (size_t n = 0; n < fronts.size(); ++n) {
        const double mb = fronts[n]->ResidentMb();
        peak_mb[n] = std::max(peak_mb[n], mb);
        line += " " + std::to_string(static_cast<int>(mb));
        if (mb > Front::kMemoryMb && killed_at_ms[n] < 0) {
          killed_at_ms[n] = record.Now();
          fronts[n]->Signal(SIGKILL);
          record.Say(fronts[n]->name() + " holds " +
                     std::to_string(static_cast<int>(mb)) +
                     " MB, more than its limit of " +
                     std::to_string(Front::kMemoryMb) +
                     " MB, and is killed for it");
        } else if (killed_at_ms[n] < 0 && fronts[n]->HasEnded()) {
          killed_at_ms[n] = record.Now();
          record.Say(fronts[n]->name() + " has ended by itself");
        }
      }
      if (is_due) {
        record.Write(line);
        next_line = record.Now() + 500;
      }
      SleepMs(10);
    }
  };
  watch_memory(8000);
  in_trouble = options.trouble;
  record.Say(options.trouble
                 ? std::to_string(kEnginesInTrouble) + " of " +
                       std::to_string(kEngines) + " engines are in trouble"
                 : "(engines would be in trouble)");
  watch_memory(kTroubleMs);
  in_trouble = false;
  record.Say("the engines answer soundly again");
  watch_memory(4000);
  stop = true;
  generator.join();
  watch_memory(1000);

  int64_t lost = 0;
  size_t served = 0;
  size_t ended = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [id, it] : requests) {
    served += it.complete && it.status == 200 ? 1 : 0;
    ended += it.has_ended ? 1 : 0;
    const int64_t killed = killed_at_ms[static_cast<size_t>(it.front)];
    if (killed >= 0 && it.has_ended && !it.complete && it.sent_ms <= killed &&
        it.on_kept_connection && at_sound_engines.count(id) > 0) {
      ++lost;
      record.Write("LOST: " + id + ", on a kept connection, at a sound engine");
    }
  }
  for (int n = 0; n < kFronts; ++n) {
    record.Say(
        fronts[static_cast<size_t>(n)]->name() + ": peak " +
        std::to_string(static_cast<int>(peak_mb[static_cast<size_t>(n)])) +
        " MB");
  }
  record.Say(std::to_string(requests.size()) + " requests, " +
             std::to_string(ended) + " ended, " + std::to_string(served) +
             " served; " + std::to_string(long_heads) + " long heads");
  record.Say("LOST: " + std::to_string(lost) +
             " requests at sound engines, on kept connections, got no answer");
  if (served * 4 < requests.size()) {
    record.Say("less than a quarter is served: the case could not run");
    End(kCouldNotRun, &fronts);
  }
  End(lost > kMaxLost ? kBroken : kHeld, &fronts);
}
