#ifndef ENDIVEYARD_AUTHORITY_CACHED_OBJECT_H_
#define ENDIVEYARD_AUTHORITY_CACHED_OBJECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endiveyard/authority/object_call.h"
#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Longest wait before a failed call is retried.
inline constexpr Duration kMaxRetryWait = std::chrono::seconds(10);

// Local copy of one object, with at most one call in progress. Every value
// written must be unique to its write, so that reading the object shows whether
// a write whose result was lost took effect.
struct CachedObject {
  struct Write {
    uint64_t if_version = 0;
    std::string value;
    TimePoint sent_at;
  };

  std::string key;
  bool known = false;  // false: the object must be read before a write
  uint64_t version = 0;
  std::string value;
  TimePoint read_at;          // arrival of the last result that gave the value
  TimePoint first_seen;       // arrival of the first result with this version
  uint64_t pending_call = 0;  // id of the call in progress; 0: none
  bool pending_is_write = false;
  // Writes that may have taken effect or may still do so.
  std::vector<Write> unresolved;
  int failures = 0;  // consecutive failed calls
  TimePoint retry_at;
};

enum class ObjectUpdateKind {
  kNone,     // the result belongs to a different call
  kRead,     // the value was read and was not written by this copy
  kWritten,  // a write of this copy took effect: confirmed, or seen by a read
  kWriteConflict,  // the version had changed; read again
  kFailed,         // retry after `retry_at`
};

struct ObjectUpdate {
  ObjectUpdateKind kind = ObjectUpdateKind::kNone;
  TimePoint sent_at;  // kWritten only: when that write was sent
};

// True when a call may be started now.
bool CanStartCall(const CachedObject& object, TimePoint now);

// Starts a call. Precondition: CanStartCall(), and `known` for a write.
ObjectCall StartRead(uint64_t id, CachedObject* object);
ObjectCall StartWrite(uint64_t id,
                      std::string value,
                      TimePoint now,
                      CachedObject* object);

// Applies the result of the call in progress. After failures, retries back off
// exponentially with full jitter derived from `seed` and the key.
// O(unresolved writes).
ObjectUpdate ApplyObjectResult(const ObjectResult& result,
                               TimePoint now,
                               uint64_t seed,
                               CachedObject* object);

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTHORITY_CACHED_OBJECT_H_
