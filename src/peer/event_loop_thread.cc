#include "peer/event_loop_thread.h"

#include <future>
#include <string>
#include <utility>

namespace endiveyard {

EventLoopThread::~EventLoopThread() {
  Stop();
}

absl::Status EventLoopThread::Start(
    std::function<void(kj::AsyncIoContext&)> setup,
    std::function<void()> teardown) {
  std::promise<absl::Status> started;
  std::future<absl::Status> status = started.get_future();
  thread_ = std::thread([this, &started, setup = std::move(setup),
                         teardown = std::move(teardown)]() {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    auto stop = kj::newPromiseAndFulfiller<void>();
    const auto exception = kj::runCatchingExceptions([&]() { setup(io); });
    KJ_IF_MAYBE (it, exception) {
      teardown();
      started.set_value(
          absl::InvalidArgumentError(it->getDescription().cStr()));
      return;
    }
    executor_ = kj::getCurrentThreadExecutor().addRef();
    stop_ = kj::mv(stop.fulfiller);
    started.set_value(absl::OkStatus());
    stop.promise.wait(io.waitScope);
    teardown();
    stop_ = nullptr;
  });
  absl::Status result = status.get();
  if (!result.ok()) {
    thread_.join();
  }
  return result;
}

void EventLoopThread::Run(const std::function<void()>& function) {
  executor_->executeSync([&function]() { function(); });
}

void EventLoopThread::Stop() {
  if (thread_.joinable()) {
    executor_->executeSync([this]() { stop_->fulfill(); });
    thread_.join();
  }
}

}  // namespace endiveyard
