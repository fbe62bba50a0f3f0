#ifndef ENDIVEYARD_MEMBERSHIP_MEMBERSHIP_STATE_H_
#define ENDIVEYARD_MEMBERSHIP_MEMBERSHIP_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/membership/peer_digest.h"

namespace endiveyard {

struct MembershipOptions {
  std::string instance;
  std::string failure_domain;
  uint64_t incarnation = 1;  // grows with every start of the instance
  uint64_t seed = 1;         // of the random choice of peers
  // With at most this many peers, every pair exchanges digests each round.
  // With more, the fan-out limits below apply.
  size_t full_mesh_limit = 8;
  size_t domain_fan_out = 2;  // exchanges per round in the failure domain
  size_t remote_fan_out = 1;  // exchanges per round with other domains
  // Exchanges go to a fixed set of neighbours, since each new connection costs
  // a TLS handshake of several kilobytes.
  size_t domain_neighbours = 4;
  size_t remote_neighbours = 2;
  // Limit on bytes sent and received together, averaged over one second: the
  // refill rate of the token bucket, whose capacity is the refill of one
  // second.
  size_t bytes_per_second = 8192;
  // A peer is live if this instance, or another one of its failure domain, has
  // received a digest from it within this time.
  Duration liveness_timeout = std::chrono::seconds(20);
  Duration leaving_lifetime = std::chrono::minutes(10);
  Duration fingerprint_lifetime = std::chrono::minutes(10);
};

// An instance of this installation, from the platform's list.
struct PeerInfo {
  std::string instance;
  std::string address;  // "ip:port" of its peer server
  std::string failure_domain;

  friend bool operator==(const PeerInfo& a, const PeerInfo& b) {
    return a.instance == b.instance && a.address == b.address &&
           a.failure_domain == b.failure_domain;
  }
};

// What is known about one peer.
struct PeerRecord {
  PeerInfo info;
  // Fields of the last accepted digest.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t version = 0;
  bool wants_snapshot = false;
  std::optional<TimePoint> last_digest_at;  // when it was accepted
  // When the peer was last known to be alive: `last_digest_at`, or a later
  // time that another instance of its failure domain reported.
  std::optional<TimePoint> last_alive_at;
  uint32_t unanswered_exchanges = 0;  // started since `last_digest_at`
};

// Newest known load of a target.
struct ReportedTargetLoad {
  int64_t queued_tokens = 0;
  int running = 0;
  TimePoint at;  // of the target's report, by this instance's clock
};

// What one instance knows and passes on to its peers in digests.
struct MembershipState {
  std::map<std::string, PeerRecord> peers;
  std::map<std::string, TimePoint> leaving;    // target to expiry
  std::map<uint64_t, TimePoint> fingerprints;  // value to expiry
  // Instances of the failure domain, this one included, sorted by name.
  std::vector<std::string> domain_instances;
  uint32_t domain_instances_hash = 0;
  // Targets of the failure domain, sorted by id.
  std::vector<std::string> domain_targets;
  uint32_t domain_targets_hash = 0;
  // By index in `domain_targets`.
  std::map<uint16_t, ReportedTargetLoad> loads;
  uint64_t sequence = 0;   // of the last digest built
  uint64_t rounds = 0;     // started so far
  size_t load_cursor = 0;  // index of the first load in the next digest
  // Level of the token bucket that limits digest traffic, in bytes. Negative
  // after more bytes were sent and received than it held.
  int64_t byte_bucket_level = 0;
  std::optional<TimePoint> last_round;
  uint64_t ignored_digests = 0;  // see ApplyDigest()
};

// Access to this instance's replica of the configuration.
struct ConfigurationSource {
  uint64_t version = 0;         // newest version applied
  bool wants_snapshot = false;  // asks peers for a snapshot
  // Returns at most `limit` applied edits that follow `version`.
  std::function<std::vector<DigestEdit>(uint64_t version, size_t limit)>
      edits_after;
  // Returns the configuration at the newest version applied.
  std::function<std::string()> take_snapshot;
};

// What ApplyDigest() changed.
struct DigestEffect {
  bool accepted = false;  // false: the digest was ignored
  std::vector<std::string> new_leaving_targets;
  std::vector<uint64_t> new_fingerprints;
  std::vector<std::string> updated_load_targets;
};

// Replaces the list of peers, leaving out this instance. Records of peers that
// remain in the list are kept.
void ApplyPeerList(const MembershipOptions& options,
                   const std::vector<PeerInfo>& peers,
                   MembershipState* state);

// Replaces the targets of the failure domain; loads are tracked for the first
// kMaxDigestLoads ids only. Known loads move to the new indices of their
// targets.
void SetDomainTargets(std::vector<std::string> targets, MembershipState* state);

// Records what this instance has observed itself, for the next digests.
// RecordTargetLoad() ignores targets of other failure domains.
void RecordLeavingTarget(const MembershipOptions& options,
                         std::string_view target,
                         TimePoint now,
                         MembershipState* state);
void RecordFingerprint(const MembershipOptions& options,
                       uint64_t fingerprint,
                       TimePoint now,
                       MembershipState* state);
void RecordTargetLoad(std::string_view target,
                      int64_t queued_tokens,
                      int running,
                      TimePoint now,
                      MembershipState* state);

// Starts a round, once a second: removes expired entries, refills the token
// bucket and returns the peers to exchange digests with. Up to the full-mesh
// limit these are all peers, once per pair; above it, a random choice among the
// neighbours in this failure domain and in others. A peer that does not answer
// is replaced as a neighbour, and probed from time to time. O(peers).
std::vector<PeerInfo> StartExchangeRound(const MembershipOptions& options,
                                         TimePoint now,
                                         MembershipState* state);

// Builds the digest for one exchange and takes its bytes from the token bucket.
// Entries are added only while the bucket holds enough bytes for them, in the
// order fingerprints, leaving targets, edits, instances and loads; the version
// is always included. A snapshot that the peer asked for is not taken from the
// bucket, since peers ask only while they cannot reach the object API.
// O(entries).
PeerDigest BuildDigest(const MembershipOptions& options,
                       std::string_view peer,
                       const ConfigurationSource& source,
                       TimePoint now,
                       MembershipState* state);

// Applies a digest whose sender was verified. Digests that are invalid or come
// from unknown senders, old incarnations, or repeated or older sequence numbers
// are ignored and counted.
DigestEffect ApplyDigest(const MembershipOptions& options,
                         const PeerDigest& digest,
                         TimePoint now,
                         MembershipState* state);

// Live peers, sorted by name. Peers of this failure domain are known to be live
// through each other's digests as well; those of other domains only through
// their own digests.
std::vector<std::string> LivePeers(const MembershipOptions& options,
                                   TimePoint now,
                                   const MembershipState& state);

// Configuration versions last reported by the live peers and `own_version`, by
// instance name.
std::map<std::string, uint64_t> ReportedVersions(
    const MembershipOptions& options,
    uint64_t own_version,
    TimePoint now,
    const MembershipState& state);

// Returns whether this instance watches the configuration log for its failure
// domain. The two live instances with the lowest rendezvous hashes do; others
// receive new versions in digests. A peer that has sent no digest yet counts as
// live until the liveness timeout has passed since `started`.
bool IsWatcher(const MembershipOptions& options,
               TimePoint started,
               TimePoint now,
               const MembershipState& state);

}  // namespace endiveyard

#endif  // ENDIVEYARD_MEMBERSHIP_MEMBERSHIP_STATE_H_
