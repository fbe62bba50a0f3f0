#include "endiveyard/placement/peer_loads.h"

#include <algorithm>
#include <cmath>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// Work that was reported ends soon, and other work follows that is distributed
// by what was reported. Beyond the first age, the weight of a report halves in
// each further interval: with full weight, all instances would choose the
// engine that was idle a second ago.
constexpr Duration kFreshAge = std::chrono::milliseconds(200);
constexpr Duration kWorkHalfLife = std::chrono::milliseconds(200);
// Sums are computed again after this time.
constexpr Duration kSumsLifetime = std::chrono::milliseconds(10);
// The sequence of a peer is kept for this multiple of the lifetime of its
// report, so that a late datagram does not replace a newer one.
constexpr int kSequenceLifetimeFactor = 10;
// Limits the memory that forged reports can take.
constexpr size_t kMaxPeers = 1000;
constexpr size_t kMaxRegions = 64;

Duration LifetimeOf(Duration interval) {
  constexpr Duration kMaxInterval = std::chrono::seconds(5);
  return std::max(kMinReportLifetime,
                  kReportLifetimeIntervals *
                      std::clamp(interval, Duration(0), kMaxInterval));
}

}  // namespace

uint64_t ReplicaKey(std::string_view replica_id) {
  // 32 bits keep reports short, and rarely coincide among 12,000 replicas.
  return Digest64(replica_id) & 0xffffffffu;
}

double PeerLoads::Report::Weight(TimePoint now) const {
  if (IsExpired(now)) {
    return 0;
  }
  const Duration beyond = std::max(
      Duration(0),
      std::chrono::duration_cast<Duration>(now - received) - kFreshAge);
  return std::exp2(-static_cast<double>(beyond.count()) /
                   static_cast<double>(kWorkHalfLife.count()));
}

bool PeerLoads::Update(uint64_t peer,
                       uint64_t sequence,
                       const std::vector<ReplicaWork>& work,
                       TimePoint now,
                       Duration interval) {
  if (reports_.size() >= kMaxPeers && reports_.count(peer) == 0) {
    return false;
  }
  Report& report = reports_[peer];
  // The sequence of a restarted peer begins at one again; its reports are
  // accepted once the report from before the restart has expired.
  if (!report.IsExpired(now) && sequence <= report.sequence) {
    return false;
  }
  report = {sequence, now, LifetimeOf(interval), work};
  summed_at_.reset();
  return true;
}

void PeerLoads::UpdateRegion(uint64_t region,
                             const std::vector<ReplicaWork>& work,
                             TimePoint now,
                             Duration interval) {
  if (region_reports_.size() >= kMaxRegions &&
      region_reports_.count(region) == 0) {
    return;
  }
  region_reports_[region] = {0, now, LifetimeOf(interval), work};
  summed_at_.reset();
}

void PeerLoads::Add(const Report& report, TimePoint now, SumsByReplica* sums) {
  const double weight = report.Weight(now);
  if (weight <= 0) {
    return;
  }
  for (const ReplicaWork& it : report.work) {
    Sums& sum = (*sums)[it.replica_key];
    sum.calls += it.calls * weight;
    sum.pending_prefill_tokens += it.pending_prefill_tokens * weight;
  }
}

const PeerLoads::Sums& PeerLoads::SumsOf(uint64_t replica_key,
                                         TimePoint now) const {
  if (!summed_at_ || now - *summed_at_ >= kSumsLifetime || now < *summed_at_) {
    sums_.clear();
    for (const auto& [peer, report] : reports_) {
      Add(report, now, &sums_);
    }
    for (const auto& [region, report] : region_reports_) {
      Add(report, now, &sums_);
    }
    summed_at_ = now;
  }
  static const Sums kNone;
  const auto it = sums_.find(replica_key);
  return it == sums_.end() ? kNone : it->second;
}

double PeerLoads::Calls(uint64_t replica_key, TimePoint now) const {
  return SumsOf(replica_key, now).calls;
}

double PeerLoads::PendingPrefillTokens(uint64_t replica_key,
                                       TimePoint now) const {
  return SumsOf(replica_key, now).pending_prefill_tokens;
}

std::vector<ReplicaWork> PeerLoads::WorkOfPeers(TimePoint now) const {
  SumsByReplica sums;
  for (const auto& [peer, report] : reports_) {
    Add(report, now, &sums);
  }
  std::vector<ReplicaWork> work;
  work.reserve(sums.size());
  for (const auto& [replica_key, it] : sums) {
    work.push_back({replica_key, static_cast<uint32_t>(std::lround(it.calls)),
                    static_cast<uint32_t>(it.pending_prefill_tokens)});
  }
  return work;
}

std::vector<ReplicaWork> PeerLoads::ReportedWork(TimePoint now) const {
  std::unordered_map<uint64_t, ReplicaWork> sums;
  for (const auto* reports : {&reports_, &region_reports_}) {
    for (const auto& [sender, report] : *reports) {
      if (report.IsExpired(now)) {
        continue;
      }
      for (const ReplicaWork& it : report.work) {
        ReplicaWork& sum = sums[it.replica_key];
        sum.replica_key = it.replica_key;
        sum.calls += it.calls;
        sum.pending_prefill_tokens += it.pending_prefill_tokens;
      }
    }
  }
  std::vector<ReplicaWork> work;
  work.reserve(sums.size());
  for (const auto& [replica_key, it] : sums) {
    work.push_back(it);
  }
  return work;
}

size_t PeerLoads::LivePeers(TimePoint now) const {
  size_t live_peers = 0;
  for (const auto& [peer, report] : reports_) {
    live_peers += report.IsExpired(now) ? 0 : 1;
  }
  return live_peers;
}

void PeerLoads::Expire(TimePoint now) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    const bool expired = now - it->second.received >=
                         kSequenceLifetimeFactor * it->second.lifetime;
    it = expired ? reports_.erase(it) : std::next(it);
  }
  for (auto it = region_reports_.begin(); it != region_reports_.end();) {
    it =
        it->second.Weight(now) <= 0 ? region_reports_.erase(it) : std::next(it);
  }
}

}  // namespace endiveyard
