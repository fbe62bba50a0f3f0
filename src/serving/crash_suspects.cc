#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/serving/serving_log_events.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

// How long crash fingerprints and suspect records are kept.
constexpr Duration kCrashRecordLifetime = std::chrono::minutes(10);
constexpr Duration kSweepInterval = std::chrono::seconds(5);
// Limits the memory and the time of a sweep. Far more than the number of
// crashing requests within kCrashRecordLifetime.
constexpr size_t kMaxCrashRecords = 10000;

// Clears the suspects whose lost targets were all lost by `crashing_request`,
// too. Their losses still count towards the limit, because the wrong request
// may have been identified.
void ClearExplainedSuspects(const StepContext& ctx,
                            const Exchange& crashing_request) {
  const std::vector<std::string>& explained = crashing_request.targets_lost;
  std::vector<ExchangeId> cleared;
  for (const ExchangeId id : ctx.state->suspects) {
    Exchange* exchange = ctx.state->exchanges.at(id).get();
    const std::vector<std::string>& lost = exchange->targets_lost;
    const bool all = std::all_of(lost.begin(), lost.end(), [&](const auto& it) {
      return std::find(explained.begin(), explained.end(), it) !=
             explained.end();
    });
    if (all && id != crashing_request.id) {
      exchange->suspect = false;
      cleared.push_back(id);
    }
  }
  for (const ExchangeId id : cleared) {
    ctx.state->suspects.erase(id);
  }
}

// Ends running requests that are identical to one identified as crashing
// targets.
void FailRunningDuplicates(const StepContext& ctx, uint64_t fingerprint) {
  std::vector<ExchangeId> duplicates;
  for (const auto& [id, exchange] : ctx.state->exchanges) {
    if (exchange->fingerprint == fingerprint && exchange->idempotent &&
        exchange->state == ExchangeState::kRunning) {
      duplicates.push_back(id);
    }
  }
  // The map is unordered; sorting keeps the actions deterministic.
  std::sort(duplicates.begin(), duplicates.end());
  for (const ExchangeId id : duplicates) {
    Exchange* exchange = ctx.state->exchanges.at(id).get();
    ctx.Emit(CancelAttempt{id, exchange->attempt.number,
                           exchange->attempt.target,
                           exchange->attempt.address});
    ReleaseTarget(ctx, exchange, Duration(-1));
    FailExchange(ctx, exchange, ErrorKind::kCrashesTargets,
                 "an identical request was identified as crashing targets");
  }
}

void AddCrashFingerprint(const StepContext& ctx,
                         uint64_t fingerprint,
                         TimePoint expires) {
  auto& known = ctx.state->crash_fingerprints;
  if (known.size() < kMaxCrashRecords || known.count(fingerprint) > 0) {
    TimePoint& at = known[fingerprint];
    at = std::max(at, expires);
  }
  ctx.state->suspect_records.erase(fingerprint);
}

}  // namespace

bool IsKnownToCrash(const StepContext& ctx, uint64_t fingerprint) {
  const auto& known = ctx.state->crash_fingerprints;
  if (known.empty()) {
    return false;
  }
  const auto it = known.find(fingerprint);
  return it != known.end() && it->second > ctx.now;
}

void RestoreSuspectRecord(const StepContext& ctx, Exchange* exchange) {
  const auto& remembered = ctx.state->suspect_records;
  const auto it = remembered.find(exchange->fingerprint);
  if (it != remembered.end() && it->second.expires > ctx.now) {
    exchange->targets_lost = it->second.targets_lost;
    exchange->suspect = true;
    ctx.state->suspects.insert(exchange->id);
  }
}

bool HandleTargetLoss(const StepContext& ctx,
                      Exchange* exchange,
                      const std::string& target,
                      bool was_suspect) {
  ServingState& state = *ctx.state;
  ++state.counters.targets_lost;
  ctx.Log(kLogTargetLost,
          absl::StrCat(target, " lost while it ran x", exchange->id));
  exchange->targets_lost.push_back(target);
  exchange->suspect = true;
  state.suspects.insert(exchange->id);
  const auto max_lost = static_cast<size_t>(
      std::max(1, state.policy->max_targets_lost_per_request));
  if (exchange->targets_lost.size() < max_lost) {
    return false;
  }
  const bool caller_connected = exchange->state == ExchangeState::kRunning;
  if (!was_suspect) {
    // It did not run as an isolated suspect, so another request may have
    // crashed the target. It is ended without being identified as crashing
    // targets.
    if (!exchange->idempotent) {
      return false;
    }
    FailExchange(
        ctx, exchange, ErrorKind::kTargetFailed,
        "the limit of targets lost while running one request was reached");
    return true;
  }
  ++state.counters.crashing_requests;
  const uint64_t fingerprint = exchange->fingerprint;
  ctx.Log(kLogCrashingRequestFound,
          absl::StrCat("x", exchange->id, " request ", exchange->request_id,
                       " lost ", exchange->targets_lost.size(), " targets"));
  ClearExplainedSuspects(ctx, *exchange);
  AddCrashFingerprint(ctx, fingerprint, ctx.now + kCrashRecordLifetime);
  ctx.Emit(AnnounceToPeers{"", fingerprint});
  exchange->suspect = false;
  if (caller_connected) {
    FailExchange(ctx, exchange, ErrorKind::kCrashesTargets, "");
  } else {
    EraseExchange(ctx, exchange);
  }
  FailRunningDuplicates(ctx, fingerprint);
  return true;
}

void ClearSuspect(const StepContext& ctx, Exchange* exchange) {
  if (exchange->suspect) {
    exchange->suspect = false;
    ctx.state->suspect_records.erase(exchange->fingerprint);
  }
}

void SaveSuspectRecord(const StepContext& ctx, const Exchange& exchange) {
  auto& remembered = ctx.state->suspect_records;
  if (!exchange.suspect || remembered.size() >= kMaxCrashRecords) {
    return;
  }
  SuspectRecord& it = remembered[exchange.fingerprint];
  if (exchange.targets_lost.size() >= it.targets_lost.size()) {
    it.targets_lost = exchange.targets_lost;
  }
  it.expires = ctx.now + kCrashRecordLifetime;
}

void OnCrashFingerprintReceived(const StepContext& ctx,
                                const CrashFingerprintReceived& event) {
  if (event.expires <= ctx.now) {
    return;
  }
  AddCrashFingerprint(ctx, event.fingerprint, event.expires);
  FailRunningDuplicates(ctx, event.fingerprint);
}

void EvictExpiredCrashRecords(const StepContext& ctx) {
  ServingState& state = *ctx.state;
  if (ctx.now < state.next_sweep) {
    return;
  }
  state.next_sweep = ctx.now + kSweepInterval;
  for (auto it = state.crash_fingerprints.begin();
       it != state.crash_fingerprints.end();) {
    it = it->second <= ctx.now ? state.crash_fingerprints.erase(it)
                               : std::next(it);
  }
  for (auto it = state.suspect_records.begin();
       it != state.suspect_records.end();) {
    it = it->second.expires <= ctx.now ? state.suspect_records.erase(it)
                                       : std::next(it);
  }
}

}  // namespace endiveyard
