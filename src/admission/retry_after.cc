#include "endiveyard/admission/retry_after.h"

#include <algorithm>

namespace endiveyard {
namespace {

constexpr int64_t kMinSeconds = 1;
constexpr int64_t kMaxBaseSeconds = 30;
// The Retry-After header has whole seconds; fewer than four values would send
// large groups back in the same second.
constexpr int64_t kMinSpreadSeconds = 4;

}  // namespace

Duration RetryAfter(Duration wait, uint64_t request_hash) {
  const int64_t base =
      std::clamp(std::chrono::duration_cast<std::chrono::seconds>(wait).count(),
                 kMinSeconds, kMaxBaseSeconds);
  const auto spread = static_cast<uint64_t>(std::max(base, kMinSpreadSeconds));
  return std::chrono::seconds(base +
                              static_cast<int64_t>(request_hash % spread));
}

}  // namespace endiveyard
