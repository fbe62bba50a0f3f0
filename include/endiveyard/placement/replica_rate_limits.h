#ifndef ENDIVEYARD_PLACEMENT_REPLICA_RATE_LIMITS_H_
#define ENDIVEYARD_PLACEMENT_REPLICA_RATE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Limit on the entries that are kept.
inline constexpr size_t kMaxRateLimits = 16384;
// A limit lapses if it has not been stated again for this time.
inline constexpr Duration kRateLimitLifetime = std::chrono::minutes(1);

// Limits on the rate of requests that replicas state in their responses. Not
// thread-safe.
class ReplicaRateLimits {
 public:
  // Records the limit in a response of the replica incarnation with this
  // EngineKey(), or that a response had none. Returns true if that changes what
  // is known.
  bool RecordResponse(uint64_t replica_key,
                      std::optional<double> requests_per_second,
                      TimePoint now);
  // Returns the limit of the replica in requests per second, if it has one.
  std::optional<double> LimitOf(uint64_t replica_key, TimePoint now) const;

 private:
  struct Limit {
    std::optional<double> requests_per_second;
    TimePoint stated_at{};
  };

  static bool IsInForce(const Limit& limit, TimePoint now);

  std::unordered_map<uint64_t, Limit> limits_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_REPLICA_RATE_LIMITS_H_
