#ifndef ENDIVEYARD_SRC_FRONT_STREAM_RECORDER_H_
#define ENDIVEYARD_SRC_FRONT_STREAM_RECORDER_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "endiveyard/placement/stream_versions.h"
#include "endiveyard/registry/registry_client.h"

namespace endiveyard {

struct StreamRecorderOptions {
  std::string kind;  // of the objects that hold the records
  std::string name;  // of this instance, and of its record
  // Writes per second that the registry takes from all instances together; 0 if
  // there is no limit.
  double registry_writes_per_second = 0;
};

struct StreamRecorderHandlers {
  std::function<TimePoint()> now;
  // Runs `action` after `delay`.
  std::function<void(Duration delay, std::function<void()> action)> schedule;
  std::function<void(const absl::Status& status, size_t streams)> on_read;
  // Number of instances that write records.
  std::function<size_t()> instance_count;
  // Writes fail; called for the first one in a row.
  std::function<void(const absl::Status& status)> on_failure;
};

// Keeps a record of the streams that callers of this instance may take up, and
// of the versions that began them, in the registry while a service has several
// versions. Another instance, or this one after its next start, reads the
// records where the version of a stream does not follow from the replicas.
class StreamRecorder {
 public:
  StreamRecorder(RegistryClient* lists,
                 RegistryObjectClient* objects,
                 StreamVersions* versions,
                 StreamRecorderOptions options,
                 StreamRecorderHandlers handlers);
  ~StreamRecorder();
  StreamRecorder(const StreamRecorder&) = delete;
  StreamRecorder& operator=(const StreamRecorder&) = delete;

  // Starts recording.
  void Start();
  // Reads the records of all instances. `done` runs once, within a bounded
  // time. Callers that come together, or soon after another one, share a read.
  void ReadAll(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_STREAM_RECORDER_H_
