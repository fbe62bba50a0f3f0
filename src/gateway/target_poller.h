#ifndef ENDIVEYARD_SRC_GATEWAY_TARGET_POLLER_H_
#define ENDIVEYARD_SRC_GATEWAY_TARGET_POLLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

// Reads load and cache events of engines. Safe from any thread.
class TargetPoller {
 public:
  using Report = std::function<void(ServingEvent)>;
  using ReportFailure = std::function<void(const std::string& target)>;

  // The callbacks are called from pool threads.
  TargetPoller(Report report, ReportFailure report_failure);
  ~TargetPoller();
  TargetPoller(const TargetPoller&) = delete;
  TargetPoller& operator=(const TargetPoller&) = delete;

  void SetTargets(const std::vector<TargetInfo>& targets);

  // Starts a poll of each engine that is not being polled. Does not block.
  void Poll();

  // Nothing is reported after the return.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_TARGET_POLLER_H_
