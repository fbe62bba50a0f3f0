#include "endiveyard/placement/replica_rate_limits.h"

#include <algorithm>
#include <cmath>

namespace endiveyard {
namespace {

// Reports that contain a fact after it was learned.
constexpr int kReportsPerFact = 3;
// Changes below this share of a limit are not reported on their own.
constexpr double kMinReportedChange = 0.02;
// A limit that was stated again is only more recent than the known one if it is
// by more than reports take to travel, so that instances do not keep it alive
// by repeating what others said.
constexpr Duration kMinRefresh = std::chrono::seconds(1);
// A share may be saved up for this time, so that requests that arrive together
// are not refused where the share is large. At least one request can be saved.
constexpr Duration kMaxSavedShare = std::chrono::milliseconds(250);

// The part of its share that an instance takes while others may use it as well:
// when it is leaving, for repeats of the requests that it still works on, and
// when it has just started. All shares together then stay below one and a
// quarter times the limit.
constexpr double kContestedShare = 0.25;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double EffectiveRate(double requests_per_second) {
  return std::max(requests_per_second, 1 / Seconds(kMaxRequestInterval));
}

// Returns how many of `instances` share a limit.
size_t HoldersOf(double rate, size_t instances) {
  const double most = std::floor(rate / kMinSharePerSecond);
  return static_cast<size_t>(
      std::clamp(most, 1.0, static_cast<double>(instances)));
}

bool IsSimilar(const std::optional<double>& a, const std::optional<double>& b) {
  if (!a || !b) {
    return a == b;
  }
  return std::abs(*a - *b) <= kMinReportedChange * std::max(*a, *b);
}

}  // namespace

bool ReplicaRateLimits::IsInForce(const Limit& limit, TimePoint now) {
  return limit.requests_per_second &&
         now - limit.stated_at < kRateLimitLifetime;
}

bool ReplicaRateLimits::Set(uint64_t replica_key,
                            std::optional<double> requests_per_second,
                            TimePoint stated_at,
                            TimePoint now) {
  auto it = limits_.find(replica_key);
  if (it == limits_.end()) {
    if (!requests_per_second) {
      return false;
    }
    if (limits_.size() >= kMaxRateLimits) {
      RemoveExpired(now);
      if (limits_.size() >= kMaxRateLimits) {
        return false;
      }
    }
    it = limits_.emplace(replica_key, Limit()).first;
    it->second.filled_at = now;
  } else if (stated_at <= it->second.stated_at) {
    return false;
  }
  Limit& limit = it->second;
  const bool changed =
      IsInForce(limit, now) != requests_per_second.has_value() ||
      !IsSimilar(limit.requests_per_second, requests_per_second);
  if (changed && !IsInForce(limit, now)) {
    limit.tokens = 0;
    limit.filled_at = now;
  }
  limit.requests_per_second = requests_per_second;
  limit.stated_at = stated_at;
  return changed;
}

bool ReplicaRateLimits::RecordResponse(
    uint64_t replica_key,
    std::optional<double> requests_per_second,
    TimePoint now) {
  const bool changed = Set(replica_key, requests_per_second, now, now);
  if (changed) {
    limits_[replica_key].reports_left = kReportsPerFact;
  }
  return changed;
}

std::optional<double> ReplicaRateLimits::LimitOf(uint64_t replica_key,
                                                 TimePoint now) const {
  const auto it = limits_.find(replica_key);
  return it != limits_.end() && IsInForce(it->second, now)
             ? it->second.requests_per_second
             : std::nullopt;
}

double ReplicaRateLimits::ShareOf(const Limit& limit,
                                  ReplicaPosition replica) const {
  const double rate = EffectiveRate(*limit.requests_per_second);
  const std::vector<size_t>& leaving = instance_.leaving;
  const bool is_leaving =
      std::binary_search(leaving.begin(), leaving.end(), instance_.index);
  const bool is_contested = is_leaving || instance_.joining;
  // The others close the ranks. An instance whose share they may use keeps its
  // place among all, so that no more of these hold a share than without them.
  const size_t gaps = is_contested ? 0 : leaving.size();
  const size_t count = instance_.count - gaps;
  const auto place = [&](size_t index) {
    return gaps == 0 ? index
                     : index - static_cast<size_t>(
                                   std::lower_bound(leaving.begin(),
                                                    leaving.end(), index) -
                                   leaving.begin());
  };
  const size_t holders = HoldersOf(rate, count);
  const size_t first =
      place(replica.index * instance_.count / replica.count) % count;
  const size_t offset = (place(instance_.index) + count - first) % count;
  const double share =
      offset < holders ? rate / static_cast<double>(holders) : 0;
  return is_contested ? share * kContestedShare : share;
}

std::optional<Duration> ReplicaRateLimits::WaitFor(uint64_t replica_key,
                                                   ReplicaPosition replica,
                                                   TimePoint now) {
  const auto it = limits_.find(replica_key);
  if (it == limits_.end() || !IsInForce(it->second, now)) {
    return Duration(0);
  }
  Limit& limit = it->second;
  const double share = ShareOf(limit, replica);
  const double most = std::max(1.0, share * Seconds(kMaxSavedShare));
  limit.tokens = std::min(
      most, limit.tokens + share * Seconds(std::chrono::duration_cast<Duration>(
                                       now - limit.filled_at)));
  limit.filled_at = now;
  if (share <= 0) {
    return std::nullopt;
  }
  if (limit.tokens >= 1) {
    return Duration(0);
  }
  // Rounded up, so that the token is there after the wait.
  return Duration(
      static_cast<int64_t>(std::ceil(1e6 * (1 - limit.tokens) / share)));
}

void ReplicaRateLimits::RecordSent(uint64_t replica_key, TimePoint now) {
  const auto it = limits_.find(replica_key);
  if (it != limits_.end() && IsInForce(it->second, now)) {
    it->second.tokens -= 1;
  }
}

void ReplicaRateLimits::RecordNotSent(uint64_t replica_key, TimePoint now) {
  const auto it = limits_.find(replica_key);
  if (it != limits_.end() && IsInForce(it->second, now)) {
    it->second.tokens += 1;
  }
}

void ReplicaRateLimits::ApplyReport(const RateLimitReport& report,
                                    TimePoint now,
                                    bool relay) {
  if (report.age < Duration(0) || report.age >= kRateLimitLifetime) {
    return;
  }
  const TimePoint stated_at = now - report.age;
  const auto known = limits_.find(report.replica_key);
  if (known != limits_.end() &&
      IsSimilar(known->second.requests_per_second,
                report.requests_per_second) &&
      stated_at - known->second.stated_at < kMinRefresh) {
    return;
  }
  if (Set(report.replica_key, report.requests_per_second, stated_at, now) &&
      relay) {
    limits_[report.replica_key].reports_left = kReportsPerFact;
  }
}

std::vector<RateLimitReport> ReplicaRateLimits::TakeNews(size_t max,
                                                         TimePoint now) {
  std::vector<RateLimitReport> news;
  for (auto& [key, limit] : limits_) {
    if (limit.reports_left == 0) {
      continue;
    }
    if (news.size() >= max) {
      break;
    }
    --limit.reports_left;
    news.push_back(
        {key, limit.requests_per_second,
         std::chrono::duration_cast<Duration>(now - limit.stated_at)});
  }
  return news;
}

std::vector<RateLimitReport> ReplicaRateLimits::Digest(size_t max,
                                                       TimePoint now) {
  if (digest_next_ >= digest_keys_.size()) {
    RemoveExpired(now);
    digest_keys_.clear();
    for (const auto& [key, limit] : limits_) {
      digest_keys_.push_back(key);
    }
    digest_next_ = 0;
  }
  std::vector<RateLimitReport> digest;
  for (; digest_next_ < digest_keys_.size() && digest.size() < max;
       ++digest_next_) {
    const auto it = limits_.find(digest_keys_[digest_next_]);
    if (it != limits_.end()) {
      digest.push_back(
          {it->first, it->second.requests_per_second,
           std::chrono::duration_cast<Duration>(now - it->second.stated_at)});
    }
  }
  return digest;
}

void ReplicaRateLimits::RemoveExpired(TimePoint now) {
  for (auto it = limits_.begin(); it != limits_.end();) {
    it = now - it->second.stated_at >= kRateLimitLifetime ? limits_.erase(it)
                                                          : std::next(it);
  }
}

}  // namespace endiveyard
