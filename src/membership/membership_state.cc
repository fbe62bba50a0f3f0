#include "endiveyard/membership/membership_state.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// Overhead of an exchange: RPC framing (224 bytes, from
// BenchmarkPlainExchange), and estimates for TLS records and TCP/IP headers.
constexpr int64_t kExchangeOverheadBytes = 600;

constexpr size_t kWatchersPerDomain = 2;

// Unanswered exchanges after which a peer counts as unresponsive and is
// replaced as a neighbour.
constexpr uint32_t kMaxUnansweredExchanges = 3;
// One round in this many probes an unresponsive peer.
constexpr uint64_t kProbeIntervalRounds = 16;

// The level of the token bucket may fall to minus the refill of this many
// rounds. Digests without entries are sent even while the level is negative, so
// it could fall without limit.
constexpr int64_t kMaxNegativeLevelRounds = 4;

// Pseudo-random number that differs between rounds, peers and instances.
uint64_t SeededRandom(const MembershipOptions& options,
                      uint64_t round,
                      std::string_view peer) {
  return Digest64(peer, CombineDigests(options.seed, round));
}

template <typename K>
void EraseExpired(TimePoint now, std::map<K, TimePoint>* entries) {
  for (auto it = entries->begin(); it != entries->end();) {
    it = it->second <= now ? entries->erase(it) : std::next(it);
  }
}

// Adds an entry or extends its expiry; returns whether it is new.
template <typename K, typename V>
bool AddOrExtend(const V& key,
                 TimePoint expiry,
                 std::map<K, TimePoint>* entries) {
  const auto [it, inserted] = entries->emplace(K(key), expiry);
  it->second = std::max(it->second, expiry);
  return inserted;
}

// Hash of a list of names. Two instances whose hashes are equal can exchange
// indices into their lists.
uint32_t HashNames(const std::vector<std::string>& names) {
  uint64_t digest = 0;
  for (const std::string& it : names) {
    digest = CombineDigests(digest, Digest64(it));
  }
  return static_cast<uint32_t>(digest);
}

// Age in kDigestAgeUnit, rounded up so that relaying never makes an entry look
// newer.
int64_t AgeInUnits(TimePoint at, TimePoint now) {
  return (now - at + kDigestAgeUnit - Duration(1)) / kDigestAgeUnit;
}

bool IsLive(const MembershipOptions& options,
            const PeerRecord& peer,
            TimePoint now) {
  return peer.last_alive_at &&
         now - *peer.last_alive_at < options.liveness_timeout;
}

// Selects for each distance the first responsive peer at or after that distance
// from this instance on the ring that is not selected yet and is outside
// `excluded_domain`. Unresponsive peers are selected only if there are no
// others. The entry with `nullptr` is this instance.
std::vector<std::pair<uint64_t, PeerRecord*>> SelectNeighbours(
    std::vector<std::pair<uint64_t, PeerRecord*>>* ring,
    const std::vector<size_t>& distances,
    std::string_view excluded_domain) {
  std::sort(ring->begin(), ring->end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  size_t own_index = 0;
  while ((*ring)[own_index].second != nullptr) {
    ++own_index;
  }
  std::vector<std::pair<uint64_t, PeerRecord*>> group;
  for (size_t distance : distances) {
    const size_t size_before = group.size();
    for (const bool unresponsive : {false, true}) {
      for (size_t i = 0; i < ring->size() && group.size() == size_before; ++i) {
        const auto& candidate =
            (*ring)[(own_index + distance + i) % ring->size()];
        if (candidate.second != nullptr &&
            (candidate.second->unanswered_exchanges >=
             kMaxUnansweredExchanges) == unresponsive &&
            candidate.second->info.failure_domain != excluded_domain &&
            std::find(group.begin(), group.end(), candidate) == group.end()) {
          group.push_back(candidate);
        }
      }
    }
  }
  return group;
}

}  // namespace

