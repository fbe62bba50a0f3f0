#include "endiveyard/placement/replica_call_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

#include "endiveyard/placement/cache_view.h"

namespace endiveyard {
namespace {

// In a fleet with more instances than the replica has slots, one call from each
// is a flood, so that the limit goes on up to one for each instance, at most to
// this multiple of the slots.
constexpr double kMaxLimitOverSlots = 4;
// Reports that contain a change.
constexpr int kReportsPerChange = 3;
// Changes that are older are not told any more, and not believed.
constexpr Duration kNewsLifetime = std::chrono::seconds(10);
// A limit that shrank at another instance counts if it did so within this time:
// an instance of a large fleet sends a report in two to five seconds.
constexpr Duration kRecentShrink = std::chrono::seconds(5);
// Reports of growth do not count for this time after the limit shrank, since
// their senders may not have known.
constexpr Duration kShrinkHold = std::chrono::milliseconds(500);

// Answers that take at most this many times as long as expected let the limit
// grow. Those between the two numbers do not change it: the waits of calls that
// are alike differ by that much on a replica that is not overloaded.
constexpr double kGoodRatio = 1.5;
constexpr double kSlowRatio = 2.5;
// A replica that is slow for this long is measured by its own fastest answer,
// since it may not become faster.
constexpr Duration kPatience = std::chrono::seconds(3);

// Without any call in flight, the limit doubles after this time, so that a
// replica is not left idle because the instances that may send have no request
// for it.
constexpr Duration kIdleGrowthTime = std::chrono::seconds(1);
// The same with calls in flight: the news that the limit has grown or ended was
// lost, since there would be others if the replica were overloaded.
constexpr Duration kOutdatedTime = std::chrono::seconds(2);
// The limits that others tell of do not apply to a replica that has given this
// instance a good answer within this time: only they may be cut off from it.
constexpr Duration kGoodAnswerTime = std::chrono::seconds(1);

// Refusals in a row after which a replica has to recover. One or two are usual
// under load.
constexpr int kRefusalsBeforeRecovery = 3;
// A machine is slow if it takes this many times as long as usual.
constexpr double kSlowFactor = 1.5;
// The same for measured waits. With 1.5, replicas with few slots whose load
// varies got limits.
constexpr double kSlowWaits = 2;
// Answers in a row that take at most this many times as long as expected, after
// which a replica with long waits has recovered. Those of one that stays slow
// are often good, but rarely that fast.
constexpr double kFastRatio = 1.1;
constexpr int kFastAnswersBeforeRecovery = 2;
// Above the permanent differences between machines.
constexpr double kVerySlowFactor = 2;
// Other workloads slow 15 % of the machines down in each interval of 600 ms.
// Three intervals in a row are rare by chance.
constexpr Duration kSlowTime = std::chrono::milliseconds(1800);
constexpr Duration kMaxSlowGap = std::chrono::milliseconds(1200);
// After the end of a limit, neither stated durations nor measured waits start
// another one for this time, in which the lasting values follow.
constexpr Duration kMinRestartInterval = std::chrono::seconds(10);

constexpr Duration kKnownLifetime = std::chrono::minutes(10);
constexpr Duration kBypassEventInterval = std::chrono::seconds(10);

// Returns a step through `count` positions that visits all of them and spreads
// any few in a row. The instances of a region have neighbouring addresses, and
// replicas are mostly used from their region.
size_t SpreadStep(size_t count) {
  constexpr double kGoldenSection = 0.618;
  size_t step = std::max<size_t>(
      1, static_cast<size_t>(static_cast<double>(count) * kGoldenSection));
  while (std::gcd(step, count) != 1) {
    ++step;
  }
  return step;
}

}  // namespace

void ReplicaCallLimits::RecordReplicas(const ReplicaView& view, TimePoint now) {
  for (const Replica* it : view.Usable()) {
    const auto [entry, is_added] = known_.try_emplace(EngineKey(*it));
    if (is_added) {
      entry->second.first_seen = now;
      entry->second.is_new = has_first_list_;
    }
    entry->second.last_seen = now;
  }
  has_first_list_ = true;
  for (auto it = known_.begin(); it != known_.end();) {
    it = now - it->second.last_seen >= kKnownLifetime ? known_.erase(it)
                                                      : std::next(it);
  }
}

ReplicaCallLimits::Track* ReplicaCallLimits::FindTrack(uint64_t replica_key) {
  const auto it = tracks_.find(replica_key);
  return it == tracks_.end() ? nullptr : &it->second;
}

ReplicaCallLimits::Track* ReplicaCallLimits::MakeTrack(uint64_t replica_key) {
  if (Track* track = FindTrack(replica_key)) {
    return track;
  }
  return tracks_.size() < kMaxCallLimits ? &tracks_[replica_key] : nullptr;
}

std::string_view ReplicaCallLimits::UpdateSigns(const ReplicaSigns& signs,
                                                TimePoint now,
                                                Track* track) const {
  if (signs.in_backoff) {
    track->was_in_backoff = true;
    return "";
  }
  std::string_view reason;
  if (track->was_in_backoff) {
    track->was_in_backoff = false;
    reason = "backoff_ended";
  }
  if (signs.slowness && *signs.slowness >= kSlowWaits &&
      track->fast_in_row == 0 && now - track->ended_at >= kMinRestartInterval) {
    track->was_slow_by_waits = true;
  }
  if (!signs.momentary_duration) {
    // The values of all instances are old at the same time, and all would try
    // the replica at once.
    return signs.expected_duration.value_or(1) >= kVerySlowFactor &&
                   now - track->ended_at >= kMinRestartInterval
               ? "duration_old"
               : reason;
  }
  const double momentary = *signs.momentary_duration;
  const double lasting = signs.lasting_duration.value_or(1);
  if (momentary >= kSlowFactor * lasting) {
    if (!track->slow_since || now - track->last_slow_at > kMaxSlowGap) {
      track->slow_since = now;
      track->slow_level = momentary;
    }
    track->slow_level = std::min(track->slow_level, momentary);
    track->last_slow_at = now;
    return reason;
  }
  const bool was_slow_for_long =
      track->slow_since &&
      track->last_slow_at - *track->slow_since >= kSlowTime &&
      now - track->last_slow_at <= kMaxSlowGap;
  const double slow_level = std::max(was_slow_for_long ? track->slow_level : 0,
                                     signs.lasting_duration.value_or(0));
  if (momentary * kSlowFactor <= slow_level &&
      now - track->ended_at >= kMinRestartInterval) {
    reason = "machine_faster";
  }
  track->slow_since.reset();
  return reason;
}

void ReplicaCallLimits::Start(std::string_view reason,
                              double limit,
                              bool shrank,
                              TimePoint changed_at,
                              TimePoint now,
                              Track* track) {
  track->limit = limit;
  track->started_at = now;
  track->changed_at = changed_at;
  track->shrank = shrank;
  track->shrank_at = shrank ? changed_at : kNever;
  track->round_limit = limit;
  track->round_at = now;
  track->lowest_ratio = 0;
  track->last_answer_at = now;
  AddEvent(CallLimitEvent::Kind::kStarted, reason, limit, *track);
}

void ReplicaCallLimits::End(std::string_view reason,
                            TimePoint now,
                            Track* track) {
  AddEvent(CallLimitEvent::Kind::kEnded, reason, *track->limit, *track);
  track->limit.reset();
  track->ended_at = track->changed_at = now;
  track->shrank = false;
  track->refusals_in_row = 0;
}

void ReplicaCallLimits::Grow(TimePoint sent_at, TimePoint now, Track* track) {
  if (sent_at < track->shrank_at) {
    return;
  }
  if (sent_at >= track->round_at) {
    track->round_limit = *track->limit;
    track->round_at = now;
  }
  // The other instances with a share have as many good answers as this one.
  const double holders = std::min(static_cast<double>(instance_.count),
                                  std::max(1.0, *track->limit));
  const double grown =
      std::min(*track->limit + holders, 2 * track->round_limit);
  if (grown <= *track->limit) {
    return;
  }
  track->limit = grown;
  track->changed_at = now;
  track->shrank = false;
  track->reports_left = kReportsPerChange;
  if (track->slots > 0 && grown > EndAbove(*track)) {
    End("grown", now, track);
  }
}

void ReplicaCallLimits::Shrink(std::string_view reason,
                               TimePoint sent_at,
                               TimePoint now,
                               Track* track) {
  // Calls that were sent before the limit shrank do not show its effect.
  if (!track->limit || sent_at < track->started_at ||
      sent_at < track->shrank_at) {
    return;
  }
  track->limit = std::max(1.0, std::floor(*track->limit / 2));
  track->changed_at = track->shrank_at = track->round_at = now;
  track->round_limit = *track->limit;
  track->shrank = true;
  track->reports_left = kReportsPerChange;
  AddEvent(CallLimitEvent::Kind::kShrank, reason, *track->limit, *track);
}

double ReplicaCallLimits::EndAbove(const Track& track) const {
  const auto instances = static_cast<double>(instance_.count);
  return std::max(track.slots,
                  std::min(instances, kMaxLimitOverSlots * track.slots));
}

int ReplicaCallLimits::ShareOf(uint64_t replica_key, double limit) const {
  const size_t count = std::max<size_t>(1, instance_.count);
  const auto calls = static_cast<size_t>(limit);
  const size_t step = SpreadStep(count);
  size_t holder = static_cast<size_t>(replica_key % count);
  bool holds_one_more = false;
  for (size_t n = 0; n < calls % count && !holds_one_more; ++n) {
    holds_one_more = holder == instance_.index % count;
    holder = (holder + step) % count;
  }
  return static_cast<int>(calls / count) + (holds_one_more ? 1 : 0);
}

std::optional<int> ReplicaCallLimits::Allowance(const Replica& replica,
                                                const ReplicaSigns& signs,
                                                TimePoint now) {
  const uint64_t key = EngineKey(replica);
  Track* track = MakeTrack(key);
  if (track == nullptr) {
    return std::nullopt;
  }
  if (track->slots == 0) {
    track->replica_id = replica.id;
    track->slots = replica.slots > 0 ? replica.slots : kDefaultSlots;
    if (track->limit) {
      AddEvent(CallLimitEvent::Kind::kStarted, "told", *track->limit, *track);
    }
  }
  const double initial = std::max(
      kMinInitialLimit, std::floor(track->slots * kInitialShareOfSlots));
  const std::string_view recovered = UpdateSigns(signs, now, track);
  const auto known = known_.find(key);
  if (known != known_.end() && known->second.is_new) {
    known->second.is_new = false;
    if (!track->limit && now - known->second.first_seen < kNewReplicaTime) {
      // All instances notice by themselves.
      Start("new", initial, false, now, now, track);
    }
  } else if (!recovered.empty() && !track->limit) {
    Start(recovered, initial, true, now, now, track);
    track->reports_left = kReportsPerChange;
  }
  if (!track->limit) {
    return std::nullopt;
  }
  const auto quiet_time =
      now - std::max(track->last_answer_at, track->changed_at);
  const bool is_idle = signs.calls < 1 && quiet_time >= kIdleGrowthTime;
  const bool is_outdated = quiet_time >= kOutdatedTime;
  if (is_idle || is_outdated) {
    track->limit = 2 * *track->limit;
    track->round_limit = *track->limit;
    track->changed_at = track->round_at = now;
    track->shrank = false;
  }
  if (*track->limit > EndAbove(*track)) {
    End(is_idle || is_outdated ? "no_news" : "grown", now, track);
    return std::nullopt;
  }
  if (now - track->started_at >= kMaxLimitedTime) {
    End("time_passed", now, track);
    return std::nullopt;
  }
  return ShareOf(key, *track->limit * std::max(1.0, signs.limit_factor));
}

void ReplicaCallLimits::RecordAnswer(uint64_t replica_key,
                                     double ratio,
                                     TimePoint sent_at,
                                     TimePoint now) {
  Track* track = FindTrack(replica_key);
  if (track == nullptr) {
    return;
  }
  track->last_answer_at = now;
  track->fast_in_row = ratio <= kFastRatio ? track->fast_in_row + 1 : 0;
  if (ratio <= kGoodRatio) {
    track->last_good_at = now;
    // Measured waits show late that they have become shorter.
    const bool is_faster = track->was_slow_by_waits &&
                           track->fast_in_row >= kFastAnswersBeforeRecovery;
    if (!track->limit &&
        (is_faster || track->refusals_in_row >= kRefusalsBeforeRecovery)) {
      const double initial = std::max(
          kMinInitialLimit, std::floor(track->slots * kInitialShareOfSlots));
      Start(is_faster ? "waits_shorter" : "refusals_ended", initial, true, now,
            now, track);
      track->reports_left = kReportsPerChange;
    }
    if (is_faster) {
      track->was_slow_by_waits = false;
    }
    track->refusals_in_row = 0;
  }
  if (!track->limit || sent_at < track->started_at) {
    return;
  }
  track->lowest_ratio =
      track->lowest_ratio > 0 ? std::min(track->lowest_ratio, ratio) : ratio;
  const double usual = now - track->started_at >= kPatience
                           ? std::max(1.0, track->lowest_ratio)
                           : 1;
  if (ratio <= kGoodRatio * usual) {
    Grow(sent_at, now, track);
  } else if (ratio >= kSlowRatio * usual) {
    Shrink("slow", sent_at, now, track);
  }
}

void ReplicaCallLimits::RecordTimeout(uint64_t replica_key,
                                      TimePoint sent_at,
                                      TimePoint now) {
  if (Track* track = FindTrack(replica_key)) {
    Shrink("timeout", sent_at, now, track);
  }
}

void ReplicaCallLimits::RecordCallEnded(uint64_t replica_key,
                                        CallResult result,
                                        TimePoint sent_at,
                                        TimePoint now) {
  Track* track = FindTrack(replica_key);
  if (track == nullptr || result == CallResult::kCompleted ||
      result == CallResult::kMisdirected) {
    return;
  }
  if (result == CallResult::kRejected) {
    ++track->refusals_in_row;
  }
  Shrink(result == CallResult::kRejected ? "refused" : "failed", sent_at, now,
         track);
}

void ReplicaCallLimits::RecordBypass(uint64_t replica_key, TimePoint now) {
  Track* track = FindTrack(replica_key);
  if (track == nullptr || !track->limit ||
      now - track->bypassed_at < kBypassEventInterval) {
    return;
  }
  track->bypassed_at = now;
  AddEvent(CallLimitEvent::Kind::kBypassed, "no_other_replica", *track->limit,
           *track);
}

void ReplicaCallLimits::ApplyReport(const ReplicaPaceReport& report,
                                    TimePoint now,
                                    bool relay) {
  constexpr double kMaxLimit = 1e5;
  if (!report.call_limit || !(*report.call_limit >= 1) ||
      *report.call_limit > kMaxLimit || report.age < Duration(0) ||
      report.age >= kNewsLifetime) {
    return;
  }
  Track* track = MakeTrack(report.replica_key);
  if (track == nullptr) {
    return;
  }
  const double limit = std::floor(*report.call_limit);
  const bool shrank = *report.call_limit > limit;
  const TimePoint changed_at = now - report.age;
  if (!track->limit) {
    // Instances that lag behind still tell of a limit that has ended.
    if (changed_at <= track->ended_at ||
        (!shrank && now - track->ended_at < kNewsLifetime) ||
        now - track->last_good_at < kGoodAnswerTime ||
        (track->slots > 0 && limit > EndAbove(*track))) {
      return;
    }
    Start("told", limit, shrank, changed_at, now, track);
  } else if (shrank) {
    if (limit >= *track->limit || changed_at <= track->shrank_at ||
        report.age >= kRecentShrink) {
      return;
    }
    track->limit = track->round_limit = limit;
    track->changed_at = track->shrank_at = changed_at;
    track->round_at = now;
    track->shrank = true;
  } else {
    if (limit <= *track->limit || changed_at < track->shrank_at + kShrinkHold) {
      return;
    }
    track->limit = limit;
    // Answers to calls that were sent before do not raise it further.
    track->round_limit = limit / 2;
    track->round_at = now;
    track->changed_at = changed_at;
    track->last_answer_at = std::max(track->last_answer_at, changed_at);
    track->shrank = false;
    if (track->slots > 0 && limit > EndAbove(*track)) {
      End("told", now, track);
    }
  }
  track->reports_left = relay ? kReportsPerChange : 0;
}

std::vector<ReplicaPaceReport> ReplicaCallLimits::Digest(size_t max,
                                                         TimePoint now) const {
  constexpr double kShrankMark = 0.5;
  std::vector<ReplicaPaceReport> changes;
  for (const auto& [key, track] : tracks_) {
    const auto age =
        std::chrono::duration_cast<Duration>(now - track.changed_at);
    if ((track.limit || track.ended_at != kNever) && age < kNewsLifetime) {
      changes.push_back({key, age, std::nullopt,
                         track.limit.value_or(EndAbove(track) + 1) +
                             (track.shrank ? kShrankMark : 0)});
    }
  }
  std::sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) {
    return std::tie(a.age, a.replica_key) < std::tie(b.age, b.replica_key);
  });
  changes.resize(std::min(changes.size(), max));
  return changes;
}

