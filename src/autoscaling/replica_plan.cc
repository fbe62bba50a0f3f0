#include "endiveyard/autoscaling/replica_plan.h"

#include <cmath>
#include <numeric>
#include <set>
#include <tuple>
#include <vector>

namespace endiveyard {
namespace {

constexpr size_t kOnDemand = IndexOf(ReplicaKind::kOnDemand);
constexpr size_t kSpot = IndexOf(ReplicaKind::kSpot);

// A new holder orders nothing for this time: an order of the former one may
// still be under way.
constexpr Duration kFirstOrderDelay = std::chrono::seconds(2);
// Nor while replicas that it has not ordered still register, as at the start of
// a deployment.
constexpr Duration kSettlingTime = std::chrono::milliseconds(1500);
// Spot replicas are asked for again after this time.
constexpr Duration kSpotRetryInterval = std::chrono::seconds(5);
// An order that may have been undone by an earlier one is repeated after the
// time in which calls without an answer take effect.
constexpr Duration kLateEffectTime = std::chrono::seconds(5);
// A replica is registered within the boot time and this margin.
constexpr Duration kRegistrationMargin = std::chrono::seconds(2);
// On-demand replicas are removed once those that replace them have served for
// this time; surplus spot replicas cost little and are removed later.
constexpr Duration kReplacementHold = std::chrono::seconds(1);
constexpr Duration kSurplusHold = std::chrono::seconds(2);
// At most this share of the replicas is removed within a second, so that caches
// move gradually.
constexpr double kRemovalsPerSecond = 0.25;
// Limits for large fleets: all instances have to learn of each replica that
// leaves before it ends. When 3,000 replicas were replaced within seconds, some
// instances learned of it after 6 s, and requests reached replicas that had
// left.
constexpr int kMaxRemovalsPerSecond = 60;
constexpr int kMaxAdditionsPerPlan = 100;
// The demand of this time decides what is unused: longer than one period of
// its waves (11 s).
constexpr Duration kDemandWindow = std::chrono::seconds(15);
constexpr Duration kMeanTime = std::chrono::seconds(1);
constexpr Duration kTrimInterval = std::chrono::seconds(2);
// Never trimmed below this share of the initial number.
constexpr double kMinTargetShare = 0.5;
// Bursts reach this multiple of the load within a second, less than a replica
// takes to boot.
constexpr double kBurst = 2.2;
// For capacity that can be added again: bursts above the mean, or some more
// than the highest load.
constexpr double kPeakMargin = 1.3;
// Queues grow beyond this share of busy replicas.
constexpr double kFullLoad = 0.8;
constexpr double kLoadAfterGrowth = 0.6;
// Limits of one step, as shares of the replicas of a region.
constexpr double kMinGrowth = 0.1;
constexpr double kMaxGrowth = 0.5;
// Refusals have other causes, too, so that they add at most this share.
constexpr double kMaxGrowthByRefusals = 0.5;
constexpr int kRefusalsForGrowth = 3;
// A stage keeps at least and needs at most these shares of its initial number
// while on-demand replicas are replaced. New replicas choose their stage, so
// that the proportion varies.
constexpr double kMinStageShare = 0.5;
constexpr double kMaxStageShare = 0.8;

int Sum(const ByStage<int>& counts) {
  return std::accumulate(counts.begin(), counts.end(), 0);
}

// One failure domain while a plan is made.
struct Domain {
  const std::string* name = nullptr;
  FailureDomainState* state = nullptr;
  double price = 1;
  ByKind<KindCounts> counts;
  ByKind<int> wanted{};
  ByKind<int> serving{};  // ordered and ready
  int base = 0;
  bool has_spot = false;  // spot replicas are to be had
  int missing = 0;        // spot replicas that are not to be had
};

struct Region {
  std::vector<Domain> domains;
  ByStage<double> ready{};  // without those that have to end
  ByStage<double> mean{};   // busy replicas, in the last second
  ByStage<double> window_mean{};
  ByStage<double> peak{};

