#ifndef ENDIVEYARD_PLACEMENT_EVENT_STEPS_H_
#define ENDIVEYARD_PLACEMENT_EVENT_STEPS_H_

#include <cstdint>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/stream_groups.h"

namespace endiveyard {

// How a target numbers the events of a stream.
enum class EventNumbering {
  kUnknown,
  kByOne,     // a larger step shows that events are missing, or a damaged id
  kByTokens,  // an event may have several
};

// Which steps between event ids are expected of a target.
struct EventStepRule {
  EventNumbering numbering = EventNumbering::kUnknown;
  // Steps up to this one need no confirmation.
  int64_t trusted_step = 1;

  bool operator==(const EventStepRule& other) const {
    return numbering == other.numbering && trusted_step == other.trusted_step;
  }
};

// Streams by one after which a replica has a habit.
inline constexpr int kStreamsByOne = 2;
// Streams by one of a replica that show as much, whatever others do.
inline constexpr int kStreamsOfCertainStep = 8;
// Streams with larger steps that show that events are numbered by tokens. A
// target that leaves out an event now and then has fewer.
inline constexpr int kStreamsByTokens = 6;

// Learns whether replicas number the events of a stream by one, or by the
// tokens in them. Either is sound, as ids only have to increase. Where replicas
// are known to count by one, a larger step shows that events are missing; where
// they are known to use larger ones, these pass. Only steps that a later id has
// confirmed count, so that damaged ids teach nothing. Not thread-safe.
class EventSteps {
 public:
  // Records the largest step between the ids of a run, 0 if it had none.
  void Record(const StreamGroup& group,
              uint64_t replica_key,
              int64_t largest_step,
              TimePoint now);

  // Returns the rule for a stream of the replica, see EngineKey().
  EventStepRule RuleFor(const StreamGroup& group,
                        uint64_t replica_key,
                        TimePoint now);

  // Returns true if some replicas of the group count by one, and others do not.
  bool IsMixed(const StreamGroup& group, TimePoint now);

  // Returns the largest step of the replicas of the group, 1 if they count by
  // one, and 0 if that is not known.
  int64_t LargestStepOf(const StreamGroup& group, TimePoint now);

 private:
  // Streams of a replica, or of a group.
  struct Streams {
    int64_t largest_step = 1;
    int by_one = 0;
    int by_tokens = 0;  // with larger steps
    TimePoint last_at{};
  };

  static bool CountTokens(const Streams& streams);
  static bool CountByOne(const Streams& streams);
  // Whatever others of the group do.
  static bool CertainlyCountByOne(const Streams& streams);
  static Streams SumOf(const StreamGroups<Streams>::Replicas& replicas);

  StreamGroups<Streams> groups_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_EVENT_STEPS_H_
