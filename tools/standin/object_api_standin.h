#ifndef ENDIVEYARD_TOOLS_STANDIN_OBJECT_API_STANDIN_H_
#define ENDIVEYARD_TOOLS_STANDIN_OBJECT_API_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "endiveyard/object_api/fault_table.h"
#include "endiveyard/object_api/object_api.h"

namespace endiveyard {

// Stand-in for the platform's object API: an HTTP server on a loopback address
// with one thread and in-memory state. Faults and the instance list are set by
// the methods below, or by POST /admin/faults and PUT /admin/instances.
class ObjectApiStandin {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    uint16_t port = 0;          // 0: chosen by the operating system
    int reads_per_second = 0;   // 0: no limit; a watch counts as one read
    int writes_per_second = 0;  // 0: no limit
    size_t history_limit = 10000;
    InstanceList instances;
  };

  // `calls` counts requests by kind ("get", "put", ...); `applied` counts
  // writes that took effect.
  struct Stats {
    std::map<std::string, uint64_t> calls;
    uint64_t applied = 0;
    uint64_t rate_limited = 0;
    uint64_t revision = 0;
    uint64_t objects = 0;
    uint64_t waiting_watches = 0;
  };

  ObjectApiStandin();
  ~ObjectApiStandin();
  ObjectApiStandin(const ObjectApiStandin&) = delete;
  ObjectApiStandin& operator=(const ObjectApiStandin&) = delete;

  // Binds the address and starts the thread. Fails if the address is not a
  // loopback address or the port is in use.
  absl::Status Start(const Options& options);
  // Closes all connections and joins the thread. Idempotent.
  void Stop();
  uint16_t port() const;

  void AddFault(FaultRule rule);
  void ClearFaults();
  void SetInstances(const InstanceList& list);
  Stats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Runs the stand-in until SIGINT or SIGTERM. Returns the exit code.
int RunObjectApiStandin(int argc, char** argv);

}  // namespace endiveyard

#endif  // ENDIVEYARD_TOOLS_STANDIN_OBJECT_API_STANDIN_H_
