#include "endiveyard/routing/target_router.h"

#include <algorithm>
#include <array>
#include <queue>
#include <random>
#include <utility>

#include "endiveyard/base/digest.h"
#include "routing/candidate_estimate.h"
#include "routing/prefix_index.h"
#include "routing/target_table.h"

namespace endiveyard {

namespace {

// Maximum numbers of prefix holders and of random targets in one comparison.
constexpr size_t kMaxHolderCandidates = 4;
constexpr size_t kMaxRandomCandidates = 4;
// Maximum number of targets drawn to find kMaxRandomCandidates eligible ones.
// Covers all targets if the pools hold no more than this.
constexpr size_t kMaxDraws = 32;
// Number of consecutive load reports or event batches with old sequence numbers
// after which the target is assumed to have restarted its numbering. Fewer are
// ignored as delayed.
constexpr int kStaleMessagesForRestart = 3;

using PoolList = std::vector<const TargetPool*>;

struct CandidateSet {
  std::vector<uint32_t> slots;
  std::vector<int> cached_blocks;  // of each slot
  std::vector<RouteCandidate> candidates;
};

uint64_t AttemptKey(const RouteRequest& request) {
  const uint64_t last =
      request.prompt_blocks.empty() ? 0 : request.prompt_blocks.back();
  const uint64_t size =
      CombineDigests(static_cast<uint64_t>(request.prompt_tokens),
                     static_cast<uint64_t>(request.phase));
  return CombineDigests(
      CombineDigests(last, size),
      static_cast<uint64_t>(request.deadline.time_since_epoch().count()));
}

bool Contains(const std::vector<std::string>& list, std::string_view item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

// Returns the roles that serve a phase. Both elements are equal if there is
// only one.
std::array<Role, 2> RolesForPhase(RoutePhase phase) {
  switch (phase) {
    case RoutePhase::kPrefillAndDecode:
      return {Role::kMixed, Role::kMixed};
    case RoutePhase::kPrefill:
      return {Role::kPrefill, Role::kMixed};
    case RoutePhase::kDecode:
      return {Role::kDecode, Role::kMixed};
  }
  return {Role::kMixed, Role::kMixed};
}

// Draws distinct available members of `pools` in random order.
class MemberSampler {
 public:
  MemberSampler(const PoolList& pools, std::mt19937_64& random)
      : pools_(pools), random_(random) {
    for (const TargetPool* it : pools) {
      remaining_ += it->available_count;
    }
  }

  // Returns false when every member has been drawn.
  bool Next(uint32_t* slot) {
    if (remaining_ == 0) {
      return false;
    }
    // Fisher-Yates shuffle of the indexes that stores only the swaps.
    const size_t drawn = random_() % remaining_;
    const size_t index = ResolveIndex(drawn);
    --remaining_;
    const size_t last = ResolveIndex(remaining_);
    swaps_.emplace_back(drawn, last);
    *slot = At(index);
    return true;
  }

 private:
  size_t ResolveIndex(size_t index) const {
    for (auto it = swaps_.rbegin(); it != swaps_.rend(); ++it) {
      if (it->first == index) {
        return it->second;
      }
    }
    return index;
  }

  uint32_t At(size_t index) const {
    size_t n = 0;
    while (index >= pools_[n]->available_count) {
      index -= pools_[n++]->available_count;
    }
    return pools_[n]->members[index].slot;
  }

  const PoolList& pools_;
  std::mt19937_64& random_;
  size_t remaining_ = 0;
  std::vector<std::pair<size_t, size_t>> swaps_;
};

}  // namespace

class TargetRouter::Impl {
 public:
  explicit Impl(TargetRouterOptions options)
      : options_(std::move(options)),
        target_table_(1 / options_.prefill_tokens_per_second),
        prefix_index_(options_.max_prefix_entries),
        random_(options_.seed) {}

