#ifndef ENDIVEYARD_SERVING_SERVING_CORE_H_
#define ENDIVEYARD_SERVING_SERVING_CORE_H_

#include <memory>
#include <string>
#include <string_view>
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

// Totals since the start of the core.
struct ServingCounters {
  // Events of an attempt or exchange that has ended; ignored.
  uint64_t stale_events = 0;
  // Token events with the event id of another attempt; dropped.
  uint64_t foreign_events = 0;
  // Tokens dropped because their index had been delivered already.
  uint64_t duplicate_tokens = 0;
  uint64_t first_attempts = 0;
  uint64_t retries = 0;  // charged to the retry budget
  // Requests moved to another target without a failure: from prefill to
  // decode, or off a draining or leaving target.
  uint64_t planned_migrations = 0;
  uint64_t targets_lost = 0;  // attempts that ended because the target was lost
  uint64_t crashing_requests = 0;  // requests identified as crashing targets
};

// State machine for all requests of one instance, from arrival to answer:
// queueing, choice of target, attempts, retries and stream resumption. Performs
// no I/O, reads no clock and uses no threads or locks, so it is deterministic:
// the same events at the same times with the same seed give the same actions.
class ServingCore {
 public:
  explicit ServingCore(ServingCoreOptions options);
  ~ServingCore();
  ServingCore(const ServingCore&) = delete;
  ServingCore& operator=(const ServingCore&) = delete;

  // Applies `event` at time `now` and appends the resulting actions to
  // `actions`. Precondition: `now` does not decrease between calls. An event
  // of a finished exchange or of an earlier attempt has no effect other than
  // being counted.
  void Step(const ServingEvent& event,
            TimePoint now,
            std::vector<ServingAction>* actions);

  // Number of exchanges that have not ended.
  size_t open_exchanges() const;

  const ServingCounters& counters() const;

  // Number of attempts of this instance in flight on `target`.
  int InFlight(std::string_view target) const;

  // Returns a human-readable list of the targets considered for `request` with
  // the terms of each latency estimate. Has no side effects.
  std::string Explain(const ServingRequest& request, TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SERVING_SERVING_CORE_H_
