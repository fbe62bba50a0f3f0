#ifndef ENDIVEYARD_SRC_PEER_DIGEST_MESSAGES_H_
#define ENDIVEYARD_SRC_PEER_DIGEST_MESSAGES_H_

#include "endiveyard/membership/peer_digest.h"
#include "endiveyard/peer/peer_options.h"
#include "peer/generated/peer.capnp.h"

namespace endiveyard {

void WriteDigest(const PeerDigest& digest, rpc::Digest::Builder message);

// Reads at most one entry more than the limit of each list, so that memory is
// bounded and ValidateDigest() still rejects a list that is too long.
PeerDigest ReadDigest(rpc::Digest::Reader message);

// Limits on the size and nesting of messages from peers.
inline capnp::ReaderOptions PeerReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxPeerMessageBytes / sizeof(capnp::word);
  options.nestingLimit = 16;
  return options;
}

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_PEER_DIGEST_MESSAGES_H_
