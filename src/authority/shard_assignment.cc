#include "endiveyard/authority/shard_assignment.h"

#include "absl/strings/str_cat.h"
#include "endiveyard/base/digest.h"

namespace endiveyard {

std::string ShardKey(std::string_view house, std::string_view target) {
  return absl::StrCat("shards/", std::string(house), "-",
                      Digest64(target) % kShardsPerHouse);
}

std::vector<std::string> EligibleInstances(
    const std::vector<InstanceInfo>& list,
    std::string_view house) {
  std::vector<std::string> live;
  for (const InstanceInfo& it : list) {
    if (!it.leaving && (it.house.empty() || it.house == house)) {
      live.push_back(it.id);
    }
  }
  return live;
}

std::vector<std::string> ShardCandidates(std::vector<std::string> live,
                                         std::string_view shard) {
  std::vector<std::string> best;
  while (best.size() < kShardCandidates && !live.empty()) {
    const auto i = static_cast<size_t>(RendezvousIndex(live, shard));
    best.push_back(live[i]);
    live[i] = live.back();
    live.pop_back();
  }
  return best;
}

}  // namespace endiveyard
