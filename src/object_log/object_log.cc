#include "endiveyard/object_log/object_log.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr uint64_t kMaxBackoffDoublings = 7;

using Unconfirmed = LogState::Unconfirmed;
using Pending = LogState::Pending;

// Applies one event to the state and collects the resulting actions.
class Step {
 public:
  Step(LogState* state, TimePoint now) : state_(*state), now_(now) {}

  std::vector<LogAction> TakeActions() { return std::move(actions_); }

  void Handle(const LogStarted& /*event*/) {
    state_.truncation_check_needed = true;
    state_.read_needed = true;
    state_.read_whole_page = true;
    state_.catching_up = true;
    StartNextCall();
  }

  void Handle(const LogAppendRequested& event) {
    state_.batch = LogBatch{event.batch, event.payload};
    StartNextCall();
  }

  void Handle(const LogCatchUpRequested& /*event*/) {
    state_.read_needed = true;
    state_.read_whole_page = true;
    state_.catching_up = true;
    StartNextCall();
  }

  void Handle(const LogEntryCreateDone& event) {
    state_.pending = Pending::kNone;
    switch (event.result) {
      case LogEntryCreateResult::kCreated:
        if (IsEndStale()) {
          HoldUntilConfirmed(Unconfirmed::kCreate);
          break;
        }
        Commit(state_.call_started);
        break;
      case LogEntryCreateResult::kExists:
        // A second consecutive collision suggests that several entries follow,
        // so a whole page is read.
        state_.read_whole_page = state_.consecutive_collisions++ > 0;
        state_.read_needed = true;
        break;
      case LogEntryCreateResult::kUnknown:
        // A read finds the entry if the write took effect. If it did not, the
        // batch is written again under the same number, so that a delayed
        // first write collides with the second one.
        state_.possibly_written = state_.applied + 1;
        state_.read_needed = true;
        state_.read_whole_page = false;
        Retry(Duration(0));
        return;
      case LogEntryCreateResult::kNotWritten:
        Retry(event.retry_after);
        return;
      case LogEntryCreateResult::kInvalid:
        actions_.emplace_back(LogBatchRejected{state_.batch->id});
        state_.batch.reset();
        break;
    }
    StartNextCall();
  }

  void Handle(const LogEntriesRead& event) {
    state_.pending = Pending::kNone;
    if (!event.ok) {
      Retry(Duration(0));
      return;
    }
    for (const StoredLogEntry& it : event.items) {
      const uint64_t number = LogEntryNumber(it.key);
      if (number > state_.applied + 1) {
        // The entries in between were truncated.
        state_.truncation_check_needed = true;
        Retry(Duration(0));
        return;
      }
      if (number == state_.applied + 1) {
        break;
      }
    }
    if (IsEndStale()) {
      state_.unconfirmed_entries = event.items;
      HoldUntilConfirmed(Unconfirmed::kRead);
    } else {
      ApplyEntries(event.items, state_.call_started);
    }
    StartNextCall();
  }

  void Handle(const LogTruncationPointRead& event) {
    state_.pending = Pending::kNone;
    if (!event.ok) {
      Retry(Duration(0));
      return;
    }
    state_.truncation_check_needed = false;
    state_.consecutive_failures = 0;
    const Unconfirmed unconfirmed = state_.unconfirmed;
    state_.unconfirmed = Unconfirmed::kNone;
    const std::vector<StoredLogEntry> entries =
        std::move(state_.unconfirmed_entries);
    state_.unconfirmed_entries.clear();
    if (event.truncated_through > state_.applied) {
      if (state_.batch && (unconfirmed == Unconfirmed::kCreate ||
                           state_.possibly_written != 0)) {
        actions_.emplace_back(LogBatchLost{state_.batch->id});
        state_.batch.reset();
        state_.possibly_written = 0;
      }
      state_.pending = Pending::kRestore;
      actions_.emplace_back(LogSnapshotNeeded{event.truncated_through});
      return;
    }
    if (unconfirmed == Unconfirmed::kCreate) {
      Commit(state_.unconfirmed_call_started);
    } else if (unconfirmed == Unconfirmed::kRead) {
      ApplyEntries(entries, state_.unconfirmed_call_started);
    }
    StartNextCall();
  }

  void Handle(const LogRetryTimerFired& /*event*/) {
    if (state_.pending == Pending::kRetry) {
      state_.pending = Pending::kNone;
      StartNextCall();
    }
  }

  void Handle(const LogRestored& event) {
    state_.pending = Pending::kNone;
    state_.applied = event.applied;
    state_.end_verified_at.reset();
    state_.read_needed = true;
    state_.read_whole_page = true;
    state_.catching_up = true;
    StartNextCall();
  }

 private:
  // Returns whether the end of the log was verified so long ago that the next
  // number may have been used and truncated since.
  bool IsEndStale() const {
    return !state_.end_verified_at ||
           now_ - *state_.end_verified_at > kLogTruncationMargin;
  }

