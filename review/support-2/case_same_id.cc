// Engines crash, come back under the ids that they had with a newer version of
// their software, and crash again, while the store is away and cannot take
// their new entries. What two versions write doesn't fit together.
//
// With TROUBLE=0 the store is there, and everything else is the same.
#include <algorithm>
#include <map>
#include <set>
#include <thread>

#include "small_fleet.h"

using namespace endiveyard::review;
using endiveyard::soak::HttpListener;
using endiveyard::soak::HttpMessage;
using endiveyard::soak::HttpPeer;
using endiveyard::soak::RegistryStandin;
using endiveyard::soak::RegistryTrouble;
using endiveyard::soak::SleepMs;

namespace {

constexpr int kFronts = 2;
constexpr int kEngines = 12;
// A share of 0.25, the largest of `srv_crash` in the site file.
constexpr int kCrashes = 3;
constexpr int64_t kDownMs = 1500;
constexpr int64_t kUpMs = 3500;  // until the second crash
// Of the store, the dose of the site file.
constexpr int64_t kOutageMs = 4500;
constexpr int kClients = 100;
constexpr int kEvents = 20;
constexpr int kEventMs = 100;
constexpr int kDeadlineMs = 10000;
constexpr int64_t kRefusedMs = 1000;
constexpr size_t kMaxJoined = 2;

// A sound engine. Its requests end with its process; the next process at its
// address has the same id and may have another version.
class Engine {
 public:
  Engine(int number, const std::string& ip, Record* record)
      : id_("i-" + std::to_string(number)), record_(*record) {
    listener_ = std::make_unique<HttpListener>(
        ip, [this](HttpPeer& peer) { Serve(peer); });
    entry.service = "llm";
    entry.address = ip + ":" + std::to_string(listener_->port());
    entry.zone = number % 2 == 0 ? "a" : "b";
    entry.slots = 64;
    entry.is_engine = true;
    entry.born = UnixMs();
    born_ = entry.born;
  }

  void Crash() {
    ++incarnation_;
    listener_->Refuse();
    listener_->ResetConnections();
  }

