#ifndef ENDIVEYARD_PLACEMENT_CALLER_PATIENCE_H_
#define ENDIVEYARD_PLACEMENT_CALLER_PATIENCE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// How long the callers of a route wait from their first attempt on, learnt from
// their new requests.
class CallerPatience {
 public:
  // Records a request that is no continuation of another one.
  void Record(const std::string& route, Duration time_left) {
    if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0) {
      routes_.clear();
    }
    Route& known = routes_[route];
    known.longest = std::max(known.longest, time_left);
    ++known.requests;
  }

  // Returns how long ago a caller that has `time_left` may have made its first
  // attempt. `timeout` is that of the route.
  Duration LongestAge(const std::string& route,
                      Duration timeout,
                      std::optional<Duration> time_left) const {
    const auto it = routes_.find(route);
    // Few requests may all be late attempts, with less time than the first.
    if (!time_left || it == routes_.end() ||
        it->second.requests < kMinRequests) {
      return 2 * timeout;
    }
    return std::clamp(std::max(timeout, it->second.longest) - *time_left,
                      Duration(0), 2 * timeout);
  }

 private:
  struct Route {
    Duration longest{};
    int requests = 0;
  };

  static constexpr int kMinRequests = 6;
  static constexpr size_t kMaxRoutes = 4096;

  std::map<std::string, Route> routes_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_CALLER_PATIENCE_H_
