#ifndef ENDIVEYARD_SRC_GATEWAY_CLOSABLE_CALLBACK_H_
#define ENDIVEYARD_SRC_GATEWAY_CLOSABLE_CALLBACK_H_

#include <functional>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace endiveyard {

// Callback that does nothing after Close(). Needed because tasks of the HTTP
// library cannot be joined and may outlive the object that the callback uses.
template <typename... Args>
class ClosableCallback {
 public:
  explicit ClosableCallback(std::function<void(Args...)> callback)
      : callback_(std::move(callback)) {}

  void operator()(Args... args) {
    std::shared_lock<std::shared_mutex> lock(mutex_);
    if (callback_) {
      callback_(std::move(args)...);
    }
  }

  // Waits for calls in progress; the callback is not called after the return.
  // Deadlocks if called from the callback.
  void Close() {
    std::unique_lock<std::shared_mutex> lock(mutex_);
    callback_ = nullptr;
  }

 private:
  std::shared_mutex mutex_;
  std::function<void(Args...)> callback_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_CLOSABLE_CALLBACK_H_