  void ApplyLoad(std::string_view id, const TargetLoad& load, TimePoint now) {
    Target* target = target_table_.Find(id);
    if (target == nullptr || !target->listed) {
      return;
    }
    // Reports lag: the target may have sent this one before it was lost.
    if (target->lost && now < target->lost_at + options_.expected_report_lag) {
      return;
    }
    if (target->has_sequence && load.sequence <= target->load.sequence &&
        !DetectRestart(*target, load.sequence)) {
      return;
    }
    target->stale_reports = 0;
    const bool pools_changed = !target->has_report ||
                               target->load.role != load.role ||
                               target->load.model != load.model ||
                               target->load.adapters != load.adapters;
    if (target->has_report &&
        (target->load.role != load.role || target->load.model != load.model ||
         target->load.version != load.version)) {
      ++target->cache_epoch;  // the change cleared the engine's cache
    }
    target->load = load;
    target->has_report = true;
    target->has_sequence = true;
    target->lost = false;
    UpdateFromReport(*target, options_.expected_report_lag, now);
    if (pools_changed) {
      target_table_.UpdatePools(*target);
    }
    target_table_.UpdateAvailability(*target);
  }

  void ApplyCacheEvents(std::string_view id,
                        uint64_t sequence,
                        const std::vector<uint64_t>& stored,
                        const std::vector<uint64_t>& evicted) {
    Target* target = target_table_.Find(id);
    if (target == nullptr || !target->listed) {
      return;
    }
    const uint64_t end = sequence + stored.size() + evicted.size();
    const uint64_t expected = target->next_cache_event;
    if (expected != 0) {
      const bool stale = sequence < expected && end <= expected;
      if (stale && ++target->stale_event_batches < kStaleMessagesForRestart) {
        return;
      }
      if (stale || sequence > expected) {
        ++target->cache_epoch;
      }
    }
    target->stale_event_batches = 0;
    target->next_cache_event = end;
    const PrefixHolder holder{target->slot, target->cache_epoch};
    for (uint64_t it : stored) {
      prefix_index_.Add(it ^ target->cache_salt, holder);
    }
    // The order of events within a batch is not known. A block in both lists
    // counts as evicted, because a false hit costs more than a false miss.
    for (uint64_t it : evicted) {
      prefix_index_.Remove(it ^ target->cache_salt, target->slot);
    }
  }

  void SetDraining(std::string_view id, bool draining) {
    if (Target* target = target_table_.Find(id)) {
      target->draining = draining;
      target_table_.UpdateAvailability(*target);
    }
  }

  void SetConcurrencyLimit(std::string_view id, int concurrency_limit) {
    if (Target* target = target_table_.Find(id)) {
      target->concurrency_limit = std::max(1, concurrency_limit);
      target_table_.UpdateAvailability(*target);
    }
  }

  void RecordAttemptStart(std::string_view id,
                          const RouteRequest& request,
                          TimePoint now) {
    Target* target = target_table_.Find(id);
    if (target == nullptr) {
      return;
    }
    InFlightAttempt attempt;
    attempt.key = AttemptKey(request);
    attempt.started = now;
    attempt.uncached_tokens = UncachedTokens(
        request, CachedBlocks(*target, request) * kTokensPerBlock);
    attempt.queued_tokens = QueuedTokens(*target, now);
    attempt.decode_wait_seconds =
        std::chrono::duration<double>(options_.decode_wait_per_sequence *
                                      RunningSequences(*target))
            .count();
    attempt.suspect = request.suspect;
    AddInFlightAttempt(*target, attempt, now);
    target->suspects_in_flight += request.suspect ? 1 : 0;
    // Adds the last block first, so that the blocks at the start of the prompt,
    // which are shared by more prompts, are evicted last.
    const PrefixHolder holder{target->slot, target->cache_epoch};
    for (auto it = request.prompt_blocks.rbegin();
         it != request.prompt_blocks.rend(); ++it) {
      prefix_index_.Add(*it ^ target->cache_salt, holder);
    }
    target_table_.UpdateAvailability(*target);
  }

