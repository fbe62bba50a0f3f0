#ifndef ENDIVEYARD_CONTROL_CONTROL_MESSAGES_H_
#define ENDIVEYARD_CONTROL_CONTROL_MESSAGES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "endiveyard/authority/authority_records.h"
#include "endiveyard/authority/object_call.h"
#include "endiveyard/authority/shard_authority.h"
#include "endiveyard/base/target.h"
#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Desired state of engines, from a planner. Targets without an entry are not
// changed.
struct RolePlan {
  uint64_t version = 0;
  std::map<std::string, TargetPlan> targets;
};

// Limits on changes of targets, from the fleet configuration.
struct ControlPolicy {
  // Longest time that a change waits for a target to drain.
  Duration drain_bound = std::chrono::seconds(30);
  // Shortest time between two loads from the weight store, fleet-wide.
  Duration weight_load_interval = std::chrono::seconds(10);
  // Time before a failed change is retried.
  Duration failed_change_wait = std::chrono::seconds(30);
  // Fewest serving targets per role that a service keeps in each region; a
  // mixed target counts for both roles.
  int min_prefill = 1;
  int min_decode = 1;
};

// Input events.
struct ControlTick {};
struct ObjectCallDone {
  ObjectResult result;
};
struct PlatformListReceived {
  std::vector<InstanceInfo> instances;
  std::vector<TargetInfo> targets;
};
// A load report that a target published; it may be out of date.
struct TargetLoadReported {
  std::string target;
  TargetLoad load;
};
// Answer to ReadTargetState. `ok` is false if the target did not answer or is
// currently being changed.
struct TargetStateRead {
  uint64_t read_id = 0;
  std::string target;
  bool ok = false;
  TargetLoad load;
};
enum class OrderOutcome {
  kApplied,       // the target confirmed the order
  kStaleFencing,  // the target knows a higher fencing number
  kRejected,      // the target refused the order for another reason
  kNotSent,       // nothing of the order was sent or will be
  kUnknown,       // the order may take effect, now or later
};
// Answer to SendOrder. Every order gets exactly one.
struct OrderAnswered {
  std::string order_id;
  std::string target;
  OrderOutcome outcome = OrderOutcome::kUnknown;
};
// The draining target has no requests in flight from any instance.
struct TargetDrained {
  std::string target;
};
struct RolePlanChanged {
  std::shared_ptr<const RolePlan> plan;
};
struct ControlPolicyChanged {
  std::shared_ptr<const ControlPolicy> policy;
};
// Stops starting changes and releases all shards.
struct ControlShutdown {};

using ControlEvent = std::variant<ControlTick,
                                  ObjectCallDone,
                                  PlatformListReceived,
                                  TargetLoadReported,
                                  TargetStateRead,
                                  OrderAnswered,
                                  TargetDrained,
                                  RolePlanChanged,
                                  ControlPolicyChanged,
                                  ControlShutdown>;

// Output actions, for the control thread to carry out.
struct CallObjectApi {
  ObjectCall call;
};
struct SendOrder {
  std::string order_id;
  std::string target;
  std::string address;
  uint64_t fencing = 0;
  bool fence_only = false;  // only raises the target's fencing number
  TargetPlan plan;
  // From this time on the order must not be sent, but answered with kNotSent.
  TimePoint not_after;
};
struct ReadTargetState {
  uint64_t read_id = 0;
  std::string target;
  std::string address;
};
// Reports to the serving thread and the peers whether the target accepts new
// requests. Receivers ignore an announcement with a lower fencing number than
// one that they already have.
struct AnnounceDraining {
  std::string target;
  bool draining = true;
  uint64_t fencing = 0;  // of the target's shard
};
// Reports to the serving thread and the peers that the platform no longer lists
// the target as live.
struct AnnounceLeaving {
  std::string target;
};
enum class ControlLogEntryKind {
  kLeaseAcquired,
  kLeaseLost,
  kLeaseRevoked,  // this instance revoked the lease of another one
  kShardTaken,
  kShardReleased,
  kShardLost,
  kChangeFinished,
  kChangeFailed,
  kDrainBoundReached,
  kRecordMalformed,
};
// An entry for the log and the metrics.
struct ControlLogEntry {
  ControlLogEntryKind kind = ControlLogEntryKind::kLeaseAcquired;
  std::string subject;  // instance, target or record key
  Duration elapsed{0};  // finished and failed changes: since the change began
};

using ControlAction = std::variant<CallObjectApi,
                                   SendOrder,
                                   ReadTargetState,
                                   AnnounceDraining,
                                   AnnounceLeaving,
                                   ControlLogEntry>;

}  // namespace endiveyard

#endif  // ENDIVEYARD_CONTROL_CONTROL_MESSAGES_H_