  int Target() const {
    int target = 0;
    for (const Domain& it : domains) {
      target += it.state->target;
    }
    return target;
  }
  int Serving() const {
    int serving = 0;
    for (const Domain& it : domains) {
      serving += it.serving[kOnDemand] + it.serving[kSpot];
    }
    return serving;
  }
  // Ordered replicas that are not ready yet.
  int Coming() const {
    int coming = 0;
    for (const Domain& it : domains) {
      for (size_t kind = 0; kind < kReplicaKinds; ++kind) {
        coming += std::max(
            0, it.state->ordered[kind].Low() - it.counts[kind].Ready());
      }
    }
    return coming - Missing();
  }
  int Missing() const {
    int missing = 0;
    for (const Domain& it : domains) {
      missing += std::clamp(it.state->ordered[kSpot].Low() - it.serving[kSpot],
                            0, it.missing);
    }
    return missing;
  }
};

class Planner {
 public:
  Planner(const ScalingPolicy& policy,
          const ServiceDemand& demand,
          const ReplicaCounts& counts,
          ScalingState* state,
          TimePoint now)
      : policy_(policy),
        demand_(demand),
        counts_(counts),
        state_(*state),
        now_(now) {}

  ReplicaPlan Run() {
    if (!state_.started) {
      state_.started = now_;
      state_.grown_at = now_;
    }
    RecordDemand();
    if (!state_.is_settled && !Settle()) {
      return {};
    }
    for (auto& [name, it] : state_.failure_domains) {
      // The limits may have changed.
      it.target =
          std::clamp(it.target, policy_.min_replicas, policy_.max_replicas);
      CountLateReplicas(name, &it);
      DetectReclaims(name, &it);
    }
    MakeRegions();
    if (now_ >= state_.next_growth) {
      for (auto& [name, region] : regions_) {
        Grow(&region);
      }
    }
    GrowByRefusals();
    Trim();
    for (auto& [name, region] : regions_) {
      PlanRegion(&region);
    }
    return MakePlan();
  }

 private:
  const ByKind<KindCounts>& CountsOf(const std::string& name) const {
    static const ByKind<KindCounts> kNone{};
    const auto it = counts_.failure_domains.find(name);
    return it == counts_.failure_domains.end() ? kNone : it->second;
  }

  const std::string& RegionOf(const std::string& name) const {
    const auto it = policy_.failure_domains.find(name);
    return it == policy_.failure_domains.end() ? name : it->second.region;
  }

  // Adds a sample of the demand in each region.
  void RecordDemand() {
    DemandSample present{now_, {}, demand_.refusals};
    for (const auto& [name, by_stage] : demand_.busy) {
      for (size_t stage = 0; stage < kStages; ++stage) {
        present.busy[RegionOf(name)][stage] += by_stage[stage];
      }
    }
    auto& last = state_.last_second;
    last.push_back(std::move(present));
    while (now_ - last.front().at >= kMeanTime) {
      last.pop_front();
    }
    DemandSample mean{now_, {}, 0};
    for (const DemandSample& it : last) {
      mean.refusals += it.refusals;
      for (const auto& [region, by_stage] : it.busy) {
        for (size_t stage = 0; stage < kStages; ++stage) {
          mean.busy[region][stage] +=
              by_stage[stage] / static_cast<double>(last.size());
        }
      }
    }
    state_.means.push_back(std::move(mean));
    while (now_ - state_.means.front().at > kDemandWindow) {
      state_.means.pop_front();
    }
    if (!demand_.is_complete) {
      // Without the reports of many instances, nothing is known to be unused.
      state_.next_trim = now_ + kDemandWindow;
    }
  }

