#ifndef ENDIVEYARD_OBJECT_LOG_OBJECT_LOG_H_
#define ENDIVEYARD_OBJECT_LOG_OBJECT_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/object_log/log_entry.h"

namespace endiveyard {

// Entries younger than twice this margin must not be truncated. For this long
// after the end of the log was verified, the next number cannot have been used
// and truncated, so an entry created at it is committed. Later, the number may
// have been used, truncated and freed again while the process was paused.
// The truncation point is then read after the call, before its result is
// accepted.
inline constexpr Duration kLogTruncationMargin = std::chrono::hours(1);

// Maximum backoff before a failed call is retried. The retry-after delay that
// the object API asks for is added to it.
inline constexpr Duration kMaxLogRetryDelay = std::chrono::seconds(10);

// Actions that the caller executes in order. At most one of the first three,
// the calls, is in flight at a time; its result is passed to StepLog().
struct CreateLogEntry {  // conditional write; the key must not exist
  std::string key;
  std::string value;
};
struct ReadLogEntries {  // list by prefix
  std::string prefix;
};
struct ReadLogTruncationPoint {
  std::string key;
};
struct ScheduleLogRetry {  // pass LogRetryTimerFired to StepLog() after `delay`
  Duration delay{0};
};
struct ApplyLogEntry {  // in ascending order, each entry once
  LogEntry entry;
};
struct LogBatchCommitted {  // follows the ApplyLogEntry of the batch
  uint64_t batch = 0;
  uint64_t number = 0;  // of its entry
};
struct LogBatchRejected {  // never written; the API rejected it as invalid
  uint64_t batch = 0;
};
// The batch may have been committed and truncated since, so it is not written
// again. Occurs only after a pause as long as the retention of the log.
struct LogBatchLost {
  uint64_t batch = 0;
};
// All entries up to the end of the log are applied. Returned once for each
// catch-up.
struct LogCaughtUp {
  uint64_t applied = 0;
};
// Entries that follow the applied ones were truncated. The caller loads a
// snapshot of entry `truncated_through` or a later one and passes LogRestored.
struct LogSnapshotNeeded {
  uint64_t truncated_through = 0;
};
using LogAction = std::variant<CreateLogEntry,
                               ReadLogEntries,
                               ReadLogTruncationPoint,
                               ScheduleLogRetry,
                               ApplyLogEntry,
                               LogBatchCommitted,
                               LogBatchRejected,
                               LogBatchLost,
                               LogCaughtUp,
                               LogSnapshotNeeded>;

// Events.
struct LogStarted {};
// Precondition: no batch is pending.
struct LogAppendRequested {
  uint64_t batch = 0;  // id, unique for this writer
  std::string payload;
};
struct LogCatchUpRequested {};
enum class LogEntryCreateResult {
  kCreated,
  kExists,      // another entry has the number
  kNotWritten,  // failed without effect
  kUnknown,     // may have taken effect, or may still do so
  kInvalid      // the API rejected the value
};
struct LogEntryCreateDone {
  LogEntryCreateResult result = LogEntryCreateResult::kUnknown;
  Duration retry_after{0};  // minimum delay; set if rate limited
};
struct StoredLogEntry {
  std::string key;
  std::string value;
};
struct LogEntriesRead {
  bool ok = false;
  std::vector<StoredLogEntry> items;  // ordered by key
};
struct LogTruncationPointRead {
  bool ok = false;
  uint64_t truncated_through = 0;  // 0: never truncated
};
struct LogRetryTimerFired {};
struct LogRestored {
  uint64_t applied = 0;  // last entry that the snapshot contains
};
using LogEvent = std::variant<LogStarted,
                              LogAppendRequested,
                              LogCatchUpRequested,
                              LogEntryCreateDone,
                              LogEntriesRead,
                              LogTruncationPointRead,
                              LogRetryTimerFired,
                              LogRestored>;

struct LogBatch {
  uint64_t id = 0;
  std::string payload;
};

// State of one writer of one log. Plain data that only StepLog() changes.
struct LogState {
  std::string name;
  std::string writer;             // unique for each process incarnation
  uint64_t applied = 0;           // number of the last applied entry
  std::optional<LogBatch> batch;  // not committed yet

  // The call, timer or snapshot whose result comes next.
  enum class Pending {
    kNone,
    kCreate,
    kRead,
    kTruncationPoint,
    kRetry,
    kRestore
  };
  Pending pending = Pending::kNone;
  // The call whose result is held back until the truncation point is read.
  enum class Unconfirmed { kNone, kCreate, kRead };
  Unconfirmed unconfirmed = Unconfirmed::kNone;
  std::vector<StoredLogEntry> unconfirmed_entries;  // of a read
  TimePoint unconfirmed_call_started;

  bool truncation_check_needed = false;  // before any other call
  bool read_needed = false;              // before the next create
  bool read_whole_page = false;          // instead of a single entry
  bool catching_up = false;
  // Number under which the batch may have been written; 0 = none.
  uint64_t possibly_written = 0;
  // Latest time at which `applied` is known to have been the end of the log.
  std::optional<TimePoint> end_verified_at;
  TimePoint call_started;             // of the call in flight
  uint64_t consecutive_failures = 0;  // determines the retry backoff
  uint64_t consecutive_collisions = 0;
};

LogState MakeLogState(std::string name, std::string writer);

// Advances the state by `event` and returns the actions to execute.
// O(entries in the event).
std::vector<LogAction> StepLog(LogState* state,
                               const LogEvent& event,
                               TimePoint now);

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_LOG_OBJECT_LOG_H_
