#include "duty_fleet.h"

#include <algorithm>
#include <utility>

namespace endiveyard {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kUse = std::chrono::milliseconds(250);
constexpr Duration kRegistryTimeout = std::chrono::milliseconds(1200);
constexpr Duration kPlatformTimeout = std::chrono::milliseconds(1000);
constexpr Duration kAlternationTime = std::chrono::seconds(3);
constexpr int64_t kUnixMsOfStart = 1790000000000;
constexpr int64_t kWindowMs = 5000;

uint32_t AddressOf(int instance) {
  return static_cast<uint32_t>(0x0a000001 + instance);
}

}  // namespace

struct DutyFleet::Instance {
  int index = 0;
  uint64_t process = 0;  // 0: none runs
  TimePoint frozen_until;
  bool registry_cut = false;
  bool registry_refused = false;
  bool platform_cut = false;
  std::unique_ptr<Registry> registry;
  std::unique_ptr<Platform> platform;
  std::unique_ptr<DutyHolderView> view;
  std::unique_ptr<DutyHolder> holder;
  TimePoint used_at;
  bool usage_pending = false;
  int64_t confirmed_window = -1;
  int64_t refused_window = -1;
  std::set<int> zones_pending;
};

class DutyFleet::Registry : public RegistryRecordClient {
 public:
  Registry(DutyFleet* fleet, int instance)
      : fleet_(fleet), instance_(instance) {}
  void ReadRecord(const std::string& kind,
                  const std::string& name,
                  std::function<void(RegistryAnswer)> done) override {
    fleet_->CallRegistry(instance_, false, kind + "/" + name, {}, done);
  }
  void WriteRecord(const std::string& kind,
                   const RegistryObject& object,
                   std::function<void(RegistryAnswer)> done) override {
    fleet_->CallRegistry(instance_, true, kind + "/" + object.name, object,
                         done);
  }

 private:
  DutyFleet* const fleet_;
  const int instance_;
};

class DutyFleet::Platform : public DutyApi {
 public:
  Platform(DutyFleet* fleet, int instance)
      : fleet_(fleet), instance_(instance) {}
  void SendUsageReport(const UsageReport& report,
                       uint64_t token,
                       Done done) override {
    std::string body = std::to_string(report.window) + ":";
    for (const auto& [customer, count] : report.counts) {
      body += customer + "=" + std::to_string(count) + " ";
    }
    fleet_->CallPlatform(instance_, "usage", body, token, done);
  }
  void SendScaleOrder(const ScaleOrder& order,
                      uint64_t token,
                      Done done) override {
    fleet_->CallPlatform(instance_, "scale " + order.failure_domain,
                         std::to_string(order.replicas), token, done);
  }

 private:
  DutyFleet* const fleet_;
  const int instance_;
};

DutyFleet::DutyFleet(int instances, bool checks_token, uint64_t seed)
    : checks_token_(checks_token), random_(seed) {
  for (int n = 0; n < instances; ++n) {
    instances_.push_back(std::make_unique<Instance>());
    instances_.back()->index = n;
  }
}

DutyFleet::~DutyFleet() = default;

