#ifndef ENDIVEYARD_DUTIES_DUTY_HOLDER_VIEW_H_
#define ENDIVEYARD_DUTIES_DUTY_HOLDER_VIEW_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/duties/usage_counts.h"

namespace endiveyard {

// What instances tell each other about the holder of the duties, and which of
// them are to follow it. Nothing that has to be safe depends on it.
class DutyHolderView {
 public:
  DutyHolderView(uint32_t own_address, TimePoint now)
      : own_address_(own_address), heard_at_(now) {}

  // Records what a report of another instance tells, at its arrival. The
  // highest token wins, then the lowest age.
  void RecordReport(const DutyHolderReport& report, TimePoint now);
  // Records that this instance holds the duties.
  void RecordOwn(uint64_t token, TimePoint now);
  // Returns the holder that was told last, with its age; address 0 if that is
  // too long ago.
  DutyHolderReport Current(TimePoint now) const;

  // Returns the highest token of another instance, 0 if there is none.
  uint64_t highest_other_token() const { return highest_other_token_; }

  // Returns the position of this instance among those that follow the holder,
  // or nullopt if it does not have to. These are the three of the highest
  // rendezvous weight in `live`, apart from the holder, and more the longer no
  // holder is heard of, since all three may be gone. O(live log live).
  std::optional<int> Rank(const std::vector<uint32_t>& live,
                          TimePoint now) const;

 private:
  void Record(uint32_t address,
              uint64_t token,
              TimePoint said_at,
              TimePoint now);

  const uint32_t own_address_;
  uint64_t highest_other_token_ = 0;
  DutyHolderReport holder_;
  TimePoint heard_at_;  // when the holder said so; the start if none is known
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_DUTY_HOLDER_VIEW_H_
