#ifndef ENDIVEYARD_DUTIES_USAGE_COLLECTOR_H_
#define ENDIVEYARD_DUTIES_USAGE_COLLECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/duties/usage_counts.h"

namespace endiveyard {

// What a load report states of its sender and of the usage there.
struct UsageStatement {
  uint32_t sender = 0;  // IPv4 address
  uint64_t sequence = 0;
  int64_t unix_ms = 0;  // at the sender; 0 if not told
  std::vector<WindowUsage> usage;
};

// Adds up the counts of all instances. What an instance repeats replaces what
// it told before. An instance whose reports begin anew has been restarted, and
// what its former process told is kept. No I/O.
class UsageCollector {
 public:
  explicit UsageCollector(Duration window);

  // Takes in a report, also one without counts. `unix_ms` is the true time.
  // Returns the windows of which all counts of the sender are known by now.
  std::vector<int64_t> Record(const UsageStatement& statement,
                              int64_t unix_ms,
                              TimePoint now);

  // Returns how many instances have yet to tell their counts of `window`: of
  // those in `live`, and of those that leave and are still heard.
  size_t MissingCount(int64_t window,
                      const std::vector<uint32_t>& live,
                      TimePoint now) const;
  // Returns the sums by customer.
  std::map<uint64_t, int64_t> Sum(int64_t window) const;
  // Returns how many instances have told counts of `window`.
  size_t SenderCount(int64_t window) const;
  // Returns the earliest window with any requests.
  std::optional<int64_t> EarliestWindow() const;

 private:
  // Counts of one instance in one window.
  struct Share {
    std::vector<CustomerUsage> former;  // of processes that have ended
    std::vector<CustomerUsage> present;
    bool complete = false;  // told by the present process after the window
  };
  struct Sender {
    uint64_t sequence = 0;
    int64_t unix_ms = 0;
    TimePoint heard_at{};
    std::optional<TimePoint> restarted_at;
  };

  // Returns false for a report that was overtaken by a later one.
  bool RecordSender(const UsageStatement& statement, TimePoint now);
  void KeepFormerCounts(uint32_t sender);
  void Expire(int64_t unix_ms, TimePoint now);

  const int64_t window_ms_;
  std::map<uint32_t, Sender> senders_;
  std::map<int64_t, std::map<uint32_t, Share>> windows_;
  size_t entries_ = 0;  // customers in all shares
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_USAGE_COLLECTOR_H_
