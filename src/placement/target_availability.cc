#include "endiveyard/placement/target_availability.h"

#include <algorithm>
#include <iterator>

#include "endiveyard/base/digest.h"
#include "endiveyard/placement/cache_view.h"

namespace endiveyard {
namespace {

constexpr Duration kRemovalInterval = std::chrono::seconds(30);
// Reports that contain a fact after it was learned.
constexpr int kReportsPerFact = 3;
// Reports shortly before the end of their lifetime are ignored, so that
// instances do not return them to each other.
constexpr Duration kExpiryMargin = std::chrono::seconds(10);
// Reports leave room for what targets say to this instance.
constexpr size_t kMaxTargetsFromReports = kMaxUnavailableTargets / 2;

}  // namespace

TargetAvailability::State* TargetAvailability::StateOf(uint64_t target_key,
                                                       TimePoint now) {
  if (now >= next_removal_ || states_.size() >= kMaxUnavailableTargets) {
    next_removal_ = now + kRemovalInterval;
    for (auto it = states_.begin(); it != states_.end();) {
      const State& state = it->second;
      const bool over = state.paused_until <= now && !IsLeaving(state, now);
      it = over ? states_.erase(it) : std::next(it);
    }
  }
  const auto it = states_.find(target_key);
  if (it == states_.end() && states_.size() >= kMaxUnavailableTargets) {
    return nullptr;
  }
  return &states_[target_key];
}

bool TargetAvailability::IsLeaving(const State& state, TimePoint now) {
  return state.leaving_since && now - *state.leaving_since < kLeavingLifetime;
}

bool TargetAvailability::RecordLeaving(uint64_t target_key, TimePoint now) {
  if (IsLeaving(target_key, now)) {
    return false;
  }
  if (State* state = StateOf(target_key, now)) {
    if (!IsLeaving(*state, now)) {
      state->leaving_since = now;
      state->reports_left = kReportsPerFact;
    }
    state->heard_from_target = true;
  }
  return true;
}

bool TargetAvailability::RecordPause(uint64_t target_key,
                                     Duration pause,
                                     TimePoint now) {
  if (pause <= Duration(0)) {
    return false;
  }
  State* state = StateOf(target_key, now);
  if (state == nullptr) {
    return false;
  }
  const uint64_t hash = CombineDigests(seed_, target_key);
  const Duration spread(static_cast<int64_t>(
      hash % static_cast<uint64_t>(kResumeSpread.count())));
  const TimePoint until = now + std::min(pause, kMaxTargetPause) + spread;
  if (until <= state->paused_until) {
    return false;
  }
  state->paused_until = until;
  return true;
}

bool TargetAvailability::IsLeaving(uint64_t target_key, TimePoint now) const {
  const auto it = states_.find(target_key);
  return it != states_.end() && it->second.heard_from_target &&
         IsLeaving(it->second, now);
}

Duration TargetAvailability::PauseOf(uint64_t target_key, TimePoint now) const {
  const auto it = states_.find(target_key);
  return it == states_.end()
             ? Duration(0)
             : std::max(Duration(0), std::chrono::duration_cast<Duration>(
                                         it->second.paused_until - now));
}

bool TargetAvailability::TakesWork(uint64_t target_key, TimePoint now) const {
  return !IsLeaving(target_key, now) && PauseOf(target_key, now) <= Duration(0);
}

std::vector<const Replica*> TargetAvailability::Select(
    const std::vector<const Replica*>& replicas,
    TimePoint now,
    std::optional<Duration>* shortest_pause) const {
  if (states_.empty()) {
    return replicas;
  }
  std::vector<const Replica*> selected;
  std::vector<const Replica*> not_told_leaving;
  for (const Replica* it : replicas) {
    const uint64_t key = EngineKey(*it);
    if (IsLeaving(key, now)) {
      continue;
    }
    const Duration pause = PauseOf(key, now);
    if (pause > Duration(0)) {
      *shortest_pause = std::min(shortest_pause->value_or(pause), pause);
      continue;
    }
    selected.push_back(it);
    const auto state = states_.find(key);
    if (state == states_.end() || !IsLeaving(state->second, now)) {
      not_told_leaving.push_back(it);
    }
  }
  return 2 * not_told_leaving.size() >= selected.size() ? not_told_leaving
                                                        : selected;
}

void TargetAvailability::ApplyReport(const LeavingReport& report,
                                     TimePoint now,
                                     bool relay) {
  if (report.age < Duration(0) ||
      report.age >= kLeavingLifetime - kExpiryMargin) {
    return;
  }
  if (states_.count(report.target_key) == 0 &&
      states_.size() >= kMaxTargetsFromReports) {
    return;
  }
  State* state = StateOf(report.target_key, now);
  if (state == nullptr) {
    return;
  }
  const TimePoint since = now - report.age;
  if (!IsLeaving(*state, now)) {
    state->leaving_since = since;
    state->heard_from_target = false;
    state->reports_left = relay ? kReportsPerFact : 0;
  } else if (!state->heard_from_target) {
    // Reports make it appear later than it was, by their own delay.
    state->leaving_since = std::min(*state->leaving_since, since);
  }
}

LeavingReport TargetAvailability::ReportOf(uint64_t target_key,
                                           const State& state,
                                           TimePoint now) {
  return {target_key,
          std::chrono::duration_cast<Duration>(now - *state.leaving_since)};
}

std::vector<LeavingReport> TargetAvailability::TakeNews(size_t max,
                                                        TimePoint now) {
  std::vector<LeavingReport> news;
  for (auto& [key, state] : states_) {
    if (news.size() >= max) {
      break;
    }
    if (state.reports_left > 0 && IsLeaving(state, now)) {
      --state.reports_left;
      news.push_back(ReportOf(key, state, now));
    }
  }
  return news;
}

std::vector<LeavingReport> TargetAvailability::Digest(size_t max,
                                                      TimePoint now) {
  std::vector<LeavingReport> all;
  for (const auto& [key, state] : states_) {
    if (IsLeaving(state, now)) {
      all.push_back(ReportOf(key, state, now));
    }
  }
  if (all.size() <= max) {
    return all;
  }
  std::vector<LeavingReport> digest;
  for (size_t n = 0; n < max; ++n) {
    digest.push_back(all[digest_offset_++ % all.size()]);
  }
  return digest;
}

}  // namespace endiveyard
