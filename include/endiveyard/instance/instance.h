#ifndef ENDIVEYARD_INSTANCE_INSTANCE_H_
#define ENDIVEYARD_INSTANCE_INSTANCE_H_

#include <memory>

#include "absl/status/status.h"
#include "endiveyard/settings/instance_settings.h"

namespace endiveyard {

// One running instance. Owns the gateway and the threads for configuration,
// control, peers and bookings, and connects them.
class Instance {
 public:
  explicit Instance(const InstanceSettings& settings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Opens the listeners and starts all threads. Error: kInvalidSettings when an
  // address is in use or a TLS file cannot be read.
  absl::Status Start();

  // Rejects new requests, waits up to the shutdown bound of the settings for
  // open ones to finish, and stops all threads.
  void Shutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_INSTANCE_INSTANCE_H_
