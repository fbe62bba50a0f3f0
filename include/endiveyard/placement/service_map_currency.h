#ifndef ENDIVEYARD_PLACEMENT_SERVICE_MAP_CURRENCY_H_
#define ENDIVEYARD_PLACEMENT_SERVICE_MAP_CURRENCY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Versions that other instances had in force count for this time.
inline constexpr Duration kHeardVersionLifetime = std::chrono::seconds(90);
// A registry that was restored from a copy is written again by the operators
// within seconds. After this time, a version that only other instances know of
// is taken for an error, so that a forged report cannot refuse requests for
// good.
inline constexpr Duration kMaxTimeBehind = std::chrono::seconds(30);

// Decides whether the service map of this instance is older than the one that
// others have in force, although the registry can be read: then the registry
// was restored from a copy, and keys that were withdrawn since would be
// accepted again. No I/O.
class ServiceMapCurrency {
 public:
  // A newer version takes up to `propagation_time` to reach all instances.
  explicit ServiceMapCurrency(Duration propagation_time)
      : propagation_time_(propagation_time) {}

  // Records the version that the instance `peer` has in force.
  void RecordPeer(uint32_t peer, int64_t version, TimePoint now);
  // Records the version that this instance has in force.
  void RecordOwn(int64_t version);
  // Records that this process or the registry begins anew: until this instance
  // has caught up once, what it reads may be older than what others know.
  void RecordRestart();

  // Returns true if requests must not be accepted by the keys of the own map.
  bool IsBehind(TimePoint now);

  // Returns the highest version that another instance has in force, 0 if there
  // is none.
  int64_t HighestHeard(TimePoint now) const;

 private:
  struct Heard {
    int64_t version = 0;
    TimePoint at{};
  };

  const Duration propagation_time_;
  std::map<uint32_t, Heard> heard_;
  int64_t own_version_ = 0;
  bool has_caught_up_ = false;
  std::optional<TimePoint> behind_since_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_SERVICE_MAP_CURRENCY_H_
