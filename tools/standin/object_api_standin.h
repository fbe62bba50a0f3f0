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

// Stand-in for the platform's object API: HTTP on a loopback address, state
// in memory, one thread. Faults and the instance list are set by method or
// through POST /admin/faults and PUT /admin/instances.
class ObjectApiStandin {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    uint16_t port = 0;          // 0: the system chooses one
    int reads_per_second = 0;   // 0: no limit; a watch counts as one read
    int writes_per_second = 0;  // 0: no limit
    size_t history_limit = 10000;
    InstanceList instances;
  };

  // Requests by kind ("get", "put", ...) and writes that took effect.
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

  // Binds and starts the thread. Fails when the address is not a loopback
  // address or the port is taken.
  absl::Status Start(const Options& options);
  // Closes all connections and ends the thread. May be called twice.
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