  // Takes the registered replicas as the ordered ones. Returns false until
  // there are no more of them.
  bool Settle() {
    ByStage<int> ready{};
    std::set<std::string> names;
    for (const auto& [name, it] : policy_.failure_domains) {
      names.insert(name);
    }
    for (const auto& [name, it] : counts_.failure_domains) {
      names.insert(name);
    }
    for (const std::string& name : names) {
      FailureDomainState& domain = state_.failure_domains[name];
      for (size_t kind = 0; kind < kReplicaKinds; ++kind) {
        const KindCounts& counts = CountsOf(name)[kind];
        OrderedReplicas& ordered = domain.ordered[kind];
        if (counts.Ready() > ordered.count) {
          ordered.count = counts.Ready();
          ordered.accepted = ordered.count;
          state_.grown_at = now_;
        }
        ordered.ordered_at = now_;
        ordered.last_ready = counts.Ready();
        ordered.last_leaving = counts.leaving;
        for (size_t stage = 0; stage < kStages; ++stage) {
          ready[stage] += counts.ready[stage];
        }
      }
    }
    if (now_ - *state_.started < kFirstOrderDelay ||
        now_ - state_.grown_at < kSettlingTime || Sum(ready) == 0) {
      return false;
    }
    for (size_t stage = 0; stage < kStages; ++stage) {
      state_.stage_shares[stage] =
          static_cast<double>(ready[stage]) / Sum(ready);
    }
    SetInitialTargets();
    state_.is_settled = true;
    state_.next_trim = now_ + kDemandWindow;
    return true;
  }

  void SetInitialTargets() {
    struct Totals {
      int target = 0;
      int spot = 0;
      int domains = 0;
    };
    std::map<std::string, Totals> totals;
    for (auto& [name, it] : state_.failure_domains) {
      const int on_demand = it.ordered[kOnDemand].count;
      const int spot = it.ordered[kSpot].count;
      // A former holder may have ordered one kind and not yet removed the
      // other.
      it.target =
          std::max(on_demand, spot + std::min(on_demand, BaseOf(on_demand)));
      Totals& total = totals[RegionOf(name)];
      total.target += it.target;
      total.spot += spot;
      ++total.domains;
    }
    for (auto& [name, it] : state_.failure_domains) {
      // Where spot replicas were lost, others of the region replace them until
      // there are some again.
      if (const Totals& total = totals[RegionOf(name)]; total.spot > 0) {
        it.target = (total.target + total.domains - 1) / total.domains;
      }
      it.target =
          std::clamp(it.target, policy_.min_replicas, policy_.max_replicas);
      it.initial_target = it.target;
      // Those that were lost while the counts settled are not ordered any more.
      OrderedReplicas& spot = it.ordered[kSpot];
      spot.count = std::min(spot.count, spot.last_ready);
    }
  }

  int BaseOf(int target) const {
    return std::min(target, policy_.on_demand_base);
  }

  // Replicas that register after the others, as at the start of a deployment,
  // belong to what was ordered.
  void CountLateReplicas(const std::string& name, FailureDomainState* domain) {
    OrderedReplicas& ordered = domain->ordered[kOnDemand];
    const int late = CountsOf(name)[kOnDemand].Ready() - ordered.count;
    if (ordered.has_order || late <= 0) {
      return;
    }
    ordered.count += late;
    ordered.accepted = ordered.count;
    domain->target = std::min(domain->target + late, policy_.max_replicas);
    domain->initial_target = domain->target;
  }

  // Recognises spot replicas that end without an order to this effect.
  void DetectReclaims(const std::string& name, FailureDomainState* domain) {
    OrderedReplicas& ordered = domain->ordered[kSpot];
    const KindCounts& counts = CountsOf(name)[kSpot];
    const int ready = counts.Ready();
    const int lost = ordered.last_ready - ready;
    const bool leave = counts.leaving > ordered.last_leaving;
    if (lost > 0 && ready < ordered.Low() &&
        (leave || (lost > 1 && 2 * lost >= ordered.last_ready))) {
      ordered.count = ready;
      domain->spot_refused_until =
          std::max(domain->spot_refused_until, now_ + kSpotRetryInterval);
    }
    ordered.last_ready = ready;
    ordered.last_leaving = counts.leaving;
  }

