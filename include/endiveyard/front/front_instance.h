#ifndef ENDIVEYARD_FRONT_FRONT_INSTANCE_H_
#define ENDIVEYARD_FRONT_FRONT_INSTANCE_H_

#include <memory>

#include "absl/status/status.h"
#include "platform/process_settings.h"

namespace endiveyard {

// One instance on the users' platform: relay, readiness, and the views of the
// platform's store that the relay decides by, on one event loop.
class FrontInstance {
 public:
  // `metrics_port` is where metrics are served; 0 serves none.
  FrontInstance(platform::ProcessSettings settings, uint16_t metrics_port);
  ~FrontInstance();
  FrontInstance(const FrontInstance&) = delete;
  FrontInstance& operator=(const FrontInstance&) = delete;

  // Serves until SIGTERM or SIGINT, then finishes open requests and returns.
  // SIGHUP reads the settings again. Errors: an address cannot be opened.
  absl::Status Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_FRONT_FRONT_INSTANCE_H_