  void RecordFirstToken(std::string_view id,
                        const RouteRequest& request,
                        Duration first_token) {
    Target* target = target_table_.Find(id);
    InFlightAttempt* attempt =
        target == nullptr ? nullptr : FindAttempt(*target, request);
    if (attempt != nullptr && !attempt->prefilled && first_token.count() >= 0) {
      attempt->prefilled = true;
      UpdatePrefillRate(*target, *attempt, first_token, options_);
    }
  }

  void RecordAttemptEnd(std::string_view id,
                        const RouteRequest& request,
                        Duration first_token) {
    RecordFirstToken(id, request, first_token);
    Target* target = target_table_.Find(id);
    InFlightAttempt* attempt =
        target == nullptr ? nullptr : FindAttempt(*target, request);
    if (attempt == nullptr) {
      return;
    }
    target->suspects_in_flight -= attempt->suspect ? 1 : 0;
    --target->running_sequences_delta;
    *attempt = target->in_flight.back();
    target->in_flight.pop_back();
    target_table_.UpdateAvailability(*target);
    target_table_.RemoveIfUnused(*target);
  }

  void RecordCachedTokens(std::string_view id,
                          const RouteRequest& request,
                          int64_t cached_tokens) {
    const Target* target = target_table_.Find(id);
    if (target == nullptr) {
      return;
    }
    const auto kept_blocks =
        static_cast<size_t>(std::max<int64_t>(0, cached_tokens)) *
        kBytesPerToken / kPromptBlockBytes;
    for (size_t i = kept_blocks; i < request.prompt_blocks.size(); ++i) {
      prefix_index_.Remove(request.prompt_blocks[i] ^ target->cache_salt,
                           target->slot);
    }
  }

  void MarkLost(std::string_view id, TimePoint retry_at) {
    Target* target = target_table_.Find(id);
    if (target == nullptr) {
      return;
    }
    ++target->cache_epoch;
    // The engine may have restarted, with new sequence numbers.
    target->next_cache_event = 0;
    target->has_sequence = false;
    target->estimated_queue_tokens = 0;
    target->lost = true;
    target->lost_at = latest_time_;
    target->retry_at = retry_at;
    pending_retries_.emplace(retry_at, target->slot);
    target_table_.UpdateAvailability(*target);
  }

  // Records the latest time seen, for calls without a time argument.
  void AdvanceTime(TimePoint now) {
    latest_time_ = std::max(latest_time_, now);
  }

  // Makes lost targets available again once their retry time has been reached.
  // O(log lost targets) for each.
  void ReadmitDueTargets(TimePoint now) {
    while (!pending_retries_.empty() && pending_retries_.top().first <= now) {
      Target& target = target_table_.At(pending_retries_.top().second);
      pending_retries_.pop();
      // The target may have been lost again or its slot reused since then.
      if (target.lost && target.retry_at <= now) {
        target.lost = false;
        target_table_.UpdateAvailability(target);
      }
    }
  }

  RouteDecision Choose(const RouteRequest& request,
                       TimePoint now,
                       std::mt19937_64& random) const {
    RouteDecision decision = ChooseFromPools(request, now, false, random);
    // The model of engines without a load report is unknown, so they are used
    // only if no other target can serve the request.
    if (!decision.found && !request.model.empty()) {
      RouteDecision unreported = ChooseFromPools(request, now, true, random);
      unreported.matching_targets += decision.matching_targets;
      return unreported;
    }
    return decision;
  }

  TargetRouterOptions options_;
  TargetTable target_table_;
  PrefixIndex prefix_index_;
  std::mt19937_64 random_;

 private:
  using Retry = std::pair<TimePoint, uint32_t>;

  static bool DetectRestart(Target& target, uint64_t sequence) {
    const bool ascending = sequence > target.last_stale_report;
    target.stale_reports =
        ascending ? static_cast<uint8_t>(target.stale_reports + 1) : 1;
    target.last_stale_report = sequence;
    return target.stale_reports >= kStaleMessagesForRestart;
  }

