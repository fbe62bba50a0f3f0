#ifndef ENDIVEYARD_BOOKINGS_IDEMPOTENCY_SHARD_H_
#define ENDIVEYARD_BOOKINGS_IDEMPOTENCY_SHARD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/node_hash_map.h"
#include "endiveyard/base/time_point.h"
#include "endiveyard/bookings/idempotency_log_line.h"
#include "endiveyard/object_log/object_log.h"
#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

struct IdempotencyLimits {
  // Time after its intent for which a key is recognised.
  Duration retention = std::chrono::hours(24);
  // Minimum time between the starts of two batches of a shard.
  Duration batch_interval = std::chrono::milliseconds(50);
  // Applies to pending and to waiting intents separately.
  size_t max_queued_intents = 1000;
  // A larger body is not stored; repeats of its request get kUnknown.
  size_t max_stored_body_bytes = 64 * 1024;
  // Of formatted lines. A line that exceeds this limit by itself forms a batch
  // of its own. Percent-encoding takes up to three bytes for each byte of a
  // body; batches stay below the 1 MB that an object can hold.
  size_t max_batch_bytes = 500 * 1000;
};

// Entries are truncated only when they are older than the retention by this
// delay, so that instances whose clocks differ by less agree on which keys are
// still recognised.
inline constexpr Duration kIdempotencyTruncationDelay =
    2 * kLogTruncationMargin;

// Time of one step. `wall_ms` (Unix time) is written into the log; `now`, which
// is local to the process, is not.
struct IdempotencyStepTime {
  TimePoint now;
  int64_t wall_ms = 0;
};

enum class IdempotencyRecordState : uint8_t {
  kOpen,         // intent without an outcome; may have run
  kResult,       // ran; the answer is stored
  kRanNoAnswer,  // ran; the answer was too large to be stored
  kNotRun        // was not sent; a repeat may run
};

// What the log contains about one key.
struct IdempotencyRecord {
  uint64_t fingerprint = 0;
  uint64_t intent = 0;
  uint64_t entry = 0;  // number of the log entry of the intent
  int64_t wall_ms = 0;
  uint32_t writer = 0;  // index into IdempotencyShard::writers
  IdempotencyRecordState state = IdempotencyRecordState::kOpen;
  int16_t status = 0;  // kResult
  // kResult: content type, NUL, body. One string takes 32 bytes less for each
  // record than a structure of two strings.
  std::shared_ptr<const std::string> answer;
};

// An intent of this process that is not committed yet.
struct PendingIntent {
  uint64_t intent = 0;
  uint64_t fingerprint = 0;
  ExchangeId exchange = 0;
  TimePoint give_up_at;
  bool in_batch = false;   // in a batch that may already be written
  bool abandoned = false;  // refused; closed as not run if it gets committed
};

// An intent that waits until the shard has caught up with its log.
struct WaitingIntent {
  CommitIntent request;
  IdempotencyKeyDigest key;
};

// State of one shard at one instance. Plain data that only
// StepIdempotencyShard() changes.
struct IdempotencyShard {
  IdempotencyLimits limits;
  LogState log;
  bool started = false;
  bool caught_up = false;   // at least once since the start
  bool refreshing = false;  // a further catch-up is in progress
  absl::node_hash_map<IdempotencyKeyDigest, IdempotencyRecord> records;
  std::vector<std::string> writers;
  std::map<std::string, uint32_t> writer_index;
  // Entry number and key of each record, in ascending order; for expiry.
  std::deque<std::pair<uint64_t, IdempotencyKeyDigest>> records_by_entry;
  // Number and wall_ms of entries, in ascending order; for truncation.
  std::deque<std::pair<uint64_t, int64_t>> entry_times;

  std::map<IdempotencyKeyDigest, PendingIntent> pending_intents;
  std::vector<WaitingIntent> waiting_intents;
  // Lines for the next batches: results and not-run lines, then intents.
  std::deque<IdempotencyLogLine> queued_lines;
  // Committed intents of this process without an outcome; their requests may be
  // running. Key and intent number.
  std::map<IdempotencyKeyDigest, uint64_t> running_intents;
  // Intents of this process whose outcome is queued or in a batch.
  std::map<IdempotencyKeyDigest, uint64_t> closing_intents;
  uint64_t last_intent = 0;
  uint64_t last_batch = 0;
  std::vector<IdempotencyLogLine> batch_lines;  // of the batch being written
  TimePoint batch_started;
  bool has_batch_started = false;  // batch_started is set
};

// Answers an intent. The other actions are those of the log.
struct ResolveIntent {
  IntentResolved resolved;
};
using IdempotencyAction = std::variant<ResolveIntent,
                                       CreateLogEntry,
                                       ReadLogEntries,
                                       ReadLogTruncationPoint,
                                       ScheduleLogRetry>;

// Periodic event that enforces deadlines, expires records and starts batches.
struct IdempotencyTick {};
using IdempotencyEvent =
    std::variant<CommitIntent, RecordOutcome, IdempotencyTick, LogEvent>;

// `writer` must be unique for each process incarnation and contain no space.
IdempotencyShard MakeIdempotencyShard(int shard,
                                      const std::string& writer,
                                      const IdempotencyLimits& limits);

// Advances the shard by `event` and returns the actions to execute, in order. A
// CommitIntent gets exactly one ResolveIntent, at the latest at the first tick
// after `give_up_at`. kCommitted allows this process one dispatch of the
// request; after any other answer this process must not dispatch it. Amortised
// O(1) for each record.
std::vector<IdempotencyAction> StepIdempotencyShard(
    IdempotencyShard* shard,
    const IdempotencyEvent& event,
    IdempotencyStepTime time);

// Returns the number of the last log entry that may be truncated, 0 = none.
uint64_t LastTruncatableEntry(const IdempotencyShard& shard, int64_t wall_ms);

}  // namespace endiveyard

#endif  // ENDIVEYARD_BOOKINGS_IDEMPOTENCY_SHARD_H_
