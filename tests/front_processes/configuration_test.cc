#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <memory>
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

constexpr int kTimeoutMs = 1000;

// Returns the status of a request for a route, or 0.
int Ask(const FrontProcess& process, const std::string& route, int number) {
  const auto peer = HttpPeer::Connect(process.ip(), process.port());
  if (!peer) {
    return 0;
  }
  peer->Send("GET /" + route + "/x HTTP/1.1\r\nHost: " + kHost +
             "\r\nEndiveyard-Request-Id: r" + std::to_string(number) +
             "\r\nEndiveyard-Deadline-Ms: 500\r\n\r\n");
  const HttpMessage answer = peer->Read(kTimeoutMs);
  return answer.headers.empty() ? 0 : answer.Status();
}

// Processes with one replica of the service of the added routes.
struct Deployment {
  explicit Deployment(size_t fronts) {
    const std::string network = NetworkOf(getpid());
    // Connections of the stand-ins use them until the program ends.
    registry = new RegistryStandin(network + "1", fronts);
    ReplicaStandin::Options options;
    options.ip = network + "10";
    options.views = fronts;
    options.service = "orders";
    options.max_work_ms = 1;
    options.rejoin = [] {};
    replica = new ReplicaStandin(options, new RunLedger, new HandleTable);
    registry->Put("servers", replica->id(), replica->Specs("ready"));
    std::string pattern =
        (std::filesystem::temp_directory_path() / "fronts-XXXXXX").string();
    const std::string folder = mkdtemp(pattern.data());
    registry->Put("config", "main", ConfigurationSpec(7, kTimeoutMs, 1, 1));
    processes =
        StartFrontProcesses(ENDIVEYARD_FRONT_BINARY, folder, network,
                            static_cast<int>(fronts), *registry, fronts);
  }

  // Makes a change that no watch hears of, and returns once each process has
  // answered a request for `route` in the way that `is_applied` accepts, or a
  // watch of `kind` has ended.
  template <typename Change, typename IsApplied>
  void ApplyUnheard(const std::string& kind,
                    const std::string& route,
                    const Change& change,
                    const IsApplied& is_applied) {
    RegistryTrouble trouble;
    trouble.deafens_watches = true;
    registry->SetTrouble(trouble);
    change();
    registry->SetTrouble({});
    for (const auto& it : processes) {
      while (!is_applied(Ask(*it, route, ++request)) &&
             registry->EndedDeafWatches(kind) == 0) {
        SleepMs(10);
      }
    }
    BOOST_TEST(registry->EndedDeafWatches(kind) == 0);
  }

  RegistryStandin* registry = nullptr;
  ReplicaStandin* replica = nullptr;
  std::vector<std::unique_ptr<FrontProcess>> processes;
  int request = 0;
};

}  // namespace

// Guards against a configuration that is applied only when a watch whose answer
// was lost has timed out: CONFIG, 404 for a route that is there.
BOOST_AUTO_TEST_CASE(ChangesThatWatchesDoNotHearOfAreApplied) {
  Deployment deployment(3);
  for (const int version : {8, 9}) {
    deployment.ApplyUnheard(
        "config", "added" + std::to_string(version),
        [&] {
          deployment.registry->Put(
              "config", "main", ConfigurationSpec(version, kTimeoutMs, 1, 1));
        },
        [](int status) { return status == 200; });
  }
}

// Guards against requests for a replica that is gone until such a watch has
// timed out (review/15, DRAIN).
BOOST_AUTO_TEST_CASE(RemovalsThatWatchesDoNotHearOfAreApplied) {
  Deployment deployment(3);
  deployment.registry->Put("config", "main",
                           ConfigurationSpec(8, kTimeoutMs, 1, 1));
  for (const auto& it : deployment.processes) {
    while (Ask(*it, "added8", ++deployment.request) != 200) {
      SleepMs(10);
    }
  }
  deployment.ApplyUnheard(
      "servers", "added8",
      [&] { deployment.registry->Delete("servers", deployment.replica->id()); },
      [](int status) { return status != 200; });
}

}  // namespace endiveyard::soak
