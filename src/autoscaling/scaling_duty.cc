#include "endiveyard/autoscaling/scaling_duty.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace endiveyard {
namespace {

constexpr Duration kMinRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);
// Share of the calls of all duties.
constexpr double kCallShare = 0.5;
// The holder answers within its call timeout of 1 s. An order that is not
// answered by then counts as unanswered.
constexpr Duration kAnswerLimit = std::chrono::seconds(3);

struct OrderKey {
  std::string service;
  std::string failure_domain;
  ReplicaKind kind = ReplicaKind::kOnDemand;

  bool operator<(const OrderKey& other) const {
    return std::tie(service, failure_domain, kind) <
           std::tie(other.service, other.failure_domain, other.kind);
  }
};

struct OpenOrder {
  uint64_t number = 0;
  ScaleOrder order;
  TimePoint sent_at{};
};

struct Retry {
  Duration delay{};
  TimePoint at{};
};

struct DueOrder {
  OrderKey key;
  ScaleOrder order;
  bool is_increase = false;
};

}  // namespace

bool ScalingInput::operator==(const ScalingInput& other) const {
  return std::tie(policy, demand, counts) ==
         std::tie(other.policy, other.demand, other.counts);
}

struct ScalingDuty::Impl {
  ScalingDutyOptions options;
  ScalingHandlers handlers;
  // Token that `states` belong to. Another one means that another instance may
  // have given orders in between.
  std::optional<uint64_t> token;
  bool is_active = false;
  std::map<std::string, ScalingState> states;
  std::map<OrderKey, OpenOrder> open;
  std::map<OrderKey, Retry> retries;
  // Services and failure domains for which a higher token was seen.
  std::set<std::pair<std::string, std::string>> fenced;
  uint64_t last_number = 0;
  // Answers since the last tick, by the number of the order.
  std::vector<std::pair<uint64_t, DutyCallOutcome>> answers;
  std::deque<TimePoint> sent;  // within the last second

  void SetActive(bool value) {
    if (is_active != value) {
      is_active = value;
      handlers.on_activity(value);
    }
  }

  void DelayRetry(const OrderKey& key, TimePoint now) {
    Retry& retry = retries[key];
    retry.delay = std::clamp(2 * retry.delay, kMinRetryDelay, kMaxRetryDelay);
    retry.at = now + retry.delay;
  }

  void HandleOutcome(const OrderKey& key,
                     const OpenOrder& open_order,
                     DutyCallOutcome outcome,
                     TimePoint now) {
    ScalingState& state = states[key.service];
    switch (outcome) {
      case DutyCallOutcome::kAccepted:
        RecordOrderAccepted(key.failure_domain, key.kind, now, &state);
        retries.erase(key);
        break;
      case DutyCallOutcome::kConflict:
        RecordOrderRefused(key.failure_domain, key.kind, &state);
        if (key.kind == ReplicaKind::kSpot) {
          RecordSpotRefused(key.failure_domain, now, &state);
        } else {
          // A higher token was seen for this failure domain. Nothing more is
          // sent there with the present one.
          fenced.insert({key.service, key.failure_domain});
        }
        break;
      case DutyCallOutcome::kRejected:
        RecordOrderRefused(key.failure_domain, key.kind, &state);
        DelayRetry(key, now);
        break;
      case DutyCallOutcome::kUnknown:
        RecordOrderUnanswered(key.failure_domain, key.kind, &state);
        DelayRetry(key, now);
        break;
    }
    handlers.on_order(open_order.order, outcome);
  }

  void HandleAnswers(TimePoint now) {
    for (auto it = open.begin(); it != open.end();) {
      const auto answer = std::find_if(
          answers.begin(), answers.end(), [it](const auto& answer) {
            return answer.first == it->second.number;
          });
      if (answer == answers.end() && now - it->second.sent_at < kAnswerLimit) {
        ++it;
        continue;
      }
      const auto [key, open_order] = *it;
      it = open.erase(it);
      HandleOutcome(
          key, open_order,
          answer == answers.end() ? DutyCallOutcome::kUnknown : answer->second,
          now);
    }
    answers.clear();
  }

  void Forget() {
    states.clear();
    open.clear();
    answers.clear();
    retries.clear();
    fenced.clear();
  }

