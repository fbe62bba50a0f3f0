#include "endiveyard/duties/usage_holder_view.h"

#include <algorithm>

namespace endiveyard {
namespace {

// A holder that has not said so for this long is not believed in any more. A
// successor takes 4 to 9 s, and holders always have a higher token than the one
// before, so this only ends what a forged report has stated.
constexpr Duration kHolderLifetime = std::chrono::seconds(10);
// Added to ages that are passed on, as in the list of live instances: without
// it, instances could keep each other's statement young.
constexpr Duration kMaxTransitTime = std::chrono::milliseconds(250);

}  // namespace

void UsageHolderView::RecordReport(const DutyHolderReport& report,
                                   TimePoint now) {
  if (report.address == 0 || report.age < Duration(0) ||
      report.age > kHolderLifetime || report.address == own_address_) {
    return;  // about itself, this instance knows better
  }
  highest_other_token_ = std::max(highest_other_token_, report.fencing_token);
  Record(report.address, report.fencing_token,
         now - report.age - kMaxTransitTime, now);
}

void UsageHolderView::RecordOwn(uint64_t token, TimePoint now) {
  Record(own_address_, token, now, now);
}

DutyHolderReport UsageHolderView::Latest(TimePoint now) const {
  if (address_ == 0 || now - said_at_ > kHolderLifetime) {
    return {};
  }
  return {address_, token_,
          std::max(Duration(0),
                   std::chrono::duration_cast<Duration>(now - said_at_))};
}

void UsageHolderView::Record(uint32_t address,
                             uint64_t token,
                             TimePoint said_at,
                             TimePoint now) {
  const bool has_expired = Latest(now).address == 0;
  if (has_expired || token > token_ ||
      (token == token_ && said_at > said_at_)) {
    address_ = address;
    token_ = token;
    said_at_ = said_at;
  }
}

}  // namespace endiveyard
