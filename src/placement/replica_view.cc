#include "endiveyard/placement/replica_view.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace endiveyard {
namespace {

// Copies of the registry are not expected to be older than this.
constexpr Duration kRemovedLifetime = std::chrono::minutes(10);

}  // namespace

bool Replica::operator==(const Replica& other) const {
  return std::tie(id, service, ip, port, failure_domain, version, slots,
                  draining, stage, started_unix_ms, spot, leaves_in) ==
         std::tie(other.id, other.service, other.ip, other.port,
                  other.failure_domain, other.version, other.slots,
                  other.draining, other.stage, other.started_unix_ms,
                  other.spot, other.leaves_in);
}

bool AcceptsWork(const Replica& current, const Replica& placed) {
  return !current.draining && current.service == placed.service &&
         current.stage == placed.stage && current.version == placed.version &&
         current.started_unix_ms == placed.started_unix_ms;
}

std::string AddressOf(const Replica& replica) {
  return replica.ip + ":" + std::to_string(replica.port);
}

void ReplicaView::Reset(const std::vector<Replica>& replicas,
                        TimePoint now,
                        int64_t era) {
  if (era_ != 0 && era > era_) {
    restored_at_ = now;
    // Replicas that registered after the copy was made do so again.
    registry_recovered_at_ = now;
  }
  era_ = std::max(era_, era);
  std::set<std::string> listed;
  for (const Replica& it : replicas) {
    listed.insert(it.id);
    replicas_[it.id] = MakeEntry(it, false);
  }
  std::vector<std::string> unlisted;
  for (const auto& [id, entry] : replicas_) {
    if (listed.count(id) == 0) {
      unlisted.push_back(id);
    }
  }
  for (const std::string& id : unlisted) {
    Remove(id, now);
  }
}

void ReplicaView::Put(const Replica& replica) {
  replicas_[replica.id] = MakeEntry(replica, true);
}

ReplicaView::Entry ReplicaView::MakeEntry(const Replica& replica,
                                          bool is_change) {
  Entry entry;
  entry.replica = replica;
  const bool states_start = replica.started_unix_ms != 0;
  if (const auto it = replicas_.find(replica.id);
      it != replicas_.end() &&
      it->second.replica.started_unix_ms == replica.started_unix_ms) {
    entry.replica.draining |= states_start && it->second.replica.draining;
    entry.unconfirmed = it->second.unconfirmed && !is_change;
  }
  const auto removed = removed_.find(replica.id);
  if (removed == removed_.end()) {
    return entry;
  }
  const bool same_incarnation =
      removed->second.started_unix_ms == replica.started_unix_ms;
  if (same_incarnation && states_start && removed->second.draining) {
    entry.replica.draining = true;
  } else if (same_incarnation && !is_change && removed->second.era < era_) {
    entry.unconfirmed = true;
  }
  removed_.erase(removed);
  return entry;
}

ReplicaView::Entries::iterator ReplicaView::Erase(Entries::iterator it,
                                                  TimePoint now) {
  if (removed_.size() >= kMaxRemovedReplicas &&
      removed_.count(it->first) == 0) {
    removed_.erase(std::min_element(removed_.begin(), removed_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.at < b.second.at;
                                    }));
  }
  removed_[it->first] = {it->second.replica.started_unix_ms,
                         it->second.replica.draining, era_, now};
  return replicas_.erase(it);
}

void ReplicaView::Remove(const std::string& id, TimePoint now) {
  const auto it = replicas_.find(id);
  if (it == replicas_.end()) {
    return;
  }
  const bool recent_outage =
      registry_unavailable_ ||
      (registry_recovered_at_ &&
       now - *registry_recovered_at_ < kExpiredEntryGracePeriod);
  // Neither a draining replica nor one that had ended before a restore is
  // expected to register again.
  if (!recent_outage || it->second.replica.draining || it->second.unconfirmed) {
    Erase(it, now);
  } else {
    it->second.removal_pending = true;
  }
}

void ReplicaView::RecordRegistryFailure() {
  registry_unavailable_ = true;
}

void ReplicaView::RecordRegistrySuccess(TimePoint now) {
  if (std::exchange(registry_unavailable_, false) &&
      (!registry_answered_at_ ||
       now - *registry_answered_at_ >= shortest_lapse_)) {
    registry_recovered_at_ = now;
  }
  RecordRegistryAnswer(now);
}

void ReplicaView::RecordRegistryAnswer(TimePoint at) {
  if (!registry_unavailable_) {
    registry_answered_at_ = std::max(registry_answered_at_.value_or(at), at);
  }
}

std::vector<std::string> ReplicaView::Expire(TimePoint now) {
  std::vector<std::string> expired;
  for (auto it = removed_.begin(); it != removed_.end();) {
    it = now - it->second.at >= kRemovedLifetime ? removed_.erase(it)
                                                 : std::next(it);
  }
  if (registry_unavailable_) {
    return expired;
  }
  const bool copy_expired =
      restored_at_ && now - *restored_at_ >= entry_lifetime_;
  for (auto it = replicas_.begin(); it != replicas_.end();) {
    // The grace period starts at the recovery, not when the removal became
    // known, so that removals that are unrelated to the outage take effect in
    // time.
    if (it->second.removal_pending &&
        (!registry_recovered_at_ ||
         now - *registry_recovered_at_ >= kExpiredEntryGracePeriod)) {
      expired.push_back(it->first);
      it = Erase(it, now);
      continue;
    }
    if (copy_expired) {
      it->second.unconfirmed = false;
    }
    ++it;
  }
  return expired;
}

const Replica* ReplicaView::Find(std::string_view id) const {
  const auto it = replicas_.find(id);
  return it == replicas_.end() || it->second.unconfirmed ? nullptr
                                                         : &it->second.replica;
}

std::vector<const Replica*> ReplicaView::Registered(
    std::string_view service) const {
  std::vector<const Replica*> registered;
  for (const auto& [id, entry] : replicas_) {
    if (entry.replica.service == service && !entry.unconfirmed) {
      registered.push_back(&entry.replica);
    }
  }
  return registered;
}

std::vector<const Replica*> ReplicaView::Usable() const {
  std::vector<const Replica*> usable;
  for (const auto& [id, entry] : replicas_) {
    if (!entry.replica.draining && !entry.unconfirmed) {
      usable.push_back(&entry.replica);
    }
  }
  return usable;
}

std::vector<const Replica*> ReplicaView::Usable(
    std::string_view service) const {
  std::vector<const Replica*> usable = Usable();
  usable.erase(std::remove_if(usable.begin(), usable.end(),
                              [service](const Replica* it) {
                                return it->service != service;
                              }),
               usable.end());
  return usable;
}

}  // namespace endiveyard
