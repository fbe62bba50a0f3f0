#ifndef ENDIVEYARD_DUTIES_USAGE_SENDER_H_
#define ENDIVEYARD_DUTIES_USAGE_SENDER_H_

#include <cstdint>
#include <set>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/duties/usage_counter.h"
#include "endiveyard/duties/usage_counts.h"

namespace endiveyard {

// Returns the time between two messages of an instance with the same counts to
// the holder: 400 ms, and more in a large fleet, so that the acknowledgements
// of the holder are few enough.
Duration UsageSendInterval(size_t instances);

// Decides when an instance tells its counts to the holder of the duties: until
// they are acknowledged, and again for each new holder. No I/O.
class UsageSender {
 public:
  explicit UsageSender(uint32_t own_address);

  // Returns the messages to send to `holder` now, each a list of windows.
  // `holder.address` is not 0.
  std::vector<std::vector<WindowUsage>> Take(const UsageCounter& counter,
                                             const DutyHolderReport& holder,
                                             size_t instances,
                                             TimePoint now);
  // Returns the messages for a process that is about to exit: all windows, with
  // the present one as far as it has come.
  std::vector<std::vector<WindowUsage>> TakeLast(
      const UsageCounter& counter,
      const DutyHolderReport& holder);
  // Records that `holder` has received the counts of `windows`. Those of a
  // window that has not ended here may grow, so they are told again.
  void RecordAcks(const UsageCounter& counter,
                  uint32_t holder,
                  const std::vector<int64_t>& windows);

 private:
  void SetHolder(const DutyHolderReport& holder);
  std::vector<WindowUsage> Unacknowledged(const UsageCounter& counter) const;

  const Duration phase_;
  uint32_t holder_ = 0;
  uint64_t token_ = 0;
  std::set<int64_t> acknowledged_;
  int64_t slot_ = -1;
  TimePoint last_sent_{};
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_USAGE_SENDER_H_
