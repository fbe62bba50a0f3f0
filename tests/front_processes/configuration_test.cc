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

}  // namespace

// Guards against a configuration that is applied only when a watch whose answer
// was lost has timed out: CONFIG, 404 for a route that is there.
BOOST_AUTO_TEST_CASE(ChangesThatWatchesDoNotHearOfAreApplied) {
  constexpr size_t kFronts = 3;
  const std::string network = NetworkOf(getpid());
  // Connections of the stand-ins use them until the program ends.
  RegistryStandin& registry = *new RegistryStandin(network + "1", kFronts);
  ReplicaStandin::Options options;
  options.ip = network + "10";
  options.views = kFronts;
  options.service = "orders";
  options.max_work_ms = 1;
  options.rejoin = [] {};
  auto& replica = *new ReplicaStandin(options, new RunLedger, new HandleTable);
  registry.Put("servers", replica.id(), replica.Specs("ready"));
  std::string pattern =
      (std::filesystem::temp_directory_path() / "fronts-XXXXXX").string();
  const std::string folder = mkdtemp(pattern.data());
  registry.Put("config", "main", ConfigurationSpec(7, kTimeoutMs, 1, 1));
  const auto fronts = StartFrontProcesses(ENDIVEYARD_FRONT_BINARY, folder,
                                          network, kFronts, registry, kFronts);
  int number = 0;
  for (const int version : {8, 9}) {
    RegistryTrouble trouble;
    trouble.deafens_watches = true;
    registry.SetTrouble(trouble);
    registry.Put("config", "main",
                 ConfigurationSpec(version, kTimeoutMs, 1, 1));
    registry.SetTrouble({});
    const std::string route = "added" + std::to_string(version);
    for (const auto& it : fronts) {
      while (Ask(*it, route, ++number) != 200 &&
             registry.EndedDeafWatches("config") == 0) {
        SleepMs(10);
      }
    }
    BOOST_TEST(registry.EndedDeafWatches("config") == 0);
  }
}

}  // namespace endiveyard::soak
