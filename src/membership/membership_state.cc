#include "endiveyard/membership/membership_state.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// RPC framing (224 bytes, BenchmarkPlainExchange), TLS records and TCP/IP
// headers of an exchange; the last two are estimates.
constexpr int64_t kExchangeOverheadBytes = 600;
constexpr size_t kWatchersPerDomain = 2;
// Digests without entries are sent even in debt, so it is bounded.
constexpr int64_t kMaxDebtRounds = 4;

uint64_t Draw(const MembershipOptions& options,
              uint64_t round,
              std::string_view peer) {
  return Digest64(peer, CombineDigests(options.seed, round));
}

template <typename K>
void Expire(TimePoint now, std::map<K, TimePoint>* entries) {
  for (auto it = entries->begin(); it != entries->end();) {
    it = it->second <= now ? entries->erase(it) : std::next(it);
  }
}

// Adds or prolongs an entry; returns whether it is new.
template <typename K, typename V>
bool Keep(const V& key, TimePoint expiry, std::map<K, TimePoint>* entries) {
  const auto [it, inserted] = entries->emplace(K(key), expiry);
  it->second = std::max(it->second, expiry);
  return inserted;
}

bool IsLive(const MembershipOptions& options,
            const PeerRecord& peer,
            TimePoint now) {
  return peer.heard && now - *peer.heard < options.live_bound;
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
    const auto old = state->peers.find(it.instance);
    if (old != state->peers.end()) {
      record = old->second;
    }
    record.info = it;
    next[it.instance] = std::move(record);
  }
  state->peers = std::move(next);
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
  // Loads keep their targets; the positions change.
  std::map<uint16_t, TargetLoadView> loads;
  for (const auto& [position, load] : state->loads) {
    const auto it = std::lower_bound(targets.begin(), targets.end(),
                                     state->domain_targets[position]);
    if (it != targets.end() && *it == state->domain_targets[position]) {
      loads[static_cast<uint16_t>(it - targets.begin())] = load;
    }
  }
  state->loads = std::move(loads);
  state->domain_targets = std::move(targets);
  state->load_list = static_cast<uint32_t>(digest);
  state->load_cursor = 0;
}

void NoteLeaving(const MembershipOptions& options,
                 std::string_view target,
                 TimePoint now,
                 MembershipState* state) {
  Keep(target, now + options.leaving_lifetime, &state->leaving);
}

void NoteFingerprint(const MembershipOptions& options,
                     uint64_t fingerprint,
                     TimePoint now,
                     MembershipState* state) {
  Keep(fingerprint, now + options.fingerprint_lifetime, &state->fingerprints);
}

void NoteLoad(std::string_view target,
              int64_t queued_tokens,
              int running,
              TimePoint now,
              MembershipState* state) {
  const auto& targets = state->domain_targets;
  const auto it = std::lower_bound(targets.begin(), targets.end(), target);
  if (it == targets.end() || *it != target) {
    return;
  }
  TargetLoadView& load =
      state->loads[static_cast<uint16_t>(it - targets.begin())];
  load.queued_tokens = queued_tokens;
  load.running = running;
  load.at = now;
}

