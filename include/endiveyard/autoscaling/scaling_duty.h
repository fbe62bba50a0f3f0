#ifndef ENDIVEYARD_AUTOSCALING_SCALING_DUTY_H_
#define ENDIVEYARD_AUTOSCALING_SCALING_DUTY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "endiveyard/autoscaling/replica_plan.h"
#include "endiveyard/duties/duty_calls.h"

namespace endiveyard {

// Everything that the decisions for one service depend on.
struct ScalingInput {
  ScalingPolicy policy;
  ServiceDemand demand;
  ReplicaCounts counts;

  bool operator==(const ScalingInput& other) const;
};

struct ScalingDutyOptions {
  // Calls per second that the platform takes for all duties. Half of them are
  // used.
  double calls_per_second = 50;
};

struct ScalingHandlers {
  // This instance begins or no longer continues to decide.
  std::function<void(bool is_active)> on_activity;
  std::function<void(const ScaleOrder& order, DutyCallOutcome outcome)>
      on_order;
  std::function<void(const std::string& service,
                     const std::string& failure_domain)>
      on_spot_lost;
};

// Orders the replicas of all services with autoscaling while this instance
// holds the duties. At most one order for each service, failure domain and kind
// is under way. Not thread-safe.
class ScalingDuty {
 public:
  ScalingDuty(ScalingDutyOptions options, ScalingHandlers handlers);
  ~ScalingDuty();
  ScalingDuty(const ScalingDuty&) = delete;
  ScalingDuty& operator=(const ScalingDuty&) = delete;

  // To be called every 250 ms, with the inputs by service, from a current view
  // of the registry. `calls` is null while there is no holder to order with.
  void Tick(const std::map<std::string, ScalingInput>& services,
            DutyCalls* calls,
            TimePoint now);
  // As Tick() without a current view: takes in answers and decides nothing.
  void TickWithoutView(TimePoint now);

  bool is_active() const;
  // Returns the ordered counts by service; empty unless active.
  std::map<std::string, std::map<std::string, ByKind<int>>> Ordered() const;

 private:
  struct Impl;
  // Shared with the callbacks of orders, which may outlive this object.
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTOSCALING_SCALING_DUTY_H_