  void Return(const std::string& version) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      version_ = version;
      born_ = UnixMs();
      entry.born = born_;
      entry.version = version;
    }
    listener_->Heal();
  }

  const std::string& id() const { return id_; }
  ReplicaEntry entry;

 private:
  void Serve(HttpPeer& peer) {
    constexpr int kIdleMs = 60000;
    const int incarnation = incarnation_;
    while (incarnation == incarnation_) {
      const HttpMessage request = peer.Read(kIdleMs);
      if (request.start_line.empty() || incarnation != incarnation_) {
        return;
      }
      std::string version;
      int64_t born = 0;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        version = version_;
        born = born_;
      }
      const std::string expected = request.Header("Endiveyard-Expect-Instance");
      const std::string id = request.Header("Endiveyard-Request-Id");
      if (!expected.empty() && expected != id_) {
        peer.Send(
            "HTTP/1.1 421 Misdirected Request\r\nEndiveyard-Replica-Id: " +
            id_ + "\r\nEndiveyard-Request-Id: " + id +
            "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (id.empty()) {
        const std::string body =
            R"({"stage":"decode","models":[{"name":"m","version":1,)"
            R"("adapters":[]}],"busy":false,"sequence":1,"waiting":0,)"
            R"("running":1,"kv_used":1000,"kv_total":540532,)"
            R"("kv_handles":0,"born":)" +
            std::to_string(born) + "}";
        peer.Send(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Endiveyard-Replica-Id: " +
            id_ + "\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body);
        continue;
      }
      const std::string last = request.Header("Last-Event-Id");
      std::string line = "engine " + id_;
      line.append(" (").append(version).append(") runs ").append(id);
      if (!last.empty()) {
        line.append(" after event ").append(last);
      }
      record_.Write(line);
      if (!peer.Send("HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
                     "\r\nEndiveyard-Response-Signature: 3e1b.07\r\n"
                     "Endiveyard-Replica-Load: 5,0,64\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n")) {
        return;
      }
      for (int n = std::atoi(last.c_str()) + 1; n <= kEvents; ++n) {
        if (peer.WaitForEnd(kEventMs) || incarnation != incarnation_) {
          return;
        }
        const std::string event = "id: " + std::to_string(n) +
                                  "\ndata: written by " + version + "\n\n";
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
  }

  const std::string id_;
  Record& record_;
  std::mutex mutex_;
  std::string version_ = "v1";
  int64_t born_ = 0;
  std::atomic<int> incarnation_{0};
  std::unique_ptr<HttpListener> listener_;
};

// Returns the versions that wrote the events of an answer.
std::set<std::string> VersionsIn(const std::string& body) {
  std::set<std::string> versions;
  for (const std::string version : {"v1", "v2"}) {
    if (body.find(std::string("written by ").append(version).append("\n")) !=
        std::string::npos) {
      versions.insert(version);
    }
  }
  return versions;
}

int LastEvent(const std::string& body) {
  const size_t at = body.rfind("id: ");
  return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

}  // namespace

int main(int argc, char** argv) {
  const CaseOptions options = ParseOptions(argc, argv);
  Record record(options.record);
  const std::string network = Network();
  RegistryStandin store(network + "1", 1);
  store.Put("config", "main",
            R"({"version":3,"routes":[{"name":"r-quote",)"
            R"("host":"yard.example","path_prefix":"/quote/",)"
            R"("kind":"streaming","timeout_ms":10000,)"
            R"("target_latency_ms":800,"priority":2,"service":"llm",)"
            R"("max_attempts":2,"session_affinity":true,"resumable":true,)"
            R"("target_gap_ms":300}],"services":[{"name":"llm",)"
            R"("health_path":"/healthz","max_connections":370,)"
            R"("protocol":"h1","tls":false,"engine":{"slots":64,)"
            R"("kv_tokens":540532,"kv_bytes":35136,"link_mbps":1100000.0,)"
            R"("moves":true,"backups":true,"handle_ttl_s":5.0,)"
            R"("switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0}}],)"
            R"("limits":{"max_header_bytes":16384,)"
            R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
            R"("idle_timeout_ms":15000}})");
  std::vector<std::unique_ptr<Engine>> engines;
  for (int n = 0; n < kEngines; ++n) {
    engines.push_back(
        std::make_unique<Engine>(n, network + std::to_string(11 + n), &record));
    store.Put("servers", engines.back()->id(), SpecOf(engines.back()->entry));
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

  std::atomic<bool> stop{false};
  std::mutex mutex;
  size_t streams = 0;
  size_t complete = 0;
  std::vector<std::string> joined;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      SleepMs(n * 20);
      for (int k = 0; !stop; ++k) {
        const std::string first =
            "q" + std::to_string(n) + "-" + std::to_string(k);
        const std::string prompt =
            "Endiveyard-Model: m\r\nEndiveyard-Token-Count: 500,60\r\n"
            "Endiveyard-Prompt-Prefix: aa:100," +
            std::to_string(1000 * (n + 1) + k) + ":400\r\n";
        std::set<std::string> versions;
        int last = 0;
        bool is_complete = false;
        // One retry, at another process, as on the sheet. Refusals are honoured
        // with a pause.
        for (int tries = 0; tries < 2 && !is_complete; ++tries) {
          if (tries > 0 && last == 0) {
            SleepMs(kRefusedMs);
          }
          const auto front = static_cast<size_t>(n + k + tries) % kFronts;
          const std::string id = first + (tries > 0 ? "-again" : "");
          std::string headers = prompt;
          if (last > 0) {
            headers += "Last-Event-Id: " + std::to_string(last) +
                       "\r\nResumes: " + first + "\r\n";
          }
          const ClientResult result = Ask(
              *fronts[front], PostRequest("/quote/x", id, kDeadlineMs, headers),
              kDeadlineMs + 500);
          is_complete = result.status == 200 && result.complete;
          const std::set<std::string> got = VersionsIn(result.body);
          versions.insert(got.begin(), got.end());
          last = std::max(last, LastEvent(result.body));
          std::string line = "client: " + id + " at front-" +
                             std::to_string(front + 1) + ": " +
                             std::to_string(result.status) + ", to event " +
                             std::to_string(last) + ", written by";
          for (const std::string& it : got) {
            line += " " + it;
          }
          record.Write(line + (result.complete ? "" : ", not complete"));
        }
        if (!is_complete) {
          SleepMs(kRefusedMs);
        }
        const std::lock_guard<std::mutex> lock(mutex);
        ++streams;
        complete += is_complete ? 1 : 0;
        if (versions.size() > 1) {
          joined.push_back(first);
          record.Write("ORDER: " + first + " holds events of both versions");
        }
      }
    });
  }

  SleepMs(8000);
  if (options.trouble) {
    RegistryTrouble trouble;
    trouble.is_silent = true;
    store.SetTrouble(trouble);
  }
  const int64_t outage_ms = record.Now();
  record.Say(options.trouble ? "the store is down"
                             : "(the store would be down)");
  const auto crash = [&] {
    for (int n = 0; n < kCrashes; ++n) {
      engines[static_cast<size_t>(n)]->Crash();
      record.Say(engines[static_cast<size_t>(n)]->id() + " crashes");
    }
  };
  // A replica writes its entry at its start, if the store is there.
  const auto write_entries = [&] {
    for (int n = 0; n < kCrashes; ++n) {
      const Engine& engine = *engines[static_cast<size_t>(n)];
      store.Put("servers", engine.id(), SpecOf(engine.entry));
    }
  };
  const auto come_back = [&](bool is_store_there) {
    for (int n = 0; n < kCrashes; ++n) {
      engines[static_cast<size_t>(n)]->Return("v2");
      record.Say(engines[static_cast<size_t>(n)]->id() +
                 " is back, with software version v2");
    }
    if (is_store_there) {
      write_entries();
    }
  };
  SleepMs(200);
  crash();
  SleepMs(kDownMs);
  come_back(!options.trouble);
  const int64_t back_ms = record.Now();
  SleepMs(outage_ms + kOutageMs - record.Now());
  if (options.trouble) {
    store.SetTrouble({});
    record.Say("the store is back");
    write_entries();
  }
  SleepMs(back_ms + kUpMs - record.Now());
  // The newer version crashes once more. By now, all views of the store have
  // its entries, and streams that began right after its start have ended.
  crash();
  SleepMs(kDownMs);
  come_back(true);
  SleepMs(5000);
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  const std::lock_guard<std::mutex> lock(mutex);
  record.Say(std::to_string(streams) + " streams, " + std::to_string(complete) +
             " complete");
  record.Say("ORDER: " + std::to_string(joined.size()) +
             " streams hold events of two software versions");
  if (complete * 2 < streams) {
    record.Say("less than half is complete: the case could not run");
    End(kCouldNotRun, &fronts);
  }
  End(joined.size() > kMaxJoined ? kBroken : kHeld, &fronts);
}
