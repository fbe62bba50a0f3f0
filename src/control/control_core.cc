#include "endiveyard/control/control_core.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "control/control_state.h"
#include "endiveyard/authority/cached_object.h"
#include "endiveyard/authority/instance_lease.h"
#include "endiveyard/authority/shard_assignment.h"

namespace endiveyard {

using control_internal::Capacity;
using control_internal::Matches;
using control_internal::MayTakeOutOfService;
using control_internal::NeedsWeights;
using control_internal::PeerLease;
using control_internal::Phase;
using control_internal::Shard;
using control_internal::Target;

namespace {

// Interval at which records that others write are read. It delays a takeover by
// at most this time beyond the lease term of the failed owner.
constexpr Duration kRecordPollInterval = std::chrono::seconds(5);

// The candidate of rank n waits n times this long before it takes a free shard,
// so that candidates rarely compete for it.
constexpr Duration kTakeoverRankWait = std::chrono::seconds(10);

// Shortest time between two voluntary releases, so that a new instance does not
// take over many shards at once.
constexpr Duration kReleaseInterval = std::chrono::seconds(5);

constexpr Duration kTargetRetryWait = std::chrono::seconds(1);
constexpr char kWeightSlotKey[] = "weight_store/slot";

template <typename Record>
void ParseObject(bool (*parse)(std::string_view, Record*),
                 const CachedObject& object,
                 Record* record) {
  if (object.version == 0 || !parse(object.value, record)) {
    *record = {};
  }
}

}  // namespace

class ControlCore::Impl {
 public:
  explicit Impl(ControlCoreOptions options)
      : options_(std::move(options)),
        self_{options_.instance_id, options_.incarnation},
        lease_(MakeLease(options_.instance_id,
                         options_.incarnation,
                         options_.seed)),
        policy_(std::make_shared<const ControlPolicy>()),
        plan_(std::make_shared<const RolePlan>()) {
    weight_slot_.key = kWeightSlotKey;
  }

  void Step(const ControlEvent& event,
            TimePoint now,
            std::vector<ControlAction>* actions) {
    now_ = now;
    actions_ = actions;
    std::visit([this](const auto& it) { Handle(it); }, event);
    // Load reports are frequent, and acting on them can wait until the next
    // tick.
    if (!std::holds_alternative<TargetLoadReported>(event)) {
      Advance();
    }
    actions_ = nullptr;
  }

  bool HoldsLeaseAt(TimePoint now) const { return HoldsLease(lease_, now); }

  size_t owned_shards() const {
    return static_cast<size_t>(
        std::count_if(shards_.begin(), shards_.end(),
                      [](const auto& it) { return it.second.owned; }));
  }

  bool Idle() const {
    return owned_shards() == 0 &&
           std::none_of(
               targets_.begin(), targets_.end(),
               [this](const auto& it) { return HasOrderInFlight(it.second); });
  }

 private:
  // --- Events -------------------------------------------------------------

  void Handle(const ControlTick&) {}

  void Handle(const ObjectCallDone& event) {
    const ObjectResult& result = event.result;
    const auto owner = calls_.find(result.id);
    if (owner == calls_.end()) {
      return;
    }
    const std::string key = owner->second;
    calls_.erase(owner);
    if (key == lease_.object.key && lease_.object.pending_call == result.id) {
      ApplyLeaseResult(options_.lease, result, now_, &lease_);
    } else if (const auto s = shards_.find(key); s != shards_.end()) {
      HandleShardResult(result, &s->second);
    } else if (const auto c = capacities_.find(key); c != capacities_.end()) {
      if (ApplyToObject(result, &c->second.object) !=
          ObjectUpdateKind::kFailed) {
        ParseObject(ParseCapacity, c->second.object, &c->second.record);
      }
      c->second.next = c->second.record;
      c->second.dirty = false;
    } else if (key == kWeightSlotKey) {
      if (ApplyToObject(result, &weight_slot_) == ObjectUpdateKind::kWritten) {
        const auto target = targets_.find(weight_slot_target_);
        if (target != targets_.end()) {
          target->second.has_weight_slot = true;
        }
      }
    } else if (const auto it = peer_leases_.find(key);
               it != peer_leases_.end()) {
      HandlePeerLeaseResult(result, &it->second);
    }
  }