bool DutyFleet::Draw(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

Duration DutyFleet::Latency() {
  const auto micros = static_cast<double>(faults_.latency.count());
  return Duration(static_cast<int64_t>(
      std::uniform_real_distribution<>(0.5, 1.5)(random_) * micros));
}

void DutyFleet::Schedule(Duration delay, std::function<void()> action) {
  actions_.emplace(now_ + delay, std::move(action));
}

void DutyFleet::RunIn(int instance,
                      uint64_t process,
                      std::function<void()> action) {
  Instance* it = instances_[instance].get();
  if (it->process != process) {
    return;
  }
  if (now_ < it->frozen_until) {
    Schedule(it->frozen_until - now_,
             [this, instance, process, action = std::move(action)] {
               RunIn(instance, process, action);
             });
    return;
  }
  action();
}

void DutyFleet::Advance(Duration duration) {
  const TimePoint until = now_ + duration;
  while (!actions_.empty() && actions_.begin()->first <= until) {
    const auto first = actions_.begin();
    now_ = std::max(now_, first->first);
    const std::function<void()> action = std::move(first->second);
    actions_.erase(first);
    action();
  }
  now_ = until;
}

Duration DutyFleet::AdvanceUntil(Duration limit,
                                 const std::function<bool()>& condition) {
  constexpr Duration kStep = std::chrono::milliseconds(10);
  Duration passed{};
  while (passed < limit && !condition()) {
    Advance(kStep);
    passed += kStep;
  }
  return passed;
}

void DutyFleet::Start(int instance) {
  Instance* it = instances_[instance].get();
  const uint64_t process = ++processes_;
  it->process = process;
  it->frozen_until = {};
  it->usage_pending = false;
  it->confirmed_window = -1;
  it->refused_window = -1;
  it->zones_pending.clear();
  it->registry = std::make_unique<Registry>(this, instance);
  it->platform = std::make_unique<Platform>(this, instance);
  it->view = std::make_unique<DutyHolderView>(AddressOf(instance), now_);
  DutyHolderOptions options;
  options.duty.instance = "i-" + std::to_string(instance);
  options.duty.process = "p" + std::to_string(process);
  options.duty.address = AddressOf(instance);
  options.duty.seed = static_cast<uint64_t>(instance);
  options.duty.checks_token = checks_token_;
  options.duty.alternation_time = kAlternationTime;
  options.lease_kind = "duty-leases";
  options.shard_kind = "duty-shards";
  DutyHolderHandlers handlers;
  handlers.now = [this] { return now_; };
  handlers.unix_ms = [this] {
    return kUnixMsOfStart + now_.time_since_epoch().count() / 1000;
  };
  handlers.post = [this, instance,
                   process](const std::function<void()>& action) {
    Schedule(Duration(1), [this, instance, process, action] {
      RunIn(instance, process, action);
    });
  };
  handlers.on_event = [](const DutyEvent&) {};
  handlers.on_call = [](const char*, DutyCallEnd) {};
  it->holder = std::make_unique<DutyHolder>(
      it->registry.get(), it->platform.get(), options, handlers);
  Tick(instance, process);
}

void DutyFleet::Kill(int instance) {
  instances_[instance]->process = 0;
  instances_[instance]->holder.reset();
}

void DutyFleet::Terminate(int instance) {
  if (IsRunning(instance)) {
    RunIn(instance, instances_[instance]->process,
          [this, instance] { instances_[instance]->holder->Leave(); });
  }
}

void DutyFleet::Freeze(int instance, Duration duration) {
  instances_[instance]->frozen_until = now_ + duration;
}

void DutyFleet::CutRegistry(int instance, bool is_cut) {
  instances_[instance]->registry_cut = is_cut;
}

void DutyFleet::RefuseRegistry(int instance, bool is_refused) {
  instances_[instance]->registry_refused = is_refused;
}

void DutyFleet::CutPlatform(int instance, bool is_cut) {
  instances_[instance]->platform_cut = is_cut;
}

bool DutyFleet::IsRunning(int instance) const {
  return instances_[instance]->process != 0;
}

int DutyFleet::Holder() const {
  for (const auto& it : instances_) {
    if (it->process != 0 && now_ >= it->frozen_until &&
        it->holder->Token(now_)) {
      return it->index;
    }
  }
  return -1;
}

DutyHolder* DutyFleet::holder_of(int instance) {
  return instances_[instance]->holder.get();
}

void DutyFleet::Tick(int instance, uint64_t process) {
  RunIn(instance, process, [this, instance, process] {
    Instance* it = instances_[instance].get();
    if (it->holder->HasLeft()) {
      Kill(instance);
      return;
    }
    std::vector<uint32_t> live;
    for (const auto& other : instances_) {
      if (other->process != 0) {
        live.push_back(AddressOf(other->index));
        const auto report = other->view->Current(now_);
        if (Draw(0.2)) {
          it->view->RecordReport(report, now_);
        }
      }
    }
    DutyInputs inputs;
    inputs.rank = it->view->Rank(live, now_);
    inputs.heard_token = it->view->Current(now_).fencing_token;
    it->holder->Tick(inputs);
    if (const auto token = it->holder->HeldToken()) {
      it->view->RecordOwn(*token, now_);
    }
    if (now_ - it->used_at >= kUse) {
      it->used_at = now_;
      UseDuties(it);
    }
    Schedule(kTick, [this, instance, process] { Tick(instance, process); });
  });
}

// Reports windows one after the other, with counts that no other process would
// report, and orders replicas in two failure domains.
void DutyFleet::UseDuties(Instance* it) {
  if (!it->holder->Token(now_)) {
    return;
  }
  const int zone = static_cast<int>(random_() % 2);
  if (it->zones_pending.insert(zone).second) {
    it->holder->SendScaleOrder(
        {"lm", std::to_string(zone), static_cast<int>(random_() % 9), false},
        [it, zone](DutyCallOutcome) { it->zones_pending.erase(zone); });
  }
  const int64_t ended =
      (kUnixMsOfStart + now_.time_since_epoch().count() / 1000) / kWindowMs - 1;
  const auto last = it->holder->LastUsageReport();
  UsageReport report;
  if (last && last->window > it->confirmed_window) {
    report = *last;
  } else {
    report.window =
        std::max(last ? last->window + 1 : ended, it->refused_window + 1);
    report.counts["c"] = static_cast<int64_t>(it->process);
    report.counts["d"] = static_cast<int64_t>(random_() % 1000000);
  }
  if (report.window > ended || it->usage_pending) {
    return;
  }
  it->usage_pending = true;
  it->holder->SendUsageReport(
      report, [it, window = report.window](DutyCallOutcome outcome) {
        it->usage_pending = false;
        if (outcome == DutyCallOutcome::kAccepted) {
          it->confirmed_window = window;
        } else if (outcome == DutyCallOutcome::kRejected) {
          it->refused_window = window;
        }
      });
}

void DutyFleet::CallRegistry(int instance,
                             bool is_write,
                             const std::string& key,
                             const RegistryObject& object,
                             const std::function<void(RegistryAnswer)>& done) {
  const Instance& it = *instances_[instance];
  const uint64_t process = it.process;
  ++registry_calls_;
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, instance, process, answered,
                       done](const RegistryAnswer& value) {
    RunIn(instance, process, [answered, done, value] {
      if (!std::exchange(*answered, true)) {
        done(value);
      }
    });
  };
  Schedule(kRegistryTimeout, [answer] {
    answer({absl::UnavailableError("timeout"), 0});
  });
  if (it.registry_cut || Draw(faults_.lost_request)) {
    return;
  }
  if (it.registry_refused) {
    Schedule(Latency(), [this, answer] {
      answer({absl::UnavailableError("refused"), era_});
    });
    return;
  }
  const Duration delay =
      Draw(faults_.late) ? Duration(static_cast<int64_t>(random_() % 4000000))
                         : Latency();
  Schedule(delay, [this, instance, is_write, key, object, answer] {
    const RegistryAnswer value = Execute(is_write, key, object);
    if (!instances_[instance]->registry_cut && !Draw(faults_.lost_answer)) {
      Schedule(Latency(), [answer, value] { answer(value); });
    }
  });
}

