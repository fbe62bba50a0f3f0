#include "front/peer_knowledge.h"

namespace endiveyard {

PeerKnowledge CompareServiceMaps(int64_t own_version,
                                 const PeerLoadReport& report) {
  if (report.map_version > own_version) {
    return PeerKnowledge::kNewer;
  }
  return report.map_version == own_version ? PeerKnowledge::kSame
                                           : PeerKnowledge::kOlder;
}

std::optional<PeerKnowledge> CompareReplicas(const MirrorPosition& own,
                                             const PeerLoadReport& report) {
  if (own.revision == 0 || report.replica_change == 0 ||
      report.replica_era != own.era) {
    return std::nullopt;
  }
  return report.replica_change > own.revision ? PeerKnowledge::kNewer
                                              : PeerKnowledge::kSame;
}

}  // namespace endiveyard
