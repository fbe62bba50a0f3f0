#ifndef ENDIVEYARD_CONTROL_CONTROL_CORE_H_
#define ENDIVEYARD_CONTROL_CONTROL_CORE_H_

#include <memory>
#include <string>
#include <vector>

#include "endiveyard/control/control_messages.h"

namespace endiveyard {

struct ControlCoreOptions {
  std::string instance_id;  // as in the platform's instance list
  std::string incarnation;  // differs for every process start
  uint64_t seed = 1;
  LeaseOptions lease;
  AbsenceOptions absence;
};

// State machine for the control tasks of one instance: holding its lease,
// owning shards and changing the targets of these shards. It uses no I/O,
// clock, thread or lock: the same events at the same times give the same
// actions.
class ControlCore {
 public:
  explicit ControlCore(ControlCoreOptions options);
  ~ControlCore();
  ControlCore(const ControlCore&) = delete;
  ControlCore& operator=(const ControlCore&) = delete;

  // Applies `event` at `now` and appends the actions to `actions`.
  // Precondition: `now` does not decrease between calls. ControlTick should
  // come about once a second. O(shards + targets), for PlatformListReceived
  // O(instances x shards).
  void Step(const ControlEvent& event,
            TimePoint now,
            std::vector<ControlAction>* actions);

  bool HoldsLeaseAt(TimePoint now) const;
  size_t owned_shards() const;
  // True when no shard is owned and no order is in flight, so that the process
  // can exit.
  bool Idle() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_CONTROL_CONTROL_CORE_H_
