#ifndef ENDIVEYARD_OBJECT_API_OBJECT_API_H_
#define ENDIVEYARD_OBJECT_API_OBJECT_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "endiveyard/base/target.h"
#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Largest value of one object, in bytes.
inline constexpr size_t kMaxObjectBytes = 1000000;

// Default timeout of one call. A healthy API responds within milliseconds.
inline constexpr Duration kObjectCallTimeout = std::chrono::seconds(2);

struct StoredObject {
  std::string key;
  uint64_t version = 0;  // increases with every write; never reused for a key
  std::string value;
};

struct ObjectList {
  uint64_t revision = 0;            // pass to Watch() as `since`
  std::vector<StoredObject> items;  // ordered by key
};

enum class ObjectEventKind { kPut, kDelete };

struct ObjectEvent {
  ObjectEventKind kind = ObjectEventKind::kPut;
  uint64_t revision = 0;
  StoredObject object;  // kDelete: the value is empty
};

struct WatchResult {
  uint64_t revision = 0;  // pass as `since` of the next call
  std::vector<ObjectEvent> events;
  bool gap = false;  // changes were missed (history truncated): list again
};

enum class WriteOutcome {
  kApplied,
  kConflict,        // nothing was written; `version` is the current version
  kUnavailable,     // nothing was written by this call
  kRateLimited,     // nothing was written by this call
  kRejected,        // the call is invalid; nothing was written
  kOutcomeUnknown,  // the write may have taken effect or may still do so
};

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kUnavailable;
  uint64_t version = 0;     // kApplied: new; kConflict: current, 0 = absent
  Duration retry_after{0};  // kRateLimited only
  std::string detail;
};

// An endiveyard instance as listed by the platform.
struct ListedInstance {
  std::string id;
  std::string address;  // "host:port"
  std::string region;
  std::string failure_domain;
  ListedState state = ListedState::kLive;
};

// The platform's list of targets and instances. It may be out of date.
struct InstanceList {
  std::vector<TargetInfo> targets;
  std::vector<ListedInstance> instances;
};

// Client of the platform's object API, a versioned key-value store. Calls
// block, so make them on dedicated threads. Each call is sent at most once and
// never retried. Implementations are thread-safe.
//
// Reads fail with kUnavailable (outage, or no response within `timeout`),
// kResourceExhausted (rate limited, see RetryAfterOf) or kInternal (the
// response violates the protocol).
class ObjectApi {
 public:
  virtual ~ObjectApi() = default;

  // Returns nullopt if the object does not exist.
  virtual absl::StatusOr<std::optional<StoredObject>> Get(
      const std::string& key,
      Duration timeout) = 0;

  virtual absl::StatusOr<ObjectList> List(const std::string& prefix,
                                          Duration timeout) = 0;

  // Writes the object if its current version is `if_version`; 0 means that the
  // object must not exist.
  virtual WriteResult PutIf(const std::string& key,
                            const std::string& value,
                            uint64_t if_version,
                            Duration timeout) = 0;

  // Deletes the object if its current version is `if_version`, which must not
  // be 0.
  virtual WriteResult Delete(const std::string& key,
                             uint64_t if_version,
                             Duration timeout) = 0;

  // Waits up to `wait` for changes to keys with `prefix` after revision
  // `since`.
  virtual absl::StatusOr<WatchResult> Watch(const std::string& prefix,
                                            uint64_t since,
                                            Duration wait) = 0;

  virtual absl::StatusOr<InstanceList> ListInstances(Duration timeout) = 0;
};

// Returns the status of a rate-limited read.
absl::Status RateLimitedError(Duration retry_after);

// Returns the retry delay given with a rate-limited read, or 0.
Duration RetryAfterOf(const absl::Status& status);

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_OBJECT_API_H_
