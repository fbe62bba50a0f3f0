#include "endiveyard/object_api/object_api.h"

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace endiveyard {
namespace {

constexpr char kRetryAfterPayload[] = "endiveyard/retry-after-us";

}  // namespace

absl::Status RateLimitedError(Duration retry_after) {
  absl::Status status =
      absl::ResourceExhaustedError("object API: rate limit exceeded");
  status.SetPayload(kRetryAfterPayload,
                    absl::Cord(absl::StrCat(retry_after.count())));
  return status;
}

Duration RetryAfterOf(const absl::Status& status) {
  const auto payload = status.GetPayload(kRetryAfterPayload);
  int64_t micros = 0;
  if (!payload || !absl::SimpleAtoi(std::string(*payload), &micros)) {
    return Duration(0);
  }
  return Duration(micros);
}

}  // namespace endiveyard
