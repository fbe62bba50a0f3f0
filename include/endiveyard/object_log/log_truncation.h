#ifndef ENDIVEYARD_OBJECT_LOG_LOG_TRUNCATION_H_
#define ENDIVEYARD_OBJECT_LOG_LOG_TRUNCATION_H_

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <variant>

#include "endiveyard/object_log/log_entry.h"

namespace endiveyard {

// Maximum number of entries that one truncation run deletes.
inline constexpr uint64_t kMaxDeletesPerTruncation = kLogPageEntries;

// Actions that the caller executes. The result of each is passed to
// StepTruncation() as the matching event. The truncation object is the one that
// stores the truncation point of the log; see LogTruncationPointKey().
struct ReadTruncationObject {
  std::string key;
};
struct WriteTruncationObject {  // conditional write
  std::string key;
  std::string value;
  uint64_t if_version = 0;
};
struct ListLogEntries {
  std::string prefix;
};
struct DeleteLogEntry {  // conditional delete
  std::string key;
  uint64_t version = 0;
};
// The run has ended. After a failure, the next run continues where this one
// stopped.
struct TruncationEnded {
  bool ok = false;
};
using TruncationAction = std::variant<ReadTruncationObject,
                                      WriteTruncationObject,
                                      ListLogEntries,
                                      DeleteLogEntry,
                                      TruncationEnded>;

// Events.
struct TruncationStarted {};
struct TruncationObjectRead {
  bool ok = false;
  uint64_t version = 0;  // 0: the object does not exist
  std::string value;
};
struct TruncationObjectWritten {
  bool ok = false;
  uint64_t version = 0;
};
struct LogEntriesListed {
  bool ok = false;
  // Key and version of each entry, ordered by key.
  std::deque<std::pair<std::string, uint64_t>> versions;
};
struct LogEntryDeleted {
  bool ok = false;
};
using TruncationEvent = std::variant<TruncationStarted,
                                     TruncationObjectRead,
                                     TruncationObjectWritten,
                                     LogEntriesListed,
                                     LogEntryDeleted>;

// State of one run that truncates `log` up to entry `through`. A run advances
// the truncation point, deletes the entries of one page in ascending order, and
// then records them as deleted. Several instances may truncate the same log
// concurrently. The caller ensures that the truncated entries are older than
// twice kLogTruncationMargin.
struct TruncationState {
  std::string log;
  uint64_t through = 0;
  uint64_t version = 0;  // of the truncation object
  LogTruncationPoint point;
  bool page_pending = false;  // a page may still have to be deleted
  // Key and version of the entries of the page that are left to delete.
  std::deque<std::pair<std::string, uint64_t>> entries_to_delete;
};

// Advances the run by `event` and returns the next action.
TruncationAction StepTruncation(TruncationState* state,
                                const TruncationEvent& event);

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_LOG_LOG_TRUNCATION_H_