void ApplyPeerList(const MembershipOptions& options,
                   const std::vector<PeerInfo>& peers,
                   MembershipState* state) {
  std::map<std::string, PeerRecord> next;
  for (const PeerInfo& it : peers) {
    if (it.instance == options.instance) {
      continue;
    }
    PeerRecord record;
    const auto known = state->peers.find(it.instance);
    if (known != state->peers.end()) {
      record = known->second;
    }
    record.info = it;
    next[it.instance] = std::move(record);
  }
  state->peers = std::move(next);
  state->domain_instances = {options.instance};
  for (const auto& [name, peer] : state->peers) {
    if (peer.info.failure_domain == options.failure_domain) {
      state->domain_instances.push_back(name);
    }
  }
  std::sort(state->domain_instances.begin(), state->domain_instances.end());
  state->domain_instances.resize(
      std::min(state->domain_instances.size(), kMaxDigestInstances));
  state->domain_instances_hash = HashNames(state->domain_instances);
}

void SetDomainTargets(std::vector<std::string> targets,
                      MembershipState* state) {
  std::sort(targets.begin(), targets.end());
  targets.resize(std::min(targets.size(), kMaxDigestLoads));
  if (targets == state->domain_targets) {
    return;
  }
  uint64_t digest = 0;
  for (const std::string& it : targets) {
    digest = CombineDigests(digest, Digest64(it));
  }
  // Moves each load to the new index of its target.
  std::map<uint16_t, ReportedTargetLoad> loads;
  for (const auto& [index, load] : state->loads) {
    const auto it = std::lower_bound(targets.begin(), targets.end(),
                                     state->domain_targets[index]);
    if (it != targets.end() && *it == state->domain_targets[index]) {
      loads[static_cast<uint16_t>(it - targets.begin())] = load;
    }
  }
  state->loads = std::move(loads);
  state->domain_targets = std::move(targets);
  state->domain_targets_hash = HashNames(state->domain_targets);
  state->load_cursor = 0;
}

void RecordLeavingTarget(const MembershipOptions& options,
                         std::string_view target,
                         TimePoint now,
                         MembershipState* state) {
  AddOrExtend(target, now + options.leaving_lifetime, &state->leaving);
}

void RecordFingerprint(const MembershipOptions& options,
                       uint64_t fingerprint,
                       TimePoint now,
                       MembershipState* state) {
  AddOrExtend(fingerprint, now + options.fingerprint_lifetime,
              &state->fingerprints);
}

void RecordTargetLoad(std::string_view target,
                      int64_t queued_tokens,
                      int running,
                      TimePoint now,
                      MembershipState* state) {
  const auto& targets = state->domain_targets;
  const auto it = std::lower_bound(targets.begin(), targets.end(), target);
  if (it == targets.end() || *it != target) {
    return;
  }
  ReportedTargetLoad& load =
      state->loads[static_cast<uint16_t>(it - targets.begin())];
  load.queued_tokens = queued_tokens;
  load.running = running;
  load.at = now;
}

