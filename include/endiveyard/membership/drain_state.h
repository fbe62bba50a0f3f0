#ifndef ENDIVEYARD_MEMBERSHIP_DRAIN_STATE_H_
#define ENDIVEYARD_MEMBERSHIP_DRAIN_STATE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "endiveyard/membership/peer_digest.h"

namespace endiveyard {

// Tracks which targets are draining and which instances still run requests on
// them. The instance that drains a target lists it in its digests until the
// drain ends. Every instance lists the draining targets on which it runs no
// requests.
struct DrainState {
  // The lists of a peer's last digest.
  struct PeerLists {
    std::set<std::string> draining;
    std::set<std::string> idle;
  };

  std::set<std::string> draining_here;  // drained by this instance
  // Targets drained by any instance, on which this instance runs no requests.
  std::set<std::string> idle_here;
  std::map<std::string, PeerLists> peers;
};

// Adds this instance's lists to `digest`, truncated to kMaxDigestDraining
// entries each.
void AddDrainLists(const DrainState& state, PeerDigest* digest);

// Replaces the sender's lists. Precondition: ApplyDigest() accepted `digest`.
void ApplyDrainLists(const PeerDigest& digest, DrainState* state);

// Targets that must get no new requests, since this instance or one of the
// `live` peers drains them. O(draining targets).
std::set<std::string> DrainingTargets(const DrainState& state,
                                      const std::vector<std::string>& live);

// Targets drained by this instance on which neither it nor any of the `live`
// peers runs requests. A peer that has not listed the target as idle counts
// as busy.
std::vector<std::string> FullyDrainedTargets(
    const DrainState& state,
    const std::vector<std::string>& live);

}  // namespace endiveyard

#endif  // ENDIVEYARD_MEMBERSHIP_DRAIN_STATE_H_
