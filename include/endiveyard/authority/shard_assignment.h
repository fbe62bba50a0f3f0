#ifndef ENDIVEYARD_AUTHORITY_SHARD_ASSIGNMENT_H_
#define ENDIVEYARD_AUTHORITY_SHARD_ASSIGNMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/authority/shard_authority.h"

namespace endiveyard {

inline constexpr int kShardsPerHouse = 64;

// Instances that monitor a shard: the preferred owner and two standbys. With a
// single standby, losing both at once would leave nobody to take the shard over
// until the instance list catches up.
inline constexpr size_t kShardCandidates = 3;

// `shards/<house>-<n>`.
std::string ShardKey(std::string_view house, std::string_view target);

// Ids of the listed instances that may control `house` and are not leaving.
std::vector<std::string> EligibleInstances(
    const std::vector<InstanceInfo>& list,
    std::string_view house);

// The top kShardCandidates of `live` by rendezvous hashing for `shard`, best
// first. Removing an instance changes the first candidate only of shards that
// had it there. O(live).
std::vector<std::string> ShardCandidates(std::vector<std::string> live,
                                         std::string_view shard);

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTHORITY_SHARD_ASSIGNMENT_H_