  std::vector<DueOrder> Decide(const std::string& service,
                               const ScalingInput& input,
                               TimePoint now) {
    ScalingState& state = states[service];
    std::map<std::string, TimePoint> refused_until;
    for (const auto& [name, it] : state.failure_domains) {
      refused_until[name] = it.spot_refused_until;
    }
    const ReplicaPlan plan =
        PlanReplicas(input.policy, input.demand, input.counts, &state, now);
    std::vector<DueOrder> due;
    for (const auto& [name, planned] : plan.failure_domains) {
      if (state.failure_domains[name].spot_refused_until >
          refused_until[name]) {
        handlers.on_spot_lost(service, name);
      }
      for (size_t kind = 0; kind < kReplicaKinds; ++kind) {
        const OrderKey key{service, name, static_cast<ReplicaKind>(kind)};
        const int ordered = state.failure_domains[name].ordered[kind].count;
        const auto retry = retries.find(key);
        if ((planned[kind].count == ordered && !planned[kind].repeat) ||
            open.count(key) > 0 || fenced.count({service, name}) > 0 ||
            (retry != retries.end() && now < retry->second.at)) {
          continue;
        }
        DueOrder order;
        order.key = key;
        order.order = {service, name, planned[kind].count,
                       key.kind == ReplicaKind::kSpot};
        order.is_increase = planned[kind].count >= ordered;
        due.push_back(std::move(order));
      }
    }
    return due;
  }
};

ScalingDuty::ScalingDuty(ScalingDutyOptions options, ScalingHandlers handlers)
    : impl_(std::make_shared<Impl>()) {
  impl_->options = options;
  impl_->handlers = std::move(handlers);
}

ScalingDuty::~ScalingDuty() = default;

void ScalingDuty::Tick(const std::map<std::string, ScalingInput>& services,
                       DutyCalls* calls,
                       TimePoint now) {
  Impl& impl = *impl_;
  impl.HandleAnswers(now);
  const auto token = calls == nullptr ? std::nullopt : calls->Token(now);
  if (!token) {
    impl.SetActive(false);
    return;
  }
  if (impl.token != token) {
    impl.Forget();
    impl.token = token;
  }
  impl.SetActive(true);
  for (auto it = impl.states.begin(); it != impl.states.end();) {
    // A service that comes back starts anew.
    it = services.count(it->first) == 0 ? impl.states.erase(it) : std::next(it);
  }
  std::vector<DueOrder> due;
  for (const auto& [service, input] : services) {
    for (DueOrder& it : impl.Decide(service, input, now)) {
      due.push_back(std::move(it));
    }
  }
  // What adds capacity comes first.
  std::stable_sort(due.begin(), due.end(),
                   [](const DueOrder& a, const DueOrder& b) {
                     return a.is_increase && !b.is_increase;
                   });
  while (!impl.sent.empty() &&
         now - impl.sent.front() >= std::chrono::seconds(1)) {
    impl.sent.pop_front();
  }
  const size_t limit = static_cast<size_t>(
      std::max(1.0, kCallShare * impl.options.calls_per_second));
  for (const DueOrder& it : due) {
    if (impl.sent.size() >= limit) {
      break;
    }
    impl.sent.push_back(now);
    const uint64_t number = ++impl.last_number;
    impl.open[it.key] = {number, it.order, now};
    RecordOrderSent(it.key.failure_domain, it.key.kind, it.order.replicas, now,
                    &impl.states[it.key.service]);
    calls->SendScaleOrder(it.order, [weak = std::weak_ptr<Impl>(impl_),
                                     number](DutyCallOutcome outcome) {
      if (const auto impl = weak.lock()) {
        impl->answers.emplace_back(number, outcome);
      }
    });
  }
}

void ScalingDuty::TickWithoutView(TimePoint now) {
  impl_->HandleAnswers(now);
}

bool ScalingDuty::is_active() const {
  return impl_->is_active;
}

std::map<std::string, std::map<std::string, ByKind<int>>> ScalingDuty::Ordered()
    const {
  std::map<std::string, std::map<std::string, ByKind<int>>> ordered;
  if (!impl_->is_active) {
    return ordered;
  }
  for (const auto& [service, state] : impl_->states) {
    for (const auto& [name, it] : state.failure_domains) {
      for (size_t kind = 0; kind < kReplicaKinds; ++kind) {
        ordered[service][name][kind] = it.ordered[kind].count;
      }
    }
  }
  return ordered;
}

}  // namespace endiveyard
