#ifndef ENDIVEYARD_PLACEMENT_REPLICA_PACE_H_
#define ENDIVEYARD_PLACEMENT_REPLICA_PACE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/replica_pace_report.h"

namespace endiveyard {

// Relative durations outside this range are not plausible and are ignored.
inline constexpr double kMinRelativeDuration = 0.1;
inline constexpr double kMaxRelativeDuration = 20;
// The other workloads on the machine of a replica change after this time, so
// that an older value says nothing about the present one.
inline constexpr Duration kMomentaryLifetime = std::chrono::milliseconds(600);
// Limits on what is kept.
inline constexpr size_t kMaxReplicaPaces = 16384;
inline constexpr size_t kMaxPaceSamples = 9;
// A lasting value that follows from fewer may be a matter of chance.
inline constexpr size_t kMinPaceSamples = 5;
inline constexpr Duration kReplicaPaceLifetime = std::chrono::minutes(10);

// How long work takes on the machines of replicas, relative to the usual time,
// as stated in their responses. The latest value counts less the older it is,
// until the lasting value is all that is left of it: the median of earlier
// ones, which is the speed of the machine without the workloads that slow it
// down for a short time. Without new values, that approaches the usual duration
// within tens of seconds. Instances tell each other what replicas have stated.
// Not thread-safe.
class ReplicaPaces {
 public:
  // Records what a response of the replica stated.
  void RecordResponse(uint64_t replica_key,
                      double relative_duration,
                      TimePoint now);
  // Returns the expected relative duration of work at the replica, or nullopt
  // if it has stated none.
  std::optional<double> RelativeDuration(uint64_t replica_key,
                                         TimePoint now) const;

  // Returns the latest value if it is not older than kMomentaryLifetime.
  std::optional<double> MomentaryDuration(uint64_t replica_key,
                                          TimePoint now) const;
  // Returns the lasting part if enough values are known.
  std::optional<double> LastingDuration(uint64_t replica_key) const;

  // Applies the report of another instance. `relay` makes it part of the own
  // reports.
  void ApplyReport(const ReplicaPaceReport& report, TimePoint now, bool relay);
  // Returns up to `max` values that are to be told to other instances and are
  // still of use to them, the latest first.
  std::vector<ReplicaPaceReport> TakeNews(size_t max, TimePoint now);
  // Returns up to `max` of all values that are still of use, the latest first.
  std::vector<ReplicaPaceReport> Digest(size_t max, TimePoint now) const;

  // Removes the values of replicas that are not among `replica_keys`, which
  // have to be sorted.
  void Retain(const std::vector<uint64_t>& replica_keys);
  bool empty() const { return paces_.empty(); }

 private:
  struct Pace {
    double momentary = 1;
    TimePoint stated_at{};
    // Values of different intervals of kMomentaryLifetime, the latest last.
    std::deque<double> samples;
    TimePoint sampled_at{};
    double lasting = 1;
    int reports_left = 0;
  };

  // Returns the entry if the value is newer than the known one.
  Pace* Set(uint64_t replica_key,
            double relative_duration,
            TimePoint stated_at,
            TimePoint now);

  std::unordered_map<uint64_t, Pace> paces_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_REPLICA_PACE_H_
