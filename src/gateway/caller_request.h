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

// Method, URL and headers of a caller's request, without types of the HTTP
// library.
struct CallerRequestHead {
  std::string method;
  std::string path;                            // without the query
  std::string query;                           // without '?', may be empty
  std::map<std::string, std::string> headers;  // names in lower case
  int64_t header_bytes = 0;

  // Returns the value of a header, or an empty string if it is missing.
  // Precondition: `name` is in lower case.
  std::string GetHeader(const std::string& name) const;
};

// Size limits for requests of callers.
struct CallerRequestLimits {
  int64_t max_body_bytes = 0;
  int64_t max_header_bytes = 0;
};

// Checks the head against the limits before the body is read, and returns the
// declared length of the body in bytes. Errors: kHeadersTooLarge,
// kLengthRequired, kBodyTooLarge, kBadRequest.
absl::StatusOr<int64_t> CheckRequestHead(const CallerRequestHead& head,
                                         const CallerRequestLimits& limits);

// Returns the caller with the key in the Authorization header. The pointer is
// valid for as long as a copy of `configuration` exists. Error: kUnauthorized.
absl::StatusOr<const CallerEntry*> Authenticate(
    const CallerRequestHead& head,
    const FleetConfiguration& configuration);

// Parses the request of an authenticated caller, which arrived at `now`.
// Errors: kBadRequest, kUnknownService, kMethodNotAllowed.
absl::StatusOr<ServingRequest> ParseCallerRequest(
    const CallerRequestHead& head,
    std::string body,
    const CallerEntry& caller,
    const FleetConfiguration& configuration,
    TimePoint now);

// Returns the caller's X-Request-Id if it has 1 to 128 visible ASCII
// characters, otherwise `fallback`.
std::string ChooseRequestId(const CallerRequestHead& head,
                            const std::string& fallback);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_CALLER_REQUEST_H_
