#ifndef ENDIVEYARD_SRC_INSTANCE_CONTROL_THREAD_H_
#define ENDIVEYARD_SRC_INSTANCE_CONTROL_THREAD_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "endiveyard/base/bounded_ring.h"
#include "endiveyard/control/control_core.h"
#include "endiveyard/fleet/fleet_configuration.h"
#include "endiveyard/object_api/object_api.h"
#include "endiveyard/telemetry/log_event.h"

namespace endiveyard {

// Functions of the rest of the instance that the control thread calls. They run
// on the control thread and must not block for long.
struct ControlHooks {
  std::function<void(const std::string& target, bool draining)> draining;
  std::function<void(const std::string& target)> leaving;
};

// Owns a ControlCore, the thread that runs it and a second thread for its
// blocking calls to the object API. Orders and state reads are sent
// asynchronously, each on a new connection.
class ControlThread {
 public:
  ControlThread(ControlCoreOptions options,
                ObjectApi* api,
                Duration api_timeout,
                const EventLogger* logger,
                ControlHooks hooks);
  ~ControlThread();

  void Start();
  void Stop();

  // Returns false when the task ring is full or closed. A dropped event
  // needs no retry, since periodic events have the same effect.
  bool TryPost(ControlEvent event);

  // Updates the control policy and the role plan. The plan contains the targets
  // for which `fleet` sets a role.
  void ApplyConfiguration(const FleetConfiguration& fleet);
  void ApplyInstances(const InstanceList& list);
  void ApplyLoad(const std::string& target, const TargetLoad& load);

  bool holds_lease() const { return holds_lease_; }
  size_t owned_shards() const { return owned_shards_; }
  // True once a shutdown has released all shards.
  bool idle() const { return idle_; }

 private:
  using Task = std::function<void()>;

  void Run();
  void RunObjectCalls();
  void Step(const ControlEvent& event);
  void Execute(const CallObjectApi& action);
  void Execute(const SendOrder& action);
  void Execute(const ReadTargetState& action);
  void Execute(const AnnounceDraining& action);
  void Execute(const AnnounceLeaving& action);
  void Execute(const ControlLogEntry& action);
  void UpdateRolePlan();

  ControlCore core_;
  ObjectApi* const api_;
  const Duration api_timeout_;
  const EventLogger* const logger_;
  const ControlHooks hooks_;
  BoundedRing<Task> ring_;
  BoundedRing<ObjectCall> object_calls_;
  // Inputs of the role plan. Used by the control thread only.
  FleetConfiguration fleet_;
  std::vector<TargetInfo> targets_;
  std::map<std::string, TargetLoad> loads_;
  uint64_t plan_version_ = 0;
  std::map<std::string, TargetPlan> planned_targets_;
  std::atomic<bool> holds_lease_{false};
  std::atomic<size_t> owned_shards_{0};
  std::atomic<bool> idle_{false};
  // Shared with callbacks that may outlive this object.
  struct TaskSink;
  std::shared_ptr<TaskSink> task_sink_;
  std::thread object_call_thread_;
  std::thread thread_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_CONTROL_THREAD_H_
