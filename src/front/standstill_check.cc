#include "front/standstill_check.h"

#include "endiveyard/relay/relay.h"

namespace endiveyard {

std::optional<uint64_t> StandstillCheck::RecordTick(TimePoint now) {
  const Duration gap =
      last_tick_ ? std::chrono::duration_cast<Duration>(now - *last_tick_)
                 : Duration(0);
  last_tick_ = now;
  if (gap > kMaxNewsAge) {
    standstill_ = gap;
    awaits_news_ = true;
    is_confirmed_ = is_reading_ = false;
  }
  if (is_confirmed_ || is_reading_) {
    return std::nullopt;
  }
  is_reading_ = true;
  return ++reads_;
}

bool StandstillCheck::RecordRead(uint64_t number, bool succeeded) {
  if (number != reads_) {
    return false;
  }
  is_reading_ = false;
  is_confirmed_ = succeeded;
  const bool ends_wait = awaits_news_;
  awaits_news_ = false;
  return ends_wait;
}

}  // namespace endiveyard
