#include "endiveyard/placement/link_monitor.h"

#include <algorithm>
#include <utility>

namespace endiveyard {
namespace {

// Open connections count as alive for this long after a response. Most requests
// get the head of their response within less.
constexpr Duration kOpenConnectionMemory = std::chrono::milliseconds(1000);
// Bounds the memory of a fleet whose targets fail one after the other.
constexpr size_t kMaxFailedTargets = 256;

}  // namespace

bool LinkMonitor::RecordConnect(std::string_view target, bool connected) {
  if (connected) {
    return RecordSuccess();
  }
  if (failed_targets_.size() < kMaxFailedTargets) {
    failed_targets_.emplace(target);
  }
  const size_t enough = std::min(kFailuresBeforeProbes, target_count_);
  if (state_ != State::kConnected || failed_targets_.size() < enough) {
    return false;
  }
  state_ = State::kSuspected;
  return true;
}

bool LinkMonitor::RecordProbe(std::string_view target,
                              bool connected,
                              TimePoint now) {
  if (connected) {
    return RecordSuccess();
  }
  if (state_ == State::kConnected) {
    return false;  // a request has connected in the meantime
  }
  if (failed_targets_.size() < kMaxFailedTargets) {
    failed_targets_.emplace(target);
  }
  const size_t enough = std::min(kFailedProbesBeforeLoss, target_count_);
  if (++failed_probes_ < enough || state_ == State::kLost) {
    return false;
  }
  state_ = State::kLost;
  lost_since_ = now;
  return true;
}

void LinkMonitor::RecordResponse(TimePoint now) {
  last_response_ = now;
}

bool LinkMonitor::AreOpenConnectionsAlive(TimePoint now) const {
  return state_ != State::kLost ||
         (last_response_ && now - *last_response_ < kOpenConnectionMemory);
}

bool LinkMonitor::IsUntried(std::string_view target) const {
  return failed_targets_.find(target) == failed_targets_.end();
}

bool LinkMonitor::RecordSuccess() {
  failed_targets_.clear();
  failed_probes_ = 0;
  lost_since_.reset();
  return std::exchange(state_, State::kConnected) != State::kConnected;
}

}  // namespace endiveyard
