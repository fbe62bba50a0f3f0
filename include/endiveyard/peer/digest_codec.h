#ifndef ENDIVEYARD_PEER_DIGEST_CODEC_H_
#define ENDIVEYARD_PEER_DIGEST_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "endiveyard/membership/peer_digest.h"

namespace endiveyard {

// Encodes a digest as one Cap'n Proto message, for benchmarks and for tests of
// the codec. Peers exchange digests by RPC instead.
std::string EncodeDigest(const PeerDigest& digest);

// Fails with kBadRequest if `bytes` is not a digest that ValidateDigest()
// accepts.
absl::StatusOr<PeerDigest> DecodeDigest(std::string_view bytes);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PEER_DIGEST_CODEC_H_
