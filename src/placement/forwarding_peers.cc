#include "endiveyard/placement/forwarding_peers.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

constexpr Duration kMemory = std::chrono::minutes(1);
// Limits the memory that forged reports can take.
constexpr size_t kMaxPeers = 2000;
// Reports are missing after several of their intervals, since some are lost,
// and after twice the longest interval in a small fleet.
constexpr int kMissingReports = 4;
constexpr Duration kMinOverdueTime = std::chrono::milliseconds(1200);
// An instance of another region is chosen when those of the own one have this
// many more open requests each.
constexpr int kOpenRequestsForRegion = 8;

}  // namespace

void ForwardingPeers::RecordReport(uint32_t address,
                                   const ForwardingState& state,
                                   TimePoint now) {
  if (peers_.size() >= kMaxPeers && peers_.count(address) == 0) {
    return;
  }
  Peer& peer = peers_[address];
  peer.state = state;
  peer.interval = std::chrono::duration_cast<Duration>(now - peer.heard_at);
  peer.heard_at = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool is_old =
        now - it->second.heard_at > kMemory && it->second.open_requests == 0;
    it = is_old ? peers_.erase(it) : std::next(it);
  }
}

bool ForwardingPeers::IsKnown(uint32_t address, TimePoint now) const {
  const auto it = peers_.find(address);
  return it != peers_.end() && now - it->second.heard_at <= kMemory;
}

std::optional<uint32_t> ForwardingPeers::Choose(
    uint16_t own_region,
    const std::set<uint32_t>& excluded,
    uint64_t tie_breaker,
    TimePoint now) const {
  std::optional<uint32_t> chosen;
  std::tuple<bool, int, uint64_t> best;
  for (const auto& [address, peer] : peers_) {
    const ForwardingState& state = peer.state;
    if ((!state.takes_requests && !state.takes_last_requests) ||
        excluded.count(address) > 0 || now - peer.heard_at >= kReportLifetime) {
      continue;
    }
    const int distance =
        state.region == own_region ? 0 : kOpenRequestsForRegion;
    const std::tuple rank(!state.takes_requests, peer.open_requests + distance,
                          Digest64(std::string_view(), tie_breaker ^ address));
    if (!chosen || rank < best) {
      chosen = address;
      best = rank;
    }
  }
  return chosen;
}

void ForwardingPeers::RecordNotTaken(uint32_t address) {
  if (const auto it = peers_.find(address); it != peers_.end()) {
    it->second.state.takes_requests = false;
    it->second.state.takes_last_requests = false;
  }
}

bool ForwardingPeers::IsOverdue(uint32_t address, TimePoint now) const {
  const auto it = peers_.find(address);
  if (it == peers_.end()) {
    return true;
  }
  const Duration limit =
      std::max(kMinOverdueTime, kMissingReports * it->second.interval);
  return now - it->second.heard_at > limit;
}

void ForwardingPeers::RecordSent(uint32_t address) {
  ++peers_[address].open_requests;
}

void ForwardingPeers::RecordEnded(uint32_t address) {
  const auto it = peers_.find(address);
  if (it != peers_.end() && it->second.open_requests > 0) {
    --it->second.open_requests;
  }
}

}  // namespace endiveyard
