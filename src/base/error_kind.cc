#include "endiveyard/base/error_kind.h"

#include <string>

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"

namespace endiveyard {
namespace {

constexpr std::string_view kKindPayload = "endiveyard/error_kind";

using Code = absl::StatusCode;
constexpr auto kNotRun = RunState::kNotRun;
constexpr auto kRan = RunState::kRan;
constexpr auto kUnknown = RunState::kUnknown;
constexpr auto kNever = RetryAdvice::kNever;
constexpr auto kSafe = RetryAdvice::kSafe;
constexpr auto kSameKey = RetryAdvice::kSameKeyOnly;

const std::array<ErrorResponse, kErrorKindCount> kResponses = {{
    {ErrorKind::kBadRequest, "bad_request", 400, kNotRun, kNever,
     Code::kInvalidArgument, "the request is malformed"},
    {ErrorKind::kUnauthorized, "unauthorized", 401, kNotRun, kNever,
     Code::kUnauthenticated, "the caller key is missing or unknown"},
    {ErrorKind::kUnknownService, "unknown_service", 404, kNotRun, kNever,
     Code::kNotFound, "no such service, model or path for this house"},
    {ErrorKind::kMethodNotAllowed, "method_not_allowed", 405, kNotRun, kNever,
     Code::kInvalidArgument, "the path does not take this method"},
    {ErrorKind::kLengthRequired, "length_required", 411, kNotRun, kNever,
     Code::kInvalidArgument, "the request needs a Content-Length"},
    {ErrorKind::kBodyTooLarge, "body_too_large", 413, kNotRun, kNever,
     Code::kInvalidArgument, "the body exceeds the limit"},
    {ErrorKind::kHeadersTooLarge, "headers_too_large", 431, kNotRun, kNever,
     Code::kInvalidArgument, "the headers exceed the limit"},
    {ErrorKind::kKeyReused, "key_reused", 422, kNotRun, kNever,
     Code::kInvalidArgument,
     "the idempotency key was used with another request"},
    {ErrorKind::kInProgress, "in_progress", 409, kUnknown, kSameKey,
     Code::kAborted, "a request with this idempotency key is running"},
    {ErrorKind::kOverloaded, "overloaded", 429, kNotRun, kSafe,
     Code::kResourceExhausted, "the queue of this house and class is full"},
    {ErrorKind::kNoCapacity, "no_capacity", 503, kNotRun, kSafe,
     Code::kUnavailable, "no target can take the request"},
    {ErrorKind::kDeadlineTooShort, "deadline_too_short", 503, kNotRun, kSafe,
     Code::kUnavailable, "the deadline cannot be met"},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504, kRan, kSafe,
     Code::kDeadlineExceeded, "the deadline passed while the request ran"},
    {ErrorKind::kNotReady, "not_ready", 503, kNotRun, kSafe, Code::kUnavailable,
     "the instance is not ready"},
    {ErrorKind::kShuttingDown, "shutting_down", 503, kNotRun, kSafe,
     Code::kUnavailable, "the instance is shutting down"},
    {ErrorKind::kObjectApiUnavailable, "object_api_unavailable", 503, kNotRun,
     kSafe, Code::kUnavailable, "the object API is unavailable"},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, kUnknown, kSameKey,
     Code::kUnknown, "the request may have run; its outcome is unknown"},
    {ErrorKind::kTargetRefused, "target_refused", 502, kNotRun, kSafe,
     Code::kUnavailable, "the target refused the request before running it"},
    {ErrorKind::kTargetFailed, "target_failed", 502, kRan, kSafe,
     Code::kInternal, "the targets failed while running the request"},
    {ErrorKind::kCrashesTargets, "crashes_targets", 500, kRan, kNever,
     Code::kInternal, "the request ran and crashed its targets"},
    {ErrorKind::kConflict, "conflict", 409, kNotRun, kNever, Code::kAborted,
     "the configuration changed since it was read"},
    {ErrorKind::kInvalidSettings, "invalid_settings", 422, kNotRun, kNever,
     Code::kInvalidArgument, "the settings are invalid"},
    {ErrorKind::kInternal, "internal", 500, kUnknown, kSameKey, Code::kInternal,
     "internal error"},
}};

}  // namespace

const ErrorResponse& ErrorResponseFor(ErrorKind kind) {
  return kResponses[static_cast<size_t>(kind)];
}

const std::array<ErrorResponse, kErrorKindCount>& ErrorResponses() {
  return kResponses;
}

std::string_view RunStateName(RunState run) {
  switch (run) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view RetryAdviceName(RetryAdvice retry) {
  switch (retry) {
    case RetryAdvice::kNever:
      return "never";
    case RetryAdvice::kSafe:
      return "safe";
    case RetryAdvice::kSameKeyOnly:
      return "same_key_only";
  }
  return "never";
}

absl::Status MakeError(ErrorKind kind, std::string_view detail) {
  const ErrorResponse& response = ErrorResponseFor(kind);
  absl::Status status(
      response.status_code,
      detail.empty()
          ? std::string(response.message)
          : absl::StrCat(absl::string_view(response.message.data(),
                                           response.message.size()),
                         ": ",
                         absl::string_view(detail.data(), detail.size())));
  status.SetPayload(absl::string_view(kKindPayload.data(), kKindPayload.size()),
                    absl::Cord(absl::string_view(response.name.data(),
                                                 response.name.size())));
  return status;
}

ErrorKind KindOf(const absl::Status& status) {
  const auto payload = status.GetPayload(
      absl::string_view(kKindPayload.data(), kKindPayload.size()));
  if (payload.has_value()) {
    const std::string name(*payload);
    for (const ErrorResponse& it : kResponses) {
      if (it.name == name) {
        return it.kind;
      }
    }
  }
  return ErrorKind::kInternal;
}

}  // namespace endiveyard
