#include "endiveyard/membership/peer_digest.h"

#include <algorithm>
#include <cmath>

namespace endiveyard {
namespace {

// Base of the logarithmic code: 255 steps of 4.7 % cover more than 100,000
// tokens.
constexpr double kTokenStep = 1.047;
// Encoded sizes. The fixed part is the segment table, the root pointer, and the
// data and pointers of the Digest struct.
constexpr size_t kFixedBytes = 112;
constexpr size_t kEditBytes = 48;
constexpr size_t kLeavingBytes = 24;
constexpr size_t kNameBytes = 8;  // pointer to the text
constexpr size_t kFingerprintBytes = 16;
constexpr size_t kLoadBytes = 4;
constexpr size_t kLivenessBytes = 2;

constexpr size_t kMaxSnapshotBytes = 1'000'000;
constexpr size_t kMaxDeltaBytes = 64 << 10;

// Rounds up to whole words, after adding a byte for the NUL that ends a text.
size_t RoundUpToWords(size_t bytes) {
  return (bytes + 8) / 8 * 8;
}

}  // namespace

uint32_t PackLoad(const QuantisedLoad& load) {
  return static_cast<uint32_t>(load.target_index) << 22 |
         static_cast<uint32_t>(load.queued) << 14 |
         static_cast<uint32_t>(load.running) << 6 | load.age;
}

QuantisedLoad UnpackLoad(uint32_t packed) {
  QuantisedLoad load;
  load.target_index = static_cast<uint16_t>(packed >> 22);
  load.queued = static_cast<uint8_t>(packed >> 14);
  load.running = static_cast<uint8_t>(packed >> 6);
  load.age = packed & kMaxDigestAge;
  return load;
}

uint8_t QuantiseTokens(int64_t tokens) {
  if (tokens <= 0) {
    return 0;
  }
  const double code =
      std::round(std::log(static_cast<double>(tokens)) / std::log(kTokenStep));
  return static_cast<uint8_t>(std::clamp(code + 1, 1.0, 255.0));
}

int64_t DequantiseTokens(uint8_t code) {
  return code == 0 ? 0
                   : static_cast<int64_t>(
                         std::llround(std::pow(kTokenStep, code - 1)));
}

std::string ValidateDigest(const PeerDigest& digest) {
  const auto is_invalid_name = [](const std::string& name) {
    return name.empty() || name.size() > kMaxPeerNameBytes;
  };
  if (is_invalid_name(digest.sender)) {
    return "the sender's name must have 1 to 128 bytes";
  }
  if (digest.edits.size() > kMaxDigestEdits ||
      digest.leaving.size() > kMaxDigestLeaving ||
      digest.fingerprints.size() > kMaxDigestFingerprints ||
      digest.loads.size() > kMaxDigestLoads ||
      digest.live_instances.size() > kMaxDigestInstances ||
      digest.draining.size() > kMaxDigestDraining ||
      digest.draining_idle.size() > kMaxDigestDraining) {
    return "a list has more entries than its limit";
  }
  for (const DigestEdit& edit : digest.edits) {
    if (edit.delta.size() > kMaxDeltaBytes ||
        edit.edit_id.size() > 4 * kMaxPeerNameBytes ||
        edit.author.size() > 4 * kMaxPeerNameBytes) {
      return "an edit has a delta above 64 KiB, or an id or author above 512 "
             "bytes";
    }
  }
  for (const DigestLeaving& leaving : digest.leaving) {
    if (is_invalid_name(leaving.target)) {
      return "a target's name must have 1 to 128 bytes";
    }
  }
  if (std::any_of(digest.draining.begin(), digest.draining.end(),
                  is_invalid_name) ||
      std::any_of(digest.draining_idle.begin(), digest.draining_idle.end(),
                  is_invalid_name)) {
    return "a target's name must have 1 to 128 bytes";
  }
  if (digest.snapshot.size() > kMaxSnapshotBytes) {
    return "the snapshot has more than 1,000,000 bytes";
  }
  return "";
}

size_t EstimateDigestBytes(const PeerDigest& digest) {
  size_t bytes = kFixedBytes + RoundUpToWords(digest.sender.size());
  for (const DigestEdit& edit : digest.edits) {
    bytes += kEditBytes + RoundUpToWords(edit.edit_id.size()) +
             RoundUpToWords(edit.author.size()) +
             RoundUpToWords(edit.delta.size());
  }
  for (const DigestLeaving& leaving : digest.leaving) {
    bytes += kLeavingBytes + RoundUpToWords(leaving.target.size());
  }
  for (const auto* names : {&digest.draining, &digest.draining_idle}) {
    for (const std::string& name : *names) {
      bytes += kNameBytes + RoundUpToWords(name.size() + 1);
    }
  }
  return bytes + digest.fingerprints.size() * kFingerprintBytes +
         RoundUpToWords(digest.loads.size() * kLoadBytes) +
         RoundUpToWords(digest.live_instances.size() * kLivenessBytes) +
         RoundUpToWords(digest.snapshot.size());
}

}  // namespace endiveyard