  void HandleShardResult(const ObjectResult& result, Shard* shard) {
    const ObjectUpdateKind kind = ApplyToObject(result, &shard->object);
    if (kind != ObjectUpdateKind::kRead && kind != ObjectUpdateKind::kWritten) {
      return;
    }
    ShardRecord record;
    shard->valid =
        shard->object.version == 0 || ParseShard(shard->object.value, &record);
    if (!shard->valid) {
      AddLogEntry(ControlLogEntryKind::kRecordMalformed, shard->object.key);
    }
    shard->record = std::move(record);
  }

  void HandlePeerLeaseResult(const ObjectResult& result, PeerLease* peer) {
    CachedObject& object = peer->lease.object;
    const uint64_t version = object.version;
    const ObjectUpdateKind kind = ApplyObservedLeaseResult(
        options_.lease, result, now_, options_.seed, &peer->lease);
    if (kind != ObjectUpdateKind::kRead && kind != ObjectUpdateKind::kWritten) {
      return;
    }
    if (peer->was_read && object.version != version) {
      ++peer->observed_renewals;
    }
    peer->was_read = true;
    if (kind == ObjectUpdateKind::kWritten) {
      peer->observed_renewals = 0;
      AddLogEntry(ControlLogEntryKind::kLeaseRevoked,
                  peer->lease.record.instance);
    }
  }

  void Handle(const PlatformListReceived& event) {
    const bool same_instances = instances_ == event.instances;
    const bool same_targets = IsSameList(event.targets);
    instances_ = event.instances;
    if (!same_targets) {
      ApplyTargets(event.targets);
    }
    if (!same_targets || !same_instances) {
      UpdateCandidates();
    }
    ObserveAbsence();
  }

  // Most lists repeat the previous one, and rebuilding the state of 12,000
  // targets takes 40 ms.
  bool IsSameList(const std::vector<TargetInfo>& targets) const {
    size_t engines = 0;
    for (const TargetInfo& info : targets) {
      if (info.kind != TargetKind::kEngine) {
        continue;
      }
      ++engines;
      const auto it = targets_.find(info.id);
      if (it == targets_.end() || it->second.info != info) {
        return false;
      }
    }
    return engines == listed_engines_;
  }

  void ApplyTargets(const std::vector<TargetInfo>& targets) {
    std::set<std::string> listed;
    for (auto& [key, capacity] : capacities_) {
      capacity.targets.clear();
    }
    for (auto& [key, shard] : shards_) {
      shard.targets.clear();
    }
    for (const TargetInfo& info : targets) {
      if (info.kind != TargetKind::kEngine) {
        continue;
      }
      listed.insert(info.id);
      Target& target = targets_[info.id];
      target.info = info;
      target.capacity_key = absl::StrCat("capacity/", info.house, "/",
                                         info.service, "/", info.region);
      capacities_[target.capacity_key].targets.push_back(info.id);
      const std::string shard_key = ShardKey(info.house, info.id);
      Shard& shard = shards_[shard_key];
      shard.house = info.house;
      shard.targets.insert(info.id);
      target.owned = shard.owned;
      if (info.state == ListedState::kLive) {
        target.leaving_announced = false;
      } else if (!target.leaving_announced) {
        target.leaving_announced = true;
        actions_->push_back(AnnounceLeaving{info.id});
      }
    }
    // A target that is no longer listed is kept while an order to it is in
    // flight.
    for (auto it = targets_.begin(); it != targets_.end();) {
      const bool keep =
          listed.count(it->first) != 0 || HasOrderInFlight(it->second);
      it = keep ? std::next(it) : targets_.erase(it);
    }
    for (auto& [key, capacity] : capacities_) {
      capacity.object.key = key;
    }
    listed_engines_ = listed.size();
  }

  void UpdateCandidates() {
    std::map<std::string, std::vector<std::string>> eligible;
    for (auto& [key, shard] : shards_) {
      shard.object.key = key;
      auto it = eligible.find(shard.house);
      if (it == eligible.end()) {
        it = eligible
                 .emplace(shard.house,
                          EligibleInstances(instances_, shard.house))
                 .first;
      }
      shard.candidates = ShardCandidates(it->second, key);
    }
  }

  void ObserveAbsence() {
    std::vector<ProcessIdentity> watched;
    for (const auto& [key, shard] : shards_) {
      if (shard.owned) {
        watched.insert(watched.end(), shard.record.former_owners.begin(),
                       shard.record.former_owners.end());
      }
    }
    ApplyInstanceList(instances_, watched, now_, &absence_);
  }

