#ifndef ENDIVEYARD_PEER_DIGEST_CODEC_H_
#define ENDIVEYARD_PEER_DIGEST_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "endiveyard/membership/peer_digest.h"

namespace endiveyard {

// Digest as one Cap'n Proto message, for benchmarks and captured sessions.
std::string EncodeDigest(const PeerDigest& digest);

// Fails with kBadRequest on bytes that are not a digest within its bounds.
absl::StatusOr<PeerDigest> DecodeDigest(std::string_view bytes);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PEER_DIGEST_CODEC_H_
