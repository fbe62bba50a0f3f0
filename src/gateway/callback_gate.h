#ifndef ENDIVEYARD_SRC_GATEWAY_CALLBACK_GATE_H_
#define ENDIVEYARD_SRC_GATEWAY_CALLBACK_GATE_H_

#include <functional>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace endiveyard {

// Calls a function until Close(). Tasks of the HTTP library cannot be joined
// and may outlive the object that their callback belongs to.
template <typename... Args>
class CallbackGate {
 public:
  explicit CallbackGate(std::function<void(Args...)> callback)
      : callback_(std::move(callback)) {}

  void operator()(Args... args) {
    std::shared_lock<std::shared_mutex> lock(mutex_);
    if (callback_) {
      callback_(std::move(args)...);
    }
  }

  // Waits for calls under way; no call is made after the return. Must not be
  // called from the callback.
  void Close() {
    std::unique_lock<std::shared_mutex> lock(mutex_);
    callback_ = nullptr;
  }

 private:
  std::shared_mutex mutex_;
  std::function<void(Args...)> callback_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_CALLBACK_GATE_H_
