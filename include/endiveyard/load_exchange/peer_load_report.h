#ifndef ENDIVEYARD_LOAD_EXCHANGE_PEER_LOAD_REPORT_H_
#define ENDIVEYARD_LOAD_EXCHANGE_PEER_LOAD_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/duties/usage_counts.h"
#include "endiveyard/placement/cache_view.h"
#include "endiveyard/placement/crash_suspects.h"
#include "endiveyard/placement/peer_loads.h"
#include "endiveyard/placement/placer.h"
#include "endiveyard/placement/replica_pace_report.h"
#include "endiveyard/placement/replica_rate_limits.h"
#include "endiveyard/placement/stream_versions.h"
#include "endiveyard/placement/target_availability.h"

namespace endiveyard {

// Size limit of a report. For 500 replicas, each with work and a cache entry, a
// report takes 34 bytes per replica; cached parts, crashes and rate limits take
// 6 KB more.
inline constexpr size_t kMaxPeerLoadReportBytes = 24576;

// An instance that the sender of a report knows to be live.
struct Member {
  uint32_t address = 0;  // IPv4
  uint16_t region = 0;   // digest of the region name
  Duration age{};        // since its last sign of life, in units of 250 ms
  bool leaving = false;  // shuts down and takes no more requests from callers

  bool operator==(const Member& other) const {
    return address == other.address && region == other.region &&
           age == other.age && leaving == other.leaving;
  }
};

// What a report describes.
enum class ReportScope {
  kInstance,  // work and cached parts of the sender
  kRegion,    // work of all instances of the sender's region
  kMembers,   // live instances only
};

// Cached parts as told by the instance that made the calls.
struct RelayedCacheUpdate {
  uint32_t origin = 0;  // IPv4 address of that instance, 0 for the sender
  CacheUpdate update;

  bool operator==(const RelayedCacheUpdate& other) const {
    return origin == other.origin && update == other.update;
  }
};

// The report of one instance to others, sent as one datagram.
struct PeerLoadReport {
  uint32_t sender = 0;  // IPv4 address
  uint64_t sequence = 0;
  uint16_t region = 0;   // digest of the region name
  bool leaving = false;  // see Member
  ReportScope scope = ReportScope::kInstance;
  Duration interval{};  // until the next report of this scope, in whole ms
  std::vector<ReplicaWork> work;
  std::vector<RelayedCacheUpdate> cached;
  std::vector<Member> members;
  std::vector<ServiceProfile> profiles;
  std::vector<CrashReport> crashes;
  std::vector<RateLimitReport> rate_limits;
  std::vector<LeavingReport> leaving_replicas;
  std::vector<StreamReport> streams;
  // False in reports of builds that know no field for streams. They begin
  // streams at any version.
  bool tells_streams = true;
  bool registry_lost = false;  // the sender cannot read the registry
  // The sender takes requests that others forward, see ForwardingState.
  bool takes_requests = false;
  bool takes_last_requests = false;  // see ForwardingState
  // Version of the service map that the sender has in force; 0 if not told.
  int64_t map_version = 0;
  // Time since the registry confirmed to the sender that it is the latest one,
  // in whole ms; nullopt if it did not lately.
  std::optional<Duration> map_age;
  // Highest revision of a replica that the sender has read, 0 if not told, and
  // the era of the registry.
  int64_t replica_change = 0;
  int64_t replica_era = 0;
  // Time since the registry confirmed to the sender that it knows all replicas,
  // in whole ms; nullopt if it did not lately.
  std::optional<Duration> replica_age;
  int64_t unix_ms = 0;  // time of day at the sender; 0 if not told
  DutyHolderReport duty_holder;
  std::vector<WindowUsage> usage;   // at the sender, for the duty holder
  std::vector<int64_t> usage_acks;  // windows received from the recipient
  std::vector<ReplicaPaceReport> paces;

  bool operator==(const PeerLoadReport& other) const;
};

// Serializes to packed Cap'n Proto.
std::string EncodePeerLoadReport(const PeerLoadReport& report);

// Returns nullopt for bytes that are not a valid report. Safe for untrusted
// input.
std::optional<PeerLoadReport> DecodePeerLoadReport(std::string_view bytes);

}  // namespace endiveyard

#endif  // ENDIVEYARD_LOAD_EXCHANGE_PEER_LOAD_REPORT_H_