std::vector<ReplicaPaceReport> ReplicaCallLimits::TakeNews(size_t max,
                                                           TimePoint now) {
  std::vector<ReplicaPaceReport> news = Digest(tracks_.size(), now);
  news.erase(std::remove_if(news.begin(), news.end(),
                            [this](const ReplicaPaceReport& it) {
                              return tracks_[it.replica_key].reports_left == 0;
                            }),
             news.end());
  news.resize(std::min(news.size(), max));
  for (const ReplicaPaceReport& it : news) {
    --tracks_[it.replica_key].reports_left;
  }
  return news;
}

std::optional<double> ReplicaCallLimits::LimitOf(uint64_t replica_key) const {
  const auto it = tracks_.find(replica_key);
  return it == tracks_.end() ? std::nullopt : it->second.limit;
}

size_t ReplicaCallLimits::LimitedCount(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(tracks_.begin(), tracks_.end(), [now](const auto& it) {
        return it.second.limit && now - it.second.started_at < kMaxLimitedTime;
      }));
}

std::vector<CallLimitEvent> ReplicaCallLimits::TakeEvents() {
  return std::exchange(events_, {});
}

void ReplicaCallLimits::AddEvent(CallLimitEvent::Kind kind,
                                 std::string_view reason,
                                 double limit,
                                 const Track& track) {
  if (track.replica_id.empty()) {
    return;  // told of a replica that this instance has no request for yet
  }
  if (events_.size() >= kMaxCallLimitEvents) {
    events_.erase(events_.begin());
  }
  events_.push_back({kind, track.replica_id, reason, limit});
}

void ReplicaCallLimits::Retain(const std::vector<uint64_t>& replica_keys) {
  for (auto it = tracks_.begin(); it != tracks_.end();) {
    it = std::binary_search(replica_keys.begin(), replica_keys.end(), it->first)
             ? std::next(it)
             : tracks_.erase(it);
  }
}

}  // namespace endiveyard
