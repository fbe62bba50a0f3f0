#ifndef ENDIVEYARD_BASE_TIMER_SERVICE_H_
#define ENDIVEYARD_BASE_TIMER_SERVICE_H_

#include <functional>
#include <memory>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Calls each subscriber periodically from a thread of its own. Callbacks run on
// that thread and must not block; they are expected to push a tick into the
// BoundedRing of the subscriber's thread.
class TimerService {
 public:
  TimerService();
  ~TimerService();
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  // Calls `callback` every `interval` until Stop(); ticks that were missed are
  // merged into one. Precondition: `interval` is positive.
  void Subscribe(Duration interval, std::function<void(TimePoint)> callback);

  // Stops and joins the thread; no callback runs after Stop() has returned.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_BASE_TIMER_SERVICE_H_
