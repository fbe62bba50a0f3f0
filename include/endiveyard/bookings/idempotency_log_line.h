#ifndef ENDIVEYARD_BOOKINGS_IDEMPOTENCY_LOG_LINE_H_
#define ENDIVEYARD_BOOKINGS_IDEMPOTENCY_LOG_LINE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace endiveyard {

// First 128 bits of the SHA-256 of house and idempotency key. The key itself is
// not stored.
struct IdempotencyKeyDigest {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const IdempotencyKeyDigest& a,
                         const IdempotencyKeyDigest& b) {
    return a.high == b.high && a.low == b.low;
  }
  friend bool operator<(const IdempotencyKeyDigest& a,
                        const IdempotencyKeyDigest& b) {
    return std::tie(a.high, a.low) < std::tie(b.high, b.low);
  }
  template <typename H>
  friend H AbslHashValue(H state, const IdempotencyKeyDigest& key) {
    return H::combine(std::move(state), key.high, key.low);
  }
};

IdempotencyKeyDigest MakeIdempotencyKeyDigest(std::string_view house,
                                              std::string_view idempotency_key);

// Number of shards, each with a log of its own. Each log gets at most one batch
// per 50 ms, so that the 760 records/s of the target size need at most
// 320 writes/s.
inline constexpr int kIdempotencyShards = 16;

int IdempotencyShardOf(const IdempotencyKeyDigest& key);
// Returns the name of the log of a shard, such as "bookings/07".
std::string IdempotencyLogName(int shard);

enum class IdempotencyLogLineKind {
  kIntent,  // the request may be sent once this line is in the log
  kResult,  // the request ran; contains the answer if it is small enough
  kNotRun,  // the request was not sent; a repeat may run
};

// One line of a log entry. A result or not-run line closes the intent of the
// same key, writer and intent number.
struct IdempotencyLogLine {
  IdempotencyLogLineKind kind = IdempotencyLogLineKind::kIntent;
  IdempotencyKeyDigest key;
  uint64_t intent = 0;       // number of the intent, counted by its writer
  uint64_t fingerprint = 0;  // kIntent: of the request
  bool stored = false;       // kResult: the fields below hold the answer
  int status = 0;
  std::string content_type;
  std::string body;
};

// Payload of one log entry.
struct IdempotencyBatch {
  int64_t wall_ms = 0;  // Unix time by the clock of the writer
  std::vector<IdempotencyLogLine> lines;
};

std::string FormatIdempotencyLogLine(const IdempotencyLogLine& line);
// Formats a batch of lines that FormatIdempotencyLogLine() returned. O(bytes).
std::string FormatIdempotencyBatch(int64_t wall_ms,
                                   const std::vector<std::string>& lines);
// Returns false if `payload` is malformed; the contents of `batch` are then
// unspecified.
bool ParseIdempotencyBatch(std::string_view payload, IdempotencyBatch* batch);

}  // namespace endiveyard

#endif  // ENDIVEYARD_BOOKINGS_IDEMPOTENCY_LOG_LINE_H_
