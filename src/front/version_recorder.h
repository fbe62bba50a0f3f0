#ifndef ENDIVEYARD_SRC_FRONT_VERSION_RECORDER_H_
#define ENDIVEYARD_SRC_FRONT_VERSION_RECORDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "endiveyard/placement/replica_rate_limits.h"
#include "endiveyard/placement/stream_versions.h"
#include "endiveyard/registry/registry_client.h"

namespace endiveyard {

struct VersionRecorderOptions {
  std::string kind;  // of the object that holds the record
  std::string name;
};

struct VersionRecorderHandlers {
  // Returns the era of the registry; 0 if it is not known.
  std::function<int64_t()> era;
  std::function<InstancePosition()> position;
  std::function<TimePoint()> now;
  std::function<int64_t()> unix_ms;
  // Runs `action` after `delay`.
  std::function<void(Duration delay, std::function<void()> action)> schedule;
  std::function<void(const absl::Status& status, size_t services)> on_read;
  std::function<void(const absl::Status& status)> on_written;
};

// Keeps the record of software versions in the registry: reads it when the
// instance starts, so that streams from before can be taken up, and writes it
// when versions appear, leave or change their shares. Few instances write: each
// waits for its turn, in an order that all compute alike from the change, and
// writes only what none before it has written.
class VersionRecorder {
 public:
  VersionRecorder(RegistryObjectClient* client,
                  StreamVersions* versions,
                  VersionRecorderOptions options,
                  VersionRecorderHandlers handlers);
  ~VersionRecorder();
  VersionRecorder(const VersionRecorder&) = delete;
  VersionRecorder& operator=(const VersionRecorder&) = delete;

  // To be called after each change of the replicas, from the first complete
  // list on.
  void OnReplicasChanged();
  // To be called after the registry has come back from a copy, which may lack
  // what was recorded.
  void OnRegistryRestored();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_VERSION_RECORDER_H_
