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

  // Records what another instance tells, or what this one knows of itself. The
  // highest token wins, then the lowest age.
  void Record(const DutyHolderReport& report, TimePoint now);
  // Returns the holder that was told last, with its age; address 0 if that is
  // too long ago.
  DutyHolderReport Current(TimePoint now) const;

  // Returns the position of this instance among those that follow the holder,
  // or nullopt if it does not have to. These are the three of the highest
  // rendezvous weight in `live`, apart from the holder, and more the longer no
  // holder is heard of, since all three may be gone. O(live log live).
  std::optional<int> Rank(const std::vector<uint32_t>& live,
                          TimePoint now) const;

 private:
  const uint32_t own_address_;
  DutyHolderReport holder_;
  TimePoint heard_at_;  // when the holder said so; the start if none is known
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_DUTY_HOLDER_VIEW_H_
