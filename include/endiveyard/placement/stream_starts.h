#ifndef ENDIVEYARD_PLACEMENT_STREAM_STARTS_H_
#define ENDIVEYARD_PLACEMENT_STREAM_STARTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/stream_groups.h"

namespace endiveyard {

// Streams after which a replica has a habit.
inline constexpr int kStreamsOfHabit = 2;
// Streams after which a habit counts beside a lower one.
inline constexpr int kStreamsOfHigherHabit = 4;
// Replicas with one habit whose streams show how streams begin.
inline constexpr int kReplicasOfConvention = 2;
// Streams of the only replica with a habit that show as much.
inline constexpr int kStreamsOfLoneReplica = 8;
// Limit on the first ids of a group that are known from elsewhere.
inline constexpr size_t kMaxKnownFirstIds = 4;

// The first event id of whole streams of a group.
struct StreamStart {
  StreamGroup group;
  int64_t first_id = 0;

  bool operator<(const StreamStart& other) const {
    return std::tie(group, first_id) < std::tie(other.group, other.first_id);
  }
  bool operator==(const StreamStart& other) const {
    return group == other.group && first_id == other.first_id;
  }
};

// Learns with which event id the streams of a group begin, and finds those
// whose first events are missing. No page says where ids begin, so any first id
// is taken until replicas agree. A habit is what two thirds of the streams of
// one replica incarnation do. What two replicas have as a habit is right, also
// beside another one, so that a new convention is taken over.
//
// What other processes have learned counts from the first stream on. It does
// not count for a group where several replicas, or a lone one over many
// streams, begin elsewhere, and it does not override the habits of two
// replicas. A group of which nothing is known is expected to begin like the
// others of its service. Not thread-safe.
class StreamStarts {
 public:
  // Records what other processes have learned, in place of what was recorded
  // before.
  void RecordKnown(const std::vector<StreamStart>& known);
  // Returns the first ids that two replicas or more have shown to this process,
  // in order. A single one may have a fault. Without groups whose events are
  // numbered by tokens: a process that does not know this yet would refuse
  // streams that begin with a larger event.
  std::vector<StreamStart> Learned(TimePoint now) const;
  // Returns true if a stream of a group has been recorded of which nothing is
  // known from elsewhere, since the last call.
  bool TakeUnknownGroupMet();

  // Records that a stream which nothing precedes began with `first_id` at the
  // replica with this key, see EngineKey(). Returns false if the first events
  // of the stream are missing: it begins above where streams of the group do.
  // Where events are numbered by their tokens, the first one may be above that
  // by the `largest_step` of the group, less one; 0 if it is not known. Other
  // software versions then show nothing, as they may count in another way.
  bool Record(const StreamGroup& group,
              uint64_t replica_key,
              int64_t first_id,
              int64_t largest_step,
              TimePoint now);

 private:
  struct Replica {
    int64_t first_id = 0;  // the most frequent one
    int streams = 0;       // with `first_id`, of the last ones
    int other_streams = 0;
    int64_t all_streams = 0;  // also those that no longer count above
    // Streams of the group do not all begin with the same id.
    bool has_larger_steps = false;
    TimePoint last_at{};
  };
  using Replicas = StreamGroups<Replica>::Replicas;
  using FirstIds = std::set<int64_t>;

  static bool HasHabit(const Replica& replica);
  // Returns true for a habit that counts beside a lower one.
  static bool IsHigherHabit(const Replica& replica);
  static void Count(Replica* replica, int64_t first_id, TimePoint now);
  // Judges by the replicas of the group only.
  static bool IsLateByHabit(const Replicas& replicas, int64_t first_id);
  bool IsLate(const StreamGroup& group,
              int64_t first_id,
              bool is_numbering_known,
              TimePoint now);
  // Judges by what is known from elsewhere.
  bool IsLateByKnown(const StreamGroup& group,
                     const Replicas& replicas,
                     int64_t first_id,
                     bool is_numbering_known) const;

  StreamGroups<Replica> groups_;
  std::map<StreamGroup, FirstIds> known_;
  bool unknown_group_met_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_STREAM_STARTS_H_
