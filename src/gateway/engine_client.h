#ifndef ENDIVEYARD_SRC_GATEWAY_ENGINE_CLIENT_H_
#define ENDIVEYARD_SRC_GATEWAY_ENGINE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

// One attempt as decided by the serving core, with the parameters that come
// from the caller's request.
struct EngineRequest {
  StartAttempt start;
  bool chat = false;
  std::string body;  // JSON object as received from the caller
  int priority = 0;
  int64_t remaining_ms = 0;  // until the deadline
};

// Runs attempts at engines and reports their responses as events. Each attempt
// uses a new connection: on a reused one, the HTTP library would send the
// request again after the engine crashed, which would hide the crash.
class EngineClient {
 public:
  using EventCallback = std::function<void(ServingEvent)>;

  // `on_event` is called on pool threads.
  explicit EngineClient(EventCallback on_event);
  ~EngineClient();
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  // Starts an attempt. Unless it is cancelled, it ends with exactly one
  // AttemptCompleted or AttemptFailed. Does not block.
  void Start(const EngineRequest& request);

  // Closes the connection of an attempt and sends a cancel request to the
  // engine. Does not block.
  void Cancel(const CancelAttempt& action);

  // Closes all connections. `on_event` is not called after the return.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_ENGINE_CLIENT_H_
