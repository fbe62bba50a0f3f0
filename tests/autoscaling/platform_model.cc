#include "platform_model.h"

#include <algorithm>
#include <cmath>

namespace endiveyard {
namespace {

constexpr const char* kService = "lm";
constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr int kStepsPerTick = 5;
constexpr double kCallsPerSecond = 50;
constexpr auto kOnDemand = ReplicaKind::kOnDemand;
constexpr auto kSpot = ReplicaKind::kSpot;

}  // namespace

PlatformModel::PlatformModel(PlatformOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      start_(TimePointFromMicros(1000000000)),
      now_(start_) {
  policy_.min_replicas = 1;
  policy_.max_replicas = 2 * options_.on_demand;
  policy_.boot_time = options_.boot_time;
  policy_.spot_price = 0.18;
  policy_.failure_domains = {{"a1", {"a", 0.85}}, {"a2", {"a", 1.2}},
                             {"b1", {"b", 1.0}},  {"b2", {"b", 1.1}},
                             {"c1", {"c", 0.85}}, {"c2", {"c", 1.2}}};
  for (const auto& [name, it] : policy_.failure_domains) {
    desired_[{name, kOnDemand}] = options_.on_demand;
    desired_[{name, kSpot}] = 0;
    for (int i = 0; i < options_.on_demand; ++i) {
      Start({name, kOnDemand},
            name == "a1" && i % 2 == 1 ? options_.late_start : Duration(0));
    }
  }
  StartHolder();
}

PlatformModel::~PlatformModel() = default;

void PlatformModel::StartHolder() {
  duty_ = std::make_unique<ScalingDuty>(
      ScalingDutyOptions{kCallsPerSecond},
      ScalingHandlers{
          [](bool) {}, [](const ScaleOrder&, DutyCallOutcome) {},
          [this](const std::string&, const std::string&) { ++spot_losses_; }});
}

bool PlatformModel::HolderIsRight() const {
  const auto ordered = duty_->Ordered();
  for (const auto& [name, counts] : ordered.at(kService)) {
    for (const ReplicaKind kind : {kOnDemand, kSpot}) {
      if (counts[IndexOf(kind)] != Desired(name, kind)) {
        return false;
      }
    }
  }
  return true;
}

void PlatformModel::Run(Duration time, bool is_view_current) {
  const TimePoint end = now_ + time;
  for (int step = 0; now_ < end; ++step) {
    Step();
    if (step % kStepsPerTick != 0 || now_ < holder_from_) {
      continue;
    }
    if (!is_view_current) {
      duty_->TickWithoutView(now_);
      continue;
    }
    const ScalingInput input{policy_, demands_.front().second,
                             views_.front().second};
    duty_->Tick({{kService, input}}, this, now_);
  }
}

void PlatformModel::Step() {
  now_ += kStep;
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  replicas_.remove_if([this](const ModelReplica& it) {
    return it.ends_at && *it.ends_at <= now_;
  });
  for (const ModelReplica& it : replicas_) {
    const double kind_price = it.slot.second == kSpot ? policy_.spot_price : 1;
    price_ += std::chrono::duration<double>(kStep).count() * kind_price *
              policy_.failure_domains.at(it.slot.first).price;
  }
  for (const auto& [slot, count] : desired_) {
    if (slot.second == kSpot && !IsSpotRefused(slot.first) &&
        Present(slot) < count) {
      SetDesired(slot, count);
    }
  }
  views_.emplace_back(now_, Counts());
  while (views_.front().first + options_.view_lag < now_) {
    views_.pop_front();
  }
  demands_.emplace_back(now_, Demand());
  while (demands_.front().first + options_.report_lag < now_) {
    demands_.pop_front();
  }
  CheckCapacity();
}

void PlatformModel::ChangeHolder(Duration pause) {
  ++token_;
  holder_from_ = now_ + pause;
  in_flight_.clear();
  StartHolder();
}

void PlatformModel::Reclaim(const std::string& failure_domain, Duration time) {
  RefuseSpot(failure_domain, time);
  if (!options_.restores_reclaimed) {
    desired_[{failure_domain, kSpot}] = 0;
  }
  direction_.erase({failure_domain, kSpot});
  for (ModelReplica& it : replicas_) {
    if (it.slot == Slot(failure_domain, kSpot)) {
      it.is_leaving = true;
      it.ends_at = now_ + options_.drain_time;
    }
  }
}

void PlatformModel::End(const std::string& failure_domain,
                        ReplicaKind kind,
                        int count) {
  replicas_.remove_if([&](const ModelReplica& it) {
    return it.slot == Slot(failure_domain, kind) && count-- > 0;
  });
}

void PlatformModel::RefuseSpot(const std::string& failure_domain,
                               Duration time) {
  refused_until_[failure_domain] = now_ + time;
}

int PlatformModel::Desired(const std::string& failure_domain,
                           ReplicaKind kind) const {
  return desired_.at({failure_domain, kind});
}

int PlatformModel::Ready(ReplicaKind kind) const {
  return static_cast<int>(std::count_if(
      replicas_.begin(), replicas_.end(), [&](const ModelReplica& it) {
        return it.slot.second == kind && IsReady(it);
      }));
}

std::optional<uint64_t> PlatformModel::Token(TimePoint now) const {
  return now < holder_from_ ? std::nullopt : std::optional(token_);
}

void PlatformModel::SendScaleOrder(const ScaleOrder& order,
                                   std::function<void(DutyCallOutcome)> done) {
  const Slot slot{order.failure_domain, order.spot ? kSpot : kOnDemand};
  ++orders_;
  sent_.push_back(now_);
  while (now_ - sent_.front() >= std::chrono::seconds(1)) {
    sent_.pop_front();
  }
  if (static_cast<double>(sent_.size()) > kCallsPerSecond / 2) {
    Violation("more than half of the calls");
  }
  if (!in_flight_.insert(slot).second) {
    Violation("two orders under way for " + slot.first);
  }
  std::uniform_real_distribution<double> uniform(0, 1);
  const uint64_t token = token_;
  const auto answer = [this, slot, done, token](DutyCallOutcome outcome) {
    if (token == token_) {
      in_flight_.erase(slot);
      done(outcome);
    }
  };
  const TimePoint answered_at = now_ + options_.answer_time;
  const bool is_faulty = Seconds() < options_.faulty_seconds;
  if (is_down_ || (is_faulty && uniform(random_) < options_.rejected_share)) {
    events_.emplace(answered_at,
                    [answer] { answer(DutyCallOutcome::kRejected); });
    return;
  }
  if (is_faulty && uniform(random_) < options_.lost_share) {
    const Duration late(static_cast<int64_t>(uniform(random_) * 4e6));
    const bool has_effect = uniform(random_) < 0.5;
    if (has_effect) {
      events_.emplace(now_ + late, [this, order] { Apply(order); });
    }
    events_.emplace(now_ + std::chrono::seconds(1),
                    [answer] { answer(DutyCallOutcome::kUnknown); });
    return;
  }

  if (order.spot && IsSpotRefused(order.failure_domain) &&
      order.replicas > Present(slot)) {
    events_.emplace(answered_at,
                    [answer] { answer(DutyCallOutcome::kConflict); });
    return;
  }
  events_.emplace(answered_at, [this, order, answer] {
    Apply(order);
    answer(DutyCallOutcome::kAccepted);
  });
}

void PlatformModel::Apply(const ScaleOrder& order) {
  const Slot slot{order.failure_domain, order.spot ? kSpot : kOnDemand};
  const int before = desired_[slot];
  const int direction =
      order.replicas == before ? 0 : (order.replicas > before ? 1 : -1);
  if (direction != 0) {
    reversals_ += direction_[slot] == -direction ? 1 : 0;
    direction_[slot] = direction;
  }
  SetDesired(slot, order.replicas);
  const int total =
      desired_[{slot.first, kOnDemand}] + desired_[{slot.first, kSpot}];
  if (total > policy_.max_replicas || total < policy_.min_replicas) {
    Violation(slot.first + " has " + std::to_string(total) + " replicas");
  }
}

void PlatformModel::SetDesired(const Slot& slot, int count) {
  desired_[slot] = count;
  int present = Present(slot);
  for (; present < count; ++present) {
    Start(slot, options_.boot_time);
  }
  // Those of any stage are removed, at random.
  std::vector<ModelReplica*> running;
  for (ModelReplica& it : replicas_) {
    if (it.slot == slot && !it.ends_at) {
      running.push_back(&it);
    }
  }
  std::shuffle(running.begin(), running.end(), random_);
  for (; present > count; --present) {
    running.back()->ends_at = now_ + options_.drain_time;
    running.pop_back();
  }
}

bool PlatformModel::IsSpotRefused(const std::string& failure_domain) const {
  const auto it = refused_until_.find(failure_domain);
  return it != refused_until_.end() && now_ < it->second;
}

int PlatformModel::Present(const Slot& slot) const {
  return static_cast<int>(std::count_if(
      replicas_.begin(), replicas_.end(),
      [&](const ModelReplica& it) { return it.slot == slot && !it.ends_at; }));
}

void PlatformModel::Start(const Slot& slot, Duration boot_time) {
  const double share = slot.second == kSpot ? options_.spot_prefill_share
                                            : options_.prefill_share;
  const bool is_prefill =
      std::uniform_real_distribution<double>(0, 1)(random_) < share;
  replicas_.push_back({slot, is_prefill ? Stage::kPrefill : Stage::kDecode,
                       now_ + boot_time, std::nullopt, false});
}

bool PlatformModel::IsReady(const ModelReplica& replica) const {
  return replica.ready_at <= now_ && !replica.ends_at;
}

ReplicaCounts PlatformModel::Counts() const {
  ReplicaCounts counts;
  for (const ModelReplica& it : replicas_) {
    KindCounts& kind =
        counts.failure_domains[it.slot.first][IndexOf(it.slot.second)];
    if (IsReady(it)) {
      ++kind.ready[IndexOf(it.stage)];
    } else if (it.is_leaving) {
      ++kind.leaving;
    }
  }
  return counts;
}

ServiceDemand PlatformModel::Demand() const {
  const double busy = options_.busy(Seconds());
  ServiceDemand demand;
  for (const auto& [name, it] : policy_.failure_domains) {
    const double here =
        busy / static_cast<double>(policy_.failure_domains.size());
    demand.busy[name][IndexOf(Stage::kPrefill)] = here * options_.prefill_share;
    demand.busy[name][IndexOf(Stage::kDecode)] =
        here * (1 - options_.prefill_share);
  }
  return demand;
}

void PlatformModel::CheckCapacity() {
  ByStage<double> ready{};
  for (const ModelReplica& it : replicas_) {
    ready[IndexOf(it.stage)] += IsReady(it) ? 1 : 0;
  }
  const double busy = options_.busy(Seconds());
  if (ready[IndexOf(Stage::kPrefill)] < busy * options_.prefill_share ||
      ready[IndexOf(Stage::kDecode)] < busy * (1 - options_.prefill_share)) {
    Violation("less capacity than load");
  }
}

void PlatformModel::Violation(const std::string& what) {
  violations_.push_back(std::to_string(Seconds()) + " s: " + what);
}

double PlatformModel::Seconds() const {
  return std::chrono::duration<double>(now_ - start_).count();
}

}  // namespace endiveyard
