#include "endiveyard/placement/service_map_currency.h"

#include <algorithm>

namespace endiveyard {
namespace {

// Limits the memory that forged reports can take. The largest fleet has 370
// instances.
constexpr size_t kMaxPeers = 2000;

}  // namespace

void ServiceMapCurrency::RecordPeer(uint32_t peer,
                                    int64_t version,
                                    TimePoint now) {
  if (version <= 0 || (heard_.size() >= kMaxPeers && heard_.count(peer) == 0)) {
    return;
  }
  heard_[peer] = {version, now};
}

void ServiceMapCurrency::RecordOwn(int64_t version) {
  own_version_ = version;
}

void ServiceMapCurrency::RecordRestart() {
  has_caught_up_ = false;
}

int64_t ServiceMapCurrency::HighestHeard(TimePoint now) const {
  int64_t highest = 0;
  for (const auto& [peer, it] : heard_) {
    if (now - it.at < kHeardVersionLifetime) {
      highest = std::max(highest, it.version);
    }
  }
  return highest;
}

bool ServiceMapCurrency::IsBehind(TimePoint now) {
  const int64_t highest = HighestHeard(now);
  if (highest <= own_version_) {
    has_caught_up_ = has_caught_up_ || highest > 0;
    behind_since_.reset();
    return false;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  const auto behind = now - *behind_since_;
  return (!has_caught_up_ || behind >= propagation_time_) &&
         behind < kMaxTimeBehind;
}

}  // namespace endiveyard