  void MakeRegions() {
    for (auto& [name, state] : state_.failure_domains) {
      Region& region = regions_[RegionOf(name)];
      Domain domain;
      domain.name = &name;
      domain.state = &state;
      const auto it = policy_.failure_domains.find(name);
      domain.price = it == policy_.failure_domains.end() ? 1 : it->second.price;
      domain.counts = CountsOf(name);
      for (size_t kind = 0; kind < kReplicaKinds; ++kind) {
        const OrderedReplicas& ordered = state.ordered[kind];
        domain.wanted[kind] = ordered.count;
        domain.serving[kind] =
            std::min(ordered.Low(), domain.counts[kind].Ready());
        const double kept = static_cast<double>(ordered.Low()) /
                            std::max(1, domain.counts[kind].Ready());
        for (size_t stage = 0; stage < kStages; ++stage) {
          region.ready[stage] +=
              domain.counts[kind].ready[stage] * std::min(1.0, kept);
        }
      }
      domain.base = BaseOf(state.target);
      domain.has_spot =
          policy_.spot_price < 1 && now_ >= state.spot_refused_until;
      region.domains.push_back(domain);
    }
    const double means = static_cast<double>(state_.means.size());
    for (const DemandSample& sample : state_.means) {
      for (const auto& [name, busy] : sample.busy) {
        const auto it = regions_.find(name);
        if (it == regions_.end()) {
          continue;
        }
        for (size_t stage = 0; stage < kStages; ++stage) {
          Region& region = it->second;
          region.window_mean[stage] += busy[stage] / means;
          region.peak[stage] = std::max(region.peak[stage], busy[stage]);
          if (sample.at == state_.means.back().at) {
            region.mean[stage] = busy[stage];
          }
        }
      }
    }
  }

  // Adds replicas where the present load of a stage fills its replicas.
  void Grow(Region* region) {
    double growth = 0;
    for (size_t stage = 0; stage < kStages; ++stage) {
      const double share = state_.stage_shares[stage];
      const double available =
          region->ready[stage] + std::max(0, region->Coming()) * share;
      if (share > 0 && region->mean[stage] > kFullLoad * available) {
        growth = std::max(
            growth,
            (region->mean[stage] / kLoadAfterGrowth - available) / share);
      }
    }
    if (growth <= 0) {
      return;
    }
    const int target = region->Target();
    AddToTargets(region,
                 static_cast<int>(std::ceil(std::clamp(
                     growth, kMinGrowth * target, kMaxGrowth * target))));
    state_.next_growth = now_ + policy_.boot_time + kMeanTime;
    state_.last_growth = now_;
  }

  void GrowByRefusals() {
    if (now_ < state_.next_growth ||
        state_.means.back().refusals < kRefusalsForGrowth) {
      return;
    }
    for (auto& [name, region] : regions_) {
      int limit = 0;
      for (const Domain& it : region.domains) {
        limit += static_cast<int>(
            std::ceil(it.state->initial_target * (1 + kMaxGrowthByRefusals)));
      }
      const int target = region.Target();
      AddToTargets(&region,
                   std::min(limit - target,
                            static_cast<int>(std::ceil(kMinGrowth * target))));
    }
    state_.next_growth = now_ + policy_.boot_time + kMeanTime;
    state_.last_growth = now_;
  }

  void AddToTargets(Region* region, int replicas) const {
    for (; replicas > 0; --replicas) {
      Domain* best = nullptr;
      for (Domain& it : region->domains) {
        if (it.state->target < policy_.max_replicas &&
            (best == nullptr ||
             std::tie(it.state->target, it.price) <
                 std::tie(best->state->target, best->price))) {
          best = &it;
        }
      }
      if (best == nullptr) {
        return;
      }
      ++best->state->target;
    }
  }

  static int LargestSpotCount(const Region& region, size_t stage) {
    int largest = 0;
    for (const Domain& it : region.domains) {
      largest = std::max(largest, it.counts[kSpot].ready[stage]);
    }
    return largest;
  }

