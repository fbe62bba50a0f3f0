#ifndef ENDIVEYARD_AUTOSCALING_REPLICA_PLAN_H_
#define ENDIVEYARD_AUTOSCALING_REPLICA_PLAN_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/replica_view.h"

namespace endiveyard {

// Spot replicas are cheaper and may be reclaimed, all of a failure domain at
// once.
enum class ReplicaKind { kOnDemand, kSpot };
inline constexpr size_t kReplicaKinds = 2;
inline constexpr size_t kStages = 3;

template <typename T>
using ByKind = std::array<T, kReplicaKinds>;
template <typename T>
using ByStage = std::array<T, kStages>;

constexpr size_t IndexOf(ReplicaKind kind) {
  return static_cast<size_t>(kind);
}
constexpr size_t IndexOf(Stage stage) {
  return static_cast<size_t>(stage);
}

struct FailureDomainPolicy {
  std::string region;
  double price = 1;  // relative to other failure domains

  bool operator==(const FailureDomainPolicy& other) const;
};

// What the configuration prescribes for one service.
struct ScalingPolicy {
  // Per failure domain, both kinds together.
  int min_replicas = 0;
  int max_replicas = 0;
  Duration boot_time = std::chrono::seconds(4);
  // Price of a spot replica relative to an on-demand one. From 1 on, none are
  // ordered.
  double spot_price = 1;
  // On-demand replicas that each failure domain keeps at least, so that each
  // region keeps some where all spot replicas are lost. Two would cost 0.016 of
  // a day's worth more, by the price of 90 of them (0.240).
  int on_demand_base = 1;
  // Where replicas may be ordered.
  std::map<std::string, FailureDomainPolicy> failure_domains;

  bool operator==(const ScalingPolicy& other) const;
};

// Load of a service at one time.
struct ServiceDemand {
  // Number of replicas that the present calls keep busy, by the failure domain
  // and stage of the replicas.
  std::map<std::string, ByStage<double>> busy;
  // Requests that this instance refused for lack of capacity since the last
  // decision.
  int refusals = 0;
  // False while reports of many instances are missing, so that `busy` is too
  // low.
  bool is_complete = true;

  bool operator==(const ServiceDemand& other) const;
};

// Registered replicas of one kind in one failure domain.
struct KindCounts {
  ByStage<int> ready{};
  int leaving = 0;  // drain because they are reclaimed

  int Ready() const;
  bool operator==(const KindCounts& other) const;
};

struct ReplicaCounts {
  std::map<std::string, ByKind<KindCounts>> failure_domains;

  bool operator==(const ReplicaCounts& other) const {
    return failure_domains == other.failure_domains;
  }
};

// What was ordered of one kind in one failure domain.
struct OrderedReplicas {
  int count = 0;
  // Last count that the platform accepted, or the one before any order. Above
  // `count` where replicas were reclaimed.
  int accepted = 0;
  bool has_order = false;  // of this holder
  // Count of the order that is under way.
  std::optional<int> in_flight;
  // Count of the last order if it got no answer. It is taken as the ordered
  // one, while `possible`, the one before, may still be in force.
  std::optional<int> unanswered;
  std::optional<int> possible;
  // An order without an answer had another count than a later one.
  bool may_be_undone = false;
  // When the count was ordered, or the order was last repeated.
  TimePoint ordered_at{};
  // When the order has to be repeated because an earlier one with another count
  // may have taken effect after it.
  std::optional<TimePoint> repeat_at;
  // A count below the present one is ordered after this condition has held for
  // some time; `lower_count` is the highest count wanted since.
  std::optional<TimePoint> lower_since;
  int lower_count = 0;
  int last_ready = 0;
  int last_leaving = 0;

  // Return the lowest and highest count that may be in force.
  int Low() const {
    return std::min(
        {count, in_flight.value_or(count), possible.value_or(count)});
  }
  int High() const {
    return std::max(
        {count, accepted, in_flight.value_or(count), possible.value_or(count)});
  }
};

struct FailureDomainState {
  // Replicas wanted here, both kinds together.
  int target = 0;
  int initial_target = 0;
  // No spot replicas are to be had before this time.
  TimePoint spot_refused_until{};
  ByKind<OrderedReplicas> ordered;
};

struct DemandSample {
  TimePoint at{};
  std::map<std::string, ByStage<double>> busy;  // by region
  int refusals = 0;
};

// What the decisions for one service depend on apart from their inputs. Starts
// empty at a new holder of the duty, which takes the registered replicas as the
// ordered ones.
struct ScalingState {
  std::optional<TimePoint> started;
  // When the number of registered replicas last reached a new maximum.
  TimePoint grown_at{};
  bool is_settled = false;
  std::map<std::string, FailureDomainState> failure_domains;
  // Share of the replicas that run each stage.
  ByStage<double> stage_shares{};
  std::deque<DemandSample> last_second;
  std::deque<DemandSample> means;  // each over one second
  TimePoint next_growth{};
  TimePoint last_growth{};
  TimePoint next_trim{};
  // Replicas whose removal was ordered within the last second.
  std::deque<std::pair<TimePoint, int>> removals;
};

struct PlannedReplicas {
  int count = 0;
  bool repeat = false;  // order it even if it is the ordered count

  bool operator==(const PlannedReplicas& other) const {
    return count == other.count && repeat == other.repeat;
  }
};

// Counts that should be in force now, by failure domain and kind. Empty until
// the counts of a new holder are settled.
struct ReplicaPlan {
  std::map<std::string, ByKind<PlannedReplicas>> failure_domains;

  bool operator==(const ReplicaPlan& other) const {
    return failure_domains == other.failure_domains;
  }
};

// Decides how many replicas of each kind one service needs in each failure
// domain. Precondition: `counts` come from a current view of the registry. To
// be called several times a second. O(failure domains x samples of 15 s).
ReplicaPlan PlanReplicas(const ScalingPolicy& policy,
                         const ServiceDemand& demand,
                         const ReplicaCounts& counts,
                         ScalingState* state,
                         TimePoint now);

// Record what became of an order, in the state that the next plan uses.
void RecordOrderSent(const std::string& failure_domain,
                     ReplicaKind kind,
                     int count,
                     TimePoint now,
                     ScalingState* state);
void RecordOrderAccepted(const std::string& failure_domain,
                         ReplicaKind kind,
                         TimePoint now,
                         ScalingState* state);
// The order got no answer.
void RecordOrderUnanswered(const std::string& failure_domain,
                           ReplicaKind kind,
                           ScalingState* state);
// The order has no effect, now or later.
void RecordOrderRefused(const std::string& failure_domain,
                        ReplicaKind kind,
                        ScalingState* state);
// No spot replicas are to be had in the failure domain.
void RecordSpotRefused(const std::string& failure_domain,
                       TimePoint now,
                       ScalingState* state);

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTOSCALING_REPLICA_PLAN_H_
