#ifndef ENDIVEYARD_SRC_GATEWAY_ENGINE_CLIENT_H_
#define ENDIVEYARD_SRC_GATEWAY_ENGINE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

// Parameters of one attempt beside those that the serving core decides.
struct EngineRequest {
  StartAttempt start;
  bool chat = false;
  std::string body;  // JSON object as received from the caller
  int priority = 0;
  int64_t remaining_ms = 0;  // until the deadline
};

// Runs attempts at engines and reports what they answer. Each attempt uses a
// connection of its own: on a reused one the library would hide a crash of
// the engine behind a second send.
class EngineClient {
 public:
  using Report = std::function<void(ServingEvent)>;

  // `report` is called from pool threads.
  explicit EngineClient(Report report);
  ~EngineClient();
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  // Ends in exactly one AttemptCompleted or AttemptFailed. Does not block.
  void Start(const EngineRequest& request);

  // Closes the connection and tells the engine. Does not block.
  void Cancel(const CancelAttempt& action);

  // Closes all connections; nothing is reported after the return.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_ENGINE_CLIENT_H_