  // Removes one replica in a region if all stages keep enough for a burst, and
  // for a burst after the loss of the spot replicas of one failure domain.
  void Trim() {
    if (now_ < state_.next_trim || now_ - state_.last_growth < kDemandWindow ||
        now_ - *state_.started < kDemandWindow) {
      return;
    }
    ByStage<double> ready{};
    ByStage<int> largest_spot{};
    ByStage<double> peak{};
    for (const auto& [name, region] : regions_) {
      for (size_t stage = 0; stage < kStages; ++stage) {
        ready[stage] += region.ready[stage];
        largest_spot[stage] =
            std::max(largest_spot[stage], LargestSpotCount(region, stage));
        peak[stage] += region.peak[stage];
      }
      for (const Domain& it : region.domains) {
        if (now_ < it.state->spot_refused_until) {
          return;  // its replacements are not unused
        }
      }
      if (region.Serving() < region.Target()) {
        return;
      }
    }
    for (auto& [name, region] : regions_) {
      bool is_unused = true;
      for (size_t stage = 0; stage < kStages; ++stage) {
        const double local = region.ready[stage] - 1;
        const double burst = kBurst * region.peak[stage] / kFullLoad;
        is_unused &= state_.stage_shares[stage] <= 0 ||
                     (ready[stage] - largest_spot[stage] - 1 >=
                          kBurst * peak[stage] / kFullLoad &&
                      local >= burst &&
                      local - LargestSpotCount(region, stage) >=
                          region.peak[stage] / kFullLoad);
      }
      if (!is_unused) {
        continue;
      }
      Domain* best = nullptr;
      for (Domain& it : region.domains) {
        const int floor =
            std::max({policy_.min_replicas, it.base + 1,
                      static_cast<int>(std::ceil(kMinTargetShare *
                                                 it.state->initial_target))});
        if (it.state->target > floor &&
            (best == nullptr || it.price > best->price)) {
          best = &it;
        }
      }
      if (best != nullptr) {
        --best->state->target;
        state_.next_trim = now_ + kTrimInterval;
        for (size_t stage = 0; stage < kStages; ++stage) {
          --ready[stage];  // for the regions that follow
        }
      }
    }
  }

  void PlanRegion(Region* region) {
    int to_move = 0;
    for (Domain& it : region->domains) {
      const int target = it.state->target;
      it.base = BaseOf(target);  // the target may have changed
      const OrderedReplicas& spot = it.state->ordered[kSpot];
      it.wanted[kOnDemand] =
          std::max(it.state->ordered[kOnDemand].count,
                   policy_.spot_price < 1 ? it.base : target);
      const int missing = std::max(0, target - it.base - it.serving[kSpot]);
      const bool is_overdue =
          now_ - spot.ordered_at > policy_.boot_time + kRegistrationMargin;
      if (policy_.spot_price >= 1) {
        it.wanted[kSpot] = spot.count;
      } else if (!it.has_spot) {
        it.missing = missing;
      } else {
        it.wanted[kSpot] = std::max(
            0, std::min(target - it.base,
                        policy_.max_replicas -
                            std::max(it.state->ordered[kOnDemand].High(),
                                     it.wanted[kOnDemand])));
        if (spot.count > it.serving[kSpot] && is_overdue) {
          it.missing = std::min(missing, spot.count - it.serving[kSpot]);
        }
      }
      to_move += it.missing;
    }
    to_move -= MoveToSpotElsewhere(region, to_move);
    // Where on-demand replicas have not been replaced yet, nothing is missing.
    to_move = std::min(to_move, region->Target() - region->Serving() -
                                    std::max(0, region->Coming()));
    if (to_move > 0) {
      AddOnDemand(region, to_move);
    }
    RemoveSurplus(region);
  }

  int Room(const Domain& domain) const {
    return policy_.max_replicas -
           std::max(domain.state->ordered[kOnDemand].High(),
                    domain.wanted[kOnDemand]) -
           std::max(domain.state->ordered[kSpot].High(), domain.wanted[kSpot]);
  }

