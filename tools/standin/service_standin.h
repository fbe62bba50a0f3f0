#ifndef ENDIVEYARD_TOOLS_STANDIN_SERVICE_STANDIN_H_
#define ENDIVEYARD_TOOLS_STANDIN_SERVICE_STANDIN_H_

#include <cstdint>
#include <memory>
#include <string>

namespace endiveyard {

struct ServiceFaults {
  int lose_answers = 0;     // next n requests run; their connection is closed
  int refuse_requests = 0;  // next n requests are answered 503 and not run
};

// Stand-in for one replica of a plain service: counts what it ran.
class ServiceStandin {
 public:
  explicit ServiceStandin(const std::string& listen);
  ~ServiceStandin();
  ServiceStandin(const ServiceStandin&) = delete;
  ServiceStandin& operator=(const ServiceStandin&) = delete;

  void SetFaults(const ServiceFaults& faults);
  // Executions of POST requests.
  int64_t executions() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

int RunServiceStandin(int argc, char** argv);

}  // namespace endiveyard

#endif  // ENDIVEYARD_TOOLS_STANDIN_SERVICE_STANDIN_H_
