#include "endiveyard/duties/duty_holder_view.h"

#include <algorithm>
#include <string>
#include <utility>

#include "endiveyard/authority/shard_assignment.h"
#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// The holder tells of itself every few seconds. A wrong report counts as long.
constexpr Duration kHolderLifetime = std::chrono::seconds(30);
// Added to ages that are passed on, as in the list of live instances: without
// it, instances could keep each other's statement young.
constexpr Duration kMaxTransitTime = std::chrono::milliseconds(250);
// Interval at which more instances follow a holder of which nothing is heard.
constexpr Duration kSilencePerStep = std::chrono::seconds(10);
// Bounds the calls to the registry while none of them can hold the duties.
constexpr int kMaxSteps = 4;

uint64_t Weight(uint32_t address) {
  return Digest64("duties " + std::to_string(address));
}

}  // namespace

void DutyHolderView::RecordReport(const DutyHolderReport& report,
                                  TimePoint now) {
  if (report.address == 0 || report.age < Duration(0) ||
      report.age >= kHolderLifetime || report.address == own_address_) {
    return;  // about itself, this instance knows better
  }
  highest_other_token_ = std::max(highest_other_token_, report.fencing_token);
  Record(report.address, report.fencing_token,
         now - report.age - kMaxTransitTime, now);
}

void DutyHolderView::RecordOwn(uint64_t token, TimePoint now) {
  Record(own_address_, token, now, now);
}

void DutyHolderView::Record(uint32_t address,
                            uint64_t token,
                            TimePoint said_at,
                            TimePoint now) {
  const bool is_known = Current(now).address != 0;
  if (!is_known || token > holder_.fencing_token ||
      (token == holder_.fencing_token && said_at > heard_at_)) {
    holder_ = {address, token, Duration(0)};
    heard_at_ = said_at;
  }
}

DutyHolderReport DutyHolderView::Current(TimePoint now) const {
  if (holder_.address == 0 || now - heard_at_ >= kHolderLifetime) {
    return {};
  }
  DutyHolderReport report = holder_;
  report.age = std::chrono::duration_cast<Duration>(now - heard_at_);
  return report;
}

std::optional<int> DutyHolderView::Rank(const std::vector<uint32_t>& live,
                                        TimePoint now) const {
  const uint32_t holder = Current(now).address;
  size_t followed = 0;  // the holder is one of those three
  std::vector<std::pair<uint64_t, uint32_t>> others;
  others.reserve(live.size());
  for (const uint32_t it : live) {
    if (it == holder && it != own_address_) {
      followed = 1;
    } else {
      others.emplace_back(Weight(it), it);
    }
  }
  std::sort(others.rbegin(), others.rend());
  const auto steps = static_cast<int>(
      std::min<int64_t>(kMaxSteps, 1 + (now - heard_at_) / kSilencePerStep));
  const size_t count = std::min(
      others.size(), kShardCandidates * static_cast<size_t>(steps) - followed);
  const auto end = others.begin() + static_cast<std::ptrdiff_t>(count);
  const auto it = std::find_if(others.begin(), end, [this](const auto& other) {
    return other.second == own_address_;
  });
  return it == end ? std::nullopt
                   : std::optional(static_cast<int>(it - others.begin()));
}

}  // namespace endiveyard