  void Handle(const TargetLoadReported& event) {
    const auto it = targets_.find(event.target);
    if (it == targets_.end()) {
      return;
    }
    Target& target = it->second;
    if (target.owned && target.phase != Phase::kServing) {
      return;  // the report may be older than the state that was read
    }
    if (target.load_known && event.load.sequence <= target.load.sequence) {
      return;
    }
    const bool role_changed =
        target.load_known && target.load.role != event.load.role;
    target.load = event.load;
    target.load_known = true;
    if (target.owned && role_changed) {
      Restore(&target);
    }
  }

  void Handle(const TargetStateRead& event) {
    const auto it = targets_.find(event.target);
    if (it == targets_.end() || it->second.pending_read != event.read_id) {
      return;
    }
    Target& target = it->second;
    target.pending_read = 0;
    if (!event.ok) {
      target.next_read_at = now_ + kTargetRetryWait;
      return;
    }
    target.load = event.load;
    target.load_known = true;
    target.state_read = true;
  }

  void Handle(const OrderAnswered& event) {
    const auto it = targets_.find(event.target);
    if (it == targets_.end()) {
      return;
    }
    Target& target = it->second;
    if (target.pending_fencing != 0 &&
        event.order_id == FenceOrderId(target.pending_fencing)) {
      if (event.outcome == OrderOutcome::kApplied) {
        target.confirmed_fencing =
            std::max(target.confirmed_fencing, target.pending_fencing);
      } else if (event.outcome == OrderOutcome::kStaleFencing) {
        InvalidateShardRecord(target.info);
      }
      target.pending_fencing = 0;
      target.next_fence_at = now_ + kTargetRetryWait;
      return;
    }
    if (event.order_id != target.sent_order_id || target.order_answered) {
      return;
    }
    target.order_answered = true;
    target.order_outcome = event.outcome;
    target.order_answered_at = now_;
    if (event.outcome == OrderOutcome::kStaleFencing) {
      InvalidateShardRecord(target.info);
    }
    if (event.outcome == OrderOutcome::kApplied && !HoldsLease(lease_, now_)) {
      // The order took effect, but without the lease this process cannot write
      // the shard record; the next owner removes the order from it.
      Announce(false, &target);
    }
  }

  void Handle(const TargetDrained& event) {
    const auto it = targets_.find(event.target);
    if (it != targets_.end()) {
      it->second.drained = it->second.phase == Phase::kDraining;
    }
  }

  void Handle(const RolePlanChanged& event) { plan_ = event.plan; }
  void Handle(const ControlPolicyChanged& event) { policy_ = event.policy; }
  void Handle(const ControlShutdown&) { shutting_down_ = true; }

  // --- Periodic work --------------------------------------------------------

  void Advance() {
    std::vector<ObjectCall> calls;
    TickLease(options_.lease, now_, &next_call_, &lease_, &calls);
    for (ObjectCall& it : calls) {
      Send(std::move(it));
    }
    const bool holds = HoldsLease(lease_, now_);
    if (holds != lease_held_) {
      lease_held_ = holds;
      AddLogEntry(holds ? ControlLogEntryKind::kLeaseAcquired
                        : ControlLogEntryKind::kLeaseLost,
                  lease_.instance);
      if (!holds) {
        SuspendChanges();
      }
    }
    weight_slot_requests_.clear();
    CountReservedWithoutSlot();
    for (auto& [key, shard] : shards_) {
      AdvanceShard(&shard);
    }
    for (auto& [key, capacity] : capacities_) {
      if (capacity.dirty && lease_held_ && capacity.object.known &&
          CanStartCall(capacity.object, now_)) {
        capacity.next.writer = NextWriter();
        Write(FormatCapacity(capacity.next), &capacity.object);
      }
    }
    AdvanceWeightSlot();
  }

  void CountReservedWithoutSlot() {
    reserved_without_weight_slot_ = 0;
    for (const auto& [key, shard] : shards_) {
      if (!shard.owned) {
        continue;
      }
      for (const std::string& id : shard.targets) {
        const Target& target = targets_.at(id);
        const auto plan = plan_->targets.find(id);
        if (target.reserved && !target.has_weight_slot &&
            plan != plan_->targets.end() &&
            FindOrder(shard.record, id) == nullptr &&
            NeedsWeights(target.load, plan->second)) {
          ++reserved_without_weight_slot_;
        }
      }
    }
  }

