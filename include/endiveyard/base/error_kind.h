#ifndef ENDIVEYARD_BASE_ERROR_KIND_H_
#define ENDIVEYARD_BASE_ERROR_KIND_H_

#include <array>
#include <string_view>

#include "absl/status/status.h"

namespace endiveyard {

// All errors that a caller or operator can receive. The table in error_kind.cc
// gives the response to each; docs/errors.md documents it.
enum class ErrorKind {
  kBadRequest,
  kUnauthorized,
  kUnknownService,
  kMethodNotAllowed,
  kLengthRequired,
  kBodyTooLarge,
  kHeadersTooLarge,
  kKeyReused,
  kInProgress,
  kOverloaded,
  kNoCapacity,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kNotReady,
  kShuttingDown,
  kObjectApiUnavailable,
  kOutcomeUnknown,
  kTargetRefused,
  kTargetFailed,
  kCrashesTargets,
  kConflict,
  kInvalidSettings,
  kInternal,
  kCount,
};

inline constexpr int kErrorKindCount = static_cast<int>(ErrorKind::kCount);

// Whether the request was executed by a target: no, yes, or not known.
enum class RunState { kNotRun, kRan, kUnknown };

// Whether a caller may send the same request again: never, always, or only with
// the same idempotency key.
enum class RetryAdvice { kNever, kSafe, kSameKeyOnly };

// One row of the table of responses.
struct ErrorResponse {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  RunState run;
  RetryAdvice retry;
  absl::StatusCode status_code;
  std::string_view message;
};

// Returns the row for `kind`. Precondition: `kind` is not kCount. O(1).
const ErrorResponse& ErrorResponseFor(ErrorKind kind);

// The whole table, in the order of the enumeration.
const std::array<ErrorResponse, kErrorKindCount>& ErrorResponses();

std::string_view RunStateName(RunState run);
std::string_view RetryAdviceName(RetryAdvice retry);

// Returns a status with the message of `kind`, followed by `detail` unless that
// is empty. The payload of the status holds the kind.
absl::Status MakeError(ErrorKind kind, std::string_view detail);

// Returns the kind of a status made by MakeError(); kInternal for any other.
ErrorKind KindOf(const absl::Status& status);

}  // namespace endiveyard

#endif  // ENDIVEYARD_BASE_ERROR_KIND_H_
