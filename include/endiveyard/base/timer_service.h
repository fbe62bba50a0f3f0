#ifndef ENDIVEYARD_BASE_TIMER_SERVICE_H_
#define ENDIVEYARD_BASE_TIMER_SERVICE_H_

#include <functional>
#include <memory>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Thread that calls subscribers at their interval. Callbacks must not block;
// they are expected to push a tick into the ring of the subscriber's thread.
class TimerService {
 public:
  TimerService();
  ~TimerService();
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  // Calls `callback` every `interval` until Stop(). Precondition: `interval`
  // is positive. Missed ticks are merged into one.
  void Subscribe(Duration interval, std::function<void(TimePoint)> callback);

  // Ends the thread; no callback runs after the return.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_BASE_TIMER_SERVICE_H_
