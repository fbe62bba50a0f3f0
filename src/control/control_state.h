#ifndef ENDIVEYARD_SRC_CONTROL_CONTROL_STATE_H_
#define ENDIVEYARD_SRC_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "endiveyard/authority/instance_lease.h"
#include "endiveyard/control/control_messages.h"

namespace endiveyard::control_internal {

// Progress of a target's change, as tracked by the owner of its shard.
enum class Phase {
  kReadingState,  // the state of the target has to be read
  kRestoring,     // the capacity record must show the target as in service
  kServing,
  kReserving,  // waits until the target may go out of service
  kDraining,
  kReadyToOrder,  // drained; the order can be added to the shard record
};

// An engine in the platform's list. Most fields are used only by the instance
// that owns its shard.
struct Target {
  TargetInfo info;
  TargetLoad load;
  bool load_known = false;
  bool owned = false;  // this instance owns its shard
  std::string capacity_key;
  Phase phase = Phase::kReadingState;
  bool leaving_announced = false;
  bool draining_announced = false;
  bool drained = false;
  bool reserved = false;         // taken out of service by this process
  bool has_weight_slot = false;  // may load from the weight store now
  TimePoint drain_started;
  TimePoint change_started;
  TimePoint restoring_since;
  TimePoint next_change_at;  // earliest time of the next change
  // Reading of the target's state.
  uint64_t pending_read = 0;  // id of the read in progress; 0: none
  bool state_read = false;
  bool resolving = false;  // reads the outcome of an open order
  TimePoint next_read_at;
  // Orders that this process sends.
  std::string unsent_order_id;  // in the shard record, not yet sent
  std::string sent_order_id;
  bool order_answered = true;
  OrderOutcome order_outcome = OrderOutcome::kNotSent;
  TimePoint order_answered_at;
  uint64_t confirmed_fencing = 0;  // highest that the target confirmed
  uint64_t pending_fencing = 0;    // of the fence order in flight; 0: none
  TimePoint next_fence_at;
};

// A shard to which a target in the platform's list belongs or has belonged.
struct Shard {
  CachedObject object;
  ShardRecord record;
  bool valid = false;  // the record was parsed
  std::string house;
  std::set<std::string> targets;
  std::vector<std::string> candidates;  // by rank; the preferred owner first
  bool owned = false;
};

// The capacity record of one house, service and region.
struct Capacity {
  CachedObject object;
  CapacityRecord record;
  CapacityRecord next;  // `record` with the changes to be written next
  bool dirty = false;   // `next` has to be written
  std::vector<std::string> targets;
};

// The lease of another instance, and whether that instance renews it.
struct PeerLease {
  ObservedLease lease;
  bool was_read = false;
  int observed_renewals = 0;  // version changes between reads
};

// True when the target's role, model, adapters and version are as in `plan`.
bool Matches(const TargetLoad& load, const TargetPlan& plan);

// True when changing to `plan` requires a load from the weight store.
bool NeedsWeights(const TargetLoad& load, const TargetPlan& plan);

// True when the region has the minimum number of targets for each role of
// `target` without it. Targets whose role is unknown do not count. O(targets of
// the region).
bool MayTakeOutOfService(const ControlPolicy& policy,
                         const Capacity& capacity,
                         const std::map<std::string, Target>& targets,
                         const Target& target);

}  // namespace endiveyard::control_internal

#endif  // ENDIVEYARD_SRC_CONTROL_CONTROL_STATE_H_
