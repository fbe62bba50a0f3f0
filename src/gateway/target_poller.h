#ifndef ENDIVEYARD_SRC_GATEWAY_TARGET_POLLER_H_
#define ENDIVEYARD_SRC_GATEWAY_TARGET_POLLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

// Polls engines for their load and their cache events. Thread-safe.
class TargetPoller {
 public:
  using EventCallback = std::function<void(ServingEvent)>;
  using FailureCallback = std::function<void(const std::string& target)>;

  // The callbacks are called on pool threads.
  TargetPoller(EventCallback on_event, FailureCallback on_failure);
  ~TargetPoller();
  TargetPoller(const TargetPoller&) = delete;
  TargetPoller& operator=(const TargetPoller&) = delete;

  // Replaces the list of targets. Those that are not engines are not polled.
  void SetTargets(const std::vector<TargetInfo>& targets);

  // Starts a poll of each engine that is not being polled. Does not block.
  void Poll();

  // The callbacks are not called after the return.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_TARGET_POLLER_H_
