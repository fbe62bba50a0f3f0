#include "endiveyard/telemetry/log_interval.h"

#include <iterator>

namespace endiveyard {

bool LogInterval::Allow(uint64_t key, TimePoint now) {
  const auto known = logged_at_.find(key);
  if (known != logged_at_.end() && now - known->second < interval_) {
    return false;
  }
  if (known == logged_at_.end() && logged_at_.size() >= kMaxKeys) {
    for (auto it = logged_at_.begin(); it != logged_at_.end();) {
      it = now - it->second >= interval_ ? logged_at_.erase(it) : std::next(it);
    }
    if (logged_at_.size() >= kMaxKeys) {
      return false;
    }
  }
  logged_at_[key] = now;
  return true;
}

}  // namespace endiveyard