std::vector<PeerInfo> NextExchanges(const MembershipOptions& options,
                                    TimePoint now,
                                    MembershipState* state) {
  ++state->rounds;
  state->last_round = now;
  const auto refill = static_cast<int64_t>(options.bytes_per_second);
  // A debt is paid off by the following rounds.
  state->bytes_left =
      std::clamp(state->bytes_left + refill, -kMaxDebtRounds * refill, refill);
  Expire(now, &state->leaving);
  Expire(now, &state->fingerprints);
  std::vector<PeerInfo> chosen;
  if (state->peers.size() <= options.full_mesh_limit) {
    for (const auto& [name, peer] : state->peers) {
      // One of the two asks; an exchange carries both digests.
      if (options.instance < name || !IsLive(options, peer, now)) {
        chosen.push_back(peer.info);
      }
    }
    return chosen;
  }
  std::vector<std::pair<uint64_t, const PeerRecord*>> own;
  std::vector<std::pair<uint64_t, const PeerRecord*>> remote;
  for (const auto& [name, peer] : state->peers) {
    auto& group =
        peer.info.failure_domain == options.failure_domain ? own : remote;
    group.emplace_back(Draw(options, state->rounds, name), &peer);
  }
  const auto take = [&chosen](auto* group, size_t count) {
    count = std::min(count, group->size());
    std::partial_sort(
        group->begin(), group->begin() + static_cast<long>(count), group->end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    for (size_t i = 0; i < count; ++i) {
      chosen.push_back((*group)[i].second->info);
    }
  };
  take(&own, options.domain_fan_out);
  // Alone in its failure domain, an instance uses its whole fan-out outside.
  take(&remote,
       options.remote_fan_out + (options.domain_fan_out - chosen.size()));
  return chosen;
}

PeerDigest ComposeDigest(const MembershipOptions& options,
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
  digest.load_list = state->load_list;
  const auto it = state->peers.find(std::string(peer));
  const PeerRecord* record = it == state->peers.end() ? nullptr : &it->second;
  // Rare entries may use up the budget. Loads fill every digest, so they get
  // an equal share of each exchange and direction.
  const size_t exchanges =
      state->peers.size() <= options.full_mesh_limit
          ? std::max<size_t>(state->peers.size(), 1)
          : 2 * (options.domain_fan_out + options.remote_fan_out);
  const int64_t fixed =
      kExchangeOverheadBytes / 2 + static_cast<int64_t>(DigestBytes(digest));
  int64_t left = state->bytes_left - fixed;
  int64_t load_share =
      static_cast<int64_t>(options.bytes_per_second / exchanges / 2) - fixed;
  for (const auto& [value, expiry] : state->fingerprints) {
    if (digest.fingerprints.size() == kMaxDigestFingerprints || left < 16) {
      break;
    }
    if (expiry > now) {
      digest.fingerprints.push_back({value, expiry - now});
      left -= 16;
    }
  }
  // The newest entries come first: they are known to the fewest peers.
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
    if (digest.leaving.size() == kMaxDigestLeaving || left < cost) {
      break;
    }
    digest.leaving.push_back({*target, expiry - now});
    left -= cost;
  }
  if (record != nullptr && record->heard && record->version < source.version &&
      source.edits_after) {
    for (DigestEdit& edit :
         source.edits_after(record->version, kMaxDigestEdits)) {
      const auto cost = static_cast<int64_t>(
          edit.edit_id.size() + edit.author.size() + edit.delta.size() + 72);
      // An edit that does not fit is read from the log by the receiver.
      if (left < cost) {
        break;
      }
      digest.edits.push_back(std::move(edit));
      left -= cost;
    }
    if (record->wants_snapshot && digest.edits.empty() &&
        source.take_snapshot) {
      digest.snapshot_version = source.version;
      digest.snapshot = source.take_snapshot();
    }
  }
  const bool same_domain = record != nullptr && record->info.failure_domain ==
                                                    options.failure_domain;
  load_share = std::min(left, load_share);
  if (same_domain && !state->loads.empty()) {
    // Continues where the last digest stopped, so that every load is sent in
    // turn however small the budget is.
    auto load =
        state->loads.lower_bound(static_cast<uint16_t>(state->load_cursor));
    for (size_t n = 0; n < state->loads.size() && load_share >= 8 &&
                       digest.loads.size() < kMaxDigestLoads;
         ++n) {
      if (load == state->loads.end()) {
        load = state->loads.begin();
      }
      // Rounded up, so that no load gets younger on its way.
      const auto age =
          (now - load->second.at + kLoadAgeUnit - Duration(1)) / kLoadAgeUnit;
      if (age > kMaxLoadAge) {
        ++load;
        continue;
      }
      QuantisedLoad entry;
      entry.age = static_cast<uint8_t>(age);
      entry.target = load->first;
      entry.queued = QuantiseTokens(load->second.queued_tokens);
      entry.running =
          static_cast<uint8_t>(std::clamp(load->second.running, 0, 255));
      digest.loads.push_back(entry);
      load_share -= 4;
      ++load;
    }
    state->load_cursor =
        load == state->loads.end() ? 0 : static_cast<size_t>(load->first);
  }
  state->bytes_left -=
      kExchangeOverheadBytes / 2 +
      static_cast<int64_t>(DigestBytes(digest) - digest.snapshot.size());
  return digest;
}

DigestEffect ReceiveDigest(const MembershipOptions& options,
                           const PeerDigest& digest,
                           TimePoint now,
                           MembershipState* state) {
  DigestEffect effect;
  const auto it = state->peers.find(digest.sender);
  const bool is_newer =
      it != state->peers.end() && CheckDigest(digest).empty() &&
      std::tie(digest.incarnation, digest.sequence) >
          std::tie(it->second.incarnation, it->second.sequence);
  if (!is_newer) {
    ++state->ignored_digests;
    return effect;
  }
  effect.accepted = true;
  state->bytes_left -=
      kExchangeOverheadBytes / 2 +
      static_cast<int64_t>(DigestBytes(digest) - digest.snapshot.size());
  PeerRecord& peer = it->second;
  peer.incarnation = digest.incarnation;
  peer.sequence = digest.sequence;
  // A restarted peer may report a lower version until it has caught up.
  peer.version = digest.version;
  peer.wants_snapshot = digest.wants_snapshot;
  peer.heard = now;
  for (const DigestLeaving& entry : digest.leaving) {
    const Duration remaining =
        std::min(entry.remaining, options.leaving_lifetime);
    if (remaining > Duration(0) &&
        Keep(entry.target, now + remaining, &state->leaving)) {
      effect.newly_leaving.push_back(entry.target);
    }
  }
  for (const DigestFingerprint& entry : digest.fingerprints) {
    const Duration remaining =
        std::min(entry.remaining, options.fingerprint_lifetime);
    if (remaining > Duration(0) &&
        Keep(entry.value, now + remaining, &state->fingerprints)) {
      effect.new_fingerprints.push_back(entry.value);
    }
  }
  if (digest.load_list == state->load_list &&
      peer.info.failure_domain == options.failure_domain) {
    for (const QuantisedLoad& entry : digest.loads) {
      if (entry.target >= state->domain_targets.size()) {
        continue;
      }
      const TimePoint at = now - entry.age * kLoadAgeUnit;
      const auto [known, inserted] = state->loads.try_emplace(entry.target);
      TargetLoadView& load = known->second;
      if (!inserted && load.at >= at) {
        continue;
      }
      load.queued_tokens = ExpandTokens(entry.queued);
      load.running = entry.running;
      load.at = at;
      effect.loaded_targets.push_back(state->domain_targets[entry.target]);
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
  const auto own = rank(options.instance);
  size_t lower = 0;
  for (const auto& [name, peer] : state.peers) {
    const bool counts = IsLive(options, peer, now) ||
                        (!peer.heard && now - started < options.live_bound);
    if (peer.info.failure_domain == options.failure_domain && counts &&
        rank(name) < own) {
      ++lower;
    }
  }
  return lower < kWatchersPerDomain;
}

}  // namespace endiveyard
