#include "endiveyard/load_exchange/peer_directory.h"

#include <algorithm>
#include <iterator>

namespace endiveyard {
namespace {

// Live peers, and registered instances that are not live, that are told about
// live instances at a time.
constexpr size_t kMemberRecipients = 2;

// Limits the memory that forged reports can take. The largest fleet has 370
// instances.
constexpr size_t kMaxPeers = 2000;

// Minimum times between reports. Requests take 100 ms or more, so more frequent
// reports of work would add nothing.
constexpr Duration kMinWorkInterval = std::chrono::milliseconds(60);
constexpr Duration kMinRegionInterval = std::chrono::milliseconds(400);

constexpr Duration kMinMemberInterval = std::chrono::milliseconds(200);
// An instance still learns of others for this time after it learned of one.
constexpr Duration kJoiningTime = std::chrono::seconds(1);

// Time until an instance counts as leaving after this was learned, so that in a
// small fleet all know it by then.
constexpr Duration kLeavingNotice = std::chrono::seconds(1);

// Shares of the limit on bytes per second.
constexpr double kJoiningMemberShare = 0.5;
constexpr double kMemberShare = 0.15;
constexpr double kRegionShare = 0.35;
constexpr double kWorkShareOfLargeFleet = 1 - kMemberShare - kRegionShare;
constexpr double kWorkShareOfSmallFleet = 1 - kMemberShare;

// Instances that were learned to leave or to be back within this time come
// first in reports, up to half of the entries.
constexpr Duration kNewsTime = std::chrono::seconds(30);
constexpr size_t kMaxNewsPerReport = kMaxMembersPerReport / 2;
// In a large fleet, such news reach all others within this time, even if a
// third of the datagrams is lost and each instance sends a report in two
// seconds.
constexpr Duration kSpreadingTime = std::chrono::seconds(30);

// Added to ages that are passed on. Most datagrams take less time, which the
// receiver does not know.
constexpr Duration kMaxTransitTime = std::chrono::milliseconds(250);

Duration RateLimited(size_t recipients, size_t report_bytes, double share) {
  const double bytes =
      static_cast<double>(recipients * (report_bytes + kDatagramHeaderBytes));
  return Duration(
      static_cast<int64_t>(1e6 * bytes / (kMaxReportBytesPerSecond * share)));
}

// Returns up to `n` of `all`, at random.
std::vector<uint32_t> RandomSample(const std::vector<uint32_t>& all,
                                   size_t n,
                                   std::minstd_rand* random) {
  std::vector<uint32_t> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample), n, *random);
  return sample;
}

}  // namespace

PeerDirectory::PeerDirectory(uint32_t own_address,
                             uint16_t own_region,
                             std::vector<uint32_t> seeds)
    : own_address_(own_address),
      own_region_(own_region),
      seeds_(std::move(seeds)),
      // Instances begin at different positions, so that they do not all report
      // to the same peers.
      region_turn_(own_address),
      random_(own_address + 1) {}

bool PeerDirectory::RecordReport(const Member& sender,
                                 uint64_t sequence,
                                 const std::vector<Member>& members,
                                 TimePoint now) {
  RemoveOld(now);
  const bool known = peers_.count(sender.address) > 0;
  const auto record = [this, now](const Member& member) {
    if (member.address == own_address_ ||
        (peers_.size() >= kMaxPeers && peers_.count(member.address) == 0)) {
      return;
    }
    Peer& entry = peers_[member.address];
    if (entry.last_alive == TimePoint()) {
      last_added_ = now;
    }
    const TimePoint alive = now - member.age;
    if (alive <= entry.last_alive) {
      return;
    }
    entry.region = member.region;
    entry.last_alive = alive;
    if (member.leaving != entry.leaving_since.has_value()) {
      entry.changed_at = now;
    }
    if (!member.leaving) {
      entry.leaving_since.reset();
    } else if (!entry.leaving_since) {
      entry.leaving_since = now;
    }
  };
  record(sender);
  for (const Member& it : members) {
    if (it.age >= Duration(0) && it.age <= kMaxReportedAge) {
      record(it);
    }
  }
  const auto entry = peers_.find(sender.address);
  if (entry == peers_.end()) {
    return false;
  }
  Peer& peer = entry->second;
  // Each process counts its reports from one.
  if (!known || sequence < peer.sequence) {
    peer.welcomed = false;
  }
  peer.sequence = sequence;
  return !peer.welcomed;
}

void PeerDirectory::RecordWelcomed(uint32_t peer) {
  if (const auto it = peers_.find(peer); it != peers_.end()) {
    it->second.welcomed = true;
  }
}

