#ifndef ENDIVEYARD_PLACEMENT_REPLICA_PACE_REPORT_H_
#define ENDIVEYARD_PLACEMENT_REPLICA_PACE_REPORT_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// What the answers of a replica show about the work that it can take, as told
// to other instances.
struct ReplicaPaceReport {
  uint64_t replica_key = 0;  // see EngineKey()
  Duration age{};            // since the answer
  // Duration of work at the replica, relative to the usual one.
  std::optional<double> relative_duration;
  // Calls that all instances together may have in flight there.
  std::optional<double> call_limit;

  bool operator==(const ReplicaPaceReport& other) const {
    return std::tie(replica_key, age, relative_duration, call_limit) ==
           std::tie(other.replica_key, other.age, other.relative_duration,
                    other.call_limit);
  }
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_REPLICA_PACE_REPORT_H_
