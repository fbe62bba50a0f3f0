#ifndef ENDIVEYARD_ADMISSION_RETRY_AFTER_H_
#define ENDIVEYARD_ADMISSION_RETRY_AFTER_H_

#include <cstdint>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Time after which a refused caller should come back: `wait`, but at least
// 1 s, plus up to as much again by `request_hash`, so that callers refused
// together return spread over the window. At most 60 s, in whole seconds.
Duration RetryAfter(Duration wait, uint64_t request_hash);

}  // namespace endiveyard

#endif  // ENDIVEYARD_ADMISSION_RETRY_AFTER_H_
