#include "endiveyard/placement/replica_pace.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace endiveyard {
namespace {

// Reports that contain a value after it was learned: a second one makes up for
// lost datagrams, and later ones come too late.
constexpr int kReportsPerValue = 2;

// A machine that took longer than this is tried again once the value is old.
// Without it, a replica that was slow for long would get no more calls, and
// nobody would learn that it has recovered.
constexpr double kMaxLasting = 2.5;
// Half-life of the lasting part, as an exponent. A replica in use states new
// values more often.
constexpr Duration kLastingHalfLife = std::chrono::seconds(10);

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the lower median of the samples and of an assumed usual duration,
// which keeps a first sample from a busy machine from counting as lasting.
double LowerMedian(const std::deque<double>& samples) {
  std::vector<double> sorted(samples.begin(), samples.end());
  sorted.push_back(1);
  const auto median =
      sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / 2);
  std::nth_element(sorted.begin(), median, sorted.end());
  return *median;
}

}  // namespace

ReplicaPaces::Pace* ReplicaPaces::Set(uint64_t replica_key,
                                      double relative_duration,
                                      TimePoint stated_at,
                                      TimePoint now) {
  if (!(relative_duration >= kMinRelativeDuration &&
        relative_duration <= kMaxRelativeDuration)) {
    return nullptr;
  }
  auto it = paces_.find(replica_key);
  if (it == paces_.end()) {
    if (paces_.size() >= kMaxReplicaPaces) {
      for (auto old = paces_.begin(); old != paces_.end();) {
        old = now - old->second.stated_at >= kReplicaPaceLifetime
                  ? paces_.erase(old)
                  : std::next(old);
      }
      if (paces_.size() >= kMaxReplicaPaces) {
        return nullptr;
      }
    }
    it = paces_.emplace(replica_key, Pace()).first;
  } else if (stated_at <= it->second.stated_at) {
    return nullptr;
  }
  Pace& pace = it->second;
  pace.momentary = relative_duration;
  pace.stated_at = stated_at;
  if (pace.samples.empty() ||
      stated_at - pace.sampled_at >= kMomentaryLifetime) {
    pace.samples.push_back(relative_duration);
    pace.sampled_at = stated_at;
    if (pace.samples.size() > kMaxPaceSamples) {
      pace.samples.pop_front();
    }
    pace.lasting = LowerMedian(pace.samples);
  }
  return &pace;
}

void ReplicaPaces::RecordResponse(uint64_t replica_key,
                                  double relative_duration,
                                  TimePoint now) {
  if (Pace* pace = Set(replica_key, relative_duration, now, now)) {
    pace->reports_left = kReportsPerValue;
  }
}

std::optional<double> ReplicaPaces::RelativeDuration(uint64_t replica_key,
                                                     TimePoint now) const {
  const auto it = paces_.find(replica_key);
  if (it == paces_.end() ||
      now - it->second.stated_at >= kReplicaPaceLifetime) {
    return std::nullopt;
  }
  const Pace& pace = it->second;
  const double age_ms =
      Millis(std::chrono::duration_cast<Duration>(now - pace.stated_at));
  const double stale_ms = std::max(0.0, age_ms - Millis(kMomentaryLifetime));
  const double lasting =
      std::pow(std::min(pace.lasting, kMaxLasting),
               std::exp2(-stale_ms / Millis(kLastingHalfLife)));
  // The probability that the machine has not changed since, if it does so at
  // intervals of kMomentaryLifetime.
  const double weight =
      std::clamp(1 - age_ms / Millis(kMomentaryLifetime), 0.0, 1.0);
  return lasting + (pace.momentary - lasting) * weight;
}

std::optional<double> ReplicaPaces::MomentaryDuration(uint64_t replica_key,
                                                      TimePoint now) const {
  const auto it = paces_.find(replica_key);
  return it != paces_.end() && now - it->second.stated_at < kMomentaryLifetime
             ? std::optional<double>(it->second.momentary)
             : std::nullopt;
}

std::optional<double> ReplicaPaces::LastingDuration(
    uint64_t replica_key) const {
  const auto it = paces_.find(replica_key);
  return it != paces_.end() && it->second.samples.size() >= kMinPaceSamples
             ? std::optional<double>(it->second.lasting)
             : std::nullopt;
}

void ReplicaPaces::ApplyReport(const ReplicaPaceReport& report,
                               TimePoint now,
                               bool relay) {
  if (!report.relative_duration || report.age < Duration(0) ||
      report.age >= kReplicaPaceLifetime) {
    return;
  }
  Pace* pace =
      Set(report.replica_key, *report.relative_duration, now - report.age, now);
  if (pace != nullptr) {
    pace->reports_left = relay ? kReportsPerValue : 0;
  }
}

std::vector<ReplicaPaceReport> ReplicaPaces::Digest(size_t max,
                                                    TimePoint now) const {
  std::vector<ReplicaPaceReport> fresh;
  for (const auto& [key, pace] : paces_) {
    const auto age = std::chrono::duration_cast<Duration>(now - pace.stated_at);
    if (age < kMomentaryLifetime) {
      fresh.push_back({key, age, pace.momentary, std::nullopt});
    }
  }
  std::sort(fresh.begin(), fresh.end(), [](const auto& a, const auto& b) {
    return std::tie(a.age, a.replica_key) < std::tie(b.age, b.replica_key);
  });
  fresh.resize(std::min(fresh.size(), max));
  return fresh;
}

std::vector<ReplicaPaceReport> ReplicaPaces::TakeNews(size_t max,
                                                      TimePoint now) {
  std::vector<ReplicaPaceReport> news = Digest(paces_.size(), now);
  news.erase(std::remove_if(news.begin(), news.end(),
                            [this](const ReplicaPaceReport& it) {
                              return paces_[it.replica_key].reports_left == 0;
                            }),
             news.end());
  news.resize(std::min(news.size(), max));
  for (const ReplicaPaceReport& it : news) {
    --paces_[it.replica_key].reports_left;
  }
  return news;
}

void ReplicaPaces::Retain(const std::vector<uint64_t>& replica_keys) {
  for (auto it = paces_.begin(); it != paces_.end();) {
    it = std::binary_search(replica_keys.begin(), replica_keys.end(), it->first)
             ? std::next(it)
             : paces_.erase(it);
  }
}

}  // namespace endiveyard
