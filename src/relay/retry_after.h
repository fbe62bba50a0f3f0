#ifndef ENDIVEYARD_SRC_RELAY_RETRY_AFTER_H_
#define ENDIVEYARD_SRC_RELAY_RETRY_AFTER_H_

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Minimum Retry-After delay: long enough for engines to prefill a batch of
// prompts.
inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(250);
// Loading the lists from the registry, or waiting for the next free target,
// takes about this long.
inline constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(500);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_RETRY_AFTER_H_
