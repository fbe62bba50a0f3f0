#ifndef ENDIVEYARD_PLACEMENT_REPLICA_RATE_LIMITS_H_
#define ENDIVEYARD_PLACEMENT_REPLICA_RATE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// What an instance knows about the rate limit of one replica incarnation.
struct RateLimitReport {
  uint64_t replica_key = 0;  // see EngineKey()
  // Limit on the requests per second from all instances together; absent once
  // the replica has responded without one.
  std::optional<double> requests_per_second;
  Duration age{};  // since the response that stated this

  bool operator==(const RateLimitReport& other) const {
    return replica_key == other.replica_key &&
           requests_per_second == other.requests_per_second && age == other.age;
  }
};

// Position of an instance among the live ones, in an order that is the same on
// all of them.
struct InstancePosition {
  size_t index = 0;
  size_t count = 1;
  // Indexes of instances that are shutting down and get no more requests from
  // callers, in order. May include `index`.
  std::vector<size_t> leaving;
  // This instance has just started, so that others may not count it yet.
  bool joining = false;

  bool operator==(const InstancePosition& other) const {
    return index == other.index && count == other.count &&
           leaving == other.leaving && joining == other.joining;
  }
};

// Position of a replica among the usable ones of its service, in order of id.
struct ReplicaPosition {
  size_t index = 0;
  size_t count = 1;
};

// Limits on what is kept.
inline constexpr size_t kMaxRateLimits = 16384;
// A limit lapses if it has not been stated again for this time. Limited
// replicas get at least one request in kMaxRequestInterval, whose response
// states the limit again.
inline constexpr Duration kRateLimitLifetime = std::chrono::minutes(1);
inline constexpr Duration kMaxRequestInterval = std::chrono::seconds(10);
// An instance with a smaller share of a limit would have to save it up for
// longer than callers wait. Instead, fewer instances share the limit.
inline constexpr double kMinSharePerSecond = 0.5;

// Keeps the requests to each replica below the rate that the replica states in
// its responses, over all instances together. The limit is divided equally
// among instances, or, where the shares would be too small, among some of them:
// its holders, whose positions follow from that of the replica, so that all
// instances are holders of about as many replicas. Each holder spends its share
// from a token bucket. No instance has to ask another one. The shares of
// instances that are leaving go to the others, until these know that the
// instance is back.
//
// Instances tell each other the limits; the latest response counts. A limit
// outlives the registration of its replica, which lapses while a replica that
// serves is cut off from the registry. Not thread-safe.
class ReplicaRateLimits {
 public:
  // Records the limit in a response of the replica, or that a response had
  // none. Returns true if that changes what is known.
  bool RecordResponse(uint64_t replica_key,
                      std::optional<double> requests_per_second,
                      TimePoint now);
  // Returns the limit of the replica in requests per second, if it has one.
  std::optional<double> LimitOf(uint64_t replica_key, TimePoint now) const;

  // Sets which share of each limit is that of this instance.
  void set_instance(InstancePosition position) {
    instance_ = std::move(position);
  }

  // Returns the time until this instance may send a request to the replica: 0
  // for now, nullopt if it holds no share of the limit.
  std::optional<Duration> WaitFor(uint64_t replica_key,
                                  ReplicaPosition replica,
                                  TimePoint now);
  // Records that a request was sent to the replica, or will be after the time
  // that WaitFor() returned.
  void RecordSent(uint64_t replica_key, TimePoint now);
  // Takes back a call of RecordSent().
  void RecordNotSent(uint64_t replica_key, TimePoint now);

  // Applies the report of another instance. `relay` makes what is new part of
  // the own reports.
  void ApplyReport(const RateLimitReport& report, TimePoint now, bool relay);
  // Returns what was learned recently, each fact several times, since reports
  // may be lost; at most `max` entries.
  std::vector<RateLimitReport> TakeNews(size_t max, TimePoint now);
  // Returns up to `max` of the limits in force, in turn.
  std::vector<RateLimitReport> Digest(size_t max, TimePoint now);

  bool empty() const { return limits_.empty(); }

 private:
  struct Limit {
    std::optional<double> requests_per_second;
    TimePoint stated_at{};
    int reports_left = 0;
    // Bucket of this instance. Starts empty, so that instances that become
    // holders do not add to the rate at once.
    double tokens = 0;
    TimePoint filled_at{};
  };

  // Sets what the replica stated at `stated_at`, unless it is outdated. Returns
  // true if that changes what is known.
  bool Set(uint64_t replica_key,
           std::optional<double> requests_per_second,
           TimePoint stated_at,
           TimePoint now);
  static bool IsInForce(const Limit& limit, TimePoint now);
  // Returns the share of this instance in requests per second.
  double ShareOf(const Limit& limit, ReplicaPosition replica) const;
  void RemoveExpired(TimePoint now);

  std::unordered_map<uint64_t, Limit> limits_;
  InstancePosition instance_;
  // Keys in the order of the last digests, and where the next one begins.
  std::vector<uint64_t> digest_keys_;
  size_t digest_next_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_REPLICA_RATE_LIMITS_H_
