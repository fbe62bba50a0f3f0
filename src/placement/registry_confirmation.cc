#include "endiveyard/placement/registry_confirmation.h"

#include <algorithm>

namespace endiveyard {
namespace {

// Time for the transfer of a change and for applying it.
constexpr Duration kApplyMargin = std::chrono::milliseconds(100);
// Reads are at least this far apart in parts of the bound, however short it is.
constexpr int kMinReadDivisor = 4;
// Longer than the pause between two watches, see MirrorTiming.
constexpr int kNewerVersionDivisor = 5;

}  // namespace

ReaderGroup MakeReaderGroup(const std::vector<uint32_t>& live, uint32_t own) {
  const auto own_place = static_cast<size_t>(
      std::lower_bound(live.begin(), live.end(), own) - live.begin());
  const size_t begin = own_place / kMaxReaderGroup * kMaxReaderGroup;
  const size_t end = std::min(begin + kMaxReaderGroup, live.size());
  ReaderGroup group;
  group.rank = own_place - begin;
  for (size_t n = begin; n < end; ++n) {
    if (live[n] != own) {
      group.others.push_back(live[n]);
    }
  }
  return group;
}

ConfirmationTiming MakeConfirmationTiming(Duration max_staleness,
                                          Duration check_interval,
                                          Duration max_read_time) {
  ConfirmationTiming timing;
  timing.max_staleness = max_staleness;
  timing.last_read =
      std::max(max_staleness - check_interval - max_read_time - kApplyMargin,
               max_staleness / kMinReadDivisor);
  timing.first_read = timing.last_read / 2;
  timing.second_read = timing.last_read * 3 / 4;
  timing.newer_change_read = max_staleness / kNewerVersionDivisor;
  return timing;
}

void RegistryConfirmation::RecordRead(TimePoint now) {
  read_at_ = now;
  confirmed_at_ = now;
  newer_since_.reset();
}

void RegistryConfirmation::RecordPeer(PeerKnowledge peer,
                                      std::optional<Duration> age,
                                      TimePoint now) {
  if (peer == PeerKnowledge::kNewer) {
    newer_since_ = newer_since_.value_or(now);
  } else if (peer == PeerKnowledge::kSame && age &&
             *age <= timing_.max_staleness) {
    confirmed_at_ = std::max(confirmed_at_.value_or(now - *age), now - *age);
  }
}

void RegistryConfirmation::Reset() {
  read_at_.reset();
  confirmed_at_.reset();
}

std::optional<Duration> RegistryConfirmation::OwnAge(TimePoint now) const {
  if (!read_at_ || now - *read_at_ >= timing_.max_staleness) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(now - *read_at_);
}

bool RegistryConfirmation::IsConfirmed(TimePoint now) const {
  return confirmed_at_ && now - *confirmed_at_ < timing_.max_staleness;
}

bool RegistryConfirmation::IsReadDue(size_t rank, TimePoint now) const {
  if (newer_since_ && now - *newer_since_ >= timing_.newer_change_read) {
    return true;
  }
  const Duration delay = rank == 0   ? timing_.first_read
                         : rank == 1 ? timing_.second_read
                                     : timing_.last_read;
  return !confirmed_at_ || now - *confirmed_at_ >= delay;
}

bool RegistryConfirmation::IsReadUseful(TimePoint now) const {
  return newer_since_ || !read_at_ || now - *read_at_ >= timing_.first_read / 2;
}

}  // namespace endiveyard