  // Orders `count` more spot replicas where there are some. Returns for how
  // many there is room.
  int MoveToSpotElsewhere(Region* region, int count) const {
    std::map<const Domain*, int> added;
    int moved = 0;
    for (; moved < count; ++moved) {
      Domain* best = nullptr;
      for (Domain& it : region->domains) {
        const int spot = it.wanted[kSpot] + added[&it];
        const int on_demand =
            std::max(it.state->ordered[kOnDemand].High(), it.wanted[kOnDemand]);
        if (it.has_spot && it.missing == 0 &&
            spot + on_demand < policy_.max_replicas &&
            (best == nullptr || it.price < best->price)) {
          best = &it;
        }
      }
      if (best == nullptr) {
        break;
      }
      ++added[best];
    }
    for (Domain& it : region->domains) {
      it.wanted[kSpot] += added[&it];
    }
    return moved;
  }

  // Orders up to `count` on-demand replicas in place of spot replicas, as far
  // as the load may need them: they cost several times as much.
  void AddOnDemand(Region* region, int count) const {
    double deficit = 0;
    for (size_t stage = 0; stage < kStages; ++stage) {
      const double share = state_.stage_shares[stage];
      if (share <= 0) {
        continue;
      }
      // Those that are ordered here count as available, so that the same
      // deficit is not ordered twice.
      const double available =
          region->ready[stage] + std::max(0, region->Coming()) * share;
      const double required = std::max(kPeakMargin * region->peak[stage],
                                       kBurst * region->window_mean[stage]) /
                              kFullLoad;
      deficit = std::max(deficit, (required - available) / share);
    }
    for (int added = std::min(count, static_cast<int>(std::ceil(deficit)));
         added > 0; --added) {
      Domain* best = nullptr;
      for (Domain& it : region->domains) {
        if (Room(it) > 0 && (best == nullptr || it.price < best->price)) {
          best = &it;
        }
      }
      if (best == nullptr) {
        return;
      }
      ++best->wanted[kOnDemand];
    }
  }

  // Returns how many of `count` replicas of one kind in `domain` may be removed
  // so that each stage keeps its proportion. Those removed are assumed to be of
  // all stages alike.
  int LimitByStages(const Region& region,
                    const Domain& domain,
                    size_t kind,
                    int count) const {
    const KindCounts& counts = domain.counts[kind];
    const int ready = counts.Ready();
    for (; count > 0; --count) {
      bool keeps_stages = true;
      for (size_t stage = 0; stage < kStages; ++stage) {
        const double initial = state_.stage_shares[stage] * region.Target();
        if (initial <= 0 || counts.ready[stage] == 0) {
          continue;
        }
        const double required =
            std::clamp(kPeakMargin * region.peak[stage] / kFullLoad,
                       kMinStageShare * initial, kMaxStageShare * initial);
        const double removed =
            static_cast<double>(counts.ready[stage]) * count / ready;
        keeps_stages &= region.ready[stage] - removed >= required;
      }
      if (keeps_stages) {
        return count;
      }
    }
    return 0;
  }

  void Remove(Region* region,
              Domain* domain,
              size_t kind,
              int count,
              int* surplus) const {
    count = LimitByStages(*region, *domain, kind,
                          std::max(0, std::min(count, *surplus)));
    if (count == 0) {
      return;
    }
    domain->wanted[kind] = domain->state->ordered[kind].count - count;
    *surplus -= count;
    // What the next removal in this region may count on.
    const KindCounts& counts = domain->counts[kind];
    for (size_t stage = 0; stage < kStages; ++stage) {
      region->ready[stage] -=
          static_cast<double>(counts.ready[stage]) * count / counts.Ready();
    }
  }

