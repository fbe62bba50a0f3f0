#include "endiveyard/admission/retry_after.h"

#include <algorithm>

namespace endiveyard {
namespace {

constexpr int64_t kMinSeconds = 1;
constexpr int64_t kMaxBaseSeconds = 30;
// The Retry-After header has a resolution of one second; with fewer than four
// values, too many callers would retry in the same second.
constexpr int64_t kMinJitterRangeSeconds = 4;

}  // namespace

Duration RetryAfter(Duration wait, uint64_t request_hash) {
  const int64_t base =
      std::clamp(std::chrono::duration_cast<std::chrono::seconds>(wait).count(),
                 kMinSeconds, kMaxBaseSeconds);
  const auto jitter_range =
      static_cast<uint64_t>(std::max(base, kMinJitterRangeSeconds));
  return std::chrono::seconds(
      base + static_cast<int64_t>(request_hash % jitter_range));
}

}  // namespace endiveyard
