#include "endiveyard/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <set>

namespace endiveyard {
namespace {

using Buckets = prometheus::Histogram::BucketBoundaries;

// In seconds. 1.7 and 0.026 are the latency goals for the first token and for
// the gap between tokens, so that the share above a goal can be read exactly.
const Buckets kLatencyBuckets = {0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                 0.5,   1.0,   1.7,  3.0,   10.0, 30.0};
const Buckets kTokenGapBuckets = {0.001, 0.005, 0.01, 0.02, 0.026,
                                  0.05,  0.1,   0.5,  2.0};

double Seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

prometheus::Family<prometheus::Histogram>& HistogramFamily(
    prometheus::Registry& registry,
    const char* name,
    const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

}  // namespace

class Metrics::Impl {
 public:
  using Labels = std::map<std::string, std::string>;

  void ObserveRequest(const Labels& labels,
                      const std::string& outcome,
                      Duration queued,
                      Duration first_token,
                      Duration total) {
    Labels with_outcome = labels;
    with_outcome["outcome"] = outcome;
    requests_.Add(with_outcome).Increment();
    Observe(queued_, labels, kLatencyBuckets, queued);
    Observe(first_token_, labels, kLatencyBuckets, first_token);
    Observe(total_, labels, kLatencyBuckets, total);
  }

  void ObserveTokenGap(const Labels& labels, Duration gap) {
    Observe(token_gap_, labels, kTokenGapBuckets, gap);
  }

  void CountEvent(int number) {
    events_.Add({{"event", std::to_string(number)}}).Increment();
  }

  void CountObjectApiCall(const std::string& outcome) {
    object_api_calls_.Add({{"outcome", outcome}}).Increment();
  }

  void CountYieldingCall(const std::string& service) {
    yielding_calls_.Add({{"service", service}}).Increment();
  }
  void CountKeyRefused(const std::string& reason) {
    keys_refused_.Add({{"reason", reason}}).Increment();
  }

  void CountDutyCall(const std::string& duty, const std::string& outcome) {
    duty_calls_.Add({{"duty", duty}, {"outcome", outcome}}).Increment();
  }

  void CountUsageWindow(const std::string& outcome) {
    usage_windows_.Add({{"outcome", outcome}}).Increment();
  }

  prometheus::Counter& usage() { return usage_; }
  void SetReplicas(const Labels& labels, double value) {
    prometheus::Gauge& gauge = replicas_.Add(labels);
    gauge.Set(value);
    replica_gauges_.insert(&gauge);
  }

  void ClearReplicas() {
    for (prometheus::Gauge* it : replica_gauges_) {
      replicas_.Remove(it);
    }
    replica_gauges_.clear();
  }

  prometheus::Gauge& customers() { return customers_; }
  prometheus::Gauge& duty_holder() { return duty_holder_; }
  prometheus::Gauge& call_limits() { return call_limits_; }
  prometheus::Gauge& caller_memory() { return caller_memory_; }
  void CountCallerClosed(const std::string& reason) {
    callers_closed_.Add({{"reason", reason}}).Increment();
  }
  void CountRefusedForLoad(const std::string& reason) {
    refused_for_load_.Add({{"reason", reason}}).Increment();
  }
  prometheus::Gauge& open_exchanges() { return open_exchanges_; }
  prometheus::Gauge& configuration_version() { return configuration_version_; }