  // Removes replicas beyond the target of the region that are replaced by
  // others: on-demand ones, the most expensive first, then spot replicas that
  // stand in for those of another failure domain.
  void RemoveSurplus(Region* region) const {
    int surplus = region->Serving() - region->Target();
    std::vector<Domain*> by_price;
    for (Domain& it : region->domains) {
      by_price.push_back(&it);
    }
    std::sort(
        by_price.begin(), by_price.end(),
        [](const Domain* a, const Domain* b) { return a->price > b->price; });
    for (Domain* it : by_price) {
      if (it->wanted[kOnDemand] > it->state->ordered[kOnDemand].count) {
        return;  // more are needed
      }
    }
    const int floor_of_kind = policy_.spot_price < 1 ? 0 : policy_.max_replicas;
    for (const bool own_surplus : {true, false}) {
      for (Domain* it : by_price) {
        const int removable =
            it->wanted[kOnDemand] -
            std::max(it->base, std::min(floor_of_kind, it->state->target));
        const int own =
            it->serving[kOnDemand] + it->serving[kSpot] - it->state->target;
        if (it->wanted[kOnDemand] == it->state->ordered[kOnDemand].count) {
          Remove(region, it, kOnDemand,
                 own_surplus ? std::min(removable, own) : removable, &surplus);
        }
      }
    }
    for (Domain* it : by_price) {
      const int ordered = it->state->ordered[kSpot].count;
      const int removable = ordered - it->wanted[kSpot];
      if (removable > 0) {
        it->wanted[kSpot] = ordered;
        Remove(region, it, kSpot, removable, &surplus);
      }
    }
  }

  ReplicaPlan MakePlan() {
    auto& removals = state_.removals;
    while (!removals.empty() &&
           now_ - removals.front().first >= std::chrono::seconds(1)) {
      removals.pop_front();
    }
    int ready = 0;
    for (const auto& [name, region] : regions_) {
      for (const Domain& it : region.domains) {
        ready += it.counts[kOnDemand].Ready() + it.counts[kSpot].Ready();
      }
    }
    removals_left_ = std::clamp(static_cast<int>(kRemovalsPerSecond * ready), 1,
                                kMaxRemovalsPerSecond);
    additions_left_ = kMaxAdditionsPerPlan;
    for (const auto& [at, count] : removals) {
      removals_left_ -= count;
    }
    ReplicaPlan plan;
    for (auto& [name, region] : regions_) {
      for (Domain& it : region.domains) {
        for (size_t kind = 0; kind < kReplicaKinds; ++kind) {
          plan.failure_domains[*it.name][kind] =
              PlanKind(it, kind, &it.state->ordered[kind]);
        }
      }
    }
    return plan;
  }

  PlannedReplicas PlanKind(const Domain& domain,
                           size_t kind,
                           OrderedReplicas* ordered) {
    PlannedReplicas planned;
    planned.count = domain.wanted[kind];
    if (planned.count < ordered->count) {
      const Duration hold = kind == kOnDemand ? kReplacementHold : kSurplusHold;
      if (!ordered->lower_since) {
        ordered->lower_since = now_;
        ordered->lower_count = planned.count;
      }
      ordered->lower_count = std::max(ordered->lower_count, planned.count);
      planned.count = now_ - *ordered->lower_since >= hold
                          ? ordered->lower_count
                          : ordered->count;
      const int removed = std::clamp(ordered->count - planned.count, 0,
                                     std::max(0, removals_left_));
      planned.count = ordered->count - removed;
      removals_left_ -= removed;
    } else {
      ordered->lower_since.reset();
      const int added = std::clamp(planned.count - ordered->count, 0,
                                   std::max(0, additions_left_));
      planned.count = ordered->count + added;
      additions_left_ -= added;
    }
    planned.repeat = IsRepeatDue(domain, kind, *ordered);
    return planned;
  }

  bool IsRepeatDue(const Domain& domain,
                   size_t kind,
                   const OrderedReplicas& ordered) const {
    if (ordered.unanswered ||
        (ordered.repeat_at && now_ >= *ordered.repeat_at)) {
      return true;
    }
    // Replicas that have ended, or an order that took effect later than a newer
    // one.
    const bool refused = kind == kSpot && !domain.has_spot;
    return !refused && domain.counts[kind].Ready() != ordered.count &&
           now_ - ordered.ordered_at >
               std::max(policy_.boot_time + kRegistrationMargin,
                        kLateEffectTime);
  }

