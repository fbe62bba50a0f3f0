#ifndef ENDIVEYARD_TELEMETRY_METRICS_H_
#define ENDIVEYARD_TELEMETRY_METRICS_H_

#include <memory>
#include <string>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Replicas of one kind, "on_demand" or "spot", in one failure domain.
struct ReplicaGroup {
  std::string service;
  std::string failure_domain;
  std::string kind;
};

// Prometheus metrics of one instance. Thread-safe. Histograms have the labels
// house and class; negative durations are not recorded.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Records one finished request; `outcome` is "ok" or an error kind.
  void ObserveRequest(const std::string& house,
                      const std::string& caller_class,
                      const std::string& outcome,
                      Duration queued,
                      Duration first_token,
                      Duration total);
  void ObserveTokenGap(const std::string& house,
                       const std::string& caller_class,
                       Duration gap);
  void CountEvent(int number);
  void SetOpenExchanges(double value);
  void SetConfigurationVersion(double value);
  void CountObjectApiCall(const std::string& outcome);
  // Counts a request whose API key is missing or unknown.
  void CountKeyRefused(const std::string& reason);
  // A call goes behind those of other customers.
  void CountYieldingCall(const std::string& service);
  void SetCustomers(double value);
  // Whether this instance holds the duties, and a call of a duty that ended.
  void SetDutyHolder(bool is_holder);
  void CountDutyCall(const std::string& duty, const std::string& outcome);
  // Counts a request in the usage of its customer.
  void CountUsage();
  // Counts a window of usage that this instance has reported as the holder of
  // the duties, or not.
  void CountUsageWindow(const std::string& outcome);
  // Set and remove the numbers of replicas of services whose number is decided
  // here. `state` is "ordered" or "ready".
  void SetReplicas(const ReplicaGroup& group,
                   const std::string& state,
                   double value);
  void ClearReplicas();
  // Replicas with a limit on the calls of all instances.
  void SetCallLimits(double value);
  void SetCallerMemory(double bytes);
  // Counts a connection of a caller that was closed to stay within a limit.
  void CountCallerClosed(const std::string& reason);
  // Counts a request that was refused to stay within a limit.
  void CountRefusedForLoad(const std::string& reason);

  // Returns all metrics in the Prometheus text exposition format.
  std::string Serialize() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_METRICS_H_