  // After the loss of the lease, no order is sent, and drained targets that
  // were not sent an order are readmitted. Records are read again before use.
  void SuspendChanges() {
    for (auto& [key, shard] : shards_) {
      if (!shard.owned) {
        continue;
      }
      shard.object.known = false;
      for (const std::string& id : shard.targets) {
        Target& target = targets_[id];
        // If the outcome of an order is unknown, the target may be changing.
        const OpenOrder* open = FindOrder(shard.record, id);
        const bool unchanged =
            open == nullptr || target.unsent_order_id == open->order_id ||
            (target.sent_order_id == open->order_id && target.order_answered &&
             target.order_outcome == OrderOutcome::kApplied);
        target.unsent_order_id.clear();
        target.phase = Phase::kReadingState;
        target.reserved = false;
        target.state_read = false;
        target.resolving = false;
        if (unchanged) {
          Announce(false, &target);
        }
      }
    }
  }

  void AdvanceShard(Shard* shard) {
    if (!CanStartCall(shard->object, now_)) {
      return;
    }
    // Losing the lease does not end the ownership; a takeover does.
    const bool owned_by_this_process = shard->object.known && shard->valid &&
                                       shard->object.version != 0 &&
                                       OwnsShard(shard->record, lease_);
    const bool current = lease_held_ && owned_by_this_process;
    if (owned_by_this_process != shard->owned &&
        (current || shard->object.known)) {
      ApplyOwnership(owned_by_this_process, shard);
    }
    if (current) {
      if (!shard->record.former_owners.empty() &&
          now_ - shard->object.read_at >= kRecordPollInterval) {
        // A former owner may have removed itself after its last order arrived.
        Read(&shard->object);
      } else {
        AdvanceOwnedShard(shard);
      }
      return;
    }
    const bool candidate =
        lease_held_ && !shutting_down_ && !shard->targets.empty() &&
        std::find(shard->candidates.begin(), shard->candidates.end(),
                  self_.instance) != shard->candidates.end();
    // A former owner keeps reading the shard until it has removed itself from
    // the former owners, once none of its orders is in flight.
    if (!candidate && !shard->owned && !IsFormerOwner(self_, shard->record) &&
        !(self_ ==
          ProcessIdentity{shard->record.owner, shard->record.incarnation})) {
      return;
    }
    if (!shard->object.known ||
        now_ - shard->object.read_at >= kRecordPollInterval) {
      Read(&shard->object);
      return;
    }
    if (!shard->valid) {
      return;
    }
    if (IsFormerOwner(self_, shard->record)) {
      if (!AnyOrderInFlight(*shard)) {
        ShardRecord next = shard->record;
        RemoveFormerOwner(self_, &next);
        WriteShard(std::move(next), shard);
      }
      return;
    }
    if (candidate) {
      TryTakeover(shard);
    }
  }

  void ApplyOwnership(bool owned, Shard* shard) {
    shard->owned = owned;
    AddLogEntry(
        owned                         ? ControlLogEntryKind::kShardTaken
        : shard->record.owner.empty() ? ControlLogEntryKind::kShardReleased
                                      : ControlLogEntryKind::kShardLost,
        absl::StrCat(shard->object.key, " fencing ", shard->record.fencing));
    for (const std::string& id : shard->targets) {
      Target& target = targets_[id];
      target.owned = owned;
      target.phase = Phase::kReadingState;
      target.state_read = false;
      target.resolving = false;
      target.unsent_order_id.clear();
      target.reserved = false;
      target.has_weight_slot = false;
      target.draining_announced = false;
    }
    if (owned) {
      ObserveAbsence();
    }
  }