  const ScalingPolicy& policy_;
  const ServiceDemand& demand_;
  const ReplicaCounts& counts_;
  ScalingState& state_;
  const TimePoint now_;
  std::map<std::string, Region> regions_;
  int removals_left_ = 0;
  int additions_left_ = 0;
};

}  // namespace

bool FailureDomainPolicy::operator==(const FailureDomainPolicy& other) const {
  return std::tie(region, price) == std::tie(other.region, other.price);
}

bool ScalingPolicy::operator==(const ScalingPolicy& other) const {
  return std::tie(min_replicas, max_replicas, boot_time, spot_price,
                  on_demand_base, failure_domains) ==
         std::tie(other.min_replicas, other.max_replicas, other.boot_time,
                  other.spot_price, other.on_demand_base,
                  other.failure_domains);
}

bool ServiceDemand::operator==(const ServiceDemand& other) const {
  return std::tie(busy, refusals, is_complete) ==
         std::tie(other.busy, other.refusals, other.is_complete);
}

int KindCounts::Ready() const {
  return Sum(ready);
}

bool KindCounts::operator==(const KindCounts& other) const {
  return std::tie(ready, leaving) == std::tie(other.ready, other.leaving);
}

ReplicaPlan PlanReplicas(const ScalingPolicy& policy,
                         const ServiceDemand& demand,
                         const ReplicaCounts& counts,
                         ScalingState* state,
                         TimePoint now) {
  return Planner(policy, demand, counts, state, now).Run();
}

void RecordOrderSent(const std::string& failure_domain,
                     ReplicaKind kind,
                     int count,
                     TimePoint now,
                     ScalingState* state) {
  OrderedReplicas& ordered =
      state->failure_domains[failure_domain].ordered[IndexOf(kind)];
  if (count < ordered.Low()) {
    state->removals.emplace_back(now, ordered.Low() - count);
  }
  ordered.may_be_undone |= ordered.unanswered && *ordered.unanswered != count;
  ordered.in_flight = count;
  ordered.has_order = true;
  ordered.ordered_at = now;
}

void RecordOrderAccepted(const std::string& failure_domain,
                         ReplicaKind kind,
                         TimePoint now,
                         ScalingState* state) {
  OrderedReplicas& ordered =
      state->failure_domains[failure_domain].ordered[IndexOf(kind)];
  ordered.count = ordered.in_flight.value_or(ordered.count);
  ordered.accepted = ordered.count;
  ordered.in_flight.reset();
  ordered.unanswered.reset();
  ordered.possible.reset();
  ordered.ordered_at = now;
  ordered.lower_since.reset();
  ordered.repeat_at.reset();
  if (ordered.may_be_undone) {
    ordered.repeat_at = now + kLateEffectTime;
    ordered.may_be_undone = false;
  }
}

void RecordOrderUnanswered(const std::string& failure_domain,
                           ReplicaKind kind,
                           ScalingState* state) {
  OrderedReplicas& ordered =
      state->failure_domains[failure_domain].ordered[IndexOf(kind)];
  if (!ordered.in_flight) {
    return;
  }
  ordered.possible = ordered.possible.value_or(ordered.count);
  ordered.count = *ordered.in_flight;
  ordered.unanswered = ordered.in_flight;
  ordered.in_flight.reset();
}

void RecordOrderRefused(const std::string& failure_domain,
                        ReplicaKind kind,
                        ScalingState* state) {
  state->failure_domains[failure_domain]
      .ordered[IndexOf(kind)]
      .in_flight.reset();
}

void RecordSpotRefused(const std::string& failure_domain,
                       TimePoint now,
                       ScalingState* state) {
  state->failure_domains[failure_domain].spot_refused_until =
      now + kSpotRetryInterval;
}

}  // namespace endiveyard
