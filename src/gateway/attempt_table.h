#ifndef ENDIVEYARD_SRC_GATEWAY_ATTEMPT_TABLE_H_
#define ENDIVEYARD_SRC_GATEWAY_ATTEMPT_TABLE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

// Attempts in progress, by exchange and attempt number. Only the caller whose
// Remove() returned an attempt reports its end, so each end is reported at most
// once. `T` has a member `cancellation` of type
// pplx::cancellation_token_source. Thread-safe.
template <typename T>
class AttemptTable {
 public:
  void Add(const StartAttempt& start, std::shared_ptr<T> attempt) {
    std::lock_guard<std::mutex> lock(mutex_);
    attempts_[{start.exchange, start.attempt}] = std::move(attempt);
  }

  // Returns nullptr if the attempt was removed before.
  std::shared_ptr<T> Remove(ExchangeId exchange, int attempt) {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = attempts_.find({exchange, attempt});
    if (it == attempts_.end()) {
      return nullptr;
    }
    auto removed = std::move(it->second);
    attempts_.erase(it);
    return removed;
  }

  // Closes the connections of all attempts and removes them.
  void CancelAll() {
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [key, attempt] : attempts_) {
      attempt->cancellation.cancel();
    }
    attempts_.clear();
  }

 private:
  std::mutex mutex_;
  std::map<std::pair<ExchangeId, int>, std::shared_ptr<T>> attempts_;
};

inline AttemptFailed MakeAttemptFailed(const StartAttempt& start,
                                       AttemptFailure failure,
                                       const std::string& detail) {
  AttemptFailed failed;
  failed.exchange = start.exchange;
  failed.attempt = start.attempt;
  failed.failure = failure;
  failed.detail = detail;
  return failed;
}

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_ATTEMPT_TABLE_H_
