#ifndef ENDIVEYARD_SRC_FRONT_PEER_KNOWLEDGE_H_
#define ENDIVEYARD_SRC_FRONT_PEER_KNOWLEDGE_H_

#include <cstdint>
#include <optional>

#include "endiveyard/load_exchange/peer_load_report.h"
#include "endiveyard/placement/registry_confirmation.h"
#include "endiveyard/registry/registry_mirror.h"

namespace endiveyard {

// Compares the service map that the sender of `report` has in force with that
// of this instance. 0 is the version of an instance without a map.
PeerKnowledge CompareServiceMaps(int64_t own_version,
                                 const PeerLoadReport& report);

// Compares what the sender of `report` knows of the replicas with what this
// instance knows; nullopt if the two cannot be compared: one of them tells
// nothing, or the registry was restored between them. A sender that knows of no
// later change knows the same as of the time of its confirmation: what this
// instance knows beyond that was changed later.
std::optional<PeerKnowledge> CompareReplicas(const MirrorPosition& own,
                                             const PeerLoadReport& report);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_PEER_KNOWLEDGE_H_
