#ifndef ENDIVEYARD_PLACEMENT_PEER_LOADS_H_
#define ENDIVEYARD_PLACEMENT_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Outstanding work of one instance at one replica.
struct ReplicaWork {
  uint64_t replica_key = 0;
  uint32_t calls = 0;                   // in flight
  uint32_t pending_prefill_tokens = 0;  // prompt tokens not prefilled yet

  bool operator==(const ReplicaWork& other) const {
    return replica_key == other.replica_key && calls == other.calls &&
           pending_prefill_tokens == other.pending_prefill_tokens;
  }
};

// Returns the key of a replica in messages between instances.
uint64_t ReplicaKey(std::string_view replica_id);

// A report counts for this time, or for a multiple of the interval at which
// they are sent, since some are lost.
inline constexpr Duration kMinReportLifetime = std::chrono::milliseconds(1500);
inline constexpr int kReportLifetimeIntervals = 5;

// Outstanding work of all other instances, by replica. Each instance reports
// its own work to those near it; in a large fleet, the work of a whole region
// is reported to the other regions. Not thread-safe.
class PeerLoads {
 public:
  // Replaces the report of `peer`, which sends one every `interval`. Returns
  // false and changes nothing if `sequence` is not above that of the last
  // report and that report has not expired.
  bool Update(uint64_t peer,
              uint64_t sequence,
              const std::vector<ReplicaWork>& work,
              TimePoint now,
              Duration interval = Duration(0));
  // Replaces the work of all instances of another region, as reported by any of
  // them.
  void UpdateRegion(uint64_t region,
                    const std::vector<ReplicaWork>& work,
                    TimePoint now,
                    Duration interval);

  // Return the sums over all peers and regions, weighted by the age of their
  // reports.
  double Calls(uint64_t replica_key, TimePoint now) const;
  double PendingPrefillTokens(uint64_t replica_key, TimePoint now) const;

  // Returns the weighted sums over the peers, without other regions.
  std::vector<ReplicaWork> WorkOfPeers(TimePoint now) const;

  // Returns the sums over the peers and regions as they were reported, without
  // weights, which are too low for the load of a whole service.
  std::vector<ReplicaWork> ReportedWork(TimePoint now) const;

  // Returns the number of peers whose last report has not expired.
  size_t LivePeers(TimePoint now) const;
  // Removes the state of peers that have not reported for a long time.
  void Expire(TimePoint now);

 private:
  struct Report {
    uint64_t sequence = 0;
    TimePoint received{};
    Duration lifetime = kMinReportLifetime;
    std::vector<ReplicaWork> work;

    bool IsExpired(TimePoint now) const { return now - received >= lifetime; }
    double Weight(TimePoint now) const;
  };
  struct Sums {
    double calls = 0;
    double pending_prefill_tokens = 0;
  };
  using SumsByReplica = std::unordered_map<uint64_t, Sums>;

  static void Add(const Report& report, TimePoint now, SumsByReplica* sums);
  const Sums& SumsOf(uint64_t replica_key, TimePoint now) const;

  std::map<uint64_t, Report> reports_;
  std::map<uint64_t, Report> region_reports_;
  // Sums at `summed_at_`, so that not every query adds up all reports.
  mutable SumsByReplica sums_;
  mutable std::optional<TimePoint> summed_at_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_PEER_LOADS_H_
