#ifndef ENDIVEYARD_TOOLS_SOAK_REPLICA_KILLS_H_
#define ENDIVEYARD_TOOLS_SOAK_REPLICA_KILLS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "soak/replica_process.h"

namespace endiveyard::soak {

struct ReplicaKillOptions {
  std::string binary;
  std::string folder;
  uint64_t seed = 1;
  int seconds = 20;
  int fronts = 2;
  int clients = 24;
  // Processes of replicas; the first half are engines for streams.
  int replicas = 0;
  int kill_every_ms = 1000;  // 0 to kill none
  // Killed replicas start again under their id and address in 10 to 300 ms, and
  // write their entry up to a heartbeat after that.
  bool keeps_id = false;
  Framing framing = Framing::kConnection;
};

// Runs processes of endiveyard while replicas are killed and started again.
// Returns the responses that ended as complete and are not,
// and, if no replica is killed, those that are not complete. Writes counts to
// `summary`.
std::vector<std::string> RunReplicaKills(const ReplicaKillOptions& options,
                                         std::string* summary);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_REPLICA_KILLS_H_