std::vector<PeerInfo> StartExchangeRound(const MembershipOptions& options,
                                         TimePoint now,
                                         MembershipState* state) {
  ++state->rounds;
  state->last_round = now;
  const auto refill = static_cast<int64_t>(options.bytes_per_second);
  // A negative level rises with the refills of the next rounds.
  state->byte_bucket_level =
      std::clamp(state->byte_bucket_level + refill,
                 -kMaxNegativeLevelRounds * refill, refill);
  EraseExpired(now, &state->leaving);
  EraseExpired(now, &state->fingerprints);
  std::vector<PeerInfo> selected;
  if (state->peers.size() <= options.full_mesh_limit) {
    for (const auto& [name, peer] : state->peers) {
      // An exchange carries a digest each way, so the lower name of a pair
      // starts it. Towards a peer that is not live, both do.
      if (options.instance < name || !IsLive(options, peer, now)) {
        selected.push_back(peer.info);
      }
    }
    return selected;
  }
  using Group = std::vector<std::pair<uint64_t, PeerRecord*>>;
  // All instances build the same ring of name hashes and select neighbours at
  // the same distances, so each instance receives as many exchanges as it
  // starts.
  std::vector<std::pair<uint64_t, PeerRecord*>> ring = {
      {Digest64(options.instance), nullptr}};
  std::vector<std::pair<uint64_t, PeerRecord*>> domain_ring = ring;
  Group unresponsive;
  for (auto& [name, peer] : state->peers) {
    ring.emplace_back(Digest64(name), &peer);
    if (peer.info.failure_domain == options.failure_domain) {
      domain_ring.push_back(ring.back());
    }
    if (peer.unanswered_exchanges >= kMaxUnansweredExchanges) {
      unresponsive.emplace_back(SeededRandom(options, state->rounds, name),
                                &peer);
    }
  }
  const size_t domain_peers = domain_ring.size() - 1;
  const size_t domain_exchanges =
      std::min(options.domain_fan_out, domain_peers);
  // An instance with few peers in its failure domain uses the remaining
  // exchanges for other domains.
  const size_t remote_exchanges =
      options.remote_fan_out + options.domain_fan_out - domain_exchanges;
  std::vector<size_t> domain_distances;
  for (size_t i = 0; i < std::min(options.domain_neighbours, domain_peers);
       ++i) {
    domain_distances.push_back(size_t{1} << i);
  }
  std::vector<size_t> remote_distances;
  const size_t remote_count =
      std::min(std::max(options.remote_neighbours, remote_exchanges),
               state->peers.size() - domain_peers);
  for (size_t i = 0; i < remote_count; ++i) {
    remote_distances.push_back(ring.size() * (i + 1) / (remote_count + 1) + 1);
  }
  Group domain_group = SelectNeighbours(&domain_ring, domain_distances, "");
  Group remote_group =
      SelectNeighbours(&ring, remote_distances, options.failure_domain);
  // Keeps the `count` entries with the lowest random numbers.
  const auto keep_lowest = [](Group* group, size_t count) {
    count = std::min(count, group->size());
    std::partial_sort(
        group->begin(), group->begin() + static_cast<ptrdiff_t>(count),
        group->end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    group->resize(count);
  };
  for (const auto& [group, exchanges] :
       {std::pair(&domain_group, domain_exchanges),
        std::pair(&remote_group, remote_exchanges)}) {
    for (auto& [random_number, peer] : *group) {
      random_number = SeededRandom(options, state->rounds, peer->info.instance);
    }
    keep_lowest(group, exchanges);
  }
  // These probes reconnect the two sides of a partition after it has healed.
  const bool is_probe_round =
      (state->rounds + options.seed) % kProbeIntervalRounds == 0;
  keep_lowest(&unresponsive, is_probe_round ? 1 : 0);
  for (const Group* group : {&domain_group, &remote_group, &unresponsive}) {
    for (const auto& [random_number, peer] : *group) {
      ++peer->unanswered_exchanges;
      selected.push_back(peer->info);
    }
  }
  return selected;
}

PeerDigest BuildDigest(const MembershipOptions& options,
                       std::string_view peer,
                       const ConfigurationSource& source,
                       TimePoint now,
                       MembershipState* state) {
  PeerDigest digest;
  digest.sender = options.instance;
  digest.incarnation = options.incarnation;
  digest.sequence = ++state->sequence;
  digest.version = source.version;
  digest.wants_snapshot = source.wants_snapshot;
  digest.domain_targets_hash = state->domain_targets_hash;
  const auto it = state->peers.find(std::string(peer));
  const PeerRecord* record = it == state->peers.end() ? nullptr : &it->second;
  // Rare entries (fingerprints, leaving targets, edits) may use all bytes in
  // the token bucket. Loads fill every digest, so they get an equal share of
  // the refill for each exchange and direction. One eighth of the refill is
  // left unallocated, so that the level rises again after rare entries have
  // lowered it.
  const size_t exchanges =
      state->peers.size() <= options.full_mesh_limit
          ? std::max<size_t>(state->peers.size(), 1)
          : 2 * (options.domain_fan_out + options.remote_fan_out);
  const int64_t fixed_bytes = kExchangeOverheadBytes / 2 +
                              static_cast<int64_t>(EstimateDigestBytes(digest));
  int64_t bytes_left = state->byte_bucket_level - fixed_bytes;
  int64_t load_bytes_left =
      static_cast<int64_t>(options.bytes_per_second * 7 / 8 / exchanges / 2) -
      fixed_bytes;
  for (const auto& [value, expiry] : state->fingerprints) {
    if (digest.fingerprints.size() == kMaxDigestFingerprints ||
        bytes_left < 16) {
      break;
    }
    if (expiry > now) {
      digest.fingerprints.push_back({value, expiry - now});
      bytes_left -= 16;
    }
  }
  // The newest entries come first, as the fewest peers know them.
  std::vector<std::pair<TimePoint, const std::string*>> leaving;
  for (const auto& [target, expiry] : state->leaving) {
    if (expiry > now) {
      leaving.emplace_back(expiry, &target);
    }
  }
  std::sort(leaving.begin(), leaving.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  for (const auto& [expiry, target] : leaving) {
    const auto cost = static_cast<int64_t>(target->size() + 32);
    if (digest.leaving.size() == kMaxDigestLeaving || bytes_left < cost) {
      break;
    }
    digest.leaving.push_back({*target, expiry - now});
    bytes_left -= cost;
  }
  if (record != nullptr && record->last_digest_at &&
      record->version < source.version && source.edits_after) {
    for (DigestEdit& edit :
         source.edits_after(record->version, kMaxDigestEdits)) {
      const auto cost = static_cast<int64_t>(
          edit.edit_id.size() + edit.author.size() + edit.delta.size() + 72);
      // The receiver reads an edit that does not fit from the configuration
      // log.
      if (bytes_left < cost) {
        break;
      }
      digest.edits.push_back(std::move(edit));
      bytes_left -= cost;
    }
    if (record->wants_snapshot && digest.edits.empty() &&
        source.take_snapshot) {
      digest.snapshot_version = source.version;
      digest.snapshot = source.take_snapshot();
    }
  }
  const bool same_domain = record != nullptr && record->info.failure_domain ==
                                                    options.failure_domain;
  if (same_domain) {
    digest.domain_instances_hash = state->domain_instances_hash;
    for (size_t i = 0; i < state->domain_instances.size() && bytes_left >= 2;
         ++i) {
      const auto known = state->peers.find(state->domain_instances[i]);
      InstanceLiveness entry;
      entry.instance_index = static_cast<uint16_t>(i);
      if (known != state->peers.end()) {
        if (!known->second.last_alive_at ||
            AgeInUnits(*known->second.last_alive_at, now) > kMaxDigestAge) {
          continue;
        }
        entry.age =
            static_cast<uint8_t>(AgeInUnits(*known->second.last_alive_at, now));
      }
      digest.live_instances.push_back(entry);
      bytes_left -= 2;
      load_bytes_left -= 2;
    }
  }
  load_bytes_left = std::min(bytes_left, load_bytes_left);
  if (same_domain && !state->loads.empty()) {
    // Continues where the last digest stopped, so that every load is sent in
    // turn even if few bytes are left.
    auto load =
        state->loads.lower_bound(static_cast<uint16_t>(state->load_cursor));
    for (size_t n = 0; n < state->loads.size() && load_bytes_left >= 8 &&
                       digest.loads.size() < kMaxDigestLoads;
         ++n) {
      if (load == state->loads.end()) {
        load = state->loads.begin();
      }
      const int64_t age = AgeInUnits(load->second.at, now);
      if (age > kMaxDigestAge) {
        ++load;
        continue;
      }
      QuantisedLoad entry;
      entry.age = static_cast<uint8_t>(age);
      entry.target_index = load->first;
      entry.queued = QuantiseTokens(load->second.queued_tokens);
      entry.running =
          static_cast<uint8_t>(std::clamp(load->second.running, 0, 255));
      digest.loads.push_back(entry);
      load_bytes_left -= 4;
      ++load;
    }
    state->load_cursor =
        load == state->loads.end() ? 0 : static_cast<size_t>(load->first);
  }
  state->byte_bucket_level -= kExchangeOverheadBytes / 2 +
                              static_cast<int64_t>(EstimateDigestBytes(digest) -
                                                   digest.snapshot.size());
  return digest;
}

DigestEffect ApplyDigest(const MembershipOptions& options,
                         const PeerDigest& digest,
                         TimePoint now,
                         MembershipState* state) {
  DigestEffect effect;
  const auto it = state->peers.find(digest.sender);
  const bool is_newer =
      it != state->peers.end() && ValidateDigest(digest).empty() &&
      std::tie(digest.incarnation, digest.sequence) >
          std::tie(it->second.incarnation, it->second.sequence);
  if (!is_newer) {
    ++state->ignored_digests;
    return effect;
  }
  effect.accepted = true;
  state->byte_bucket_level -= kExchangeOverheadBytes / 2 +
                              static_cast<int64_t>(EstimateDigestBytes(digest) -
                                                   digest.snapshot.size());
  PeerRecord& peer = it->second;
  peer.incarnation = digest.incarnation;
  peer.sequence = digest.sequence;
  // The version may decrease: a restarted peer reports a lower one until it has
  // caught up.
  peer.version = digest.version;
  peer.wants_snapshot = digest.wants_snapshot;
  peer.last_digest_at = now;
  peer.last_alive_at = now;
  peer.unanswered_exchanges = 0;
  if (digest.domain_instances_hash == state->domain_instances_hash &&
      peer.info.failure_domain == options.failure_domain) {
    for (const InstanceLiveness& entry : digest.live_instances) {
      if (entry.instance_index >= state->domain_instances.size()) {
        continue;
      }
      const auto known =
          state->peers.find(state->domain_instances[entry.instance_index]);
      const TimePoint at = now - entry.age * kDigestAgeUnit;
      if (known != state->peers.end() &&
          (!known->second.last_alive_at || *known->second.last_alive_at < at)) {
        known->second.last_alive_at = at;
      }
    }
  }
  for (const DigestLeaving& entry : digest.leaving) {
    const Duration remaining =
        std::min(entry.remaining, options.leaving_lifetime);
    if (remaining > Duration(0) &&
        AddOrExtend(entry.target, now + remaining, &state->leaving)) {
      effect.new_leaving_targets.push_back(entry.target);
    }
  }
  for (const DigestFingerprint& entry : digest.fingerprints) {
    const Duration remaining =
        std::min(entry.remaining, options.fingerprint_lifetime);
    if (remaining > Duration(0) &&
        AddOrExtend(entry.value, now + remaining, &state->fingerprints)) {
      effect.new_fingerprints.push_back(entry.value);
    }
  }
  if (digest.domain_targets_hash == state->domain_targets_hash &&
      peer.info.failure_domain == options.failure_domain) {
    for (const QuantisedLoad& entry : digest.loads) {
      if (entry.target_index >= state->domain_targets.size()) {
        continue;
      }
      const TimePoint at = now - entry.age * kDigestAgeUnit;
      const auto [known, inserted] =
          state->loads.try_emplace(entry.target_index);
      ReportedTargetLoad& load = known->second;
      if (!inserted && load.at >= at) {
        continue;
      }
      load.queued_tokens = DequantiseTokens(entry.queued);
      load.running = entry.running;
      load.at = at;
      effect.updated_load_targets.push_back(
          state->domain_targets[entry.target_index]);
    }
  }
  return effect;
}

std::vector<std::string> LivePeers(const MembershipOptions& options,
                                   TimePoint now,
                                   const MembershipState& state) {
  std::vector<std::string> names;
  for (const auto& [name, peer] : state.peers) {
    if (IsLive(options, peer, now)) {
      names.push_back(name);
    }
  }
  return names;
}

std::map<std::string, uint64_t> ReportedVersions(
    const MembershipOptions& options,
    uint64_t own_version,
    TimePoint now,
    const MembershipState& state) {
  std::map<std::string, uint64_t> versions;
  versions[options.instance] = own_version;
  for (const auto& [name, peer] : state.peers) {
    if (IsLive(options, peer, now)) {
      versions[name] = peer.version;
    }
  }
  return versions;
}

bool IsWatcher(const MembershipOptions& options,
               TimePoint started,
               TimePoint now,
               const MembershipState& state) {
  const uint64_t domain = Digest64(options.failure_domain);
  const auto rank = [domain](std::string_view name) {
    return std::pair(Digest64(name, domain), name);
  };
  const auto own_rank = rank(options.instance);
  size_t lower_ranks = 0;
  for (const auto& [name, peer] : state.peers) {
    const bool counts_as_live =
        IsLive(options, peer, now) ||
        (!peer.last_alive_at && now - started < options.liveness_timeout);
    if (peer.info.failure_domain == options.failure_domain && counts_as_live &&
        rank(name) < own_rank) {
      ++lower_ranks;
    }
  }
  return lower_ranks < kWatchersPerDomain;
}

}  // namespace endiveyard
