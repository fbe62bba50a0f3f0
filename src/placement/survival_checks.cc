#include "endiveyard/placement/survival_checks.h"

#include <algorithm>
#include <iterator>

namespace endiveyard {
namespace {

constexpr int kMaxPauseDoublings = 4;

}  // namespace

uint64_t SurvivalChecks::Begin(uint64_t replica_key, TimePoint now) {
  const uint64_t check = next_check_++;
  replicas_[replica_key].checks[check] = now;
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
  if (state.checks.empty() || state.probe_in_progress ||
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
  if (outcome == SurvivalProbeOutcome::kAnswered ||
      outcome == SurvivalProbeOutcome::kOtherReplica) {
    state.failed_probes = state.refusals = 0;
    return AnswerUntil(replica_key, sent_at,
                       outcome == SurvivalProbeOutcome::kAnswered
                           ? SurvivalVerdict::kAlive
                           : SurvivalVerdict::kGone);
  }
  state.next_probe_at = now + kProbePause * (1 << state.failed_probes);
  state.failed_probes = std::min(state.failed_probes + 1, kMaxPauseDoublings);
  EraseIfUnused(replica_key);
  return {};
}

std::vector<SurvivalAnswer> SurvivalChecks::RecordResponse(uint64_t replica_key,
                                                           TimePoint sent_at) {
  // A request that was sent at the moment at which a check began may have been
  // answered before it.
  constexpr Duration kResolution{1};
  return AnswerUntil(replica_key, sent_at - kResolution,
                     SurvivalVerdict::kAlive);
}

std::vector<SurvivalAnswer> SurvivalChecks::Expire(uint64_t replica_key,
                                                   TimePoint now) {
  return AnswerUntil(replica_key, now - time_limit_, SurvivalVerdict::kUnknown);
}

std::optional<TimePoint> SurvivalChecks::NextStep(uint64_t replica_key) const {
  const auto it = replicas_.find(replica_key);
  if (it == replicas_.end() || it->second.checks.empty()) {
    return std::nullopt;
  }
  const ReplicaState& state = it->second;
  // Numbers rise with time.
  TimePoint next = state.checks.begin()->second + time_limit_;
  if (!state.probe_in_progress) {
    next = std::min(next, state.next_probe_at.value_or(TimePoint()));
  }
  return next;
}

std::vector<SurvivalAnswer> SurvivalChecks::AnswerUntil(
    uint64_t replica_key,
    TimePoint until,
    SurvivalVerdict verdict) {
  std::vector<SurvivalAnswer> answers;
  const auto it = replicas_.find(replica_key);
  if (it == replicas_.end()) {
    return answers;
  }
  std::map<uint64_t, TimePoint>& checks = it->second.checks;
  while (!checks.empty() && checks.begin()->second <= until) {
    const uint64_t check = checks.begin()->first;
    answers.push_back({check, verdict});
    replica_of_check_.erase(check);
    checks.erase(checks.begin());
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
