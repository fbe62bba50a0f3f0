#ifndef ENDIVEYARD_MEMBERSHIP_PEER_DIGEST_H_
#define ENDIVEYARD_MEMBERSHIP_PEER_DIGEST_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Maximum number of entries of each list in a digest. Receivers reject digests
// with longer lists.
inline constexpr size_t kMaxDigestEdits = 16;
inline constexpr size_t kMaxDigestLeaving = 64;
inline constexpr size_t kMaxDigestFingerprints = 32;
inline constexpr size_t kMaxDigestLoads = 1024;
inline constexpr size_t kMaxDigestDraining = 64;
inline constexpr size_t kMaxDigestInstances = 1024;

// Ages are encoded in units of half a second.
inline constexpr Duration kDigestAgeUnit = std::chrono::milliseconds(500);
inline constexpr int kMaxDigestAge = 63;

// Maximum length of the name of an instance or target.
inline constexpr size_t kMaxPeerNameBytes = 128;

// One edit of the configuration log.
struct DigestEdit {
  uint64_t version = 0;
  std::string edit_id;
  std::string author;
  std::string delta;

  auto AsTuple() const { return std::tie(version, edit_id, author, delta); }
  friend bool operator==(const DigestEdit& a, const DigestEdit& b) {
    return a.AsTuple() == b.AsTuple();
  }
};

// A target that is leaving: it takes no new requests.
struct DigestLeaving {
  std::string target;
  Duration remaining{0};  // until expiry; relative, since clocks differ

  friend bool operator==(const DigestLeaving& a, const DigestLeaving& b) {
    return a.target == b.target && a.remaining == b.remaining;
  }
};

// Fingerprint of a request that crashes its targets.
struct DigestFingerprint {
  uint64_t value = 0;
  Duration remaining{0};  // until expiry; relative, since clocks differ

  friend bool operator==(const DigestFingerprint& a,
                         const DigestFingerprint& b) {
    return a.value == b.value && a.remaining == b.remaining;
  }
};

// Load of one target, which packs into 4 bytes: 10 bits for the target, 8 for
// the queue, 8 for the running sequences and 6 for the age.
struct QuantisedLoad {
  uint16_t target_index = 0;  // in the sorted targets of the failure domain
  uint8_t queued = 0;         // queued tokens, encoded by QuantiseTokens()
  uint8_t running = 0;        // running sequences, saturating at 255
  uint8_t age = 0;            // since the target's report, in kDigestAgeUnit

  friend bool operator==(const QuantisedLoad& a, const QuantisedLoad& b) {
    return a.target_index == b.target_index && a.queued == b.queued &&
           a.running == b.running && a.age == b.age;
  }
};

// Precondition: every field of `load` fits into its bits.
uint32_t PackLoad(const QuantisedLoad& load);
QuantisedLoad UnpackLoad(uint32_t packed);

// When an instance of the failure domain was last known to be alive. Packs into
// 2 bytes: 10 bits for the instance and 6 for the age.
struct InstanceLiveness {
  uint16_t instance_index = 0;  // in the sorted instances of the domain
  uint8_t age = 0;              // in kDigestAgeUnit, at most kMaxDigestAge

  friend bool operator==(const InstanceLiveness& a, const InstanceLiveness& b) {
    return a.instance_index == b.instance_index && a.age == b.age;
  }
};

// Encodes a number of tokens logarithmically, with an error of at most 5 % up
// to about 100,000 tokens; larger numbers saturate.
uint8_t QuantiseTokens(int64_t tokens);
int64_t DequantiseTokens(uint8_t code);

// Message that one instance sends to another in an exchange.
struct PeerDigest {
  std::string sender;
  uint64_t incarnation = 0;  // grows with every start of the sender
  uint64_t sequence = 0;     // grows with every digest of one incarnation
  uint64_t version = 0;      // newest configuration version applied
  std::vector<DigestEdit> edits;
  std::vector<DigestLeaving> leaving;
  std::vector<DigestFingerprint> fingerprints;
  // Loads of targets of the failure domain. The hash identifies the sorted list
  // of targets that the indices refer to; a receiver whose list has another
  // hash ignores the loads.
  uint32_t domain_targets_hash = 0;
  std::vector<QuantisedLoad> loads;
  std::vector<std::string> draining;  // targets that the sender drains
  // Targets drained by any instance, on which the sender runs no requests.
  std::vector<std::string> draining_idle;
  // Liveness of the instances of the failure domain. The hash identifies their
  // sorted list, as for loads.
  uint32_t domain_instances_hash = 0;
  std::vector<InstanceLiveness> live_instances;
  bool wants_snapshot = false;
  uint64_t snapshot_version = 0;  // 0: no snapshot
  std::string snapshot;

  auto AsTuple() const {
    return std::tie(sender, incarnation, sequence, version, edits, leaving,
                    fingerprints, domain_targets_hash, loads, draining,
                    draining_idle, domain_instances_hash, live_instances,
                    wants_snapshot, snapshot_version, snapshot);
  }
  friend bool operator==(const PeerDigest& a, const PeerDigest& b) {
    return a.AsTuple() == b.AsTuple();
  }
  friend bool operator!=(const PeerDigest& a, const PeerDigest& b) {
    return !(a == b);
  }
};

// Returns which limit the digest exceeds, or an empty string if it is valid.
std::string ValidateDigest(const PeerDigest& digest);

// Estimates the encoded size in bytes. The estimate falls below the size on the
// wire by no more than the framing. O(entries).
size_t EstimateDigestBytes(const PeerDigest& digest);

}  // namespace endiveyard

#endif  // ENDIVEYARD_MEMBERSHIP_PEER_DIGEST_H_
