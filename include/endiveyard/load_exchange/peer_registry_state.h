#ifndef ENDIVEYARD_LOAD_EXCHANGE_PEER_REGISTRY_STATE_H_
#define ENDIVEYARD_LOAD_EXCHANGE_PEER_REGISTRY_STATE_H_

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// What the other instances have said lately about their links to the registry.
class PeerRegistryState {
 public:
  // Reports count for this long: four of those that are sent without any
  // change.
  static constexpr Duration kMemory = std::chrono::seconds(2);

  // Records a report of another instance.
  void RecordReport(uint32_t peer, bool registry_lost, TimePoint now) {
    RemoveOld(now);
    if (registry_lost) {
      last_without_[peer] = now;
    } else {
      last_with_ = now;
    }
  }

  // Returns true if each of `others` says that it cannot read the registry, and
  // no instance that it can. Silence says nothing, since it may be a partition.
  // `others` are all other instances that may run; nullopt if they are not
  // known.
  bool IsLostByAll(const std::optional<std::vector<uint32_t>>& others,
                   TimePoint now) const {
    return others && !(last_with_ && IsRecent(*last_with_, now)) &&
           std::all_of(
               others->begin(), others->end(), [this, now](uint32_t peer) {
                 const auto it = last_without_.find(peer);
                 return it != last_without_.end() && IsRecent(it->second, now);
               });
  }

 private:
  static bool IsRecent(TimePoint at, TimePoint now) {
    return now - at < kMemory;
  }

  void RemoveOld(TimePoint now) {
    for (auto it = last_without_.begin(); it != last_without_.end();) {
      it = IsRecent(it->second, now) ? std::next(it) : last_without_.erase(it);
    }
  }

  std::optional<TimePoint> last_with_;
  std::map<uint32_t, TimePoint> last_without_;  // by address
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_LOAD_EXCHANGE_PEER_REGISTRY_STATE_H_
