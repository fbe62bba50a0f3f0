#ifndef ENDIVEYARD_TOOLS_STANDIN_SERVICE_STANDIN_H_
#define ENDIVEYARD_TOOLS_STANDIN_SERVICE_STANDIN_H_

#include <cstdint>
#include <memory>
#include <string>

namespace endiveyard {

struct ServiceFaults {
  int lose_answers = 0;  // next n requests run, then their connection is closed
  int refuse_requests = 0;  // next n requests get a 503 and do not run
};

// Stand-in for one replica of a plain service. Counts the requests that it ran.
class ServiceStandin {
 public:
  explicit ServiceStandin(const std::string& listen);
  ~ServiceStandin();
  ServiceStandin(const ServiceStandin&) = delete;
  ServiceStandin& operator=(const ServiceStandin&) = delete;

  void SetFaults(const ServiceFaults& faults);
  // Returns the number of requests other than GET that ran.
  int64_t executions() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

int RunServiceStandin(int argc, char** argv);

}  // namespace endiveyard

#endif  // ENDIVEYARD_TOOLS_STANDIN_SERVICE_STANDIN_H_
