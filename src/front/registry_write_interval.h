#ifndef ENDIVEYARD_SRC_FRONT_REGISTRY_WRITE_INTERVAL_H_
#define ENDIVEYARD_SRC_FRONT_REGISTRY_WRITE_INTERVAL_H_

#include <cstddef>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Returns the interval, `shortest` or longer, at which each of `instances` may
// write a record so that all together use at most half of the writes that the
// registry takes. `writes_per_second` is 0 if there is no limit.
Duration RegistryWriteInterval(size_t instances,
                               double writes_per_second,
                               Duration shortest);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_REGISTRY_WRITE_INTERVAL_H_
