#ifndef ENDIVEYARD_DUTIES_DUTY_CALLS_H_
#define ENDIVEYARD_DUTIES_DUTY_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// The token of a call is the era of the registry, shifted by this, and a
// fencing number that begins anew in each era.
inline constexpr int kTokenEraShift = 32;

// Order for a number of replicas of one kind in one failure domain. Absolute,
// so that repeating it changes nothing.
struct ScaleOrder {
  std::string service;
  std::string failure_domain;
  int replicas = 0;
  bool spot = false;  // replicas that may be reclaimed

  bool operator==(const ScaleOrder& other) const {
    return std::tie(service, failure_domain, replicas, spot) ==
           std::tie(other.service, other.failure_domain, other.replicas,
                    other.spot);
  }
};

// Requests of each customer, by name, that began to run in a window at all
// instances.
struct UsageReport {
  int64_t window = 0;
  std::map<std::string, int64_t> counts;

  bool operator==(const UsageReport& other) const {
    return std::tie(window, counts) == std::tie(other.window, other.counts);
  }
};

enum class DutyCallOutcome {
  kAccepted,
  kConflict,  // a higher fencing token was seen, or no spot replicas are there
  kRejected,  // the call has no effect, now or later
  kUnknown,   // the call may have taken effect, or may still do so
};

// Makes the calls of the duties as their holder. Each callback runs once, on
// the event loop thread, never within the call.
class DutyCalls {
 public:
  virtual ~DutyCalls() = default;

  // Returns the token to send with, or nullopt if this instance may not start a
  // call now.
  virtual std::optional<uint64_t> Token(TimePoint now) const = 0;
  // kRejected if this instance may not start a call.
  virtual void SendScaleOrder(const ScaleOrder& order,
                              std::function<void(DutyCallOutcome)> done) = 0;
  // Records the report in the registry and sends it. A report for a window that
  // was recorded before with other counts is kRejected.
  virtual void SendUsageReport(const UsageReport& report,
                               std::function<void(DutyCallOutcome)> done) = 0;
  // Returns the report that was recorded last by any holder; nullopt if there
  // is none, or it is not known. Its call may have failed.
  virtual std::optional<UsageReport> LastUsageReport() const = 0;
  // Returns the first window that may be reported: after a restore of the
  // registry it is not known which of the earlier ones were. Reports of those
  // are kRejected.
  virtual int64_t FirstUsageWindow() const { return 0; }
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_DUTY_CALLS_H_
