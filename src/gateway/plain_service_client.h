#ifndef ENDIVEYARD_SRC_GATEWAY_PLAIN_SERVICE_CLIENT_H_
#define ENDIVEYARD_SRC_GATEWAY_PLAIN_SERVICE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

struct PlainServiceRequest {
  StartAttempt start;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::string request_id;
  std::string idempotency_key;
  int64_t remaining_ms = 0;
};

// Runs attempts at plain services. An attempt with `dedicated_connection` uses
// a new connection, so that it is sent at most once; others share pooled
// connections, on which the HTTP library may send a request again.
class PlainServiceClient {
 public:
  using EventCallback = std::function<void(ServingEvent)>;

  // Largest response body that is forwarded.
  static constexpr size_t kMaxResponseBytes = 16 << 20;

  explicit PlainServiceClient(EventCallback on_event);
  ~PlainServiceClient();
  PlainServiceClient(const PlainServiceClient&) = delete;
  PlainServiceClient& operator=(const PlainServiceClient&) = delete;

  // Starts an attempt. Unless it is cancelled, it ends with exactly one
  // PlainAnswered or AttemptFailed. Does not block.
  void Start(const PlainServiceRequest& request);

  // Closes the connection of an attempt. Does not block.
  void Cancel(const CancelAttempt& action);

  // Closes all connections. `on_event` is not called after the return.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_PLAIN_SERVICE_CLIENT_H_
