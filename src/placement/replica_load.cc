#include "endiveyard/placement/replica_load.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace endiveyard {
namespace {

// A report describes the past; the others' part of it is believed less with
// age. Reading a long prompt takes some hundred ms.
constexpr Duration kReportHalfLife = std::chrono::milliseconds(400);

// Window of the failure share: long enough to see a replica that fails part
// of its requests, short enough to forgive one that has recovered.
constexpr Duration kFailureHalfLife = std::chrono::seconds(3);

// Cached parts that were not used for this long are taken to be evicted.
constexpr Duration kCachedPartLifetime = std::chrono::seconds(30);
// Bounds the memory of one replica's view; the oldest entries go first.
constexpr size_t kMaxCachedParts = 4096;

// Pause after consecutive failures, doubled for each, up to the last.
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
constexpr int kMaxAvoidanceDoublings = 4;

double Decay(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

}  // namespace

bool PromptPart::operator==(const PromptPart& other) const {
  return id == other.id && tokens == other.tokens;
}

bool PromptShape::operator==(const PromptShape& other) const {
  return std::tie(prompt_tokens, max_output_tokens, expected_output_tokens,
                  parts) == std::tie(other.prompt_tokens,
                                     other.max_output_tokens,
                                     other.expected_output_tokens, other.parts);
}

bool ReportedLoad::operator==(const ReportedLoad& other) const {
  return std::tie(running, waiting, slots) ==
         std::tie(other.running, other.waiting, other.slots);
}

uint64_t SharedPrefixKey(const PromptShape& prompt) {
  return prompt.parts.size() < 2 ? 0 : prompt.parts[prompt.parts.size() - 2].id;
}

double ReplicaLoad::UncachedTokens(const PromptShape& prompt,
                                   bool assumed_home,
                                   TimePoint now) const {
  double cached = 0;
  for (size_t n = 0; n < prompt.parts.size(); ++n) {
    const auto it = cached_parts_.find(prompt.parts[n].id);
    const bool known =
        it != cached_parts_.end() && now - it->second < kCachedPartLifetime;
    const bool shared = n + 1 < prompt.parts.size();
    if (!known && !(assumed_home && shared)) {
      break;
    }
    cached += prompt.parts[n].tokens;
  }
  return std::max(1.0, prompt.prompt_tokens - cached);
}

void ReplicaLoad::CallSent(double uncached) {
  ++own_calls_;
  own_unread_tokens_ += uncached;
}

void ReplicaLoad::PromptRead(double uncached) {
  own_unread_tokens_ = std::max(0.0, own_unread_tokens_ - uncached);
}

void ReplicaLoad::CallEnded(CallResult result, TimePoint now) {
  own_calls_ = std::max(0, own_calls_ - 1);
  const double kept = Decay(now - counted_at_, kFailureHalfLife);
  failures_ *= kept;
  calls_ *= kept;
  counted_at_ = now;
  calls_ += 1;
  switch (result) {
    case CallResult::kAnswered:
    case CallResult::kRejected:
      consecutive_failures_ = 0;
      return;
    case CallResult::kFailed:
      failures_ += 1;
      ++consecutive_failures_;
      break;
    case CallResult::kUnreachable:
      failures_ += 1;
      // One is enough: the replica took no connection.
      consecutive_failures_ = std::max(2, consecutive_failures_ + 1);
      break;
  }
  if (consecutive_failures_ >= 2) {
    const int doublings =
        std::min(consecutive_failures_ - 2, kMaxAvoidanceDoublings);
    avoid_until_ = now + kFirstAvoidance * (1 << doublings);
  }
}

void ReplicaLoad::NoteCached(const PromptShape& prompt, TimePoint now) {
  for (const PromptPart& it : prompt.parts) {
    cached_parts_[it.id] = now;
  }
  if (cached_parts_.size() > kMaxCachedParts) {
    for (auto it = cached_parts_.begin(); it != cached_parts_.end();) {
      it = now - it->second >= kCachedPartLifetime / 2 ? cached_parts_.erase(it)
                                                       : std::next(it);
    }
  }
}

void ReplicaLoad::Report(const ReportedLoad& load, TimePoint now) {
  report_ = load;
  own_calls_at_report_ = own_calls_;
  reported_at_ = now;
}

double ReplicaLoad::QueuedTokens(double mean_tokens_per_call,
                                 TimePoint now) const {
  double queued = own_unread_tokens_;
  if (report_) {
    const int others =
        report_->running + report_->waiting - own_calls_at_report_;
    queued += std::max(0, others) * mean_tokens_per_call *
              Decay(now - reported_at_, kReportHalfLife);
  }
  return queued;
}

double ReplicaLoad::Requests(TimePoint now) const {
  double requests = own_calls_;
  if (report_) {
    const int others =
        report_->running + report_->waiting - own_calls_at_report_;
    requests +=
        std::max(0, others) * Decay(now - reported_at_, 4 * kReportHalfLife);
  }
  return requests;
}

double ReplicaLoad::FailureShare(TimePoint now) const {
  const double kept = Decay(now - counted_at_, kFailureHalfLife);
  // Two assumed good calls keep one failure from condemning a replica.
  constexpr double kAssumedGood = 2;
  return failures_ * kept / (calls_ * kept + kAssumedGood);
}

}  // namespace endiveyard