  static InFlightAttempt* FindAttempt(Target& target,
                                      const RouteRequest& request) {
    const uint64_t key = AttemptKey(request);
    const auto it = std::find_if(
        target.in_flight.begin(), target.in_flight.end(),
        [key](const InFlightAttempt& attempt) { return attempt.key == key; });
    return it == target.in_flight.end() ? nullptr : &*it;
  }

  // Returns the length in blocks of the longest prefix of the prompt that the
  // target is known to hold.
  int CachedBlocks(const Target& target, const RouteRequest& request) const {
    const PrefixHolder holder{target.slot, target.cache_epoch};
    int cached = 0;
    for (size_t i = 0; i < request.prompt_blocks.size(); ++i) {
      const HolderSpan holders =
          prefix_index_.Find(request.prompt_blocks[i] ^ target.cache_salt);
      if (holders.empty()) {
        break;
      }
      if (holders.Contains(holder)) {
        cached = static_cast<int>(i) + 1;
      }
    }
    return cached;
  }

  bool IsEligible(const Target& target, const RouteRequest& request) const {
    return target.available &&
           !(request.suspect && target.suspects_in_flight > 0) &&
           !Contains(request.excluded_targets, target.info.id);
  }

  // Adds targets of `pools` that hold a prefix of the prompt, longest prefixes
  // first.
  void CollectHolders(const PoolList& pools,
                      const RouteRequest& request,
                      std::mt19937_64& random,
                      CandidateSet* candidate_set) const {
    const uint64_t salt = CacheSalt(request.house, request.service);
    std::vector<HolderSpan> holders_by_block;
    for (uint64_t it : request.prompt_blocks) {
      const HolderSpan holders = prefix_index_.Find(it ^ salt);
      if (holders.empty()) {
        break;
      }
      holders_by_block.push_back(holders);
    }
    size_t found = 0;
    size_t draws = 0;
    for (size_t i = holders_by_block.size();
         i > 0 && found < kMaxHolderCandidates; --i) {
      const HolderSpan& holders = holders_by_block[i - 1];
      // Starts at a random holder to spread requests over all holders.
      const size_t first = random() % holders.size();
      for (size_t n = 0; n < holders.size() && found < kMaxHolderCandidates &&
                         draws < kMaxDraws + holders_by_block.size();
           ++n, ++draws) {
        const PrefixHolder it = holders[(first + n) % holders.size()];
        const Target& target = target_table_.At(it.slot);
        if (target.cache_epoch == it.epoch && IsEligible(target, request) &&
            IsMember(target, pools) &&
            std::find(candidate_set->slots.begin(), candidate_set->slots.end(),
                      it.slot) == candidate_set->slots.end()) {
          candidate_set->slots.push_back(it.slot);
          candidate_set->cached_blocks.push_back(static_cast<int>(i));
          ++found;
        }
      }
    }
  }

  static bool IsMember(const Target& target, const PoolList& pools) {
    return std::any_of(target.memberships.begin(), target.memberships.end(),
                       [&](const Target::Membership& it) {
                         return std::find(pools.begin(), pools.end(),
                                          it.pool) != pools.end();
                       });
  }

  void CollectCandidates(const PoolList& pools,
                         const RouteRequest& request,
                         std::mt19937_64& random,
                         CandidateSet* candidate_set) const {
    CollectHolders(pools, request, random, candidate_set);
    MemberSampler sampler(pools, random);
    uint32_t slot = 0;
    size_t found = 0;
    for (size_t i = 0; i < kMaxDraws && found < kMaxRandomCandidates; ++i) {
      if (!sampler.Next(&slot)) {
        break;
      }
      const Target& target = target_table_.At(slot);
      if (IsEligible(target, request) &&
          std::find(candidate_set->slots.begin(), candidate_set->slots.end(),
                    slot) == candidate_set->slots.end()) {
        candidate_set->slots.push_back(slot);
        candidate_set->cached_blocks.push_back(CachedBlocks(target, request));
        ++found;
      }
    }
  }

