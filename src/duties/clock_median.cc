#include "endiveyard/duties/clock_median.h"

#include <algorithm>
#include <vector>

namespace endiveyard {
namespace {

// Readings older than this do not count: the clock may have jumped since. In
// the largest fleet, an instance hears dozens of others within this time.
constexpr Duration kReadingLifetime = std::chrono::seconds(10);
// After a longer time without RecordOwn(), the process has stood still, and
// datagrams have waited. They are read within kBacklogTime.
constexpr Duration kMaxOwnInterval = std::chrono::milliseconds(600);
constexpr Duration kBacklogTime = std::chrono::milliseconds(250);
// Limits the memory that forged reports can take. The largest fleet has 370
// instances.
constexpr size_t kMaxPeers = 2000;
// Beyond this, about the year 5000, a reading is not a time of day.
constexpr int64_t kMaxUnixMs = 100'000'000'000'000;

int64_t BootMs(TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             now.time_since_epoch())
      .count();
}

}  // namespace

void ClockMedian::RecordOwn(int64_t unix_ms, TimePoint now) {
  if (has_own_ && now - last_own_ > kMaxOwnInterval) {
    ignored_until_ = now + kBacklogTime;
  }
  has_own_ = true;
  last_own_ = now;
  std::vector<int64_t> offsets = {unix_ms - BootMs(now)};
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.at > kReadingLifetime) {
      it = peers_.erase(it);
    } else {
      offsets.push_back(it->second.offset_ms);
      ++it;
    }
  }
  const size_t middle = offsets.size() / 2;
  std::nth_element(offsets.begin(), offsets.begin() + middle, offsets.end());
  offset_ms_ = offsets[middle];
  if (offsets.size() % 2 == 0) {
    const int64_t lower =
        *std::max_element(offsets.begin(), offsets.begin() + middle);
    offset_ms_ = lower + (offset_ms_ - lower) / 2;
  }
}

void ClockMedian::RecordPeer(uint32_t peer, int64_t unix_ms, TimePoint now) {
  if (unix_ms <= 0 || unix_ms > kMaxUnixMs ||
      now - last_own_ > kMaxOwnInterval || now < ignored_until_ ||
      (peers_.size() >= kMaxPeers && peers_.count(peer) == 0)) {
    return;
  }
  peers_[peer] = {unix_ms - BootMs(now), now};
}

int64_t ClockMedian::UnixMs(TimePoint now) const {
  return offset_ms_ + BootMs(now);
}

}  // namespace endiveyard
