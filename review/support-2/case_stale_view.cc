// What a process does with an old view of the store.
//
// --mode removed: the store cuts off watches that have waited for a while, as
// the pages say it may; a replica that never reports that it leaves removes its
// entry. DRAIN binds all machines in touch, which they are all the time.
//
// --mode config: for less than half a second the store loses answers to one of
// four watches, and a configuration is acknowledged meanwhile. CONFIG binds
// machines that are in touch again, which they are `stable_ms` after the end.
#include <algorithm>
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
constexpr int kClients = 8;
constexpr int kClientPauseMs = 60;
constexpr int kDeadlineMs = 2500;
constexpr int64_t kStableMs = 4000;
constexpr int64_t kBoundMs = 2500;  // `drain_ms` and `config_apply_ms`
constexpr int kWatchLimitMs = 1500;
// Allows for the scheduler of the machine; not part of the rules.
constexpr int64_t kSlackMs = 100;

struct Run {
  int64_t arrived_ms = 0;
  std::string replica;
  std::string service;
  std::string request;
  bool answered = false;
};

struct Try {
  int64_t sent_ms = 0;
  std::string request;
  std::string path;
  std::string front;
  int status = 0;
  bool complete = false;
};

// A sound replica of a plain service. Once it has exited, nothing listens at
// its address, and its connections are closed.
class PlainReplica {
 public:
  PlainReplica(const std::string& id,
               const std::string& service,
               const std::string& ip,
               Record* record,
               std::vector<Run>* runs,
               std::mutex* mutex)
      : id_(id), record_(*record), runs_(*runs), mutex_(*mutex) {
    listener_ = std::make_unique<HttpListener>(
        ip, [this](HttpPeer& peer) { Serve(peer); });
    entry.service = service;
    entry.address = ip + ":" + std::to_string(listener_->port());
    entry.zone = "a";
    entry.born = UnixMs();
  }

  void Exit() {
    has_exited_ = true;
    listener_->Refuse();
    listener_->ResetConnections();
  }

  const std::string& id() const { return id_; }
  ReplicaEntry entry;

 private:
  void Serve(HttpPeer& peer) {
    constexpr int kIdleMs = 60000;
    while (!has_exited_) {
      const HttpMessage request = peer.Read(kIdleMs);
      if (request.start_line.empty() || has_exited_) {
        return;
      }
      const std::string request_id = request.Header("Endiveyard-Request-Id");
      const std::string expected = request.Header("Endiveyard-Expect-Instance");
      if (!expected.empty() && expected != id_) {
        peer.Send(
            "HTTP/1.1 421 Misdirected Request\r\nEndiveyard-Replica-Id: " +
            id_ + "\r\nEndiveyard-Request-Id: " + request_id +
            "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (request_id.empty()) {  // the health path
        peer.Send("HTTP/1.1 200 OK\r\nEndiveyard-Replica-Id: " + id_ +
                  "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      size_t run = 0;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        run = runs_.size();
        runs_.push_back({record_.Now(), id_, entry.service, request_id, false});
      }
      record_.Write("run at " + id_ + " of " + entry.service + ": " +
                    request_id);
      // 15 to 110 ms, as on the sheets.
      SleepMs(15 +
              static_cast<int64_t>(std::hash<std::string>()(request_id) % 96));
      if (has_exited_) {
        return;
      }
      peer.Send("HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + request_id +
                "\r\nEndiveyard-Response-Signature: 3e1b.07\r\n"
                "Endiveyard-Replica-Load: 1,0,6\r\nContent-Length: 4\r\n\r\n"
                "done");
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_[run].answered = true;
    }
  }

  const std::string id_;
  Record& record_;
  std::vector<Run>& runs_;
  std::mutex& mutex_;
  std::atomic<bool> has_exited_{false};
  std::unique_ptr<HttpListener> listener_;
};

std::string RouteSpec(const std::string& name,
                      const std::string& path,
                      const std::string& kind,
                      const std::string& service) {
  return R"({"name":")" + name + R"(","host":"yard.example","path_prefix":")" +
         path + R"(","kind":")" + kind +
         R"(","timeout_ms":2500,"target_latency_ms":150,"priority":2,)" +
         R"("service":")" + service + R"(","max_attempts":1})";
}

