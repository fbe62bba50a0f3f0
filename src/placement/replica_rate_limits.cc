#include "endiveyard/placement/replica_rate_limits.h"

namespace endiveyard {

bool ReplicaRateLimits::IsInForce(const Limit& limit, TimePoint now) {
  return limit.requests_per_second &&
         now - limit.stated_at < kRateLimitLifetime;
}

bool ReplicaRateLimits::RecordResponse(
    uint64_t replica_key,
    std::optional<double> requests_per_second,
    TimePoint now) {
  auto it = limits_.find(replica_key);
  if (it == limits_.end()) {
    if (!requests_per_second || limits_.size() >= kMaxRateLimits) {
      return false;
    }
    it = limits_.emplace(replica_key, Limit()).first;
  }
  const bool changed = LimitOf(replica_key, now) != requests_per_second;
  it->second = {requests_per_second, now};
  return changed;
}

std::optional<double> ReplicaRateLimits::LimitOf(uint64_t replica_key,
                                                 TimePoint now) const {
  const auto it = limits_.find(replica_key);
  return it != limits_.end() && IsInForce(it->second, now)
             ? it->second.requests_per_second
             : std::nullopt;
}

}  // namespace endiveyard
