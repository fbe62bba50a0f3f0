#ifndef ENDIVEYARD_REGISTRY_REGISTRY_MIRROR_H_
#define ENDIVEYARD_REGISTRY_REGISTRY_MIRROR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "endiveyard/registry/registry_client.h"
#include "endiveyard/registry/registry_era.h"

namespace endiveyard {

// The next call of a mirror to the registry.
struct MirrorAction {
  enum class Kind { kListPage, kWatch };
  Kind kind = Kind::kListPage;
  Duration delay{};
  int64_t revision = 0;  // for kWatch
  // For kListPage: continues the list after the pages that were read. False
  // begins a new list.
  bool continues_list = false;

  bool operator==(const MirrorAction& other) const {
    return kind == other.kind && delay == other.delay &&
           revision == other.revision && continues_list == other.continues_list;
  }
};

// How long a mirror waits for changes.
struct MirrorTiming {
  // Timeout of a watch on the side of the registry.
  Duration watch_timeout = std::chrono::milliseconds(2500);
  // Delay of the next watch after a change, so that one watch returns several
  // changes: they arrive in bursts when targets are replaced, and every call of
  // every instance has a cost.
  Duration change_batch_delay = std::chrono::milliseconds(400);

  bool operator==(const MirrorTiming& other) const {
    return watch_timeout == other.watch_timeout &&
           change_batch_delay == other.change_batch_delay;
  }
};

// Returns the timing with the fewest calls that applies changes within
// `max_staleness`, for changes that are made once the registry has been sound
// for `stable_time`: a watch whose answer was lost in an outage ends, and the
// list after it, within the sum of both. Changes that are made before then are
// applied in time only if the owner also calls Refresh().
MirrorTiming MakeMirrorTiming(Duration stable_time, Duration max_staleness);
// Returns the timing of a mirror whose owner refreshes it within
// `max_staleness`: a lost watch delays nothing then, and may be as long as the
// registry keeps its `history`.
MirrorTiming MakeRefreshedMirrorTiming(Duration history,
                                       Duration max_staleness);
// Returns the longest delay between watches that still applies changes within
// `max_staleness`, if one call in between fails. For objects that change all
// the time, such as replicas that come and go by themselves.
Duration LongestChangeBatchDelay(Duration max_staleness);

// Decides which call a mirror makes next, and when: first a complete list, page
// by page, then watches from the revision of its first page. After a failure,
// it repeats the failed page, or lists again after a watch, with exponential
// backoff and jitter. Pages that are refused slow down the following ones,
// since all instances list at the same time after an outage. After a restore of
// the registry, it begins a new list. No I/O.
class MirrorPolicy {
 public:
  // `seed` determines the jitter, so that instances whose calls failed at the
  // same moment do not retry at the same moment.
  explicit MirrorPolicy(uint64_t seed, MirrorTiming timing = {})
      : seed_(seed), timing_(timing) {}

  MirrorAction FirstAction() const { return {}; }
  // A page was read and another one follows.
  MirrorAction AfterPage();
  // The last page, or a watch, has returned. `has_changes` is true when the
  // call returned changes.
  MirrorAction AfterSuccess(int64_t revision, bool has_changes);
  // See MirrorTiming; for the watches from now on.
  void set_change_batch_delay(Duration delay) {
    timing_.change_batch_delay = delay;
  }
  MirrorAction AfterFailedPage(const absl::Status& status);
  MirrorAction AfterFailedWatch(const absl::Status& status);
  // What was read is from before a restore of the registry.
  MirrorAction AfterRestore();

 private:
  Duration NextBackoff();

  uint64_t seed_;
  MirrorTiming timing_;
  int failures_ = 0;
  // Pause between pages.
  Duration page_delay_{};
  uint64_t calls_ = 0;
};

struct MirrorHandlers {
  std::function<void(const RegistryList&)> on_list;
  std::function<void(const RegistryObject&)> on_change;
  std::function<void(const absl::Status&)> on_failure;
  std::function<void()> on_success;
  // After a whole list or the changes of an answer. May be empty.
  std::function<void()> on_current{};
  // A refresh has returned changes while a watch waited for them: the answer to
  // the watch was lost, or is late. May be empty.
  std::function<void()> on_silent_watch{};
  // Runs `action` after `delay`.
  std::function<void(Duration delay, std::function<void()> action)> schedule;
};

// What a mirror knows of the registry.
struct MirrorPosition {
  int64_t era = 0;
  // Revision up to which all changes are known; 0 while a list is read.
  int64_t revision = 0;
  // Highest revision of an object that was read since the last list began.
  int64_t last_change = 0;

  bool operator==(const MirrorPosition& other) const {
    return era == other.era && revision == other.revision &&
           last_change == other.last_change;
  }
};

// Keeps its owner up to date on all objects of one kind, until it is destroyed.
// A list and the changes after it are of one era. `era` is shared by the
// mirrors of one registry, and a restore that one of them learns of makes all
// begin a new list.
class RegistryMirror {
 public:
  RegistryMirror(RegistryClient* client,
                 std::string kind,
                 uint64_t seed,
                 MirrorTiming timing,
                 RegistryEra* era,
                 MirrorHandlers handlers);
  ~RegistryMirror();
  RegistryMirror(const RegistryMirror&) = delete;
  RegistryMirror& operator=(const RegistryMirror&) = delete;

  void Start();

  // See MirrorTiming; for the watches from now on.
  void set_change_batch_delay(Duration delay);

  // Reads the registry without waiting for a change. `done` runs once: with OK
  // after the handlers have got all changes that were made before this call.
  // Callers that come together share a call to the registry.
  void Refresh(std::function<void(const absl::Status&)> done);

  MirrorPosition position() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_REGISTRY_REGISTRY_MIRROR_H_
