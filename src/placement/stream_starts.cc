#include "endiveyard/placement/stream_starts.h"

#include <algorithm>
#include <utility>

namespace endiveyard {
namespace {

// Older streams of a replica count for less beyond this number.
constexpr int kMaxCountedStreams = 32;
// Streams of a replica after which it can contradict what is known of its
// group.
constexpr int64_t kStreamsOfContradiction = 4;

}  // namespace

bool StreamStarts::Record(const StreamGroup& group,
                          uint64_t replica_key,
                          int64_t first_id,
                          int64_t largest_step,
                          TimePoint now) {
  if (!groups_.HasRoomFor(group, now)) {
    return true;
  }
  unknown_group_met_ |= known_.count(group) == 0;
  const int64_t slack = std::max<int64_t>(largest_step, 1) - 1;
  const bool is_known = largest_step > 0;
  const bool is_late =
      IsLate(group, first_id, is_known, now) &&
      (slack == 0 ||
       (first_id > slack && IsLate(group, first_id - slack, is_known, now)));
  if (Replica* const replica = groups_.Add(group, replica_key, now)) {
    Count(replica, first_id, now);
    replica->has_larger_steps = slack > 0;
  }
  return !is_late;
}

bool StreamStarts::IsLate(const StreamGroup& group,
                          int64_t first_id,
                          bool is_numbering_known,
                          TimePoint now) {
  static const Replicas kNone;
  const Replicas* const known = groups_.Find(group, now);
  const Replicas& replicas = known == nullptr ? kNone : *known;
  return IsLateByHabit(replicas, first_id) ||
         IsLateByKnown(group, replicas, first_id, is_numbering_known);
}

bool StreamStarts::HasHabit(const Replica& replica) {
  return replica.streams >= kStreamsOfHabit &&
         replica.streams >= 2 * replica.other_streams;
}

bool StreamStarts::IsHigherHabit(const Replica& replica) {
  return HasHabit(replica) && replica.streams >= kStreamsOfHigherHabit;
}

void StreamStarts::Count(Replica* replica, int64_t first_id, TimePoint now) {
  replica->last_at = now;
  ++replica->all_streams;
  if (first_id == replica->first_id) {
    ++replica->streams;
  } else if (++replica->other_streams > replica->streams) {
    replica->first_id = first_id;
    replica->streams = 1;
    replica->other_streams = 0;
  }
  if (replica->streams + replica->other_streams > kMaxCountedStreams) {
    replica->streams /= 2;
    replica->other_streams /= 2;
  }
}

bool StreamStarts::IsLateByHabit(const Replicas& replicas, int64_t first_id) {
  std::map<int64_t, int> habits;  // replicas by first id
  int with_this_habit = 0;        // for long enough
  const Replica* lone = nullptr;
  for (const auto& [key, it] : replicas) {
    if (!HasHabit(it)) {
      continue;
    }
    lone = habits.empty() ? &it : nullptr;
    ++habits[it.first_id];
    if (it.first_id == first_id && IsHigherHabit(it)) {
      ++with_this_habit;
    }
  }
  if (lone != nullptr) {
    return lone->streams >= kStreamsOfLoneReplica && lone->first_id < first_id;
  }
  return with_this_habit < kReplicasOfConvention &&
         std::any_of(habits.begin(), habits.end(), [first_id](const auto& it) {
           return it.first < first_id && it.second >= kReplicasOfConvention;
         });
}

bool StreamStarts::IsLateByKnown(const StreamGroup& group,
                                 const Replicas& replicas,
                                 int64_t first_id,
                                 bool is_numbering_known) const {
  FirstIds expected;
  int64_t streams_of_contradiction = kStreamsOfContradiction;
  if (const auto it = known_.find(group); it != known_.end()) {
    expected = it->second;
  } else {
    // Other groups say less, so that the first streams can contradict them.
    streams_of_contradiction = 1;
    for (const auto& [other, first_ids] : known_) {
      if (other.service == group.service &&
          (is_numbering_known || other.version == group.version)) {
        expected.insert(first_ids.begin(), first_ids.end());
      }
    }
  }
  if (expected.empty() || first_id <= *expected.begin() ||
      expected.count(first_id) > 0) {
    return false;
  }
  int confirming = 0;
  int contradicting = 0;
  int64_t contradicting_streams = 0;
  int with_this_habit = 0;
  for (const auto& [key, it] : replicas) {
    if (expected.count(it.first_id) > 0) {
      ++confirming;
    } else if (it.all_streams >= streams_of_contradiction) {
      ++contradicting;
      contradicting_streams += it.all_streams;
    }
    if (IsHigherHabit(it) && it.first_id == first_id) {
      ++with_this_habit;
    }
  }
  if (with_this_habit >= kReplicasOfConvention) {
    return false;
  }
  // A service may have one replica only.
  const bool is_contradicted =
      contradicting >= kReplicasOfConvention ||
      (contradicting > 0 && contradicting_streams >= kStreamsOfLoneReplica);
  return !is_contradicted || confirming >= contradicting;
}

void StreamStarts::RecordKnown(const std::vector<StreamStart>& known) {
  known_.clear();
  for (const StreamStart& it : known) {
    if (known_.size() >= kMaxStreamGroups && known_.count(it.group) == 0) {
      continue;
    }
    FirstIds& first_ids = known_[it.group];
    if (first_ids.size() < kMaxKnownFirstIds) {
      first_ids.insert(it.first_id);
    }
  }
}

std::vector<StreamStart> StreamStarts::Learned(TimePoint now) const {
  std::vector<StreamStart> learned;
  for (const auto& [group, replicas] : groups_) {
    std::map<int64_t, int> replicas_with;  // by first id
    for (const auto& [key, it] : replicas) {
      if (!it.has_larger_steps && IsHigherHabit(it) &&
          now - it.last_at <= kStreamStartLifetime) {
        ++replicas_with[it.first_id];
      }
    }
    for (const auto& [first_id, count] : replicas_with) {
      if (count >= kReplicasOfConvention) {
        learned.push_back({group, first_id});
      }
    }
  }
  return learned;
}

bool StreamStarts::TakeUnknownGroupMet() {
  return std::exchange(unknown_group_met_, false);
}

}  // namespace endiveyard
