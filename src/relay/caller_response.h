#ifndef ENDIVEYARD_SRC_RELAY_CALLER_RESPONSE_H_
#define ENDIVEYARD_SRC_RELAY_CALLER_RESPONSE_H_

#include <memory>
#include <string_view>
#include <variant>

#include "relay/caller_connection.h"

namespace endiveyard {

// A response whose head was sent. It ends by Finish(), which completes the
// body, or by Abort(), after which the caller sees an incomplete response.
class BegunResponse {
 public:
  BegunResponse(BegunResponse&&) = default;
  BegunResponse& operator=(BegunResponse&&) = default;
  BegunResponse(const BegunResponse&) = delete;
  BegunResponse& operator=(const BegunResponse&) = delete;

  void SendBody(std::string_view bytes);
  void Finish() &&;
  void Abort() &&;

 private:
  friend class UnsentResponse;
  explicit BegunResponse(std::shared_ptr<CallerConnection> connection);

  std::shared_ptr<CallerConnection> connection_;
};

// The response to a request before any of its bytes was sent. Sending the head
// consumes this object, so that no response gets a second head.
class UnsentResponse {
 public:
  explicit UnsentResponse(std::shared_ptr<CallerConnection> connection);
  UnsentResponse(UnsentResponse&&) = default;
  UnsentResponse& operator=(UnsentResponse&&) = default;
  UnsentResponse(const UnsentResponse&) = delete;
  UnsentResponse& operator=(const UnsentResponse&) = delete;

  // Sends the head. The body is sent through the returned object.
  BegunResponse Begin(const CallerResponseHead& head) &&;
  // Sends a complete response.
  void Respond(const CallerResponseHead& head, std::string_view body) &&;

 private:
  std::shared_ptr<CallerConnection> connection_;
};

// A response that was sent completely, was aborted, or has no caller any more.
struct EndedResponse {};

using CallerResponse =
    std::variant<UnsentResponse, BegunResponse, EndedResponse>;

// Responses of plain services are collected up to this size before they are
// sent, so that a retry can replace a broken one where the route allows it.
inline constexpr size_t kMaxCollectedResponseBytes = 262144;

// Returns the head to send for the response of a target, without a length.
CallerResponseHead CallerHeadFrom(const TargetResponseHead& head);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_CALLER_RESPONSE_H_