  std::string Serialize() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  static void Observe(prometheus::Family<prometheus::Histogram>& family,
                      const Labels& labels,
                      const Buckets& buckets,
                      Duration value) {
    if (value >= Duration::zero()) {
      family.Add(labels, buckets).Observe(Seconds(value));
    }
  }

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& queued_ =
      HistogramFamily(registry_,
                      "endiveyard_queue_seconds",
                      "Time from receipt to the first attempt.");
  prometheus::Family<prometheus::Histogram>& first_token_ =
      HistogramFamily(registry_,
                      "endiveyard_first_token_seconds",
                      "Time from receipt to the first token delivered.");
  prometheus::Family<prometheus::Histogram>& total_ =
      HistogramFamily(registry_,
                      "endiveyard_request_seconds",
                      "Time from receipt to the end of the answer.");
  prometheus::Family<prometheus::Histogram>& token_gap_ =
      HistogramFamily(registry_,
                      "endiveyard_token_gap_seconds",
                      "Time between deliveries of tokens.");
  prometheus::Family<prometheus::Counter>& requests_ =
      prometheus::BuildCounter()
          .Name("endiveyard_requests_total")
          .Help("Requests ended, by outcome.")
          .Register(registry_);
  prometheus::Family<prometheus::Counter>& events_ =
      prometheus::BuildCounter()
          .Name("endiveyard_events_total")
          .Help("Numbered log events; see docs/events.md.")
          .Register(registry_);
  prometheus::Family<prometheus::Counter>& object_api_calls_ =
      prometheus::BuildCounter()
          .Name("endiveyard_object_api_calls_total")
          .Help("Calls to the object API, by outcome.")
          .Register(registry_);
  prometheus::Family<prometheus::Counter>& yielding_calls_ =
      prometheus::BuildCounter()
          .Name("endiveyard_yielding_calls_total")
          .Help(
              "Calls of customers beyond their share that went behind others, "
              "by service.")
          .Register(registry_);
  prometheus::Family<prometheus::Counter>& keys_refused_ =
      prometheus::BuildCounter()
          .Name("endiveyard_keys_refused_total")
          .Help("Requests whose API key is missing or unknown, by reason.")
          .Register(registry_);
  prometheus::Counter& usage_ =
      prometheus::BuildCounter()
          .Name("endiveyard_usage_requests_total")
          .Help(
              "Requests of customers that began to run, as usage counts them.")
          .Register(registry_)
          .Add({});
  prometheus::Family<prometheus::Counter>& usage_windows_ =
      prometheus::BuildCounter()
          .Name("endiveyard_usage_windows_total")
          .Help("Windows of usage at the holder of the duties, by outcome.")
          .Register(registry_);
  prometheus::Family<prometheus::Gauge>& replicas_ =
      prometheus::BuildGauge()
          .Name("endiveyard_replicas")
          .Help("Replicas ordered and ready, at the holder of the duties.")
          .Register(registry_);
  std::set<prometheus::Gauge*> replica_gauges_;
  prometheus::Gauge& customers_ =
      prometheus::BuildGauge()
          .Name("endiveyard_customers")
          .Help("Customers of the configuration in force.")
          .Register(registry_)
          .Add({});
  prometheus::Gauge& duty_holder_ =
      prometheus::BuildGauge()
          .Name("endiveyard_duty_holder")
          .Help("1 while this instance holds the duties.")
          .Register(registry_)
          .Add({});
  prometheus::Family<prometheus::Counter>& duty_calls_ =
      prometheus::BuildCounter()
          .Name("endiveyard_duty_calls_total")
          .Help("Calls of the duties by outcome.")
          .Register(registry_);
  prometheus::Gauge& call_limits_ =
      prometheus::BuildGauge()
          .Name("endiveyard_replicas_with_call_limit")
          .Help(
              "Replicas that have just started or recovered and take a "
              "limited number of calls.")
          .Register(registry_)
          .Add({});
  prometheus::Gauge& caller_memory_ =
      prometheus::BuildGauge()
          .Name("endiveyard_caller_memory_bytes")
          .Help("Memory that callers make the process hold.")
          .Register(registry_)
          .Add({});
  prometheus::Family<prometheus::Counter>& callers_closed_ =
      prometheus::BuildCounter()
          .Name("endiveyard_caller_connections_closed_total")
          .Help(
              "Connections of callers closed to stay within a limit, by "
              "reason.")
          .Register(registry_);
  prometheus::Family<prometheus::Counter>& refused_for_load_ =
      prometheus::BuildCounter()
          .Name("endiveyard_requests_refused_for_load_total")
          .Help("Requests refused to stay within a limit, by reason.")
          .Register(registry_);
  prometheus::Gauge& open_exchanges_ = prometheus::BuildGauge()
                                           .Name("endiveyard_open_exchanges")
                                           .Help("Requests queued or running.")
                                           .Register(registry_)
                                           .Add({});
  prometheus::Gauge& configuration_version_ =
      prometheus::BuildGauge()
          .Name("endiveyard_configuration_version")
          .Help("Version of the fleet configuration in force.")
          .Register(registry_)
          .Add({});
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::ObserveRequest(const std::string& house,
                             const std::string& caller_class,
                             const std::string& outcome,
                             Duration queued,
                             Duration first_token,
                             Duration total) {
  impl_->ObserveRequest({{"house", house}, {"class", caller_class}}, outcome,
                        queued, first_token, total);
}

void Metrics::ObserveTokenGap(const std::string& house,
                              const std::string& caller_class,
                              Duration gap) {
  impl_->ObserveTokenGap({{"house", house}, {"class", caller_class}}, gap);
}

void Metrics::CountEvent(int number) {
  impl_->CountEvent(number);
}

void Metrics::SetOpenExchanges(double value) {
  impl_->open_exchanges().Set(value);
}

void Metrics::SetConfigurationVersion(double value) {
  impl_->configuration_version().Set(value);
}

void Metrics::CountObjectApiCall(const std::string& outcome) {
  impl_->CountObjectApiCall(outcome);
}

std::string Metrics::Serialize() const {
  return impl_->Serialize();
}

void Metrics::CountYieldingCall(const std::string& service) {
  impl_->CountYieldingCall(service);
}

void Metrics::CountKeyRefused(const std::string& reason) {
  impl_->CountKeyRefused(reason);
}

void Metrics::SetReplicas(const ReplicaGroup& group,
                          const std::string& state,
                          double value) {
  impl_->SetReplicas({{"service", group.service},
                      {"failure_domain", group.failure_domain},
                      {"kind", group.kind},
                      {"state", state}},
                     value);
}

void Metrics::ClearReplicas() {
  impl_->ClearReplicas();
}

void Metrics::SetCustomers(double value) {
  impl_->customers().Set(value);
}

void Metrics::SetDutyHolder(bool is_holder) {
  impl_->duty_holder().Set(is_holder ? 1 : 0);
}

void Metrics::CountDutyCall(const std::string& duty,
                            const std::string& outcome) {
  impl_->CountDutyCall(duty, outcome);
}

void Metrics::CountUsage() {
  impl_->usage().Increment();
}

void Metrics::CountUsageWindow(const std::string& outcome) {
  impl_->CountUsageWindow(outcome);
}

void Metrics::SetCallLimits(double value) {
  impl_->call_limits().Set(value);
}

void Metrics::SetCallerMemory(double bytes) {
  impl_->caller_memory().Set(bytes);
}

void Metrics::CountCallerClosed(const std::string& reason) {
  impl_->CountCallerClosed(reason);
}

void Metrics::CountRefusedForLoad(const std::string& reason) {
  impl_->CountRefusedForLoad(reason);
}

}  // namespace endiveyard
