#ifndef ENDIVEYARD_SRC_RELAY_FORWARDED_REQUEST_H_
#define ENDIVEYARD_SRC_RELAY_FORWARDED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Header of a request that an instance forwards to another one.
inline constexpr std::string_view kForwardedRequestHeader = "Forwarded-Request";
// Header of the response to it, unless the request could not be read or comes
// from an unknown address.
inline constexpr std::string_view kForwardedResponseHeader =
    "Forwarded-Response";
// Status of the response to a request that the other instance does not take.
// It has done nothing for the request. Never sent to callers.
inline constexpr int kNotTakenStatus = 421;
// Limit on the size of the request header that is added, with its name.
inline constexpr size_t kMaxForwardedHeaderBytes = 1024;

// What the instance that a caller has sent a request to has done for it so far.
struct ForwardedRequest {
  Duration time_left{};  // until the deadline
  Duration waited{};     // since the request was received
  // Calls that were written to a target, and those of them that may have run.
  int delivered_calls = 0;
  int possible_runs = 0;
  // The retry budget of the service has grown by this request.
  bool counted = false;
  // A prefill call for it was accepted.
  bool prefilled = false;
  // Version of the service map by which it was routed.
  int64_t map_version = 0;
  // Last event that the caller has, if it has the beginning of the stream.
  std::optional<int64_t> last_event_id;
  // Software version that has to run it.
  std::optional<std::string> stream_version;
  // Service that has begun the stream.
  std::optional<std::string> service;
  // Replica at which the request has failed last; empty if there is none.
  std::string excluded_replica;

  bool operator==(const ForwardedRequest& other) const;
};

// What the receiver of a forwarded request tells with its response.
struct ForwardedResponse {
  // As above, together with those before the request was forwarded.
  int delivered_calls = 0;
  int possible_runs = 0;
  // The replica that has responded, and the version of its software. Empty if
  // the response is not that of a target.
  std::string replica_id;
  std::string version;

  bool operator==(const ForwardedResponse& other) const;
};

std::string EncodeForwardedRequest(const ForwardedRequest& request);
// Returns nullopt for text that is no value of the header. Safe for untrusted
// input.
std::optional<ForwardedRequest> DecodeForwardedRequest(std::string_view text);

std::string EncodeForwardedResponse(const ForwardedResponse& response);
// As above.
std::optional<ForwardedResponse> DecodeForwardedResponse(std::string_view text);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_FORWARDED_REQUEST_H_