std::string ConfigurationSpec(int version,
                              const std::string& order_service,
                              const std::vector<std::string>& added) {
  std::string routes =
      RouteSpec("r-order", "/order/", "unsafe", order_service) + "," +
      RouteSpec("r-look", "/look/", "safe", "desk-a");
  for (const std::string& it : added) {
    routes += "," + RouteSpec("r-" + it, "/" + it + "/", "safe", "desk-a");
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes +
         R"(],"services":[{"name":"desk-a","health_path":"/healthz",)"
         R"("max_connections":110,"protocol":"h1","tls":false},)"
         R"({"name":"desk-b","health_path":"/healthz",)"
         R"("max_connections":110,"protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}  // namespace

int main(int argc, char** argv) {
  const CaseOptions options = ParseOptions(argc, argv);
  const bool is_drain = options.mode == "removed";
  Record record(options.record);
  const std::string network = Network();
  RegistryStandin store(network + "1", 1);
  // One for each process, so that one of them can lose answers.
  std::vector<std::unique_ptr<StoreProxy>> proxies;
  proxies.reserve(kFronts);
  for (int n = 0; n < kFronts; ++n) {
    proxies.push_back(std::make_unique<StoreProxy>(
        network + std::to_string(2 + n), network + "1", store.port(0)));
  }

  std::mutex mutex;
  std::vector<Run> runs;
  std::vector<Try> tries;
  std::vector<std::unique_ptr<PlainReplica>> replicas;
  for (int n = 0; n < 6; ++n) {
    replicas.push_back(std::make_unique<PlainReplica>(
        "i-" + std::to_string(n), n < 3 ? "desk-a" : "desk-b",
        network + std::to_string(11 + n), &record, &runs, &mutex));
    store.Put("servers", replicas.back()->id(), SpecOf(replicas.back()->entry));
  }
  store.Put("config", "main", ConfigurationSpec(3, "desk-a", {}));

  if (is_drain && options.trouble) {
    for (const auto& it : proxies) {
      it->set_watch_limit_ms(kWatchLimitMs);
    }
    record.Say("the store cuts off watches that have waited for " +
               std::to_string(kWatchLimitMs) + " ms");
  }

  std::string seeds;
  for (int n = 0; n < kFronts; ++n) {
    seeds += (n > 0 ? "," : "") + network + std::to_string(101 + n) + ":" +
             std::to_string(Front::ControlPort());
  }
  std::vector<std::unique_ptr<Front>> fronts;
  for (int n = 0; n < kFronts; ++n) {
    fronts.push_back(std::make_unique<Front>(
        options, "front-" + std::to_string(n + 1),
        network + std::to_string(101 + n), n == 0 ? "a" : "b",
        network + std::to_string(2 + n) + ":" +
            std::to_string(proxies[static_cast<size_t>(n)]->port()),
        seeds));
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
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      for (int k = 0; !stop; ++k) {
        Try it;
        it.request = "q" + std::to_string(n) + "-" + std::to_string(k);
        // In the mode `config`, every third request is one for the added route.
        it.path = !is_drain && k % 3 == 0 ? "/added/x" : "/order/x";
        const Front& front = *fronts[static_cast<size_t>(n + k) % kFronts];
        it.front = front.name();
        it.sent_ms = record.Now();
        const ClientResult result =
            Ask(front, PostRequest(it.path, it.request, kDeadlineMs),
                kDeadlineMs + 500);
        it.status = result.status;
        it.complete = result.complete;
        record.Write("client: " + it.request + " " + it.path + " sent at " +
                     std::to_string(it.sent_ms) + " to " + it.front + ": " +
                     std::to_string(it.status) +
                     (it.complete ? "" : " (not complete)"));
        {
          const std::lock_guard<std::mutex> lock(mutex);
          tries.push_back(it);
        }
        SleepMs(kClientPauseMs);
      }
    });
  }

  // Calm for longer than `stable_ms`, so that all machines are in touch.
  SleepMs(6000);
  int64_t bound_ms = 0;  // from which on the rule counts requests
  if (is_drain) {
    PlainReplica& leaving = *replicas[0];
    store.Delete("servers", leaving.id());
    const int64_t acknowledged_ms = record.Now();
    record.Say("the entry of " + leaving.id() + " is removed");
    bound_ms = acknowledged_ms + kBoundMs;
    // It serves for `drain_ms` and longer, "at times many seconds".
    SleepMs(8000);
    leaving.Exit();
    record.Say(leaving.id() + " exits");
    SleepMs(2000);
  } else {
    store.Put("config", "main", ConfigurationSpec(7, "desk-a", {"idle"}));
    record.Say("configuration 7 acknowledged");
    SleepMs(600);
    proxies[0]->set_loses_answers(options.trouble);
    record.Say(options.trouble
                   ? "the store loses answers to watches of front-1"
                   : "(the store would lose answers to watches of front-1)");
    SleepMs(150);
    store.Put("config", "main",
              ConfigurationSpec(12, "desk-b", {"idle", "added"}));
    const int64_t acknowledged_ms = record.Now();
    record.Say(
        "configuration 12 acknowledged: /order/ moves to desk-b, /added/ is "
        "new");
    SleepMs(250);
    proxies[0]->set_loses_answers(false);
    record.Say("the store is sound again");
    bound_ms = std::max(acknowledged_ms + kBoundMs, record.Now() + kStableMs);
    SleepMs(8000);
  }
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }

  int broken = 0;
  int lost = 0;
  int moved = 0;
  int refused = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  const auto try_of = [&](const std::string& request) {
    return std::find_if(tries.begin(), tries.end(),
                        [&](const Try& it) { return it.request == request; });
  };
  record.Say("the rule counts requests that were sent later than " +
             std::to_string(bound_ms) + " ms");
  for (const Run& it : runs) {
    const auto sent = try_of(it.request);
    if (sent == tries.end() || sent->sent_ms <= bound_ms + kSlackMs) {
      continue;
    }
    if (is_drain && it.replica == "i-0") {
      ++broken;
      record.Write("DRAIN: " + it.request + ", sent at " +
                   std::to_string(sent->sent_ms) + ", reached i-0 at " +
                   std::to_string(it.arrived_ms) + " from " + sent->front);
      if (!it.answered) {
        ++lost;
        record.Write(
            "  and i-0 exited before it had answered; the client got " +
            std::to_string(sent->status));
      }
    } else if (!is_drain && it.service == "desk-a" &&
               sent->path == "/order/x") {
      ++broken;
      ++moved;
      record.Write("CONFIG: " + it.request + ", sent at " +
                   std::to_string(sent->sent_ms) +
                   ", run by the old service desk-a");
    }
  }
  for (const Try& it : tries) {
    if (!is_drain && it.path == "/added/x" && it.status == 404 &&
        it.sent_ms > bound_ms + kSlackMs) {
      ++broken;
      ++refused;
      record.Write("CONFIG: " + it.request + ", sent at " +
                   std::to_string(it.sent_ms) + " to " + it.front +
                   ", got 404 though the route is there");
    }
  }
  const size_t served = static_cast<size_t>(std::count_if(
      tries.begin(), tries.end(),
      [](const Try& it) { return it.status == 200 && it.complete; }));
  record.Say(std::to_string(tries.size()) + " requests, " +
             std::to_string(served) + " served");
  if (is_drain) {
    record.Say("DRAIN: " + std::to_string(broken) +
               " requests reached the leaving replica too late; " +
               std::to_string(lost) + " of them were lost with it");
  } else {
    record.Say("CONFIG: " + std::to_string(moved) +
               " orders ran at the old service, " + std::to_string(refused) +
               " requests got 404 for a route that is there");
  }
  if (served * 2 < tries.size()) {
    record.Say("less than half is served: the case could not run");
    End(kCouldNotRun, &fronts);
  }
  End(broken > 0 ? kBroken : kHeld, &fronts);
}
