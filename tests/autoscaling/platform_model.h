#ifndef ENDIVEYARD_TESTS_AUTOSCALING_PLATFORM_MODEL_H_
#define ENDIVEYARD_TESTS_AUTOSCALING_PLATFORM_MODEL_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "endiveyard/autoscaling/scaling_duty.h"

namespace endiveyard {

struct PlatformOptions {
  uint32_t seed = 1;
  int on_demand = 15;  // at the start, in each failure domain
  double prefill_share = 0.35;
  double spot_prefill_share = 0.35;
  Duration boot_time = std::chrono::seconds(4);
  Duration drain_time = std::chrono::seconds(2);
  Duration view_lag = std::chrono::milliseconds(300);
  Duration report_lag = std::chrono::milliseconds(500);
  Duration answer_time = std::chrono::milliseconds(50);
  // Reclaimed replicas start again by themselves once there are some.
  bool restores_reclaimed = false;
  // On-demand replicas of one failure domain register later than the others.
  Duration late_start = Duration(0);
  double lost_share = 0;  // of the orders: no answer, effect up to 4 s later
  double rejected_share = 0;    // of the orders
  double faulty_seconds = 1e9;  // time in which orders are lost or rejected
  // Busy replicas of all stages, at a time after the start in seconds.
  std::function<double(double seconds)> busy;
};

// The platform, its replicas and their load in discrete time, with three
// regions of two failure domains. Records violations of what holds always.
class PlatformModel : public DutyCalls {
 public:
  explicit PlatformModel(PlatformOptions options);
  ~PlatformModel() override;

  // Runs the holder's decisions for `time`. `is_view_current` is passed on.
  void Run(Duration time, bool is_view_current = true);
  // Replaces the holder by another instance, `pause` later.
  void ChangeHolder(Duration pause);
  // Reclaims the spot replicas of a failure domain; none are to be had there
  // for `time`.
  void Reclaim(const std::string& failure_domain, Duration time);
  void RefuseSpot(const std::string& failure_domain, Duration time);
  // Ends `count` replicas, which the platform starts again only when they are
  // ordered again.
  void End(const std::string& failure_domain, ReplicaKind kind, int count);
  void set_platform_down(bool value) { is_down_ = value; }

  int Desired(const std::string& failure_domain, ReplicaKind kind) const;
  int Ready(ReplicaKind kind) const;
  // Price of the replicas so far, in seconds of an on-demand replica.
  double price() const { return price_; }
  // True if the platform has what the holder takes as ordered.
  bool HolderIsRight() const;
  // Number of failure domains whose spot replicas the holder saw end.
  int spot_losses() const { return spot_losses_; }
  size_t orders() const { return orders_; }
  // Times that an accepted order moved a count opposite to the one before.
  int reversals() const { return reversals_; }
  // Violations of limits, and times at which a stage had less than its load.
  const std::vector<std::string>& violations() const { return violations_; }

  std::optional<uint64_t> Token(TimePoint now) const override;
  void SendScaleOrder(const ScaleOrder& order,
                      std::function<void(DutyCallOutcome)> done) override;
  void SendUsageReport(const UsageReport&,
                       std::function<void(DutyCallOutcome)>) override {}
  std::optional<UsageReport> LastUsageReport() const override {
    return std::nullopt;
  }

  const ScalingPolicy& policy() const { return policy_; }

 private:
  using Slot = std::pair<std::string, ReplicaKind>;
  struct ModelReplica {
    Slot slot;
    Stage stage = Stage::kDecode;
    TimePoint ready_at{};
    std::optional<TimePoint> ends_at;
    bool is_leaving = false;
  };

  void StartHolder();
  void Step();
  void Apply(const ScaleOrder& order);
  void SetDesired(const Slot& slot, int count);
  bool IsSpotRefused(const std::string& failure_domain) const;
  int Present(const Slot& slot) const;  // booting or ready
  void Start(const Slot& slot, Duration boot_time);
  bool IsReady(const ModelReplica& replica) const;
  ReplicaCounts Counts() const;
  ServiceDemand Demand() const;
  void CheckCapacity();
  void Violation(const std::string& what);
  double Seconds() const;

  const PlatformOptions options_;
  ScalingPolicy policy_;
  std::mt19937 random_;
  TimePoint start_;
  TimePoint now_;
  uint64_t token_ = 1;
  TimePoint holder_from_{};
  std::unique_ptr<ScalingDuty> duty_;
  std::map<Slot, int> desired_;
  std::map<Slot, int> direction_;
  std::list<ModelReplica> replicas_;
  std::map<std::string, TimePoint> refused_until_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::set<Slot> in_flight_;
  std::deque<TimePoint> sent_;
  std::deque<std::pair<TimePoint, ReplicaCounts>> views_;
  std::deque<std::pair<TimePoint, ServiceDemand>> demands_;
  bool is_down_ = false;
  double price_ = 0;
  size_t orders_ = 0;
  int reversals_ = 0;
  int spot_losses_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TESTS_AUTOSCALING_PLATFORM_MODEL_H_
