#include "endiveyard/placement/stream_starts.h"

#include <algorithm>
#include <iterator>

namespace endiveyard {
namespace {

// Older streams of a replica count for less beyond this number.
constexpr int kMaxCountedStreams = 32;

template <typename Replicas>
void RemoveOld(Replicas* replicas, TimePoint now) {
  for (auto it = replicas->begin(); it != replicas->end();) {
    it = now - it->second.last_at > kStreamStartLifetime ? replicas->erase(it)
                                                         : std::next(it);
  }
}

}  // namespace

bool StreamStarts::Record(const StreamGroup& group,
                          uint64_t replica_key,
                          int64_t first_id,
                          TimePoint now) {
  Replicas* const replicas = ReplicasOf(group, now);
  if (replicas == nullptr) {
    return true;
  }
  const bool is_late = IsLate(*replicas, first_id);
  if (replicas->size() < kMaxReplicasOfStreamGroup ||
      replicas->count(replica_key) > 0) {
    Count(&(*replicas)[replica_key], first_id, now);
  }
  return !is_late;
}

bool StreamStarts::HasHabit(const Replica& replica) {
  return replica.streams >= kStreamsOfHabit &&
         replica.streams >= 2 * replica.other_streams;
}

void StreamStarts::Count(Replica* replica, int64_t first_id, TimePoint now) {
  replica->last_at = now;
  if (first_id == replica->first_id) {
    ++replica->streams;
  } else if (++replica->other_streams > replica->streams) {
    *replica = Replica{first_id, 1, 0, now};
  }
  if (replica->streams + replica->other_streams > kMaxCountedStreams) {
    replica->streams /= 2;
    replica->other_streams /= 2;
  }
}

bool StreamStarts::IsLate(const Replicas& replicas, int64_t first_id) {
  std::map<int64_t, int> habits;  // replicas by first id
  int with_this_habit = 0;        // for long enough
  const Replica* lone = nullptr;
  for (const auto& [key, it] : replicas) {
    if (!HasHabit(it)) {
      continue;
    }
    lone = habits.empty() ? &it : nullptr;
    ++habits[it.first_id];
    if (it.first_id == first_id && it.streams >= kStreamsOfHigherHabit) {
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

StreamStarts::Replicas* StreamStarts::ReplicasOf(const StreamGroup& group,
                                                 TimePoint now) {
  if (groups_.size() >= kMaxStreamGroups && groups_.count(group) == 0) {
    for (auto it = groups_.begin(); it != groups_.end();) {
      RemoveOld(&it->second, now);
      it = it->second.empty() ? groups_.erase(it) : std::next(it);
    }
    if (groups_.size() >= kMaxStreamGroups) {
      return nullptr;
    }
  }
  Replicas& replicas = groups_[group];
  RemoveOld(&replicas, now);
  return &replicas;
}

}  // namespace endiveyard
