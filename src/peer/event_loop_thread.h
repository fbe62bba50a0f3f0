#ifndef ENDIVEYARD_SRC_PEER_EVENT_LOOP_THREAD_H_
#define ENDIVEYARD_SRC_PEER_EVENT_LOOP_THREAD_H_

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "absl/status/status.h"

namespace endiveyard {

// Thread with a KJ event loop, which is bound to its thread: `setup` creates
// what lives on it, and `teardown` destroys it before the loop ends.
class EventLoopThread {
 public:
  EventLoopThread() = default;
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  // Returns once `setup` has run; an exception of it becomes the status.
  absl::Status Start(std::function<void(kj::AsyncIoContext&)> setup,
                     std::function<void()> teardown);

  // Runs `function` on the thread and waits for it. Precondition: Start()
  // succeeded and Stop() was not called.
  void Run(const std::function<void()>& function);

  // Runs `teardown` and joins. Idempotent.
  void Stop();

 private:
  std::thread thread_;
  kj::Own<const kj::Executor> executor_;
  kj::Own<kj::PromiseFulfiller<void>> stop_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_PEER_EVENT_LOOP_THREAD_H_
