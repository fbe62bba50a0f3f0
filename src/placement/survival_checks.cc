#include "endiveyard/placement/survival_checks.h"

#include <algorithm>
#include <iterator>

namespace endiveyard {
namespace {

constexpr int kMaxPauseDoublings = 4;

}  // namespace

uint64_t SurvivalChecks::Begin(uint64_t replica_key,
                               SurvivalProof proof,
                               TimePoint now) {
  const uint64_t check = next_check_++;
  replicas_[replica_key].checks[check] = {now, proof, std::nullopt};
  replica_of_check_[check] = replica_key;
  return check;
}

void SurvivalChecks::Drop(uint64_t check) {
  const auto it = replica_of_check_.find(check);
  if (it == replica_of_check_.end()) {
    return;
  }
  const uint64_t replica_key = it->second;
  replica_of_check_.erase(it);
  replicas_[replica_key].checks.erase(check);
  EraseIfUnused(replica_key);
}

bool SurvivalChecks::BeginProbe(uint64_t replica_key,
                                TimePoint now,
                                Duration pause) {
  const auto it = replicas_.find(replica_key);
  if (it == replicas_.end()) {
    return false;
  }
  ReplicaState& state = it->second;
  const bool is_useful =
      std::any_of(state.checks.begin(), state.checks.end(),
                  [](const auto& entry) { return !entry.second.answered_at; });
  if (!is_useful || state.probe_in_progress ||
      (state.next_probe_at && now < *state.next_probe_at)) {
    return false;
  }
  if (pause > Duration(0)) {
    for (auto old = probed_pauses_.begin(); old != probed_pauses_.end();) {
      old = old->second <= now ? probed_pauses_.erase(old) : std::next(old);
    }
    const auto [probed, is_first] =
        probed_pauses_.emplace(replica_key, now + pause);
    if (!is_first) {
      state.next_probe_at = probed->second;
      return false;
    }
  }
  state.probe_in_progress = true;
  state.probe_sent_at = now;
  return true;
}

std::vector<SurvivalAnswer> SurvivalChecks::RecordProbeEnd(
    uint64_t replica_key,
    SurvivalProbeOutcome outcome,
    TimePoint connected_at,
    bool may_be_reached,
    TimePoint now) {
  const auto it = replicas_.find(replica_key);
  if (it == replicas_.end() || !it->second.probe_in_progress) {
    return {};
  }
  ReplicaState& state = it->second;
  state.probe_in_progress = false;
  state.next_probe_at.reset();
  const TimePoint sent_at = *state.probe_sent_at;
  if (outcome != SurvivalProbeOutcome::kRefused || !may_be_reached) {
    state.refusals = 0;
  } else if (++state.refusals >= kRefusalsOfGoneReplica) {
    outcome = SurvivalProbeOutcome::kOtherReplica;
  }
  if (outcome == SurvivalProbeOutcome::kRefused ||
      outcome == SurvivalProbeOutcome::kFailed) {
    state.next_probe_at = now + kProbePause * (1 << state.failed_probes);
    state.failed_probes = std::min(state.failed_probes + 1, kMaxPauseDoublings);
    EraseIfUnused(replica_key);
    return {};
  }
  state.failed_probes = state.refusals = 0;
  return EndChecks(replica_key,
                   [&](Check& check) -> std::optional<SurvivalVerdict> {
                     if (check.begun_at > sent_at) {
                       return std::nullopt;
                     }
                     if (outcome == SurvivalProbeOutcome::kOtherReplica) {
                       return SurvivalVerdict::kGone;
                     }
                     if (outcome == SurvivalProbeOutcome::kAnswered ||
                         IsProof(check, connected_at)) {
                       return SurvivalVerdict::kAlive;
                     }
                     check.answered_at = check.answered_at.value_or(now);
                     return std::nullopt;
                   });
}

std::vector<SurvivalAnswer> SurvivalChecks::RecordResponse(
    uint64_t replica_key,
    TimePoint connected_at,
    TimePoint sent_at) {
  return EndChecks(
      replica_key, [&](Check& check) -> std::optional<SurvivalVerdict> {
        // A request that was sent at the moment at which a check began may have
        // been answered before it.
        if (check.begun_at < sent_at && IsProof(check, connected_at)) {
          return SurvivalVerdict::kAlive;
        }
        return std::nullopt;
      });
}

std::vector<SurvivalAnswer> SurvivalChecks::Expire(uint64_t replica_key,
                                                   TimePoint now) {
  return EndChecks(replica_key,
                   [&](Check& check) -> std::optional<SurvivalVerdict> {
                     if (now < EndOf(check)) {
                       return std::nullopt;
                     }
                     return check.answered_at ? SurvivalVerdict::kAlive
                                              : SurvivalVerdict::kUnknown;
                   });
}

std::optional<TimePoint> SurvivalChecks::NextStep(uint64_t replica_key) const {
  const auto it = replicas_.find(replica_key);
  if (it == replicas_.end() || it->second.checks.empty()) {
    return std::nullopt;
  }
  const ReplicaState& state = it->second;
  TimePoint next = TimePoint::max();
  bool awaits_probe = false;
  for (const auto& [number, check] : state.checks) {
    next = std::min(next, EndOf(check));
    awaits_probe = awaits_probe || !check.answered_at;
  }
  if (awaits_probe && !state.probe_in_progress) {
    next = std::min(next, state.next_probe_at.value_or(TimePoint()));
  }
  return next;
}

std::vector<SurvivalAnswer> SurvivalChecks::EndChecks(
    uint64_t replica_key,
    const std::function<std::optional<SurvivalVerdict>(Check&)>& decide) {
  std::vector<SurvivalAnswer> answers;
  const auto it = replicas_.find(replica_key);
  if (it == replicas_.end()) {
    return answers;
  }
  std::map<uint64_t, Check>& checks = it->second.checks;
  for (auto check = checks.begin(); check != checks.end();) {
    const std::optional<SurvivalVerdict> verdict = decide(check->second);
    if (verdict) {
      answers.push_back({check->first, *verdict});
      replica_of_check_.erase(check->first);
    }
    check = verdict ? checks.erase(check) : std::next(check);
  }
  EraseIfUnused(replica_key);
  return answers;
}

void SurvivalChecks::EraseIfUnused(uint64_t replica_key) {
  const auto it = replicas_.find(replica_key);
  if (it != replicas_.end() && it->second.checks.empty() &&
      !it->second.probe_in_progress) {
    replicas_.erase(it);
  }
}

std::string_view NameOf(SurvivalVerdict verdict) {
  switch (verdict) {
    case SurvivalVerdict::kAlive:
      return "alive";
    case SurvivalVerdict::kGone:
      return "gone";
    case SurvivalVerdict::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace endiveyard
