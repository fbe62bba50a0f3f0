#include "endiveyard/placement/replica_load.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace endiveyard {
namespace {

// The estimated load by other instances decays with the age of the report. The
// prefill of a long prompt takes some hundred milliseconds.
constexpr Duration kReportHalfLife = std::chrono::milliseconds(400);

// Half-life of the failure rate: long enough to detect a replica that fails
// part of its requests, short enough for a recovered replica to be used again.
constexpr Duration kFailureRateHalfLife = std::chrono::seconds(3);

// Half-life of the measured slowness. One instance sends each engine of a large
// fleet a request every ten seconds.
constexpr Duration kWaitHalfLife = std::chrono::seconds(5);
// Weight of the assumption that a replica is as fast as the others.
constexpr double kPriorWaits = 8;
constexpr double kMinWaitRatio = 0.5;
constexpr double kMaxWaitRatio = 10;

// Backoff after consecutive failures; doubled by each further failure, at most
// kMaxBackoffDoublings times.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(250);
constexpr int kMaxBackoffDoublings = 4;

// Smaller bodies are part of what a request usually takes.
constexpr size_t kLargeBodyBytes = 64 << 10;
// Memory that counts like one more request. Replicas do not state theirs.
constexpr double kBodyBytesPerRequest = 256 << 10;

double Decay(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

}  // namespace

bool ReportedLoad::operator==(const ReportedLoad& other) const {
  return std::tie(running, waiting, slots, relative_duration) ==
         std::tie(other.running, other.waiting, other.slots,
                  other.relative_duration);
}

void ReplicaLoad::RecordCallSent(double uncached) {
  ++local_calls_;
  local_pending_prefill_tokens_ += uncached;
}

void ReplicaLoad::RecordBodySent(size_t bytes) {
  if (bytes >= kLargeBodyBytes) {
    large_body_bytes_ += bytes;
  }
}

void ReplicaLoad::RecordBodyReleased(size_t bytes) {
  if (bytes >= kLargeBodyBytes) {
    large_body_bytes_ -= std::min(bytes, large_body_bytes_);
  }
}

double ReplicaLoad::BodyRequests() const {
  return static_cast<double>(large_body_bytes_) / kBodyBytesPerRequest;
}

void ReplicaLoad::RecordPrefilled(double uncached) {
  local_pending_prefill_tokens_ =
      std::max(0.0, local_pending_prefill_tokens_ - uncached);
}

void ReplicaLoad::RecordCallEnded(CallResult result, TimePoint now) {
  local_calls_ = std::max(0, local_calls_ - 1);
  const double decay = Decay(now - last_call_ended_, kFailureRateHalfLife);
  recent_failures_ *= decay;
  recent_calls_ *= decay;
  last_call_ended_ = now;
  recent_calls_ += 1;
  constexpr int kFailuresBeforeBackoff = 2;
  switch (result) {
    case CallResult::kCompleted:
    case CallResult::kRejected:
      consecutive_failures_ = 0;
      return;
    case CallResult::kFailed:
      recent_failures_ += 1;
      ++consecutive_failures_;
      break;
    case CallResult::kMisdirected:
      if (InBackoff(now)) {
        // Was under way when the backoff began. The replica may soon be
        // registered as it is, under the same id.
        return;
      }
      [[fallthrough]];
    case CallResult::kUnreachable:
      recent_failures_ += 1;
      // A single one starts the backoff.
      consecutive_failures_ =
          std::max(kFailuresBeforeBackoff, consecutive_failures_ + 1);
      break;
  }
  if (consecutive_failures_ >= kFailuresBeforeBackoff) {
    const int doublings = std::min(
        consecutive_failures_ - kFailuresBeforeBackoff, kMaxBackoffDoublings);
    backoff_until_ = now + kInitialBackoff * (1 << doublings);
  }
}

void ReplicaLoad::RecordReport(const ReportedLoad& load, TimePoint now) {
  last_report_ = load;
  local_calls_at_report_ = local_calls_;
  reported_at_ = now;
}

void ReplicaLoad::RecordWait(double ratio, TimePoint now) {
  const double decay = Decay(now - last_wait_, kWaitHalfLife);
  wait_ratios_ =
      wait_ratios_ * decay + std::clamp(ratio, kMinWaitRatio, kMaxWaitRatio);
  waits_ = waits_ * decay + 1;
  last_wait_ = now;
}

double ReplicaLoad::ReportedWaiting(TimePoint now) const {
  return last_report_ ? last_report_->waiting *
                            Decay(now - reported_at_, kReportHalfLife)
                      : 0;
}

double ReplicaLoad::Slowness(TimePoint now) const {
  const double decay = Decay(now - last_wait_, kWaitHalfLife);
  return (wait_ratios_ * decay + kPriorWaits) / (waits_ * decay + kPriorWaits);
}

double ReplicaLoad::QueuedTokens(double mean_tokens_per_call,
                                 TimePoint now) const {
  double queued = local_pending_prefill_tokens_;
  if (last_report_) {
    const int other_requests =
        last_report_->running + last_report_->waiting - local_calls_at_report_;
    queued += std::max(0, other_requests) * mean_tokens_per_call *
              Decay(now - reported_at_, kReportHalfLife);
  }
  return queued;
}

double ReplicaLoad::Requests(TimePoint now) const {
  double requests = local_calls_;
  if (last_report_) {
    const int other_requests =
        last_report_->running + last_report_->waiting - local_calls_at_report_;
    requests += std::max(0, other_requests) *
                Decay(now - reported_at_, 4 * kReportHalfLife);
  }
  return requests;
}

double ReplicaLoad::FailureRate(TimePoint now) const {
  const double decay = Decay(now - last_call_ended_, kFailureRateHalfLife);
  // Two assumed successes keep a single failure from raising the rate to 1.
  constexpr double kAssumedSuccesses = 2;
  return recent_failures_ * decay / (recent_calls_ * decay + kAssumedSuccesses);
}

}  // namespace endiveyard
