#ifndef ENDIVEYARD_DUTIES_USAGE_EXCHANGE_H_
#define ENDIVEYARD_DUTIES_USAGE_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/duties/clock_median.h"
#include "endiveyard/duties/duty_calls.h"
#include "endiveyard/duties/duty_holder_view.h"
#include "endiveyard/duties/usage_collector.h"
#include "endiveyard/duties/usage_counter.h"
#include "endiveyard/duties/usage_counts.h"
#include "endiveyard/duties/usage_reporter.h"
#include "endiveyard/duties/usage_sender.h"

namespace endiveyard {

struct UsageExchangeOptions {
  uint32_t own_address = 0;  // IPv4
  UsageReporterOptions reporter;
};

// What an instance sends to another one about usage, besides what all reports
// state.
struct UsageMessage {
  std::vector<WindowUsage> usage;  // to the holder of the duties
  std::vector<int64_t> acks;       // from the holder

  bool operator==(const UsageMessage& other) const {
    return usage == other.usage && acks == other.acks;
  }
};

// What a report of another instance states about usage.
struct UsagePeerReport {
  UsageStatement statement;
  DutyHolderReport duty_holder;
  std::vector<int64_t> acks;
};

struct UsageExchangeHandlers {
  std::function<void(uint32_t address, const UsageMessage& message)> send;
  std::function<void(const UsageEvent& event)> on_event;
};

// What the exchange needs to know at each tick.
struct UsageTick {
  int64_t unix_ms = 0;         // by the clock of this machine
  int64_t era = 0;             // of the registry; 0 if not known
  std::vector<uint32_t> live;  // live instances that are not leaving, in order
};

// The part of one instance in counting and reporting usage: counts the requests
// that began to run here, tells the holder of the duties, and reports the sums
// where this instance is the holder. Single-threaded, no I/O.
class UsageExchange {
 public:
  UsageExchange(const UsageExchangeOptions& options,
                UsageExchangeHandlers handlers,
                int64_t unix_ms,
                TimePoint now);

  // Adds the names of customers, by which reports name them. Those of former
  // configurations stay known.
  void AddCustomers(const std::vector<std::string>& names);
  // Counts a request whose first output goes to the caller now.
  void RecordStart(std::string_view customer, TimePoint now);
  // Takes in a report of another instance.
  void RecordReport(const UsagePeerReport& report, TimePoint now);
  // Has to be called several times a second. `calls` is null where nothing can
  // be reported.
  void Tick(const UsageTick& tick, DutyCalls* calls, TimePoint now);
  // Sends all counts at once, for a process that is about to exit.
  void SendLast(TimePoint now);

  // Returns what reports of this instance state about the holder.
  DutyHolderReport duty_holder(TimePoint now) const {
    return holder_view_.Current(now);
  }
  int64_t UnixMs(TimePoint now) const { return clock_.UnixMs(now); }

 private:
  void SendCounts(std::vector<std::vector<WindowUsage>> messages,
                  uint32_t holder,
                  TimePoint now);
  // Counts of the own instance go to the collector without a datagram.
  std::vector<int64_t> RecordOwnCounts(std::vector<WindowUsage> usage,
                                       TimePoint now);
  void SendAcks(TimePoint now);

  const UsageExchangeOptions options_;
  const UsageExchangeHandlers handlers_;
  ClockMedian clock_;
  UsageCounter counter_;
  DutyHolderView holder_view_;
  UsageSender sender_;
  UsageCollector collector_;
  UsageReporter reporter_;
  std::map<uint64_t, std::string> names_;
  bool is_holder_ = false;
  std::map<uint32_t, std::set<int64_t>> acks_;  // to be sent
  double ack_allowance_ = 0;                    // messages
  TimePoint allowance_at_{};
  uint64_t own_sequence_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_USAGE_EXCHANGE_H_