void PeerDirectory::RecordOwnLeaving(TimePoint now) {
  if (!own_leaving_since_) {
    own_leaving_since_ = now;
  }
}

bool PeerDirectory::IsLive(const Peer& peer, TimePoint now) const {
  return now - peer.last_alive < (peers_.size() > kMaxPeersForFullExchange
                                      ? kPeerTimeoutOfLargeFleet
                                      : kPeerTimeout);
}

void PeerDirectory::RemoveOld(TimePoint now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = IsLive(it->second, now) ? std::next(it) : peers_.erase(it);
  }
}

std::vector<uint32_t> PeerDirectory::LivePeers(TimePoint now) const {
  std::vector<uint32_t> live;
  for (const auto& [address, peer] : peers_) {
    if (IsLive(peer, now)) {
      live.push_back(address);
    }
  }
  return live;
}

void PeerDirectory::RecordRegistered(const std::vector<uint32_t>& addresses,
                                     TimePoint now) {
  // A list without this instance may be older than the records of others.
  is_sharing_known_ =
      is_sharing_known_ || std::find(addresses.begin(), addresses.end(),
                                     own_address_) != addresses.end();
  for (auto& [address, missing_since] : registered_) {
    missing_since = missing_since.value_or(now);
  }
  for (const uint32_t it : addresses) {
    if (it != own_address_ &&
        (registered_.size() < kMaxPeers || registered_.count(it) > 0)) {
      registered_[it].reset();
    }
  }
  for (auto it = registered_.begin(); it != registered_.end();) {
    const bool is_gone = it->second && now - *it->second >= kRegisteredTimeout;
    it = is_gone ? registered_.erase(it) : std::next(it);
  }
}

void PeerDirectory::RecordOwnRecord(TimePoint until) {
  own_record_until_ = std::max(own_record_until_, until);
}

std::vector<uint32_t> PeerDirectory::RegisteredOnly(TimePoint now) const {
  std::vector<uint32_t> only;
  for (const auto& [address, missing_since] : registered_) {
    if (!IsLive(address, now)) {
      only.push_back(address);
    }
  }
  return only;
}

bool PeerDirectory::IsLive(uint32_t address, TimePoint now) const {
  const auto peer = peers_.find(address);
  return peer != peers_.end() && IsLive(peer->second, now);
}

std::vector<uint32_t> PeerDirectory::Sharers(TimePoint now) const {
  const std::vector<uint32_t> live = LivePeers(now);
  const std::vector<uint32_t> registered = RegisteredOnly(now);
  std::vector<uint32_t> all;
  all.reserve(live.size() + registered.size());
  std::merge(live.begin(), live.end(), registered.begin(), registered.end(),
             std::back_inserter(all));
  return all;
}

std::optional<size_t> PeerDirectory::SharingCount(TimePoint now) const {
  const auto others = OtherSharers(now);
  return others ? std::optional(others->size() + 1) : std::nullopt;
}

std::optional<std::vector<uint32_t>> PeerDirectory::OtherSharers(
    TimePoint now) const {
  return is_sharing_known_ ? std::optional(Sharers(now)) : std::nullopt;
}

TimePoint PeerDirectory::CountedUntil(TimePoint now) const {
  return RegisteredOnly(now).empty()
             ? std::max(own_record_until_, now + kPeerTimeout)
             : own_record_until_;
}

std::vector<uint32_t> PeerDirectory::Mates(TimePoint now) const {
  std::vector<uint32_t> live = LivePeers(now);
  if (live.size() <= kMaxPeersForFullExchange) {
    return live;
  }
  std::vector<uint32_t> mates;
  for (const uint32_t it : live) {
    if (peers_.at(it).region == own_region_) {
      mates.push_back(it);
    }
  }
  return mates;
}

std::vector<uint32_t> PeerDirectory::RegionRecipients(TimePoint now) {
  const std::vector<uint32_t> live = LivePeers(now);
  if (live.size() <= kMaxPeersForFullExchange) {
    return {};
  }
  std::map<uint16_t, std::vector<uint32_t>> by_region;
  for (const uint32_t it : live) {
    if (const uint16_t region = peers_.at(it).region; region != own_region_) {
      by_region[region].push_back(it);
    }
  }
  std::vector<uint32_t> recipients;
  recipients.reserve(by_region.size());
  for (const auto& [region, members] : by_region) {
    recipients.push_back(members[region_turn_ % members.size()]);
  }
  ++region_turn_;
  return recipients;
}

