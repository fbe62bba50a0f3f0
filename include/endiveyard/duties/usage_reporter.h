#ifndef ENDIVEYARD_DUTIES_USAGE_REPORTER_H_
#define ENDIVEYARD_DUTIES_USAGE_REPORTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/duties/duty_calls.h"
#include "endiveyard/duties/usage_collector.h"

namespace endiveyard {

struct UsageReporterOptions {
  Duration window = std::chrono::seconds(5);
  // After the end of a window, its report is due this much later.
  Duration late = std::chrono::seconds(10);
};

enum class UsageEventKind {
  kAccepted,         // the report of a window
  kRepeated,         // a report of a former holder, or one not accepted before
  kDropped,          // a window that is too old, or perhaps reported before
  kIncomplete,       // a report without the counts of all instances
  kUnknownCustomer,  // counts without a known name are left out
};

struct UsageEvent {
  UsageEventKind kind = UsageEventKind::kAccepted;
  int64_t window = 0;
  int64_t customers = 0;
  int64_t requests = 0;
  int64_t instances = 0;  // that are missing if kIncomplete
  Duration since_end{};   // of the window
};

// What the reporter needs to know at one point in time.
struct UsageReporterView {
  const UsageCollector* collector = nullptr;
  const std::vector<uint32_t>* live = nullptr;  // instances, in order
  // Returns the name of a customer; nullopt if it is not known.
  std::function<std::optional<std::string>(uint64_t customer_key)> name_of;
  int64_t unix_ms = 0;  // true time
  int64_t era = 0;      // of the registry; 0 if not known
  // Highest token of another instance that was heard.
  uint64_t highest_other_token = 0;
};

// Reports each window once, as the holder of the duties: decides which report
// is due, and repeats it until it is accepted. No I/O.
class UsageReporter {
 public:
  UsageReporter(UsageReporterOptions options,
                std::function<void(const UsageEvent&)> on_event);

  // Makes at most one call. `calls` has to outlive the reporter.
  void Tick(DutyCalls* calls, const UsageReporterView& view, TimePoint now);

  // Returns the window to be reported next; nullopt before this instance was
  // the holder.
  std::optional<int64_t> next_window() const { return next_; }

 private:
  void RecordEra(int64_t era, const UsageReporterView& view);
  void TakeUp(uint64_t token,
              const std::optional<UsageReport>& recorded,
              const UsageReporterView& view,
              TimePoint now);
  // Applies the answer to the call that has ended.
  void ApplyAnswer(DutyCallOutcome outcome,
                   const std::optional<UsageReport>& recorded,
                   const UsageReporterView& view,
                   TimePoint now);
  // Goes on after the windows that the holder refuses since a restore of the
  // registry. Reports for them would be repeated until they are too old, and
  // later ones would miss their time.
  void SkipRefusedWindows(const DutyCalls& calls,
                          const UsageReporterView& view);
  // Leaves out windows that are too old to be of use.
  void DropOldWindows(const UsageReporterView& view);
  std::optional<UsageReport> NextReport(const UsageReporterView& view,
                                        TimePoint now);
  void Notify(UsageEventKind kind,
              const UsageReport& report,
              int64_t instances,
              const UsageReporterView& view);
  Duration SinceEnd(int64_t window, const UsageReporterView& view) const;

  const UsageReporterOptions options_;
  const int64_t window_ms_;
  const std::function<void(const UsageEvent&)> on_event_;
  std::optional<uint64_t> token_;  // that is held, or was held last
  std::optional<uint64_t> refused_token_;
  TimePoint held_since_{};
  std::optional<int64_t> next_;
  // Sent, and perhaps accepted: repeated without any change.
  std::optional<UsageReport> pending_;
  int64_t era_ = 0;
  // In an era that others may have known before, windows before this one may
  // have been reported by a former holder of whom nothing is recorded.
  int64_t era_floor_ = 0;
  int64_t started_in_ = 0;  // window of the first tick
  TimePoint retry_at_{};
  struct Call {
    bool open = false;
    std::optional<DutyCallOutcome> outcome;
  };
  std::shared_ptr<Call> call_ = std::make_shared<Call>();
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_USAGE_REPORTER_H_