  // Polls the lease of the owner, revokes it after expiry and takes the shard.
  void TryTakeover(Shard* shard) {
    const ShardRecord& record = shard->record;
    TimePoint free_since = shard->object.first_seen;
    std::vector<std::string> candidates = shard->candidates;
    LeaseRecord owner_lease;
    if (record.owner == self_.instance) {
      owner_lease = lease_.record;
    } else if (!record.owner.empty()) {
      PeerLease& peer = PollLease(record.owner);
      ObservedLease& lease = peer.lease;
      if (!CanStartCall(lease.object, now_) || !lease.valid) {
        return;
      }
      if (lease.object.known && MayRevoke(options_.lease, lease, now_)) {
        Write(FormatLease(RevokedLease(lease.record, NextWriter())),
              &lease.object);
        return;
      }
      owner_lease = lease.record;
      free_since = std::max(free_since, lease.object.first_seen);
      candidates.erase(
          std::remove(candidates.begin(), candidates.end(), record.owner),
          candidates.end());
    }
    if (!MayTakeShard(record, owner_lease)) {
      return;
    }
    const auto rank =
        std::find(candidates.begin(), candidates.end(), self_.instance) -
        candidates.begin();
    if (now_ - free_since >= kTakeoverRankWait * rank) {
      WriteShard(TakeShard(record, lease_, ""), shard);
    }
  }

  // Returns the copy of the lease of `instance`, and starts a read if the copy
  // is older than kRecordPollInterval.
  PeerLease& PollLease(const std::string& instance) {
    PeerLease& peer = peer_leases_[LeaseKey(instance)];
    CachedObject& object = peer.lease.object;
    object.key = LeaseKey(instance);
    if (CanStartCall(object, now_) &&
        (!object.known || now_ - object.read_at >= kRecordPollInterval)) {
      Read(&object);
    }
    return peer;
  }

  void AdvanceOwnedShard(Shard* shard) {
    ShardRecord next = shard->record;
    bool dirty = false;
    for (const ProcessIdentity& it : shard->record.former_owners) {
      if (it == self_ || ProvenAbsent(options_.absence, absence_, it)) {
        RemoveFormerOwner(it, &next);
        dirty = true;
      }
    }
    bool busy = false;
    for (const std::string& id : shard->targets) {
      Target& target = targets_[id];
      dirty = AdvanceTarget(*shard, &target, &next) || dirty;
      busy = busy || (target.phase != Phase::kServing &&
                      target.phase != Phase::kReadingState);
    }
    dirty = CloseUnlistedOrders(*shard, &next) || dirty;
    if (dirty) {
      WriteShard(std::move(next), shard);
    } else if (!busy && shard->record.orders.empty() && MayRelease(*shard)) {
      next_voluntary_release_ = now_ + kReleaseInterval;
      WriteShard(ReleaseShard(shard->record, ""), shard);
    }
  }

  // Closes orders to targets that the platform no longer lists, once no order
  // to them can be in flight.
  bool CloseUnlistedOrders(const Shard& shard, ShardRecord* next) const {
    bool dirty = false;
    for (const OpenOrder& it : shard.record.orders) {
      if (shard.targets.count(it.target) == 0 &&
          targets_.count(it.target) == 0 &&
          shard.record.former_owners.empty()) {
        CloseOrder(it.order_id, next);
        dirty = true;
      }
    }
    return dirty;
  }

  // True on shutdown, or when the preferred owner is another instance that has
  // been seen to renew its lease. Being listed is not enough, since the list
  // may still contain an instance that has exited.
  bool MayRelease(const Shard& shard) {
    if (shutting_down_) {
      return true;
    }
    if (shard.candidates.empty() || shard.candidates[0] == self_.instance) {
      return false;
    }
    const PeerLease& peer = PollLease(shard.candidates[0]);
    return peer.observed_renewals > 0 && !peer.lease.record.revoked &&
           now_ - peer.lease.object.first_seen < options_.lease.term &&
           now_ >= next_voluntary_release_;
  }

  // Advances a target until it has to wait for an answer or a time; returns
  // true if `next` was changed.
  bool AdvanceTarget(const Shard& shard, Target* target, ShardRecord* next) {
    const OpenOrder* open = FindOrder(shard.record, target->info.id);
    if (open != nullptr) {
      return AdvanceOpenOrder(shard, *open, target, next);
    }
    // The loop ends because no cycle of phases is possible without an answer.
    for (;;) {
      const Phase before = target->phase;
      if (AdvancePhase(shard, target, next)) {
        return true;
      }
      if (target->phase == before || target->phase == Phase::kServing) {
        return false;
      }
    }
  }

