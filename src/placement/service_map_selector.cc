#include "endiveyard/placement/service_map_selector.h"

#include <utility>

namespace endiveyard {

bool ServiceMapSelector::Offer(ServiceMap map, const ServiceMapOrigin& origin) {
  if (current_ && map.version < current_->version) {
    // Within one era, it is a delayed response.
    registry_is_current_ = registry_is_current_ && origin.era <= origin_.era;
    return false;
  }
  if (current_ && map.version == current_->version) {
    if (origin < origin_) {
      return false;
    }
    origin_ = origin;
    registry_is_current_ = true;
    if (map == *current_) {
      return false;
    }
  }
  origin_ = origin;
  registry_is_current_ = true;
  current_ = std::make_shared<const ServiceMap>(std::move(map));
  return true;
}

}  // namespace endiveyard