  // Estimates all candidates and returns the index of the one with the lowest
  // cost, or -1 if there is none.
  int FindBestCandidate(const RouteRequest& request,
                        TimePoint now,
                        CandidateSet* candidate_set) const {
    const auto& slots = candidate_set->slots;
    CandidateAverage average;
    for (uint32_t it : slots) {
      AddToAverage(target_table_.At(it), &average);
    }
    auto& candidates = candidate_set->candidates;
    candidates.reserve(slots.size());
    int best = -1;
    for (size_t i = 0; i < slots.size(); ++i) {
      const Target& target = target_table_.At(slots[i]);
      candidates.push_back(EstimateCandidate(target, request,
                                             candidate_set->cached_blocks[i],
                                             average, options_, now));
      candidates[i].target = target.info.id;
      candidates[i].address = target.info.address;
      if (best < 0 || Cost(candidates[i]) < Cost(candidates[best])) {
        best = static_cast<int>(i);
      }
    }
    return best;
  }

  static Duration Cost(const RouteCandidate& candidate) {
    return candidate.first_token + candidate.delay_to_others;
  }

  // Returns whether to wait for a local target instead of using another region:
  // there is enough time until the deadline, and a local target is only at its
  // concurrency limit. Called when no local target is eligible.
  bool ShouldWaitForLocal(const PoolList& local,
                          const RouteRequest& request,
                          TimePoint now) const {
    if (HasDeadline(request) &&
        request.deadline - now < options_.cross_region_deadline_margin) {
      return false;
    }
    for (const TargetPool* pool : local) {
      // Checks only a few of the unavailable members to bound the run time.
      const size_t end =
          std::min(pool->members.size(), pool->available_count + kMaxDraws);
      for (size_t i = pool->available_count; i < end; ++i) {
        const Target& target = target_table_.At(pool->members[i].slot);
        if (!target.leaving && !target.draining && !target.lost &&
            !Contains(request.excluded_targets, target.info.id)) {
          return true;
        }
      }
    }
    return false;
  }

  static bool HasDeadline(const RouteRequest& request) {
    return request.deadline != TimePoint();
  }

  static bool MeetsDeadline(const RouteCandidate& candidate,
                            const RouteRequest& request,
                            TimePoint now) {
    return !HasDeadline(request) ||
           candidate.first_token <= request.deadline - now;
  }

  RouteDecision ChooseFromPools(const RouteRequest& request,
                                TimePoint now,
                                bool unreported,
                                std::mt19937_64& random) const {
    PoolList local;
    PoolList remote;
    RouteDecision decision;
    const std::array<Role, 2> roles = RolesForPhase(request.phase);
    for (size_t i = 0; i < roles.size(); ++i) {
      if (i > 0 && roles[i] == roles[0]) {
        continue;
      }
      const TargetTable::Pools* pools =
          target_table_.FindPools(request, roles[i], unreported);
      if (pools == nullptr) {
        continue;
      }
      for (const auto& it : *pools) {
        (it->region == options_.region ? local : remote).push_back(it.get());
        decision.matching_targets += static_cast<int>(it->members.size());
      }
    }
    CandidateSet candidate_set;
    CollectCandidates(local, request, random, &candidate_set);
    int best = FindBestCandidate(request, now, &candidate_set);
    const auto meets_deadline = [&](int index) {
      return index >= 0 &&
             MeetsDeadline(candidate_set.candidates[index], request, now);
    };
    if (!meets_deadline(best) &&
        (best >= 0 || !ShouldWaitForLocal(local, request, now))) {
      CandidateSet remote_candidates;
      CollectCandidates(remote, request, random, &remote_candidates);
      const int best_remote =
          FindBestCandidate(request, now, &remote_candidates);
      const auto offset = static_cast<int>(candidate_set.candidates.size());
      candidate_set.candidates.insert(candidate_set.candidates.end(),
                                      remote_candidates.candidates.begin(),
                                      remote_candidates.candidates.end());
      // Traffic between regions is billed by volume, so a remote target is
      // used only if there is no local one or it alone meets the deadline.
      if (best_remote >= 0 &&
          (best < 0 || meets_deadline(offset + best_remote))) {
        best = offset + best_remote;
      }
    }
    if (best >= 0) {
      decision.found = true;
      decision.chosen = candidate_set.candidates[best];
    }
    decision.considered = std::move(candidate_set.candidates);
    return decision;
  }

