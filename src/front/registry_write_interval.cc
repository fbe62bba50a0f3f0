#include "front/registry_write_interval.h"

#include <algorithm>

namespace endiveyard {

Duration RegistryWriteInterval(size_t instances,
                               double writes_per_second,
                               Duration shortest) {
  constexpr double kUsableShare = 0.5;
  if (writes_per_second <= 0) {
    return shortest;
  }
  const double seconds =
      static_cast<double>(instances) / (writes_per_second * kUsableShare);
  return std::max(shortest, std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(seconds)));
}

}  // namespace endiveyard
