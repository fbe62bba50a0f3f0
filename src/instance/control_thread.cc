#include "instance/control_thread.h"

#include <mutex>
#include <utility>

#include "endiveyard/telemetry/log_event_numbers.h"
#include "instance/target_orders.h"

namespace endiveyard {
namespace {

constexpr size_t kRingCapacity = 4096;
constexpr size_t kCallCapacity = 256;

ObjectResult CallApi(ObjectApi* api, const ObjectCall& call, Duration timeout) {
  ObjectResult result;
  result.id = call.id;
  if (!call.write) {
    const auto object = api->Get(call.key, timeout);
    if (!object.ok()) {
      result.outcome = ObjectOutcome::kUnavailable;
    } else if (object->has_value()) {
      result.version = (*object)->version;
      result.value = (*object)->value;
    }
    return result;
  }
  const WriteResult written =
      api->PutIf(call.key, call.value, call.if_version, timeout);
  switch (written.outcome) {
    case WriteOutcome::kApplied:
      result.version = written.version;
      break;
    case WriteOutcome::kConflict:
      result.outcome = ObjectOutcome::kConflict;
      break;
    case WriteOutcome::kUnavailable:
    case WriteOutcome::kRateLimited:
    case WriteOutcome::kRejected:
      result.outcome = ObjectOutcome::kUnavailable;
      break;
    case WriteOutcome::kOutcomeUnknown:
      result.outcome = ObjectOutcome::kUnknown;
      break;
  }
  return result;
}

int LogNumber(ControlLogEntryKind kind) {
  switch (kind) {
    case ControlLogEntryKind::kLeaseAcquired:
      return kLogLeaseAcquired;
    case ControlLogEntryKind::kLeaseLost:
      return kLogLeaseLapsed;
    case ControlLogEntryKind::kLeaseRevoked:
      return kLogLeaseRevoked;
    case ControlLogEntryKind::kShardTaken:
      return kLogShardTaken;
    case ControlLogEntryKind::kShardReleased:
      return kLogShardReleased;
    case ControlLogEntryKind::kShardLost:
      return kLogShardLost;
    case ControlLogEntryKind::kChangeFinished:
      return kLogRoleChangeFinished;
    case ControlLogEntryKind::kChangeFailed:
      return kLogOrderFailed;
    case ControlLogEntryKind::kDrainBoundReached:
      return kLogChangeAfterDrainBound;
    case ControlLogEntryKind::kRecordMalformed:
      return kLogRecordMalformed;
  }
  return kLogRecordMalformed;
}

}  // namespace

struct ControlThread::Shared {
  std::mutex mutex;
  BoundedRing<Task>* ring = nullptr;  // nullptr once the thread has stopped

