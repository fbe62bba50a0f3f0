#include "endiveyard/duties/duty_authority.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/duties/duty_calls.h"

namespace endiveyard {
namespace {

constexpr uint64_t kMaxFencing = (uint64_t{1} << kTokenEraShift) - 1;
// The registry counts eras from here, so that nothing was lost before.
constexpr int64_t kFirstEra = 1;
// Era of a record that cannot be parsed.
constexpr int64_t kNoEra = -1;

// Each call to the registry is charged for. Where the platform checks no
// tokens, a successor waits longer, and sees the end of a lease earlier.
constexpr Duration kPollInterval = std::chrono::seconds(1);
constexpr Duration kFastPollInterval = std::chrono::milliseconds(500);
// The record changes with its owner, whose lease shows that first.
constexpr Duration kShardReadInterval = std::chrono::seconds(5);
// A gap between two reads that hides a renewal, as in an outage.
constexpr Duration kMaxReadGap = std::chrono::milliseconds(2500);
// Later retries would let a lease expire that the registry would renew.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(500);
// An instance that has just started does not know the others, and would take
// itself for the first candidate.
constexpr Duration kJoiningTime = std::chrono::seconds(2);
// Before that it reads nothing, since most instances need not follow the
// holder.
constexpr Duration kFirstReadDelay = std::chrono::milliseconds(1500);
// Each further candidate leaves the duties to those before it for this time.
constexpr Duration kRankDelay = std::chrono::milliseconds(500);
// A holder that cannot reach the platform for this time leaves the duties to
// another instance, whose link may be better.
constexpr Duration kMaxFailingTime = std::chrono::seconds(4);
constexpr int kMinFailures = 3;
constexpr Duration kBlockedAfterFailures = std::chrono::seconds(15);
// In a new era the record is read within this time, and writes from the era
// before can still arrive for the longer one.
constexpr Duration kFirstReadTime = std::chrono::seconds(1);
constexpr Duration kLateWriteTime = std::chrono::seconds(10);
constexpr int64_t kMicrosPerMilli = 1000;
constexpr int64_t kMillisPerSecond = 1000;
constexpr uint64_t kMaxFencingStep = uint64_t{1} << 20;

LeaseOptions MakeLeaseOptions(const DutyOptions& options) {
  return {options.term, options.renew_interval, options.clock_drift_margin,
          kMaxReadGap};
}

Duration ObservationTime(const DutyOptions& options) {
  return options.term + options.clock_drift_margin;
}

std::string NextWriter(DutyState* state) {
  return absl::StrCat(state->options.process, ":", ++state->writes);
}

// The incarnation differs in each era: a record that a restore brought back
// does not name a present owner.
void ResetLease(DutyState* state) {
  state->lease = MakeLease(state->options.instance,
                           absl::StrCat(state->options.process, ".", state->era,
                                        ".", ++state->lease_serial),
                           state->options.seed);
  state->lease_written = false;
}

void LimitRetryDelay(TimePoint now, CachedObject* object) {
  object->retry_at = std::min(object->retry_at, now + kMaxRetryDelay);
}

bool IsExclusive(const DutyState& state, TimePoint now) {
  return now < state.exclusive_until;
}

// True if there has never been a holder. A registry that states no era (0) was
// never restored.
bool IsFresh(const DutyState& state) {
  return state.shard.version == 0 && state.era <= kFirstEra &&
         state.seen_fencing == 0;
}

// Holders of the era before are unknown to the record.
bool AwaitsFormerEra(const DutyState& state, TimePoint now) {
  if (state.record.era == state.era || IsFresh(state)) {
    return false;
  }
  const TimePoint since =
      std::max(state.era_noticed_at, state.shard.first_seen);
  // An owner whose record was overwritten or removed in its own era sees that
  // when it reads the record next.
  const bool is_overwritten =
      state.record.era == kNoEra ||
      (state.shard.version == 0 && state.seen_fencing > 0);
  return now - since <
         ObservationTime(state.options) +
             (is_overwritten ? kShardReadInterval + kMaxReadGap : Duration(0));
}

// Holders A, B, A must not act within the alternation time.
bool IsBlocked(const DutyState& state, TimePoint now) {
  const Duration wait = 2 * state.options.alternation_time;
  if (now < state.blocked_until ||
      (state.has_held && now - state.held_at < wait)) {
    return true;
  }
  if (IsFresh(state)) {
    return now - state.started_at < kJoiningTime;
  }
  return now - state.started_at < wait;
}

bool HasOtherOwner(const DutyState& state) {
  return !state.record.shard.owner.empty() &&
         state.record.shard.owner != state.options.instance;
}

bool HasSameOwner(const ShardRecord& a, const ShardRecord& b) {
  return std::tie(a.owner, a.incarnation, a.epoch) ==
         std::tie(b.owner, b.incarnation, b.epoch);
}

// True if no owner can act under the record any more.
bool IsFree(const DutyState& state, TimePoint now) {
  if (!HasOtherOwner(state)) {
    // A former process of this instance: the own lease waits for its end.
    return true;
  }
  const CachedObject& object = state.owner_lease.object;
  if (!object.known) {
    return false;
  }
  if (!state.owner_lease.valid) {  // missing, or malformed
    return now - object.first_seen >= ObservationTime(state.options);
  }
  // The record may have changed since it was read.
  return MayTakeShard(state.record.shard, state.owner_lease.record) &&
         state.shard.read_at >= object.first_seen;
}

// True if a late write from the era before may have replaced a record of this
// one: revisions are given out again. The record was not there when the era was
// noticed, or should have been replaced long ago.
bool MayHaveLostRecord(const DutyState& state, TimePoint now) {
  return state.shard.first_seen - state.era_noticed_at > kFirstReadTime ||
         now - state.era_noticed_at > kLateWriteTime;
}

// Time after which calls of former owners cannot arrive any more.
TimePoint QuietUntil(const DutyState& state,
                     const DutyRecord& next,
                     bool was_fresh,
                     TimePoint now) {
  if (state.options.checks_token) {
    return now;
  }
  const Duration delay = state.options.max_call_delay;
  if (IsExclusive(state, now)) {
    return std::max(state.quiet_until, state.doubt_until);
  }
  if (state.record.era != state.era && !was_fresh) {
    return std::max(state.era_noticed_at + state.options.term + delay,
                    state.doubt_until);
  }
  if (next.shard.former_owners.empty()) {
    return std::max(now, state.doubt_until);
  }
  // The leases of all former owners have ended by now.
  const bool is_seen = HasOtherOwner(state) &&
                       next.shard.former_owners.size() == 1 &&
                       state.owner_ended_by != TimePoint();
  return std::max((is_seen ? state.owner_ended_by : now) + delay,
                  state.doubt_until);
}

int64_t UnixMs(const DutyState& state, TimePoint now) {
  return state.era_unix_ms +
         std::chrono::duration_cast<Duration>(now - state.era_noticed_at)
                 .count() /
             kMicrosPerMilli;
}

uint64_t NumberByTime(int64_t unix_ms) {
  return static_cast<uint64_t>(
      std::max<int64_t>(0, unix_ms / kMillisPerSecond));
}

// Keeps the number of a token of this era in mind, for a record that loses it.
void RecordHeardToken(uint64_t token, TimePoint now, DutyState* state) {
  const uint64_t fencing = token & kMaxFencing;
  // A forged report must not use up the numbers.
  const uint64_t limit =
      std::max(state->seen_fencing, NumberByTime(UnixMs(*state, now))) +
      2 * kMaxFencingStep;
  if (static_cast<int64_t>(token >> kTokenEraShift) == state->era &&
      fencing <= limit) {
    state->seen_fencing = std::max(state->seen_fencing, fencing);
  }
}

DutyRecord TakenRecord(TimePoint now, DutyState* state) {
  DutyRecord next = state->record;
  next.shard = TakeShard(next.shard, state->lease, NextWriter(state));
  next.shard.fencing = std::max(
      {next.shard.fencing, state->seen_fencing + 1, state->next_fencing});
  const int64_t unix_ms = UnixMs(*state, now);
  if (state->record.era != state->era && !IsFresh(*state)) {
    // The record may have lost numbers of this era. Those by the time of day
    // are higher, since holders change less often than once in a second.
    next.shard.fencing = std::max(next.shard.fencing, NumberByTime(unix_ms));
  }
  if (IsExclusive(*state, now)) {
    next.shard.former_owners.clear();
  }
  if (state->record.era != state->era && !IsFresh(*state)) {
    const bool may_have_lost = MayHaveLostRecord(*state, now);
    if (state->former_record) {
      next.usage = state->former_record->usage;
      next.first_window =
          std::max(next.first_window, state->former_record->first_window);
    }
    if (!state->former_record || may_have_lost) {
      const int64_t window_ms =
          std::max<int64_t>(1, state->options.window.count() / kMicrosPerMilli);
      next.first_window = std::max(
          {next.first_window, state->seen_window + 1,
           (may_have_lost ? unix_ms : state->era_unix_ms) / window_ms});
    }
  }
  next.era = state->era;
  next.address = state->options.address;
  return next;
}

void StartShardWrite(const DutyRecord& next,
                     TimePoint now,
                     DutyState* state,
                     std::vector<ObjectCall>* calls) {
  calls->push_back(StartWrite(state->next_call++, FormatDutyRecord(next), now,
                              &state->shard));
}

void StartShardRead(DutyState* state, std::vector<ObjectCall>* calls) {
  calls->push_back(StartRead(state->next_call++, &state->shard));
}

void TickOwner(TimePoint now,
               DutyState* state,
               std::vector<ObjectCall>* calls) {
  if (DutyToken(*state, now)) {
    state->held_at = now;
    state->has_held = true;
  }
  if (state->failures >= kMinFailures &&
      now - state->failing_since >= kMaxFailingTime) {
    state->stepping_down = true;
  }
  TickLease(MakeLeaseOptions(state->options), now, &state->next_call,
            &state->lease, calls);
  if (!HoldsLease(state->lease, now) || !CanStartCall(state->shard, now)) {
    return;
  }
  if (!state->shard.known) {
    StartShardRead(state, calls);
    return;
  }
  DutyRecord next = state->record;
  bool is_changed = false;
  if (now >= state->quiet_until && !next.shard.former_owners.empty()) {
    next.shard.former_owners.clear();
    is_changed = !state->options.checks_token;
  }
  if (state->leaving || state->stepping_down) {
    if (!state->calls.empty() || now < state->doubt_until) {
      return;
    }
    next.shard = ReleaseShard(next.shard, NextWriter(state));
    StartShardWrite(next, now, state, calls);
    return;
  }
  if (next.shard.fencing <= state->refused_fencing) {
    next.shard.fencing = state->next_fencing;
    is_changed = true;
  }
  if (state->usage &&
      StandingOf(*state->usage, *state) == UsageStanding::kNew) {
    next.usage = state->usage;
    is_changed = true;
  }
  // A late write from the era before may have replaced the record.
  const bool is_new_era =
      state->era > kFirstEra && now - state->era_noticed_at < kLateWriteTime;
  if (!is_changed && now - state->shard.read_at >=
                         (is_new_era ? kPollInterval : kShardReadInterval)) {
    StartShardRead(state, calls);
    return;
  }
  if (is_changed) {
    next.shard.writer = NextWriter(state);
    StartShardWrite(next, now, state, calls);
  }
}

void WatchOwner(int rank,
                TimePoint now,
                DutyState* state,
                std::vector<ObjectCall>* calls) {
  ObservedLease& lease = state->owner_lease;
  const std::string key = LeaseKey(state->record.shard.owner);
  if (lease.object.key != key) {
    lease = {};
    lease.object.key = key;
    state->owner_ended_by = {};
  }
  if (!CanStartCall(lease.object, now)) {
    return;
  }
  const LeaseOptions options = MakeLeaseOptions(state->options);
  const Duration interval =
      state->options.checks_token ? kPollInterval : kFastPollInterval;
  const bool may_revoke = MayRevoke(options, lease, now - rank * kRankDelay) &&
                          lease.record.epoch <= state->record.shard.epoch &&
                          !AwaitsFormerEra(*state, now) &&
                          !IsBlocked(*state, now);
  if (may_revoke && now - lease.object.read_at < kMaxReadGap) {
    calls->push_back(
        StartWrite(state->next_call++,
                   FormatLease(RevokedLease(lease.record, NextWriter(state))),
                   now, &lease.object));
  } else if (!lease.object.known || now - lease.object.read_at >= interval) {
    calls->push_back(StartRead(state->next_call++, &lease.object));
  }
}

void Contend(TimePoint now, DutyState* state, std::vector<ObjectCall>* calls) {
  if (IsExclusive(*state, now) && state->lease.object.known &&
      !state->lease.held) {
    // The earlier lease is that of this process, so there is no other process
    // to wait for.
    state->lease.object.first_seen = std::min(
        state->lease.object.first_seen, now - ObservationTime(state->options));
  }
  TickLease(MakeLeaseOptions(state->options), now, &state->next_call,
            &state->lease, calls);
  if (HoldsLease(state->lease, now) && state->shard.known &&
      CanStartCall(state->shard, now)) {
    StartShardWrite(TakenRecord(now, state), now, state, calls);
  }
}

void TickCandidate(int rank,
                   TimePoint now,
                   DutyState* state,
                   std::vector<ObjectCall>* calls) {
  const bool has_stale_shard =
      state->owner_lease.valid &&
      state->owner_lease.object.first_seen > state->shard.read_at &&
      HasOtherOwner(*state) &&
      MayTakeShard(state->record.shard, state->owner_lease.record);
  if (CanStartCall(state->shard, now) &&
      (!state->shard.known || has_stale_shard ||
       now - state->shard.read_at >= kShardReadInterval)) {
    StartShardRead(state, calls);
  }
  if (!state->record_valid || !state->shard.known) {
    return;
  }
  if (!state->lease.object.known && CanStartCall(state->lease.object, now)) {
    // Read ahead: the lease of a former process has to be seen for its term.
    calls->push_back(StartRead(state->next_call++, &state->lease.object));
  }
  const bool is_exclusive = IsExclusive(*state, now);
  if (HasOtherOwner(*state) && !is_exclusive) {
    WatchOwner(rank, now, state, calls);
  }
  if (!is_exclusive && (!IsFree(*state, now) || AwaitsFormerEra(*state, now) ||
                        IsBlocked(*state, now))) {
    state->free_since.reset();
    return;
  }
  if (!state->free_since) {
    state->free_since = now;
  }
  if (is_exclusive || now - *state->free_since >= rank * kRankDelay) {
    Contend(now, state, calls);
  }
}

// Revokes the own lease, which others read, after a release.
void TickRevocation(TimePoint now,
                    DutyState* state,
                    std::vector<ObjectCall>* calls) {
  if (!HoldsLease(state->lease, now)) {
    state->revokes_lease = false;
  } else if (state->lease.object.known &&
             CanStartCall(state->lease.object, now)) {
    calls->push_back(StartWrite(
        state->next_call++,
        FormatLease(RevokedLease(state->lease.record, NextWriter(state))), now,
        &state->lease.object));
  }
}

void ReportOwnership(TimePoint now,
                     DutyState* state,
                     std::vector<DutyEvent>* events) {
  const bool is_owner = OwnsDuties(*state);
  if (is_owner == state->was_owner) {
    return;
  }
  state->was_owner = is_owner;
  DutyEvent event;
  event.kind = is_owner ? DutyEventKind::kStarted : DutyEventKind::kEnded;
  event.token = OwnedToken(*state, now).value_or(0);
  event.holder = state->record.shard.owner;
  event.wait =
      std::max(Duration(0),
               std::chrono::duration_cast<Duration>(state->quiet_until - now));
  events->push_back(std::move(event));
}

void ApplyShardResult(const ObjectResult& result,
                      TimePoint now,
                      DutyState* state,
                      std::vector<DutyEvent>* events) {
  const bool was_fresh = IsFresh(*state);
  const ObjectUpdate update =
      ApplyObjectResult(result, now, state->options.seed, &state->shard);
  switch (update.kind) {
    case ObjectUpdateKind::kNone:
      return;
    case ObjectUpdateKind::kFailed:
      LimitRetryDelay(now, &state->shard);
      return;
    case ObjectUpdateKind::kWriteConflict:
      state->in_conflict = true;
      return;
    case ObjectUpdateKind::kRead:
    case ObjectUpdateKind::kWritten:
      break;
  }
  DutyRecord record;
  if (state->shard.version != 0 &&
      !ParseDutyRecord(state->shard.value, &record)) {
    record = {};
    record.era = kNoEra;
    if (state->record.era != kNoEra) {
      events->push_back({DutyEventKind::kMalformed, 0, "", {}});
    }
  }
  const bool owned = OwnsDuties(*state);
  const TimePoint quiet_until = QuietUntil(*state, record, was_fresh, now);
  const uint64_t fencing = state->record.shard.fencing;
  if (!HasSameOwner(state->record.shard, record.shard)) {
    // What was read of the lease may be older than this ownership.
    state->owner_lease = {};
  }
  state->record_valid = true;
  state->in_conflict = false;
  state->record = std::move(record);
  if (state->record.era == state->era) {
    state->seen_fencing =
        std::max(state->seen_fencing, state->record.shard.fencing);
    if (state->record.usage) {
      state->seen_window =
          std::max(state->seen_window, state->record.usage->window);
    }
  }
  if (OwnsDuties(*state)) {
    if (!owned) {
      state->quiet_until = quiet_until;
      state->exclusive_until = {};
      state->former_record.reset();
      state->failures = 0;
      state->stepping_down = false;
    } else if (!state->options.checks_token &&
               state->record.shard.fencing != fencing) {
      state->quiet_until = std::max(state->quiet_until, state->doubt_until);
    }
  } else if (owned && state->record.shard.owner.empty()) {
    state->revokes_lease = true;
    if (state->stepping_down) {
      state->blocked_until = now + kBlockedAfterFailures;
      state->stepping_down = false;
    }
  }
}

}  // namespace

DutyState MakeDutyState(DutyOptions options, TimePoint now) {
  DutyState state;
  state.options = std::move(options);
  state.started_at = now;
  state.shard.key = kDutyShardKey;
  ResetLease(&state);
  return state;
}

bool OwnsDuties(const DutyState& state) {
  return state.record_valid && state.record.era == state.era &&
         OwnsShard(state.record.shard, state.lease) &&
         !state.lease.record.revoked;
}

std::optional<uint64_t> OwnedToken(const DutyState& state, TimePoint now) {
  if (!OwnsDuties(state) || !HoldsLease(state.lease, now) ||
      state.record.shard.fencing > kMaxFencing) {
    return std::nullopt;
  }
  return (static_cast<uint64_t>(state.era) << kTokenEraShift) +
         state.record.shard.fencing;
}

std::optional<uint64_t> DutyToken(const DutyState& state, TimePoint now) {
  const auto token = OwnedToken(state, now);
  if (!token || state.in_conflict || state.stepping_down || state.leaving ||
      now + state.options.call_timeout >= state.lease.expires ||
      now < state.quiet_until ||
      state.record.shard.fencing <= state.refused_fencing) {
    return std::nullopt;
  }
  if (!state.options.checks_token &&
      std::any_of(state.calls.begin(), state.calls.end(),
                  [&](uint64_t it) { return it < *token; })) {
    return std::nullopt;
  }
  return token;
}

void ApplyDutyEra(int64_t era,
                  int64_t unix_ms,
                  TimePoint now,
                  DutyState* state) {
  if (era <= state->era) {
    return;
  }
  if (OwnsDuties(*state) && HoldsLease(state->lease, now)) {
    state->exclusive_until = state->lease.expires;
    state->former_record = state->record;
  } else if (!IsExclusive(*state, now)) {
    state->former_record.reset();
  }
  state->era = era;
  state->era_noticed_at = now;
  state->era_unix_ms = unix_ms;
  state->seen_fencing = 0;
  state->seen_window = 0;
  state->refused_fencing = 0;
  state->next_fencing = 1;
  state->fencing_step = 1;
  state->revokes_lease = false;
  ResetLease(state);
  state->shard = {};
  state->shard.key = kDutyShardKey;
  state->record_valid = false;
  state->in_conflict = false;
  state->owner_lease = {};
  state->owner_ended_by = {};
  state->free_since.reset();
}

void TickDuty(const DutyInputs& inputs,
              TimePoint now,
              DutyState* state,
              std::vector<ObjectCall>* calls,
              std::vector<DutyEvent>* events) {
  if (state->has_left) {
    return;
  }
  state->leaving |= inputs.leaving;
  RecordHeardToken(inputs.heard_token, now, state);
  const bool is_owner = OwnsDuties(*state);
  if (state->revokes_lease) {
    TickRevocation(now, state, calls);
  } else if (state->leaving && (!is_owner || !HoldsLease(state->lease, now))) {
    state->has_left = true;
  } else if (is_owner) {
    TickOwner(now, state, calls);
  } else if ((inputs.rank && now - state->started_at >= kFirstReadDelay) ||
             IsExclusive(*state, now)) {
    TickCandidate(inputs.rank.value_or(0), now, state, calls);
  }
  ReportOwnership(now, state, events);
}

void ApplyDutyResult(ObjectResult result,
                     int64_t era,
                     int64_t unix_ms,
                     TimePoint now,
                     DutyState* state,
                     std::vector<DutyEvent>* events) {
  ApplyDutyEra(era, unix_ms, now, state);
  if (era != 0 && era < state->era) {
    result.outcome = ObjectOutcome::kUnknown;  // from before the restore
  }
  const LeaseOptions options = MakeLeaseOptions(state->options);
  const bool is_lease =
      state->lease.object.pending_call == result.id && result.id != 0;
  ApplyLeaseResult(options, result, now, &state->lease);
  if (is_lease) {
    LimitRetryDelay(now, &state->lease.object);
    state->lease_written |= state->lease.held;
    if (state->lease.object.known && state->lease.object.version == 0 &&
        state->lease_written) {
      // Somebody has deleted it. A new one must not own the shard of the old.
      ResetLease(state);
    }
    if (state->lease.record.revoked) {
      state->revokes_lease = false;
    }
  }
  ObservedLease& owner = state->owner_lease;
  const bool was_revoked = owner.valid && owner.record.revoked;
  const bool had_lease = owner.valid && !owner.record.revoked;
  const TimePoint first_seen = owner.object.first_seen;
  const TimePoint read_at = owner.object.read_at;
  const ObjectUpdateKind kind = ApplyObservedLeaseResult(
      options, result, now, state->options.seed, &owner);
  if (kind == ObjectUpdateKind::kFailed) {
    LimitRetryDelay(now, &owner.object);
  } else if (kind == ObjectUpdateKind::kWritten && owner.valid &&
             owner.record.revoked && !was_revoked) {
    // The write was conditional on the last renewal that was seen.
    state->owner_ended_by = first_seen + state->options.term;
    events->push_back({DutyEventKind::kRevoked, 0, owner.record.instance, {}});
  } else if (kind == ObjectUpdateKind::kRead && owner.valid) {
    const bool has_ended = MayTakeShard(state->record.shard, owner.record);
    if (!has_ended) {
      state->owner_ended_by = {};
    } else if (state->owner_ended_by == TimePoint()) {
      // Others revoke it only after they have seen it unchanged for the
      // observation time, so that it was not renewed between two reads.
      state->owner_ended_by =
          had_lease && now - read_at < ObservationTime(state->options)
              ? first_seen + state->options.term
              : now;
    }
  }
  ApplyShardResult(result, now, state, events);
  ReportOwnership(now, state, events);
}

void RecordDutyCall(uint64_t token, TimePoint now, DutyState* state) {
  state->calls.push_back(token);
  state->held_at = now;
  state->has_held = true;
}

void RecordDutyCallEnd(uint64_t token,
                       TimePoint sent_at,
                       DutyCallEnd end,
                       TimePoint now,
                       DutyState* state) {
  const auto it = std::find(state->calls.begin(), state->calls.end(), token);
  if (it != state->calls.end()) {
    state->calls.erase(it);
  }
  if (end == DutyCallEnd::kNoAnswer) {
    state->doubt_until =
        std::max(state->doubt_until, sent_at + state->options.max_call_delay);
    if (!state->options.checks_token &&
        token != OwnedToken(*state, now).value_or(token)) {
      // A later token must not reach the platform before this one.
      state->quiet_until = std::max(state->quiet_until, state->doubt_until);
    }
  }
  if (end == DutyCallEnd::kNoAnswer || end == DutyCallEnd::kNotSent) {
    if (state->failures++ == 0) {
      state->failing_since = now;
    }
    return;
  }
  state->failures = 0;
  state->stepping_down = false;
  const uint64_t fencing = token & kMaxFencing;
  if ((end != DutyCallEnd::kConflict && end != DutyCallEnd::kSpotConflict) ||
      static_cast<int64_t>(token >> kTokenEraShift) != state->era ||
      fencing <= state->refused_fencing) {
    return;
  }
  // The number that was seen is not known, so that larger steps reach it soon.
  // A lack of spot replicas is frequent, and steps would use up the numbers.
  state->refused_fencing = fencing;
  if (end == DutyCallEnd::kConflict) {
    state->fencing_step = std::min(2 * state->fencing_step, kMaxFencingStep);
    state->next_fencing = fencing + state->fencing_step;
  } else {
    state->next_fencing = std::max(state->next_fencing, fencing + 1);
  }
}

UsageStanding StandingOf(const UsageReport& report, const DutyState& state) {
  if (state.record.usage && *state.record.usage == report) {
    return UsageStanding::kRecorded;
  }
  if (report.window < state.record.first_window ||
      (state.record.usage && report.window <= state.record.usage->window)) {
    return UsageStanding::kRefused;
  }
  return UsageStanding::kNew;
}

}  // namespace endiveyard