  bool AdvancePhase(const Shard& shard, Target* target, ShardRecord* next) {
    const TargetPlan* plan = ApplicablePlan(shard, *target);
    switch (target->phase) {
      case Phase::kReadingState:
        if (ReadState(target)) {
          Restore(target);
        }
        return false;
      case Phase::kRestoring:
        AdvanceRestore(target);
        return false;
      case Phase::kServing:
        if (plan != nullptr) {
          target->phase = Phase::kReserving;
          target->change_started = now_;
        }
        return false;
      case Phase::kReserving:
        if (plan == nullptr) {
          Restore(target);
        } else {
          Reserve(target);
        }
        return false;
      case Phase::kDraining:
        if (plan == nullptr) {
          Restore(target);
        } else if (target->drained ||
                   now_ - target->drain_started >= policy_->drain_bound) {
          if (!target->drained) {
            AddLogEntry(ControlLogEntryKind::kDrainBoundReached,
                        target->info.id);
          }
          target->phase = Phase::kReadyToOrder;
        }
        return false;
      case Phase::kReadyToOrder:
        if (plan == nullptr) {
          Restore(target);
          return false;
        }
        if (NeedsWeights(target->load, *plan) && !target->has_weight_slot) {
          weight_slot_requests_.push_back(target->info.id);
          return false;
        }
        target->unsent_order_id = AddOrder(target->info.id, *plan, next);
        return !target->unsent_order_id.empty();
    }
    return false;
  }

  // Returns the plan for the target if it differs from the state of the target
  // and may be ordered now, otherwise nullptr.
  const TargetPlan* ApplicablePlan(const Shard& shard,
                                   const Target& target) const {
    const auto it = plan_->targets.find(target.info.id);
    if (it == plan_->targets.end() || !target.load_known || shutting_down_ ||
        target.info.state != ListedState::kLive ||
        now_ < target.next_change_at ||
        !MaySendOrders(shard.record, target.info.checks_fencing) ||
        Matches(target.load, it->second)) {
      return nullptr;
    }
    return &it->second;
  }

  bool AdvanceOpenOrder(const Shard& shard,
                        const OpenOrder& open,
                        Target* target,
                        ShardRecord* next) {
    if (target->unsent_order_id == open.order_id) {
      target->unsent_order_id.clear();
      target->sent_order_id = open.order_id;
      target->order_answered = false;
      actions_->push_back(SendOrder{open.order_id, target->info.id,
                                    target->info.address, open.fencing, false,
                                    open.plan, lease_.expires});
      return false;
    }
    const bool sent_by_this_process = target->sent_order_id == open.order_id;
    if (sent_by_this_process && !target->order_answered) {
      return false;
    }
    if (sent_by_this_process &&
        target->order_outcome == OrderOutcome::kApplied) {
      target->load.role = open.plan.role;
      target->load.model = open.plan.model;
      target->load.adapters = open.plan.adapters;
      target->load.version = open.plan.version;
      target->load_known = true;
      // The state is read again for its sequence number: load reports from
      // before the change may still arrive, and are dropped by their lower
      // number.
      target->state_read = false;
      FinishOrder(open, true, target, next);
      return true;
    }
    if (sent_by_this_process &&
        (target->order_outcome == OrderOutcome::kNotSent ||
         target->order_outcome == OrderOutcome::kRejected)) {
      target->order_outcome = OrderOutcome::kNotSent;
      FinishOrder(open, false, target, next);
      return true;
    }
    switch (NextResolveStep(
        options_.absence, shard.record, open, target->info.checks_fencing,
        target->confirmed_fencing, target->order_answered_at, now_)) {
      case ResolveStep::kWait:
        return false;
      case ResolveStep::kRaiseFencing:
        next->fencing = std::max(next->fencing, open.fencing + 1);
        return true;
      case ResolveStep::kSendFence:
        if (target->pending_fencing == 0 && now_ >= target->next_fence_at) {
          target->pending_fencing = shard.record.fencing;
          actions_->push_back(SendOrder{FenceOrderId(shard.record.fencing),
                                        target->info.id, target->info.address,
                                        shard.record.fencing, true,
                                        TargetPlan{}, lease_.expires});
        }
        return false;
      case ResolveStep::kReadState:
        break;
    }
    if (!target->resolving) {
      // An earlier read is not conclusive: the order could still arrive after
      // it.
      target->resolving = true;
      target->state_read = false;
      target->pending_read = 0;
    }
    if (!ReadState(target)) {
      return false;
    }
    FinishOrder(open, Matches(target->load, open.plan), target, next);
    return true;
  }

