#ifndef ENDIVEYARD_GATEWAY_SERVING_THREAD_H_
#define ENDIVEYARD_GATEWAY_SERVING_THREAD_H_

#include <functional>
#include <memory>

#include "endiveyard/serving/serving_core.h"

namespace endiveyard {

// Thread that owns a ServingCore. Events reach it through a bounded ring.
class ServingThread {
 public:
  // Called on the serving thread for each action, in order. Must not block.
  using ActionSink = std::function<void(const ServingAction&)>;

  ServingThread(ServingCoreOptions options,
                size_t ring_capacity,
                ActionSink sink);
  ~ServingThread();
  ServingThread(const ServingThread&) = delete;
  ServingThread& operator=(const ServingThread&) = delete;

  // Returns false when the ring is full or the thread has stopped.
  bool TryPost(ServingEvent event);

  // Waits for room, so that no part of an answer is dropped. Returns false
  // when the thread has stopped.
  bool Post(ServingEvent event);

  // Runs `function` on the serving thread. Returns false as TryPost() does.
  bool TryRun(std::function<void(const ServingCore&, TimePoint)> function);

  // Requests queued or running, as of the last event.
  size_t open_exchanges() const;

  // Handles what is in the ring and ends the thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_GATEWAY_SERVING_THREAD_H_
