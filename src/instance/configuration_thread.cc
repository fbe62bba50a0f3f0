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
                                         Applied applied,
                                         Accepting accepting)
    : store_(store),
      options_(options),
      logger_(logger),
      applied_(std::move(applied)),
      accepting_(std::move(accepting)),
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

ConfigurationSnapshot ConfigurationThread::Snapshot() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return TakeSnapshot(state_);
}

bool ConfigurationThread::wants_peer_snapshot() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return WantsPeerSnapshot(state_);
}

void ConfigurationThread::Run() {
  Handle(ReplicaStarted{});
  while (std::optional<ReplicaEvent> event = ring_.Pop()) {
    Handle(*event);
  }
}

void ConfigurationThread::Handle(const ReplicaEvent& event) {
  std::vector<ReplicaAction> actions;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    StepReplica(options_, event, BootClock::now(), &state_, &actions);
  }
  for (const ReplicaAction& it : actions) {
    std::visit([this](const auto& action) { Carry(action); }, it);
  }
}

void ConfigurationThread::Carry(const ReadLog& action) {
  const auto read = store_.ReadAfter(action.after);
  if (read.ok() != object_api_up_) {
    object_api_up_ = read.ok();
    logger_->Log(read.ok() ? kLogObjectApiRecovered : kLogObjectApiUnavailable,
                 read.ok() ? "" : std::string(read.status().message()));
  }
  if (read.ok()) {
    Handle(*read);
  } else {
    Handle(LogReadFailed{});
  }
}

void ConfigurationThread::Carry(const ConfigurationApplied& action) {
  FleetConfiguration configuration;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    configuration = state_.configuration;
  }
  applied_(action.version, configuration);
  logger_->Log(kLogConfigurationApplied,
               "version " + std::to_string(action.version));
}

void ConfigurationThread::Carry(const AcceptingChanged& action) {
  accepting_(action.accepting, action.reason);
  if (!action.accepting) {
    logger_->Log(kLogConfigurationStale, action.reason);
  }
}

void ConfigurationThread::Carry(const WriteSnapshot& action) {
  if (store_.WriteSnapshot(action.snapshot)) {
    Handle(SnapshotWritten{action.snapshot.version});
  }
}

void ConfigurationThread::Carry(const TruncateLog& action) {
  store_.Truncate(action.through);
}

void ConfigurationThread::Carry(const EntrySkipped& action) {
  logger_->Log(
      kLogConfigurationInvalid,
      "version " + std::to_string(action.version) + ": " + action.reason);
}

}  // namespace endiveyard
