#ifndef ENDIVEYARD_SRC_GATEWAY_CALLER_REQUEST_H_
#define ENDIVEYARD_SRC_GATEWAY_CALLER_REQUEST_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "endiveyard/base/time_point.h"
#include "endiveyard/fleet/fleet_configuration.h"
#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

// Head of a caller's request, free of the HTTP library's types.
struct CallerRequestHead {
  std::string method;
  std::string path;                            // without the query
  std::string query;                           // without '?', may be empty
  std::map<std::string, std::string> headers;  // names in lower case
  int64_t header_bytes = 0;

  // Value of a header, or an empty string.
  std::string Header(const std::string& name) const;
};

// Bounds of what a caller may send.
struct CallerRequestLimits {
  int64_t max_body_bytes = 0;
  int64_t max_header_bytes = 0;
};

// Checks the head against the limits before the body is read, and returns the
// length of the body in bytes. Errors: kHeadersTooLarge, kLengthRequired,
// kBodyTooLarge, kBadRequest.
absl::StatusOr<int64_t> CheckRequestHead(const CallerRequestHead& head,
                                         const CallerRequestLimits& limits);

// Returns the caller that the Authorization header names. The pointer lives
// as long as a copy of `configuration`. Error: kUnauthorized.
absl::StatusOr<const CallerEntry*> Authenticate(
    const CallerRequestHead& head,
    const FleetConfiguration& configuration);

// Builds the request of an authenticated caller. `now` is the time of
// receipt. Errors: kBadRequest, kUnknownService, kMethodNotAllowed.
absl::StatusOr<ServingRequest> ParseCallerRequest(
    const CallerRequestHead& head,
    std::string body,
    const CallerEntry& caller,
    const FleetConfiguration& configuration,
    TimePoint now);

// The caller's X-Request-Id when it is 1 to 128 printable characters,
// otherwise `fallback`.
std::string RequestIdOf(const CallerRequestHead& head,
                        const std::string& fallback);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_CALLER_REQUEST_H_
