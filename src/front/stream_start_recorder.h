#ifndef ENDIVEYARD_SRC_FRONT_STREAM_START_RECORDER_H_
#define ENDIVEYARD_SRC_FRONT_STREAM_START_RECORDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "endiveyard/placement/stream_starts.h"
#include "endiveyard/registry/registry_client.h"

namespace endiveyard {

struct StreamStartRecorderOptions {
  std::string kind;  // of the object that holds the record
  std::string name;
  std::string instance;
};

struct StreamStartRecorderHandlers {
  std::function<TimePoint()> now;
  std::function<int64_t()> unix_ms;
  // Runs `action` after `delay`.
  std::function<void(Duration delay, std::function<void()> action)> schedule;
  // The record was read with `starts` entries, or a read failed; called for the
  // first one in a row.
  std::function<void(const absl::Status& status, size_t starts)> on_read;
  std::function<void(const absl::Status& status)> on_written;
};

// Keeps a record of where streams begin in the registry, so that a process that
// has just started knows it, also after the end of all processes. All instances
// share one record: it is written only when one of them has learned something
// that it lacks, and read at the start and when streams of an unknown group
// come.
class StreamStartRecorder {
 public:
  StreamStartRecorder(RegistryObjectClient* client,
                      StreamStarts* starts,
                      StreamStartRecorderOptions options,
                      StreamStartRecorderHandlers handlers);
  ~StreamStartRecorder();
  StreamStartRecorder(const StreamStartRecorder&) = delete;
  StreamStartRecorder& operator=(const StreamStartRecorder&) = delete;

  // Starts reading and writing.
  void Start();
  // The registry answers again, so that a read that has failed is repeated at
  // once: streams may come now.
  void OnRegistryRegained();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_STREAM_START_RECORDER_H_
