#include "endiveyard/base/timer_service.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace endiveyard {

class TimerService::Impl {
 public:
  Impl() : thread_([this] { Run(); }) {}

  ~Impl() { Stop(); }

  void Subscribe(Duration interval, std::function<void(TimePoint)> callback) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      subscribers_.push_back(
          {interval, BootClock::now() + interval, std::move(callback)});
    }
    changed_.notify_one();
  }

  void Stop() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  struct Subscriber {
    Duration interval;
    TimePoint due;
    std::function<void(TimePoint)> callback;
  };

  void Run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
      const TimePoint now = BootClock::now();
      Duration wait = std::chrono::seconds(1);
      for (Subscriber& it : subscribers_) {
        if (it.due <= now) {
          it.callback(now);
          it.due = now + it.interval;
        }
        wait = std::min(wait, it.due - now);
      }
      changed_.wait_for(lock, wait);
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Subscriber> subscribers_;
  bool stopping_ = false;
  std::thread thread_;
};

TimerService::TimerService() : impl_(std::make_unique<Impl>()) {}
TimerService::~TimerService() = default;

void TimerService::Subscribe(Duration interval,
                             std::function<void(TimePoint)> callback) {
  impl_->Subscribe(interval, std::move(callback));
}

void TimerService::Stop() {
  impl_->Stop();
}

}  // namespace endiveyard
