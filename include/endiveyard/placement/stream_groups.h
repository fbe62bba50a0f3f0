#ifndef ENDIVEYARD_PLACEMENT_STREAM_GROUPS_H_
#define ENDIVEYARD_PLACEMENT_STREAM_GROUPS_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Limits on what is kept, and for how long after the last stream.
inline constexpr size_t kMaxStreamGroups = 256;
inline constexpr size_t kMaxReplicasOfStreamGroup = 512;
inline constexpr Duration kStreamStartLifetime = std::chrono::minutes(10);

// Streams that are expected to number their events alike.
struct StreamGroup {
  std::string service;
  std::string version;  // of the software of the replica
  std::string route;

  bool operator<(const StreamGroup& other) const {
    return std::tie(service, version, route) <
           std::tie(other.service, other.version, other.route);
  }
  bool operator==(const StreamGroup& other) const {
    return std::tie(service, version, route) ==
           std::tie(other.service, other.version, other.route);
  }
};

// What is known of the replicas of each group, by their key, see EngineKey().
// `Replica` has the time of its last stream in `last_at`. Groups and replicas
// beyond the limits are not added. Not thread-safe.
template <typename Replica>
class StreamGroups {
 public:
  using Replicas = std::unordered_map<uint64_t, Replica>;

  // Returns the replica, which is added if it is not known, or nullptr beyond
  // the limits. The caller sets `last_at`.
  Replica* Add(const StreamGroup& group, uint64_t replica_key, TimePoint now) {
    if (!HasRoomFor(group, now)) {
      return nullptr;
    }
    Replicas& replicas = groups_[group];
    RemoveOld(&replicas, now);
    return replicas.size() < kMaxReplicasOfStreamGroup ||
                   replicas.count(replica_key) > 0
               ? &replicas[replica_key]
               : nullptr;
  }

  // Returns false for a new group beyond the limit.
  bool HasRoomFor(const StreamGroup& group, TimePoint now) {
    if (groups_.size() >= kMaxStreamGroups && groups_.count(group) == 0) {
      RemoveOld(now);
    }
    return groups_.size() < kMaxStreamGroups || groups_.count(group) > 0;
  }

  // Returns the replicas of the group without old ones, or nullptr if there are
  // none.
  const Replicas* Find(const StreamGroup& group, TimePoint now) {
    const auto it = groups_.find(group);
    if (it == groups_.end()) {
      return nullptr;
    }
    RemoveOld(&it->second, now);
    return &it->second;
  }

  typename std::map<StreamGroup, Replicas>::const_iterator begin() const {
    return groups_.begin();
  }
  typename std::map<StreamGroup, Replicas>::const_iterator end() const {
    return groups_.end();
  }

 private:
  static void RemoveOld(Replicas* replicas, TimePoint now) {
    for (auto it = replicas->begin(); it != replicas->end();) {
      it = now - it->second.last_at > kStreamStartLifetime ? replicas->erase(it)
                                                           : std::next(it);
    }
  }

  void RemoveOld(TimePoint now) {
    for (auto it = groups_.begin(); it != groups_.end();) {
      RemoveOld(&it->second, now);
      it = it->second.empty() ? groups_.erase(it) : std::next(it);
    }
  }

  std::map<StreamGroup, Replicas> groups_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_STREAM_GROUPS_H_
