#include "endiveyard/gateway/serving_thread.h"

#include <atomic>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "endiveyard/base/bounded_ring.h"

namespace endiveyard {

class ServingThread::Impl {
 public:
  using Function = std::function<void(const ServingCore&, TimePoint)>;
  using Item = std::variant<ServingEvent, Function>;

  Impl(ServingCoreOptions options,
       size_t ring_capacity,
       ActionHandler handle_action)
      : core_(std::move(options)),
        ring_(ring_capacity),
        handle_action_(std::move(handle_action)),
        thread_([this] { Run(); }) {}

  ~Impl() { Stop(); }

  BoundedRing<Item>& ring() { return ring_; }
  size_t open_exchanges() const { return open_exchanges_; }

  void Stop() {
    ring_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  void Run() {
    std::vector<ServingAction> actions;
    while (std::optional<Item> item = ring_.Pop()) {
      const TimePoint now = BootClock::now();
      if (const auto* function = std::get_if<Function>(&*item)) {
        (*function)(core_, now);
        continue;
      }
      actions.clear();
      core_.Step(std::get<ServingEvent>(*item), now, &actions);
      open_exchanges_ = core_.open_exchanges();
      for (const ServingAction& it : actions) {
        handle_action_(it);
      }
    }
  }

  ServingCore core_;
  BoundedRing<Item> ring_;
  const ActionHandler handle_action_;
  std::atomic<size_t> open_exchanges_{0};
  std::thread thread_;
};

ServingThread::ServingThread(ServingCoreOptions options,
                             size_t ring_capacity,
                             ActionHandler handle_action)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   ring_capacity,
                                   std::move(handle_action))) {}
ServingThread::~ServingThread() = default;

bool ServingThread::TryPost(ServingEvent event) {
  return impl_->ring().TryPush(std::move(event));
}

bool ServingThread::Post(ServingEvent event) {
  return impl_->ring().Push(std::move(event));
}

bool ServingThread::TryRun(
    std::function<void(const ServingCore&, TimePoint)> function) {
  return impl_->ring().TryPush(std::move(function));
}

size_t ServingThread::open_exchanges() const {
  return impl_->open_exchanges();
}

void ServingThread::Stop() {
  impl_->Stop();
}

}  // namespace endiveyard
