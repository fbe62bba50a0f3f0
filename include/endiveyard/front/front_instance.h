#ifndef ENDIVEYARD_FRONT_FRONT_INSTANCE_H_
#define ENDIVEYARD_FRONT_FRONT_INSTANCE_H_

#include <memory>

#include "absl/status/status.h"
#include "platform/process_settings.h"

namespace endiveyard {

// One instance on the platform that endiveyard is deployed on. Runs the relay,
// the readiness and metrics listeners, the load exchange and the mirrors of the
// registry that the relay routes by, on one event loop.
class FrontInstance {
 public:
  // Metrics are served on `metrics_port`; 0 disables them.
  FrontInstance(platform::ProcessSettings settings, uint16_t metrics_port);
  ~FrontInstance();
  FrontInstance(const FrontInstance&) = delete;
  FrontInstance& operator=(const FrontInstance&) = delete;

  // Serves until SIGTERM or SIGINT, then finishes open requests and returns.
  // SIGHUP reloads the settings. Errors: kUnavailable if the address for
  // callers or for readiness probes cannot be opened.
  absl::Status Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_FRONT_FRONT_INSTANCE_H_
