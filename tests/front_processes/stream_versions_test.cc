#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "soak/front_process.h"
#include "soak/http_peer.h"
#include "soak/registry_standin.h"
#include "soak/replica_standin.h"
#include "soak/run_ledger.h"
#include "soak/soak_configuration.h"

namespace endiveyard::soak {
namespace {

constexpr int kTimeoutMs = 4000;
constexpr int kDeadlineMs = 8000;
constexpr const char* kEventEnd = "\n\n";

// Two processes with a view of the registry each, and replicas.
class Fleet {
 public:
  Fleet() : network_(NetworkOf(getpid())), registry_(network_ + "1", 2) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "fronts-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    registry_.Put("config", "main", ConfigurationSpec(7, kTimeoutMs, 1, 1));
    AddReplica(10);
    AddReplica(11);
    fronts_ = StartFrontProcesses(ENDIVEYARD_FRONT_BINARY, folder_, network_, 2,
                                  registry_, 2);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  RegistryStandin& registry() { return registry_; }

  // Those with an even `host` have version v2, the others v1.
  void AddReplica(int host) {
    ReplicaStandin::Options options;
    options.ip = network_ + std::to_string(host);
    options.views = 2;
    options.service = "chat";
    options.stage = "decode";
    options.seed = static_cast<uint64_t>(host);
    options.max_work_ms = 1;
    options.rejoin = [] {};
    replicas_.push_back(
        std::make_unique<ReplicaStandin>(options, &ledger_, &handles_));
    registry_.Put("servers", replicas_.back()->id(),
                  replicas_.back()->Specs("ready"));
  }

  // Sends an attempt for a stream, or to take one up if `last_event` is given.
  ClientResult Send(size_t front,
                    const std::string& id,
                    const std::string& first_id,
                    int last_event) {
    const FrontProcess& process = *fronts_[front];
    ClientResult result;
    result.id = id;
    result.first_id = first_id;
    result.begun_after = last_event;
    result.kind = RequestKind::kResumableStream;
    const auto peer = HttpPeer::Connect(process.ip(), process.port());
    if (!peer) {
      return result;
    }
    const std::string take_up =
        id == first_id ? ""
                       : "Last-Event-Id: " + std::to_string(last_event) +
                             "\r\nResumes: " + first_id + "\r\n";
    peer->Send("POST /chat/" + id + " HTTP/1.1\r\nHost: " + kHost +
               "\r\nEndiveyard-Request-Id: " + id +
               "\r\nEndiveyard-Deadline-Ms: " + std::to_string(kDeadlineMs) +
               "\r\nEndiveyard-Model: m\r\nEndiveyard-Token-Count: 100,40\r\n"
               "Endiveyard-Prompt-Prefix: p" +
               first_id + ":100\r\n" + take_up + "Content-Length: 1\r\n\r\nq");
    const HttpMessage answer = peer->Read(kTimeoutMs);
    result.status = answer.headers.empty() ? 0 : answer.Status();
    result.complete = answer.complete;
    result.body = answer.body;
    if (id == first_id) {
      // The caller left after the first event.
      result.complete = false;
      result.body.resize(
          std::min(result.body.size(), result.body.find(kEventEnd) + 2));
    }
    ledger_.RecordResult(result);
    return result;
  }

  std::vector<std::string> JoinedStreams() {
    std::vector<std::string> joined;
    for (const std::string& it : ledger_.Violations()) {
      if (it.find("two software versions") != std::string::npos) {
        joined.push_back(it);
      }
    }
    return joined;
  }

 private:
  const std::string network_;
  std::string folder_;
  RunLedger ledger_;
  HandleTable handles_;
  RegistryStandin registry_;
  std::vector<std::unique_ptr<ReplicaStandin>> replicas_;
  std::vector<std::unique_ptr<FrontProcess>> fronts_;
};

}  // namespace

// Guards against streams that go on at another version: the instance that
// begins them does not hear of changes, since its calls to the registry hang.
BOOST_AUTO_TEST_CASE(StreamsBegunWhileCallsHangAreNotJoined) {
  // Connections of the stand-ins use it until the program ends.
  Fleet& fleet = *new Fleet;
  int count = 0;
  const auto play = [&](int64_t ms) {
    int taken_up = 0;
    for (const int64_t until = NowMs() + ms; NowMs() < until; ++count) {
      const std::string id = "s" + std::to_string(count);
      const ClientResult first = fleet.Send(0, id, id, 0);
      const int last = LastEventOf(first.body, 0);
      if (last > 0) {
        taken_up += fleet.Send(1, id + "-1", id, last).status == 200 ? 1 : 0;
      }
    }
    return taken_up;
  };
  // The other process learns how long callers wait.
  constexpr int kNewRequests = 10;
  for (int n = 0; n < kNewRequests; ++n) {
    const std::string id = "n" + std::to_string(n);
    fleet.Send(1, id, id, 0);
  }
  // Both versions have served for long.
  play(9000);
  BOOST_TEST(play(1000) > 0);
  RegistryTrouble trouble;
  trouble.cut = {true, false};
  fleet.registry().SetTrouble(trouble);
  for (const int host : {13, 15, 17}) {
    fleet.AddReplica(host);
  }
  play(9000);
  fleet.registry().SetTrouble({});
  play(9000);
  BOOST_TEST(play(1000) > 0);
  for (const std::string& it : fleet.JoinedStreams()) {
    BOOST_ERROR(it);
  }
}

}  // namespace endiveyard::soak
