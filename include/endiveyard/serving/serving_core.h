#ifndef ENDIVEYARD_SERVING_SERVING_CORE_H_
#define ENDIVEYARD_SERVING_SERVING_CORE_H_

#include <memory>
#include <string>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

struct ServingCoreOptions {
  std::string instance_id;
  std::string region;
  std::string failure_domain;
  uint64_t seed = 1;
};

// Decides the life of every request of one instance, from receipt to answer.
// No I/O, clock, thread or lock: the same events at the same times with the
// same seed give the same actions.
class ServingCore {
 public:
  explicit ServingCore(ServingCoreOptions options);
  ~ServingCore();
  ServingCore(const ServingCore&) = delete;
  ServingCore& operator=(const ServingCore&) = delete;

  // Applies `event` at `now` and appends the actions to `actions`.
  // Precondition: `now` does not decrease from call to call. An event that
  // names a finished exchange or an earlier attempt changes nothing.
  void Step(const ServingEvent& event,
            TimePoint now,
            std::vector<ServingAction>* actions);

  // Requests queued or running.
  size_t open_exchanges() const;

  // Human-readable list of the targets considered for `request` and the
  // terms of each estimate, without changing anything.
  std::string Explain(const ServingRequest& request, TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SERVING_SERVING_CORE_H_