std::vector<uint32_t> PeerDirectory::MemberRecipients(TimePoint now) {
  std::vector<uint32_t> recipients =
      RandomSample(LivePeers(now), kMemberRecipients, &random_);
  for (const uint32_t it : seeds_) {
    const auto peer = peers_.find(it);
    const bool live = peer != peers_.end() && IsLive(peer->second, now);
    if (!live && it != own_address_) {
      recipients.push_back(it);
    }
  }
  for (const uint32_t it :
       RandomSample(RegisteredOnly(now), kMemberRecipients, &random_)) {
    if (std::find(recipients.begin(), recipients.end(), it) ==
        recipients.end()) {
      recipients.push_back(it);
    }
  }
  return recipients;
}

std::vector<Member> PeerDirectory::Members(TimePoint now) {
  const auto age_of = [now](const Peer& peer) {
    return std::chrono::duration_cast<Duration>(now - peer.last_alive) +
           kMaxTransitTime;
  };
  std::vector<uint32_t> news;
  std::vector<uint32_t> others;
  for (const uint32_t it : LivePeers(now)) {
    const Peer& peer = peers_.at(it);
    if (age_of(peer) <= kMaxReportedAge) {
      (now - peer.changed_at < kNewsTime ? news : others).push_back(it);
    }
  }
  std::vector<uint32_t> reported =
      RandomSample(news, kMaxNewsPerReport, &random_);
  for (const uint32_t it :
       RandomSample(others, kMaxMembersPerReport - reported.size(), &random_)) {
    reported.push_back(it);
  }
  std::vector<Member> members;
  for (const uint32_t it : reported) {
    const Peer& peer = peers_.at(it);
    members.push_back(
        {it, peer.region, age_of(peer), peer.leaving_since.has_value()});
  }
  return members;
}

std::vector<uint32_t> PeerDirectory::LiveInstances(TimePoint now) const {
  std::vector<uint32_t> instances;
  if (!own_leaving_since_) {
    instances.push_back(own_address_);
  }
  for (const auto& [address, peer] : peers_) {
    if (IsLive(peer, now) && !peer.leaving_since) {
      instances.push_back(address);
    }
  }
  std::sort(instances.begin(), instances.end());
  return instances;
}

size_t PeerDirectory::InstanceCount(TimePoint now) const {
  return LivePeers(now).size() + 1;
}

Duration PeerDirectory::WorkInterval(size_t recipients,
                                     size_t report_bytes,
                                     TimePoint now) const {
  const bool large = LivePeers(now).size() > kMaxPeersForFullExchange;
  return std::max(
      kMinWorkInterval,
      RateLimited(recipients, report_bytes,
                  large ? kWorkShareOfLargeFleet : kWorkShareOfSmallFleet));
}

Duration PeerDirectory::RegionInterval(size_t recipients, size_t report_bytes) {
  return std::max(kMinRegionInterval,
                  RateLimited(recipients, report_bytes, kRegionShare));
}

Duration PeerDirectory::SpreadingTime(TimePoint now) const {
  // In a small fleet, an instance tells all others itself.
  return LivePeers(now).size() > kMaxPeersForFullExchange ? kSpreadingTime
                                                          : Duration(0);
}

InstancePosition PeerDirectory::OwnPosition(TimePoint now) const {
  return PositionAmong(LivePeers(now), now);
}

InstancePosition PeerDirectory::OwnSharingPosition(TimePoint now) const {
  return PositionAmong(Sharers(now), now);
}

InstancePosition PeerDirectory::PositionAmong(
    const std::vector<uint32_t>& others,
    TimePoint now) const {
  std::vector<uint32_t> all = others;
  all.insert(std::lower_bound(all.begin(), all.end(), own_address_),
             own_address_);
  InstancePosition position;
  position.count = all.size();
  for (size_t n = 0; n < all.size(); ++n) {
    const bool is_own = all[n] == own_address_;
    if (is_own) {
      position.index = n;
    }
    const auto peer = peers_.find(all[n]);
    const std::optional<TimePoint> since = is_own ? own_leaving_since_
                                           : peer != peers_.end()
                                               ? peer->second.leaving_since
                                               : std::nullopt;
    if (since && now - *since >= kLeavingNotice) {
      position.leaving.push_back(n);
    }
  }
  return position;
}

Duration PeerDirectory::MemberReportInterval(size_t recipients,
                                             size_t report_bytes,
                                             TimePoint now) const {
  if (now - last_added_ < kJoiningTime) {
    return std::max(kMinMemberInterval,
                    RateLimited(recipients, report_bytes, kJoiningMemberShare));
  }
  return std::max(kMemberInterval,
                  RateLimited(recipients, report_bytes, kMemberShare));
}

}  // namespace endiveyard
