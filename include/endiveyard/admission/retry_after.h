#ifndef ENDIVEYARD_ADMISSION_RETRY_AFTER_H_
#define ENDIVEYARD_ADMISSION_RETRY_AFTER_H_

#include <cstdint>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Returns the time after which a rejected caller should retry, in whole
// seconds: `wait`, limited to 1 to 30 s, plus a jitter derived from
// `request_hash` of less than that time (or 4 s, if longer). The jitter spreads
// the retries of callers that were rejected together. At most 60 s.
Duration RetryAfter(Duration wait, uint64_t request_hash);

}  // namespace endiveyard

#endif  // ENDIVEYARD_ADMISSION_RETRY_AFTER_H_
