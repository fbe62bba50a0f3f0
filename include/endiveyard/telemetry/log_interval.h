#ifndef ENDIVEYARD_TELEMETRY_LOG_INTERVAL_H_
#define ENDIVEYARD_TELEMETRY_LOG_INTERVAL_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Allows one log line for each key in an interval. Keeps at most `kMaxKeys`
// keys; beyond them, nothing is logged until the interval is over.
class LogInterval {
 public:
  static constexpr size_t kMaxKeys = 4096;

  explicit LogInterval(Duration interval) : interval_(interval) {}

  // Returns true if a line may be logged for `key` now.
  bool Allow(uint64_t key, TimePoint now);

 private:
  Duration interval_;
  std::unordered_map<uint64_t, TimePoint> logged_at_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_LOG_INTERVAL_H_