  void Push(Task task) {
    std::lock_guard<std::mutex> lock(mutex);
    if (ring != nullptr) {
      ring->TryPush(std::move(task));
    }
  }
};

ControlThread::ControlThread(ControlCoreOptions options,
                             ObjectApi* api,
                             Duration api_timeout,
                             const EventLogger* logger,
                             ControlHooks hooks)
    : core_(std::move(options)),
      api_(api),
      api_timeout_(api_timeout),
      logger_(logger),
      hooks_(std::move(hooks)),
      ring_(kRingCapacity),
      calls_(kCallCapacity),
      shared_(std::make_shared<Shared>()) {
  shared_->ring = &ring_;
}

ControlThread::~ControlThread() {
  Stop();
}

void ControlThread::Start() {
  call_thread_ = std::thread([this] { RunCalls(); });
  thread_ = std::thread([this] { Run(); });
}

void ControlThread::Stop() {
  {
    std::lock_guard<std::mutex> lock(shared_->mutex);
    shared_->ring = nullptr;
  }
  ring_.Close();
  calls_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  if (call_thread_.joinable()) {
    call_thread_.join();
  }
}

bool ControlThread::TryPost(ControlEvent event) {
  return ring_.TryPush([this, event = std::move(event)] { Step(event); });
}

void ControlThread::ApplyConfiguration(const FleetConfiguration& fleet) {
  ring_.TryPush([this, fleet] {
    fleet_ = fleet;
    ControlPolicy policy;
    policy.drain_bound = std::chrono::milliseconds(fleet.defaults().drain_ms);
    policy.min_prefill = static_cast<int>(fleet.defaults().minimum_prefill);
    policy.min_decode = static_cast<int>(fleet.defaults().minimum_decode);
    Step(ControlPolicyChanged{std::make_shared<const ControlPolicy>(policy)});
    UpdatePlan();
  });
}

void ControlThread::ApplyInstances(const InstanceList& list) {
  ring_.TryPush([this, list] {
    PlatformListReceived listed;
    for (const ListedInstance& it : list.instances) {
      InstanceInfo info;
      info.id = it.id;
      info.leaving = it.state == ListedState::kLeaving;
      listed.instances.push_back(info);
    }
    for (const TargetInfo& it : list.targets) {
      if (it.kind == TargetKind::kEngine) {
        listed.targets.push_back(it);
      }
    }
    targets_ = listed.targets;
    Step(listed);
    UpdatePlan();
  });
}

void ControlThread::ApplyLoad(const std::string& target,
                              const TargetLoad& load) {
  ring_.TryPush([this, target, load] {
    loads_[target] = load;
    Step(TargetLoadReported{target, load});
    UpdatePlan();
  });
}

void ControlThread::UpdatePlan() {
  std::map<std::string, TargetPlan> planned;
  for (const TargetInfo& it : targets_) {
    const auto load = loads_.find(it.id);
    const std::string role =
        fleet_.Lookup("role", {it.house, {}, it.service, it.id}).text();
    TargetPlan plan;
    if (load == loads_.end() || !ParseRole(role, &plan.role)) {
      continue;
    }
    plan.model = load->second.model;
    plan.adapters = load->second.adapters;
    plan.version = load->second.version;
    planned[it.id] = plan;
  }
  if (planned == planned_) {
    return;
  }
  planned_ = planned;
  auto plan = std::make_shared<RolePlan>();
  plan->version = ++plan_version_;
  plan->targets = planned;
  Step(RolePlanChanged{plan});
}

void ControlThread::Run() {
  while (std::optional<Task> task = ring_.Pop()) {
    (*task)();
  }
}

void ControlThread::RunCalls() {
  while (std::optional<ObjectCall> call = calls_.Pop()) {
    const ObjectResult result = CallApi(api_, *call, api_timeout_);
    ring_.Push([this, result] { Step(ObjectCallDone{result}); });
  }
}

void ControlThread::Step(const ControlEvent& event) {
  std::vector<ControlAction> actions;
  const TimePoint now = BootClock::now();
  core_.Step(event, now, &actions);
  for (const ControlAction& it : actions) {
    std::visit([this](const auto& action) { Carry(action); }, it);
  }
  holds_lease_ = core_.HoldsLeaseAt(now);
  owned_shards_ = core_.owned_shards();
  idle_ = core_.Idle();
}

void ControlThread::Carry(const CallObjectApi& action) {
  if (!calls_.TryPush(action.call)) {
    ObjectResult result;
    result.id = action.call.id;
    result.outcome = ObjectOutcome::kUnavailable;
    ring_.TryPush([this, result] { Step(ObjectCallDone{result}); });
  }
}

void ControlThread::Carry(const SendOrder& action) {
  logger_->Log(kLogOrderSent, action.target + " " +
                                  std::string(RoleName(action.plan.role)) +
                                  " fencing " + std::to_string(action.fencing));
  SendTargetOrder(action,
                  [this, shared = shared_](const OrderAnswered& answered) {
                    shared->Push([this, answered] {
                      if (answered.outcome == OrderOutcome::kStaleFencing) {
                        logger_->Log(kLogOrderRefusedStale, answered.target);
                      }
                      Step(answered);
                    });
                  });
}

void ControlThread::Carry(const ReadTargetState& action) {
  ReadTargetLoad(action,
                 [this, shared = shared_](const TargetStateRead& state) {
                   shared->Push([this, state] { Step(state); });
                 });
}

void ControlThread::Carry(const AnnounceDraining& action) {
  hooks_.draining(action.target, action.draining);
}

void ControlThread::Carry(const AnnounceLeaving& action) {
  hooks_.leaving(action.target);
}

void ControlThread::Carry(const ControlLogEntry& action) {
  logger_->Log(LogNumber(action.kind), action.subject);
}

}  // namespace endiveyard
