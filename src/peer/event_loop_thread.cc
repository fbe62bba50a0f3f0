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
    auto stop_requested = kj::newPromiseAndFulfiller<void>();
    const auto exception = kj::runCatchingExceptions([&]() { setup(io); });
    KJ_IF_MAYBE (error, exception) {
      teardown();
      started.set_value(
          absl::InvalidArgumentError(error->getDescription().cStr()));
      return;
    }
    executor_ = kj::getCurrentThreadExecutor().addRef();
    stop_fulfiller_ = kj::mv(stop_requested.fulfiller);
    started.set_value(absl::OkStatus());
    stop_requested.promise.wait(io.waitScope);
    teardown();
    stop_fulfiller_ = nullptr;
  });
  absl::Status result = status.get();
  if (!result.ok()) {
    thread_.join();
  }
  return result;
}

void EventLoopThread::RunAndWait(const std::function<void()>& function) {
  executor_->executeSync([&function]() { function(); });
}

void EventLoopThread::Stop() {
  if (thread_.joinable()) {
    executor_->executeSync([this]() { stop_fulfiller_->fulfill(); });
    thread_.join();
  }
}

}  // namespace endiveyard
