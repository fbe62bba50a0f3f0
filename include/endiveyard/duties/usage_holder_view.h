#ifndef ENDIVEYARD_DUTIES_USAGE_HOLDER_VIEW_H_
#define ENDIVEYARD_DUTIES_USAGE_HOLDER_VIEW_H_

#include <cstdint>
#include <optional>

#include "endiveyard/base/time_point.h"
#include "endiveyard/duties/usage_counts.h"

namespace endiveyard {

// Who holds the duties, as the instances tell each other: the highest token
// counts, then the lowest age. No I/O.
class UsageHolderView {
 public:
  explicit UsageHolderView(uint32_t own_address) : own_address_(own_address) {}

  // Records what a report of another instance states, at its arrival.
  void RecordReport(const DutyHolderReport& report, TimePoint now);
  // Records that this instance holds the duties.
  void RecordOwn(uint64_t token, TimePoint now);

  // Returns the holder; its address is 0 if none has said so lately.
  DutyHolderReport Latest(TimePoint now) const;
  // Returns the highest token of another instance, 0 if there is none.
  uint64_t highest_other_token() const { return highest_other_token_; }

 private:
  void Record(uint32_t address,
              uint64_t token,
              TimePoint said_at,
              TimePoint now);

  const uint32_t own_address_;
  uint32_t address_ = 0;
  uint64_t token_ = 0;
  TimePoint said_at_{};
  uint64_t highest_other_token_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_USAGE_HOLDER_VIEW_H_