  TimePoint latest_time_;
  std::priority_queue<Retry, std::vector<Retry>, std::greater<>>
      pending_retries_;
};

TargetRouter::TargetRouter(TargetRouterOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

TargetRouter::~TargetRouter() = default;

void TargetRouter::ApplyTargetList(const std::vector<TargetInfo>& targets,
                                   TimePoint now) {
  impl_->AdvanceTime(now);
  impl_->target_table_.ApplyTargetList(targets);
}

void TargetRouter::ApplyLoad(std::string_view target,
                             const TargetLoad& load,
                             TimePoint now) {
  impl_->AdvanceTime(now);
  impl_->ApplyLoad(target, load, now);
}

void TargetRouter::ApplyCacheEvents(std::string_view target,
                                    uint64_t sequence,
                                    const std::vector<uint64_t>& stored,
                                    const std::vector<uint64_t>& evicted) {
  impl_->ApplyCacheEvents(target, sequence, stored, evicted);
}

void TargetRouter::MarkLeaving(std::string_view target) {
  impl_->target_table_.MarkLeaving(target);
}

void TargetRouter::SetDraining(std::string_view target, bool draining) {
  impl_->SetDraining(target, draining);
}

void TargetRouter::SetConcurrencyLimit(std::string_view target,
                                       int concurrency_limit) {
  impl_->SetConcurrencyLimit(target, concurrency_limit);
}

void TargetRouter::RecordAttemptStart(std::string_view target,
                                      const RouteRequest& request,
                                      TimePoint now) {
  impl_->AdvanceTime(now);
  impl_->RecordAttemptStart(target, request, now);
}

void TargetRouter::RecordFirstToken(std::string_view target,
                                    const RouteRequest& request,
                                    Duration first_token,
                                    TimePoint now) {
  impl_->AdvanceTime(now);
  impl_->RecordFirstToken(target, request, first_token);
}

void TargetRouter::RecordAttemptEnd(std::string_view target,
                                    const RouteRequest& request,
                                    Duration first_token,
                                    TimePoint now) {
  impl_->AdvanceTime(now);
  impl_->RecordAttemptEnd(target, request, first_token);
}

void TargetRouter::RecordCachedTokens(std::string_view target,
                                      const RouteRequest& request,
                                      int64_t cached_tokens) {
  impl_->RecordCachedTokens(target, request, cached_tokens);
}

void TargetRouter::MarkLost(std::string_view target, TimePoint retry_at) {
  impl_->MarkLost(target, retry_at);
}

RouteDecision TargetRouter::Choose(const RouteRequest& request, TimePoint now) {
  impl_->AdvanceTime(now);
  impl_->ReadmitDueTargets(now);
  return impl_->Choose(request, now, impl_->random_);
}

RouteDecision TargetRouter::Explain(const RouteRequest& request,
                                    TimePoint now) const {
  // Readmitting lost targets depends on the time only, so it does not affect
  // later choices.
  impl_->ReadmitDueTargets(now);
  std::mt19937_64 random = impl_->random_;
  return impl_->Choose(request, now, random);
}

const TargetInfo* TargetRouter::Find(std::string_view target) const {
  const Target* found = impl_->target_table_.Find(target);
  return found == nullptr || !found->listed ? nullptr : &found->info;
}

int TargetRouter::InFlight(std::string_view target) const {
  const Target* found = impl_->target_table_.Find(target);
  return found == nullptr ? 0 : static_cast<int>(found->in_flight.size());
}

size_t TargetRouter::prefix_entries() const {
  return impl_->prefix_index_.size();
}

double TargetRouter::PrefillRate(std::string_view target) const {
  const Target* found = impl_->target_table_.Find(target);
  return found == nullptr ? 0 : 1 / found->prefill_seconds_per_token;
}

}  // namespace endiveyard
