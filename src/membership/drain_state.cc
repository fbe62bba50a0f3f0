#include "endiveyard/membership/drain_state.h"

#include <algorithm>

namespace endiveyard {
namespace {

std::vector<std::string> Truncate(const std::set<std::string>& targets) {
  const size_t size = std::min(targets.size(), kMaxDigestDraining);
  return std::vector<std::string>(targets.begin(),
                                  std::next(targets.begin(), size));
}

}  // namespace

void AddDrainLists(const DrainState& state, PeerDigest* digest) {
  digest->draining = Truncate(state.draining_here);
  digest->draining_idle = Truncate(state.idle_here);
}

void ApplyDrainLists(const PeerDigest& digest, DrainState* state) {
  DrainState::PeerLists& peer = state->peers[digest.sender];
  peer.draining = {digest.draining.begin(), digest.draining.end()};
  peer.idle = {digest.draining_idle.begin(), digest.draining_idle.end()};
}

std::set<std::string> DrainingTargets(const DrainState& state,
                                      const std::vector<std::string>& live) {
  std::set<std::string> targets = state.draining_here;
  for (const std::string& name : live) {
    const auto peer = state.peers.find(name);
    if (peer != state.peers.end()) {
      targets.insert(peer->second.draining.begin(),
                     peer->second.draining.end());
    }
  }
  return targets;
}

std::vector<std::string> FullyDrainedTargets(
    const DrainState& state,
    const std::vector<std::string>& live) {
  std::vector<std::string> targets;
  for (const std::string& target : state.draining_here) {
    const bool idle_on_live_peers =
        std::all_of(live.begin(), live.end(), [&](const std::string& name) {
          const auto peer = state.peers.find(name);
          return peer != state.peers.end() &&
                 peer->second.idle.count(target) != 0;
        });
    if (state.idle_here.count(target) != 0 && idle_on_live_peers) {
      targets.push_back(target);
    }
  }
  return targets;
}

}  // namespace endiveyard
