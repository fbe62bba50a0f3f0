#include "instance/configuration_thread.h"

#include <utility>

#include "endiveyard/telemetry/log_event_numbers.h"

namespace endiveyard {
namespace {

constexpr size_t kRingCapacity = 1024;

}  // namespace

ConfigurationThread::ConfigurationThread(ConfigurationStore store,
                                         ReplicaOptions options,
                                         const EventLogger* logger,
                                         AppliedCallback on_applied,
                                         AcceptingCallback on_accepting_changed)
    : store_(store),
      options_(options),
      logger_(logger),
      on_applied_(std::move(on_applied)),
      on_accepting_changed_(std::move(on_accepting_changed)),
      ring_(kRingCapacity) {}

ConfigurationThread::~ConfigurationThread() {
  Stop();
}

void ConfigurationThread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ConfigurationThread::Stop() {
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool ConfigurationThread::TryPost(ReplicaEvent event) {
  return ring_.TryPush(std::move(event));
}

uint64_t ConfigurationThread::version() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return state_.version;
}

std::vector<ConfigurationEdit> ConfigurationThread::EditsSince(
    uint64_t version,
    size_t limit) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return EditsAfter(state_, version, limit);
}

ConfigurationSnapshot ConfigurationThread::TakeSnapshotForPeer() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return TakeSnapshot(state_);
}

bool ConfigurationThread::wants_peer_snapshot() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return WantsPeerSnapshot(state_);
}

void ConfigurationThread::Run() {
  HandleEvent(ReplicaStarted{});
  while (std::optional<ReplicaEvent> event = ring_.Pop()) {
    HandleEvent(*event);
  }
}

void ConfigurationThread::HandleEvent(const ReplicaEvent& event) {
  std::vector<ReplicaAction> actions;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    StepReplica(options_, event, BootClock::now(), &state_, &actions);
  }
  for (const ReplicaAction& it : actions) {
    std::visit([this](const auto& action) { Execute(action); }, it);
  }
}

void ConfigurationThread::Execute(const ReadLog& action) {
  const auto read = store_.ReadAfter(action.after);
  if (read.ok() != object_api_available_) {
    object_api_available_ = read.ok();
    logger_->Log(read.ok() ? kLogObjectApiRecovered : kLogObjectApiUnavailable,
                 read.ok() ? "" : std::string(read.status().message()));
  }
  if (read.ok()) {
    HandleEvent(*read);
  } else {
    HandleEvent(LogReadFailed{});
  }
}

void ConfigurationThread::Execute(const ConfigurationApplied& action) {
  FleetConfiguration configuration;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    configuration = state_.configuration;
  }
  on_applied_(action.version, configuration);
  logger_->Log(kLogConfigurationApplied,
               "version " + std::to_string(action.version));
}

void ConfigurationThread::Execute(const AcceptingChanged& action) {
  on_accepting_changed_(action.accepting, action.reason);
  if (!action.accepting) {
    logger_->Log(kLogConfigurationStale, action.reason);
  }
}

void ConfigurationThread::Execute(const WriteSnapshot& action) {
  if (store_.WriteSnapshot(action.snapshot)) {
    HandleEvent(SnapshotWritten{action.snapshot.version});
  }
}

void ConfigurationThread::Execute(const TruncateLog& action) {
  store_.Truncate(action.through);
}

void ConfigurationThread::Execute(const EntrySkipped& action) {
  logger_->Log(
      kLogConfigurationInvalid,
      "version " + std::to_string(action.version) + ": " + action.reason);
}

}  // namespace endiveyard
