#ifndef ENDIVEYARD_SRC_PEER_EVENT_LOOP_THREAD_H_
#define ENDIVEYARD_SRC_PEER_EVENT_LOOP_THREAD_H_

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "absl/status/status.h"

namespace endiveyard {

// Thread that runs a KJ event loop. KJ objects must be created and destroyed on
// the thread of their loop: `setup` creates them, and `teardown` destroys them
// before the loop ends.
class EventLoopThread {
 public:
  EventLoopThread() = default;
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  // Returns once `setup` has run. If it throws, `teardown` runs and the
  // exception becomes the returned status.
  absl::Status Start(std::function<void(kj::AsyncIoContext&)> setup,
                     std::function<void()> teardown);

  // Runs `function` on the thread and waits until it returns. Precondition:
  // Start() succeeded and Stop() was not called.
  void RunAndWait(const std::function<void()>& function);

  // Runs `teardown` and joins the thread. Idempotent.
  void Stop();

 private:
  std::thread thread_;
  kj::Own<const kj::Executor> executor_;
  kj::Own<kj::PromiseFulfiller<void>> stop_fulfiller_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_PEER_EVENT_LOOP_THREAD_H_
