#ifndef ENDIVEYARD_LOAD_EXCHANGE_PEER_REGISTRY_STATE_H_
#define ENDIVEYARD_LOAD_EXCHANGE_PEER_REGISTRY_STATE_H_

#include <cstddef>
#include <optional>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// What the other instances have said lately about their links to the registry.
class PeerRegistryState {
 public:
  // Reports count for this long: four of those that are sent without any
  // change.
  static constexpr Duration kMemory = std::chrono::seconds(2);

  // Records a report of another instance.
  void RecordReport(bool registry_lost, TimePoint now) {
    (registry_lost ? last_without_ : last_with_) = now;
  }

  // Returns true if others say that they cannot read the registry, and none
  // that it can. The silence of the others says nothing, since it may be a
  // partition, unless there are none: `instances` is the number of live ones.
  bool IsLostByAll(size_t instances, TimePoint now) const {
    return instances <= 1 ||
           (IsRecent(last_without_, now) && !IsRecent(last_with_, now));
  }

 private:
  static bool IsRecent(const std::optional<TimePoint>& at, TimePoint now) {
    return at && now - *at < kMemory;
  }

  std::optional<TimePoint> last_with_;
  std::optional<TimePoint> last_without_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_LOAD_EXCHANGE_PEER_REGISTRY_STATE_H_