RegistryAnswer DutyFleet::Execute(bool is_write,
                                  const std::string& key,
                                  const RegistryObject& object) {
  const auto it = store_.objects.find(key);
  const int64_t revision = it == store_.objects.end() ? 0 : it->second.revision;
  if (is_write) {
    if (revision != object.revision) {
      return {revision == 0 ? absl::NotFoundError("none")
                            : absl::AbortedError("changed"),
              era_};
    }
    RegistryObject written = object;
    written.revision = ++store_.revision;
    store_.objects[key] = {object.spec, written.revision};
    return {written, era_};
  }
  if (revision == 0) {
    return {absl::NotFoundError("none"), era_};
  }
  RegistryObject read;
  read.name = key;
  read.spec = it->second.spec;
  read.revision = revision;
  return {read, era_};
}

void DutyFleet::CallPlatform(int instance,
                             const std::string& subject,
                             const std::string& body,
                             uint64_t token,
                             const DutyApi::Done& done) {
  const Instance& it = *instances_[instance];
  const uint64_t process = it.process;
  if (!process_of_token_.emplace(token, process).second &&
      process_of_token_[token] != process) {
    violations_.push_back("two processes sent the same token");
  }
  if (refused_.count({subject, token}) != 0) {
    violations_.push_back("a token was sent again after its refusal");
  }
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, instance, process, answered,
                       done](DutyCallEnd end) {
    RunIn(instance, process, [answered, done, end] {
      if (!std::exchange(*answered, true)) {
        done(end);
      }
    });
  };
  Schedule(kPlatformTimeout, [answer] { answer(DutyCallEnd::kNoAnswer); });
  if (it.platform_cut || Draw(faults_.lost_request)) {
    return;
  }
  const Duration delay =
      Draw(faults_.late) ? Duration(static_cast<int64_t>(random_() % 4000000))
                         : Latency();
  Arrival arrival;
  arrival.sent_at = now_;
  arrival.instance = instance;
  arrival.token = token;
  arrival.subject = subject;
  arrival.body = body;
  Schedule(delay, [this, instance, arrival, answer] {
    const DutyCallEnd end = Arrive(arrival);
    if (!instances_[instance]->platform_cut && !Draw(faults_.lost_answer)) {
      const std::string subject = arrival.subject;
      Schedule(Latency(), [this, answer, end, subject, arrival] {
        if (end == DutyCallEnd::kConflict) {
          refused_.insert({subject, arrival.token});
        }
        answer(end);
      });
    }
  });
}

