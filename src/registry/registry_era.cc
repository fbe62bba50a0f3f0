#include "endiveyard/registry/registry_era.h"

#include <utility>

namespace endiveyard {

bool RegistryEra::Record(int64_t era) {
  if (era == 0) {
    return true;
  }
  if (era < latest_) {
    return false;
  }
  const int64_t before = std::exchange(latest_, era);
  if (before != 0 && before < era) {
    for (const Subscriber& it : subscribers_) {
      it(era, before);
    }
  }
  return true;
}

}  // namespace endiveyard
