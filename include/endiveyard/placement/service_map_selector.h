#ifndef ENDIVEYARD_PLACEMENT_SERVICE_MAP_SELECTOR_H_
#define ENDIVEYARD_PLACEMENT_SERVICE_MAP_SELECTOR_H_

#include <cstdint>
#include <memory>

#include "endiveyard/placement/service_map.h"

namespace endiveyard {

// The write of a service map to the registry. Later writes compare greater.
struct ServiceMapOrigin {
  int64_t era = 0;  // see RegistryClient
  int64_t revision = 0;

  bool operator==(const ServiceMapOrigin& other) const {
    return era == other.era && revision == other.revision;
  }
  bool operator<(const ServiceMapOrigin& other) const {
    return era != other.era ? era < other.era : revision < other.revision;
  }
};

// Selects the service map to apply among those that the registry returns. A
// version never gives way to a lower one: a delayed response, or a registry
// that was restored from a copy, may return what operators have replaced since.
// Of two maps with the same version, the one that was written last is applied,
// since a restored registry gives versions out again.
class ServiceMapSelector {
 public:
  // Returns true if `map` is now the current one.
  bool Offer(ServiceMap map, const ServiceMapOrigin& origin);

  // The map to apply; null until the first one was offered.
  const std::shared_ptr<const ServiceMap>& current() const { return current_; }
  // False while the registry holds a lower version than the current one, so
  // that it may lack further versions, too.
  bool is_registry_current() const { return registry_is_current_; }

 private:
  std::shared_ptr<const ServiceMap> current_;
  ServiceMapOrigin origin_;
  bool registry_is_current_ = true;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_SERVICE_MAP_SELECTOR_H_
