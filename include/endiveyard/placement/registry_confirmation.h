#ifndef ENDIVEYARD_PLACEMENT_REGISTRY_CONFIRMATION_H_
#define ENDIVEYARD_PLACEMENT_REGISTRY_CONFIRMATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Instances that share their reads of the registry: the first ones read, and
// tell the others. Bounds the datagrams that a reader sends.
inline constexpr size_t kMaxReaderGroup = 32;

// The place of an instance in its group.
struct ReaderGroup {
  size_t rank = 0;               // of this instance; the first one reads first
  std::vector<uint32_t> others;  // addresses of the other instances

  bool operator==(const ReaderGroup& other) const {
    return rank == other.rank && others == other.others;
  }
};

// Returns the group of the instance `own` among the live ones, which are in
// order of address.
ReaderGroup MakeReaderGroup(const std::vector<uint32_t>& live, uint32_t own);

// Times after the last confirmation at which instances read the registry.
struct ConfirmationTiming {
  Duration first_read{};   // by the first instance of a group
  Duration second_read{};  // by the second one
  Duration last_read{};    // by any other
  // A read begins this long after another instance has told of a newer change.
  // The next watch usually returns it before.
  Duration newer_change_read{};
  Duration max_staleness{};  // a confirmation counts for this time

  bool operator==(const ConfirmationTiming& other) const {
    return first_read == other.first_read && second_read == other.second_read &&
           last_read == other.last_read &&
           newer_change_read == other.newer_change_read &&
           max_staleness == other.max_staleness;
  }
};

// Returns the timing with which a change is applied within `max_staleness`,
// although the watch in progress returns nothing: `last_read`, the interval at
// which IsReadDue() is asked, and the longest duration of a read do not exceed
// it together. The number of processes that hear each other does not matter.
ConfirmationTiming MakeConfirmationTiming(Duration max_staleness,
                                          Duration check_interval,
                                          Duration max_read_time);

// What another instance knows of the registry, beside what this one knows.
enum class PeerKnowledge { kOlder, kSame, kNewer };

// Tracks until when what is known of one kind of objects is the latest, and
// decides when the registry has to be read since it may not be: a watch whose
// answer was lost cannot be told from one without changes. Reads of other
// instances confirm it as well, so that the calls of all do not grow with their
// number. What others were told is not passed on, as its age would be
// understated by each hop. No I/O.
class RegistryConfirmation {
 public:
  explicit RegistryConfirmation(const ConfirmationTiming& timing)
      : timing_(timing) {}

  // Records that the registry has answered: all changes are known.
  void RecordRead(TimePoint now);
  // Records what another instance knows, and how long ago the registry
  // confirmed that to it; nullopt if it did not lately.
  void RecordPeer(PeerKnowledge peer,
                  std::optional<Duration> age,
                  TimePoint now);
  // Records that the registry may hold something newer from now on.
  void Reset();

  // Returns the time since the registry has confirmed what is known to this
  // instance; nullopt if it did not within `max_staleness`.
  std::optional<Duration> OwnAge(TimePoint now) const;
  // Returns true if all changes were known less than `max_staleness` ago.
  bool IsConfirmed(TimePoint now) const;
  bool IsReadDue(size_t rank, TimePoint now) const;
  // Returns true unless this instance has read so lately that a read beside
  // that of another kind of objects is needless.
  bool IsReadUseful(TimePoint now) const;

 private:
  const ConfirmationTiming timing_;
  std::optional<TimePoint> read_at_;       // by this instance
  std::optional<TimePoint> confirmed_at_;  // by any instance
  // Since when another instance is known to know of a newer change.
  std::optional<TimePoint> newer_since_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_REGISTRY_CONFIRMATION_H_
