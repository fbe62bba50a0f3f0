#ifndef ENDIVEYARD_PLACEMENT_SERVICE_RETRY_BUDGET_H_
#define ENDIVEYARD_PLACEMENT_SERVICE_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Bound on the retries of all instances together.
struct RetryBound {
  double ratio = 0.2;  // retries per request received from callers
  double slack = 0;    // additional retries per window
  Duration window = std::chrono::seconds(10);
};

// Share of the ratio that an instance uses. The rest allows for requests that
// fall into different windows on different instances, and for clock
// differences.
inline constexpr double kUsableRatioShare = 0.7;
// Share of the ratio that an instance uses in its first window. Together with
// kUsableRatioShare, it leaves a tenth: the process before it may have used its
// share of the ratio until the moment at which it ended.
inline constexpr double kUsableRatioShareAfterStart = 0.2;
// Share of the slack that instances which know each other divide. The rest
// allows for instances that are not known yet.
inline constexpr double kUsableSlackShare = 0.8;
// Time, in windows, for which an instance that was not counted by all others
// spends no more than its part of that rest once it is counted again: until the
// others have learned of it, and what they spent before has left the window.
inline constexpr int kWindowsUntilRecounted = 2;
// The highest number of instances within this time counts.
inline constexpr Duration kInstanceCountMemory = std::chrono::minutes(5);

// Retries that one instance may send to each service. The instances keep the
// common bound without asking each other, because each uses retries only in
// proportion to the requests that it received itself, and an equal part of the
// slack. An instance that does not know how many there are uses one
// retry of it.
//
// A process does not know what the one that it replaces has used. In its first
// window it uses no slack and a small share of the ratio, so that the bound
// also holds when processes are killed in series, or all at once: of the
// processes of one instance, only the first of a window can use more.
class ServiceRetryBudget {
 public:
  explicit ServiceRetryBudget(RetryBound bound) : bound_(bound) {}

  // Records that this process has started, perhaps in place of one that has
  // used its retries. Without this call, there was none.
  void RecordStart(TimePoint now) { started_at_ = now; }
  void RecordRequest(const std::string& service, TimePoint now);
  // Records how many instances share the bound, including this one and those
  // that it does not hear.
  void RecordInstanceCount(size_t instances, TimePoint now);
  // Records how many instances are heard, including this one. Counts as long as
  // it is unknown how many share the bound.
  void RecordHeardCount(size_t instances) { heard_count_ = instances; }
  // Records until when all others count this instance. After that, those that
  // have started meanwhile may divide the slack among fewer.
  void RecordCounted(TimePoint until, TimePoint now);
  // Consumes one retry; returns false if the budget of `service` has none left.
  bool TryConsume(const std::string& service, TimePoint now);
  // Returns the retries that are left in the current window.
  double Remaining(const std::string& service, TimePoint now);
  void set_bound(RetryBound bound) { bound_ = bound; }

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  Window& RemoveExpired(const std::string& service, TimePoint now);
  double SlackShare(TimePoint now) const;
  bool IsCountedByAll(TimePoint now) const;
  bool InFirstWindow(TimePoint now) const;

  RetryBound bound_;
  std::optional<TimePoint> started_at_;
  size_t instance_count_ = 0;  // 0 if unknown
  size_t heard_count_ = 0;
  TimePoint instance_count_at_{};
  std::optional<TimePoint> counted_until_;  // nullopt if unknown
  std::optional<TimePoint> recounted_at_;
  std::map<std::string, Window> windows_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_SERVICE_RETRY_BUDGET_H_
