#include "instance/platform_threads.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/random/distributions.h"

namespace endiveyard {
namespace {

// Shorter than the bound for a change (8 s), so that a lost watch is noticed.
constexpr std::chrono::seconds kWatchWait(4);
constexpr std::chrono::milliseconds kFirstBackoff(200);
constexpr std::chrono::seconds kBackoffCap(10);

}  // namespace

InstanceListThread::InstanceListThread(ObjectApi* api,
                                       Duration interval,
                                       Duration timeout,
                                       Listed listed)
    : api_(api),
      interval_(interval),
      timeout_(timeout),
      listed_(std::move(listed)),
      thread_([this] { Run(); }) {}

InstanceListThread::~InstanceListThread() {
  Stop();
}

void InstanceListThread::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void InstanceListThread::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    const auto list = api_->ListInstances(timeout_);
    if (list.ok()) {
      listed_(*list);
    }
    lock.lock();
    changed_.wait_for(lock, interval_, [&] { return stopping_; });
  }
}

LogWatchThread::LogWatchThread(ObjectApi* api,
                               std::string prefix,
                               uint64_t seed,
                               Changed changed,
                               Watching watching)
    : api_(api),
      prefix_(std::move(prefix)),
      seed_(seed),
      changed_callback_(std::move(changed)),
      watching_callback_(std::move(watching)),
      thread_([this] { Run(); }) {}

LogWatchThread::~LogWatchThread() {
  Stop();
}

void LogWatchThread::SetActive(bool active) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    active_ = active;
  }
  changed_.notify_all();
}

void LogWatchThread::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool LogWatchThread::Pause(Duration time) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, time, [&] { return stopping_; });
  return !stopping_;
}

void LogWatchThread::Run() {
  std::mt19937_64 random(seed_);
  Duration backoff = kFirstBackoff;
  uint64_t since = 0;
  bool watching = false;
  bool listed = false;
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (!active_ && watching) {
        watching = false;
        lock.unlock();
        watching_callback_(false);
        lock.lock();
      }
      changed_.wait(lock, [&] { return stopping_ || active_; });
      if (stopping_) {
        return;
      }
    }
    absl::Status failure;
    if (!listed) {
      const auto list = api_->List(prefix_, kObjectCallTimeout);
      failure = list.status();
      if (list.ok()) {
        since = list->revision;
        listed = true;
        changed_callback_();
      }
    }
    if (listed) {
      const auto watch = api_->Watch(prefix_, since, kWatchWait);
      failure = watch.status();
      if (watch.ok()) {
        since = watch->revision;
        listed = !watch->gap;
        if (watch->gap || !watch->events.empty()) {
          changed_callback_();
        }
      }
    }
    if (failure.ok() != watching) {
      watching = failure.ok();
      watching_callback_(watching);
    }
    if (failure.ok()) {
      backoff = kFirstBackoff;
      continue;
    }
    // Full jitter, so that all instances do not return at once after an
    // outage.
    const Duration pause(
        absl::Uniform<int64_t>(random, 0, backoff.count() + 1));
    backoff = std::min<Duration>(backoff * 2, kBackoffCap);
    if (!Pause(pause)) {
      return;
    }
  }
}

}  // namespace endiveyard