  void FinishOrder(const OpenOrder& open,
                   bool applied,
                   Target* target,
                   ShardRecord* next) {
    CloseOrder(open.order_id, next);
    target->resolving = false;
    const Duration elapsed = target->change_started == TimePoint()
                                 ? Duration(0)
                                 : now_ - target->change_started;
    AddLogEntry(applied ? ControlLogEntryKind::kChangeFinished
                        : ControlLogEntryKind::kChangeFailed,
                target->info.id, elapsed);
    if (!applied) {
      target->next_change_at = now_ + policy_->failed_change_wait;
    }
    target->phase = Phase::kReadingState;
    target->reserved = false;
    target->has_weight_slot = false;
  }

  // Returns true if the state has been read since `state_read` was cleared;
  // otherwise starts a read if one is due.
  bool ReadState(Target* target) {
    if (target->state_read) {
      return true;
    }
    if (target->pending_read == 0 && now_ >= target->next_read_at) {
      target->pending_read = next_read_++;
      actions_->push_back(ReadTargetState{target->pending_read, target->info.id,
                                          target->info.address});
    }
    return false;
  }

  // --- Capacity -----------------------------------------------------------

  void Restore(Target* target) {
    target->phase = Phase::kRestoring;
    target->restoring_since = now_;
    target->reserved = false;
    target->has_weight_slot = false;
  }

  // Returns the capacity record if it can be changed now, and was read at or
  // after `since` or has changes to be written. Otherwise returns nullptr, and
  // starts a read if no call is in progress.
  Capacity* FreshCapacity(const Target& target, TimePoint since) {
    Capacity& capacity = capacities_[target.capacity_key];
    if (!CanStartCall(capacity.object, now_)) {
      return nullptr;
    }
    if (!capacity.object.known || capacity.object.read_at < since) {
      if (!capacity.dirty) {
        Read(&capacity.object);
        return nullptr;
      }
    }
    return &capacity;
  }

  void AdvanceRestore(Target* target) {
    Capacity* capacity = FreshCapacity(*target, target->restoring_since);
    if (capacity == nullptr) {
      return;
    }
    const std::string& id = target->info.id;
    const auto it = capacity->record.targets.find(id);
    const bool out = it != capacity->record.targets.end() && it->second.out;
    const bool role_outdated = it != capacity->record.targets.end() &&
                               it->second.role != target->load.role;
    if (out || role_outdated) {
      capacity->next.targets[id] = {false, target->load.role};
      capacity->dirty = true;
      target->draining_announced = target->draining_announced || out;
      return;
    }
    Announce(false, target);
    target->phase = Phase::kServing;
  }

  void Reserve(Target* target) {
    Capacity* capacity = FreshCapacity(
        *target, std::max(target->change_started, now_ - kRecordPollInterval));
    if (capacity == nullptr) {
      return;
    }
    const auto it = capacity->record.targets.find(target->info.id);
    if (it != capacity->record.targets.end() && it->second.out) {
      target->phase = Phase::kDraining;
      target->drained = false;
      target->drain_started = now_;
      Announce(true, target);
      return;
    }
    // Only one target of this instance at a time may be out of service while it
    // waits for a weight store slot.
    const bool loads =
        NeedsWeights(target->load, plan_->targets.at(target->info.id));
    if (MayTakeOutOfService(*policy_, *capacity, targets_, *target) &&
        (!loads || target->reserved || reserved_without_weight_slot_ == 0)) {
      reserved_without_weight_slot_ += loads && !target->reserved ? 1 : 0;
      target->reserved = true;
      capacity->next.targets[target->info.id] = {true, target->load.role};
      capacity->dirty = true;
    }
  }

  // Takes the weight store slot for the first waiting target once the slot has
  // been unchanged for `weight_load_interval` by the local clock. The
  // conditional write fails if another instance takes the slot first.
  void AdvanceWeightSlot() {
    if (weight_slot_requests_.empty() || !lease_held_ ||
        !CanStartCall(weight_slot_, now_)) {
      return;
    }
    if (!weight_slot_.known) {
      Read(&weight_slot_);
    } else if (weight_slot_.version == 0 || now_ - weight_slot_.first_seen >=
                                                policy_->weight_load_interval) {
      WeightSlotRecord record;
      ParseObject(ParseWeightSlot, weight_slot_, &record);
      ++record.loads;
      record.writer = NextWriter();
      weight_slot_target_ = weight_slot_requests_.front();
      Write(FormatWeightSlot(record), &weight_slot_);
    }
  }