DutyCallEnd DutyFleet::Arrive(Arrival arrival) {
  arrival.at = now_;
  uint64_t& highest = highest_token_[arrival.subject];
  arrival.accepted = arrival.token >= highest;
  if (!arrival.accepted && !checks_token_) {
    violations_.push_back("a lower token arrived on " + arrival.subject + ": " +
                          std::to_string(arrival.token) + " after " +
                          std::to_string(highest) + ", sent " +
                          std::to_string((now_ - arrival.sent_at).count()) +
                          " us ago");
  }
  highest = std::max(highest, arrival.token);
  arrivals_.push_back(arrival);
  if (!arrival.accepted) {
    return DutyCallEnd::kConflict;
  }
  CheckOrder(arrival);
  if (arrival.subject == "usage") {
    const std::string window = arrival.body.substr(0, arrival.body.find(':'));
    if (report_of_window_.emplace(window, arrival.body).first->second !=
        arrival.body) {
      violations_.push_back("window was reported with other counts: " +
                            report_of_window_[window] + " then " +
                            arrival.body + " token " +
                            std::to_string(arrival.token));
    }
  }
  return DutyCallEnd::kAccepted;
}

// Holders A, B, A within the alternation time, on any subject.
void DutyFleet::CheckOrder(const Arrival& arrival) {
  bool is_other_between = false;
  for (auto it = arrivals_.rbegin(); it != arrivals_.rend(); ++it) {
    if (arrival.at - it->at >= kAlternationTime) {
      return;
    }
    if (!it->accepted || it->subject != arrival.subject) {
      continue;
    }
    if (it->instance != arrival.instance) {
      is_other_between = true;
    } else if (is_other_between) {
      violations_.push_back("holders alternated on " + arrival.subject);
      return;
    }
  }
}

void DutyFleet::CopyRegistry() {
  copy_ = store_;
}

void DutyFleet::RestoreRegistry() {
  store_ = copy_;
  ++era_;
}

void DutyFleet::ReplaceByCopy(const std::string& key) {
  store_.objects[key] = {copy_.objects.at(key).spec, ++store_.revision};
}

void DutyFleet::Overwrite(const std::string& key, const std::string& text) {
  if (text.empty()) {
    store_.objects.erase(key);
  } else {
    store_.objects[key] = {EncodeTextObject(text), ++store_.revision};
  }
}

void DutyFleet::RemoveFromCopy(const std::string& key) {
  copy_.objects.erase(key);
}

void DutyFleet::SendForeignToken(const std::string& subject, uint64_t token) {
  highest_token_[subject] = std::max(highest_token_[subject], token);
}

int DutyFleet::AcceptedSince(int instance, TimePoint time) const {
  return static_cast<int>(
      std::count_if(arrivals_.begin(), arrivals_.end(), [&](const Arrival& it) {
        return it.instance == instance && it.at >= time && it.accepted;
      }));
}

}  // namespace endiveyard