  // Holds back the result of the call that just ended until the truncation
  // point is read. Truncation advances the truncation point before it deletes
  // entries, so a point that does not exceed `applied` proves that no later
  // entry had been deleted when the call ran.
  void HoldUntilConfirmed(Unconfirmed call) {
    state_.unconfirmed = call;
    state_.unconfirmed_call_started = state_.call_started;
    state_.truncation_check_needed = true;
  }

  // Applies the entries that a read started at `call_started` returned.
  void ApplyEntries(const std::vector<StoredLogEntry>& entries,
                    TimePoint call_started) {
    state_.consecutive_failures = 0;
    const uint64_t before = state_.applied;
    for (const StoredLogEntry& it : entries) {
      const uint64_t number = LogEntryNumber(it.key);
      if (number != state_.applied + 1) {
        continue;
      }
      LogEntry entry;
      if (!ParseLogEntry(number, it.value, &entry)) {
        // A malformed entry still occupies its number, so an empty entry is
        // applied in its place.
        entry = LogEntry();
        entry.number = number;
      }
      Apply(std::move(entry));
    }
    const bool found = state_.applied > before;
    const bool page_ended = (state_.applied + 1) % kLogPageEntries == 0;
    if (found && (page_ended || !state_.read_whole_page)) {
      // More entries may follow. Without a catch-up, the next create detects
      // them.
      state_.read_whole_page = true;
      state_.read_needed = state_.catching_up;
      return;
    }
    state_.end_verified_at = call_started;
    state_.read_needed = false;
    state_.read_whole_page = false;
    if (state_.catching_up) {
      state_.catching_up = false;
      actions_.emplace_back(LogCaughtUp{state_.applied});
    }
  }

  // Schedules a retry after `retry_after` plus an exponential backoff.
  void Retry(Duration retry_after) {
    const uint64_t doublings =
        std::min(state_.consecutive_failures, kMaxBackoffDoublings);
    ++state_.consecutive_failures;
    const Duration bound = std::min<Duration>(
        kMaxLogRetryDelay, kInitialBackoff * (1ULL << doublings));
    // Full jitter, derived from log and writer so that runs are reproducible.
    const uint64_t jitter =
        CombineDigests(Digest64(state_.name, Digest64(state_.writer)),
                       state_.consecutive_failures);
    state_.pending = Pending::kRetry;
    actions_.emplace_back(ScheduleLogRetry{
        retry_after + Duration(jitter % static_cast<uint64_t>(bound.count()))});
  }

  void Apply(LogEntry entry) {
    state_.applied = entry.number;
    state_.possibly_written = 0;
    const bool own = state_.batch && entry.writer == state_.writer &&
                     entry.batch == state_.batch->id;
    const uint64_t number = entry.number;
    actions_.emplace_back(ApplyLogEntry{std::move(entry)});
    if (own) {
      actions_.emplace_back(LogBatchCommitted{state_.batch->id, number});
      state_.batch.reset();
      state_.consecutive_collisions = 0;
    }
  }

  // Applies the pending batch, which a call started at `call_started` has
  // created at the next number.
  void Commit(TimePoint call_started) {
    state_.consecutive_failures = 0;
    state_.end_verified_at = call_started;
    LogEntry entry;
    entry.number = state_.applied + 1;
    entry.writer = state_.writer;
    entry.batch = state_.batch->id;
    entry.payload = state_.batch->payload;
    Apply(std::move(entry));
  }

  // Starts the next call unless a result is pending.
  void StartNextCall() {
    if (state_.pending != Pending::kNone) {
      return;
    }
    if (state_.truncation_check_needed) {
      state_.pending = Pending::kTruncationPoint;
      state_.call_started = now_;
      actions_.emplace_back(
          ReadLogTruncationPoint{LogTruncationPointKey(state_.name)});
      return;
    }
    const uint64_t next = state_.applied + 1;
    if (state_.read_needed) {
      state_.pending = Pending::kRead;
      state_.call_started = now_;
      actions_.emplace_back(ReadLogEntries{
          state_.read_whole_page ? LogPagePrefix(state_.name, next)
                                 : LogEntryKey(state_.name, next)});
      return;
    }
    if (state_.batch) {
      LogEntry entry;
      entry.writer = state_.writer;
      entry.batch = state_.batch->id;
      entry.payload = state_.batch->payload;
      state_.pending = Pending::kCreate;
      state_.call_started = now_;
      actions_.emplace_back(CreateLogEntry{LogEntryKey(state_.name, next),
                                           FormatLogEntry(entry)});
    }
  }

  LogState& state_;
  TimePoint now_;
  std::vector<LogAction> actions_;
};

}  // namespace

LogState MakeLogState(std::string name, std::string writer) {
  LogState state;
  state.name = std::move(name);
  state.writer = std::move(writer);
  return state;
}

std::vector<LogAction> StepLog(LogState* state,
                               const LogEvent& event,
                               TimePoint now) {
  Step step(state, now);
  std::visit([&](const auto& it) { step.Handle(it); }, event);
  return step.TakeActions();
}

}  // namespace endiveyard
