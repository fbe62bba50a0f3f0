#ifndef ENDIVEYARD_GATEWAY_SERVING_THREAD_H_
#define ENDIVEYARD_GATEWAY_SERVING_THREAD_H_

#include <functional>
#include <memory>

#include "endiveyard/serving/serving_core.h"

namespace endiveyard {

// Thread that owns a ServingCore. Events are queued in a ring of fixed
// capacity.
class ServingThread {
 public:
  // Executes one action. Called on the serving thread for each action, in
  // order. Must not block.
  using ActionHandler = std::function<void(const ServingAction&)>;

  ServingThread(ServingCoreOptions options,
                size_t ring_capacity,
                ActionHandler handle_action);
  ~ServingThread();
  ServingThread(const ServingThread&) = delete;
  ServingThread& operator=(const ServingThread&) = delete;

  // Returns false when the ring is full or the thread has stopped.
  bool TryPost(ServingEvent event);

  // Waits while the ring is full, so that no part of a response is dropped.
  // Returns false when the thread has stopped.
  bool Post(ServingEvent event);

  // Queues `function` to run on the serving thread with the core and the
  // current time. Returns false under the same conditions as TryPost().
  bool TryRun(std::function<void(const ServingCore&, TimePoint)> function);

  // Number of requests queued or running after the last processed event.
  size_t open_exchanges() const;

  // Processes the events left in the ring and joins the thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_GATEWAY_SERVING_THREAD_H_
