#include "endiveyard/placement/target_availability.h"

#include <algorithm>
#include <iterator>

#include "endiveyard/base/digest.h"
#include "endiveyard/placement/cache_view.h"

namespace endiveyard {
namespace {

constexpr Duration kRemovalInterval = std::chrono::seconds(30);

}  // namespace

TargetAvailability::State* TargetAvailability::StateOf(uint64_t target_key,
                                                       TimePoint now) {
  if (now >= next_removal_ || states_.size() >= kMaxUnavailableTargets) {
    next_removal_ = now + kRemovalInterval;
    for (auto it = states_.begin(); it != states_.end();) {
      it = std::max(it->second.leaving_until, it->second.paused_until) <= now
               ? states_.erase(it)
               : std::next(it);
    }
  }
  const auto it = states_.find(target_key);
  if (it == states_.end() && states_.size() >= kMaxUnavailableTargets) {
    return nullptr;
  }
  return &states_[target_key];
}

bool TargetAvailability::RecordLeaving(uint64_t target_key, TimePoint now) {
  const bool known = IsLeaving(target_key, now);
  if (State* state = StateOf(target_key, now)) {
    state->leaving_until = now + kLeavingLifetime;
  }
  return !known;
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
  return it != states_.end() && now < it->second.leaving_until;
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
  for (const Replica* it : replicas) {
    const uint64_t key = EngineKey(*it);
    if (IsLeaving(key, now)) {
      continue;
    }
    const Duration pause = PauseOf(key, now);
    if (pause <= Duration(0)) {
      selected.push_back(it);
    } else {
      *shortest_pause = std::min(shortest_pause->value_or(pause), pause);
    }
  }
  return selected;
}

}  // namespace endiveyard