  // --- Helpers ------------------------------------------------------------

  static std::string FenceOrderId(uint64_t fencing) {
    return absl::StrCat("fence-", fencing);
  }

  // True if an order of this process is unanswered, or its outcome is unknown
  // and it may still arrive.
  bool HasOrderInFlight(const Target& target) const {
    return !target.order_answered ||
           (target.order_outcome == OrderOutcome::kUnknown &&
            now_ - target.order_answered_at < options_.absence.max_order_delay);
  }

  bool AnyOrderInFlight(const Shard& shard) const {
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
      const TargetInfo& info = it.second.info;
      return HasOrderInFlight(it.second) &&
             ShardKey(info.house, info.id) == shard.object.key;
    });
  }

  // Forces a new read of the shard record, after the target refused the fencing
  // number in it.
  void InvalidateShardRecord(const TargetInfo& info) {
    const auto it = shards_.find(ShardKey(info.house, info.id));
    if (it != shards_.end()) {
      it->second.object.known = false;
    }
  }

  void Announce(bool draining, Target* target) {
    if (target->draining_announced != draining) {
      target->draining_announced = draining;
      const auto shard =
          shards_.find(ShardKey(target->info.house, target->info.id));
      actions_->push_back(AnnounceDraining{
          target->info.id, draining,
          shard == shards_.end() ? 0 : shard->second.record.fencing});
    }
  }

  void AddLogEntry(ControlLogEntryKind kind,
                   std::string subject,
                   Duration elapsed = Duration(0)) {
    actions_->push_back(ControlLogEntry{kind, std::move(subject), elapsed});
  }

  std::string NextWriter() {
    return absl::StrCat(self_.instance, "/", self_.incarnation, ".", ++writes_);
  }

  ObjectUpdateKind ApplyToObject(const ObjectResult& result,
                                 CachedObject* object) {
    return ApplyObjectResult(result, now_, options_.seed, object).kind;
  }

  void Send(ObjectCall call) {
    calls_[call.id] = call.key;
    actions_->push_back(CallObjectApi{std::move(call)});
  }

  void Read(CachedObject* object) { Send(StartRead(next_call_++, object)); }

  void Write(std::string value, CachedObject* object) {
    Send(StartWrite(next_call_++, std::move(value), now_, object));
  }

  void WriteShard(ShardRecord record, Shard* shard) {
    record.writer = NextWriter();
    Write(FormatShard(record), &shard->object);
  }

  ControlCoreOptions options_;
  ProcessIdentity self_;
  LeaseState lease_;
  std::shared_ptr<const ControlPolicy> policy_;
  std::shared_ptr<const RolePlan> plan_;
  std::vector<InstanceInfo> instances_;
  size_t listed_engines_ = 0;
  AbsenceTracker absence_;
  std::map<std::string, Shard> shards_;           // by key
  std::map<std::string, PeerLease> peer_leases_;  // by key
  std::map<std::string, Capacity> capacities_;    // by key
  std::map<std::string, Target> targets_;         // by id
  std::map<uint64_t, std::string> calls_;         // object key by call id
  CachedObject weight_slot_;
  std::vector<std::string> weight_slot_requests_;
  std::string weight_slot_target_;
  int reserved_without_weight_slot_ = 0;
  bool lease_held_ = false;
  bool shutting_down_ = false;
  TimePoint next_voluntary_release_;
  uint64_t next_call_ = 1;
  uint64_t next_read_ = 1;
  uint64_t writes_ = 0;
  TimePoint now_;
  std::vector<ControlAction>* actions_ = nullptr;
};

ControlCore::ControlCore(ControlCoreOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

ControlCore::~ControlCore() = default;

void ControlCore::Step(const ControlEvent& event,
                       TimePoint now,
                       std::vector<ControlAction>* actions) {
  impl_->Step(event, now, actions);
}

bool ControlCore::HoldsLeaseAt(TimePoint now) const {
  return impl_->HoldsLeaseAt(now);
}

size_t ControlCore::owned_shards() const {
  return impl_->owned_shards();
}

bool ControlCore::Idle() const {
  return impl_->Idle();
}

}  // namespace endiveyard
