#include "endiveyard/duties/duty_holder.h"

#include <deque>
#include <utility>
#include <vector>

namespace endiveyard {
namespace {

constexpr Duration kRateInterval = std::chrono::seconds(1);

DutyCallOutcome OutcomeOf(DutyCallEnd end) {
  switch (end) {
    case DutyCallEnd::kAccepted:
      return DutyCallOutcome::kAccepted;
    case DutyCallEnd::kConflict:
    case DutyCallEnd::kSpotConflict:
      return DutyCallOutcome::kConflict;
    case DutyCallEnd::kRefused:
    case DutyCallEnd::kNotSent:
      return DutyCallOutcome::kRejected;
    case DutyCallEnd::kNoAnswer:
      break;
  }
  return DutyCallOutcome::kUnknown;
}

// Result of a call to the registry, as the lease and the shard know it.
ObjectResult ResultOf(uint64_t id,
                      bool is_write,
                      const absl::StatusOr<RegistryObject>& object) {
  ObjectResult result;
  result.id = id;
  if (object.ok()) {
    if (object->deleted && !is_write) {
      return result;
    }
    const auto text = is_write ? std::optional<std::string>("")
                               : DecodeTextObject(object->spec);
    result.version = static_cast<uint64_t>(object->revision);
    // Text that is no record is malformed for whoever parses it.
    result.value = text.value_or("malformed");
    if (object->revision <= 0) {
      result.outcome = ObjectOutcome::kUnknown;
    }
  } else if (absl::IsNotFound(object.status())) {
    result.outcome = is_write ? ObjectOutcome::kConflict : ObjectOutcome::kOk;
  } else if (absl::IsAborted(object.status())) {
    result.outcome = ObjectOutcome::kConflict;
  } else {
    result.outcome = ObjectOutcome::kUnknown;
  }
  return result;
}

}  // namespace

class DutyHolder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  using Done = std::function<void(DutyCallOutcome)>;

  Impl(RegistryRecordClient* registry,
       DutyApi* api,
       DutyHolderOptions options,
       DutyHolderHandlers handlers)
      : registry_(registry),
        api_(api),
        options_(std::move(options)),
        handlers_(std::move(handlers)),
        state_(MakeDutyState(options_.duty, handlers_.now())) {}

  void Tick(const DutyInputs& inputs) {
    inputs_.rank = inputs.rank;
    inputs_.heard_token = inputs.heard_token;
    inputs_.leaving |= inputs.leaving;
    Advance();
  }

  void Leave() {
    inputs_.leaving = true;
    Advance();
  }

  void RecordEra(int64_t era) {
    ApplyDutyEra(era, handlers_.unix_ms(), handlers_.now(), &state_);
  }

  const DutyState& state() const { return state_; }
  TimePoint now() const { return handlers_.now(); }

  void SendScaleOrder(const ScaleOrder& order, Done done) {
    const TimePoint now = handlers_.now();
    const auto token = TokenWithinRate(now);
    if (!token) {
      Reject(std::move(done));
      return;
    }
    StartCall(*token, now);
    api_->SendScaleOrder(
        order, *token,
        MakeDone("scale", *token, now, order.spot, std::move(done)));
  }

  void SendUsageReport(const UsageReport& report, Done done) {
    const TimePoint now = handlers_.now();
    const UsageStanding standing = StandingOf(report, state_);
    if (!DutyToken(state_, now) || usage_done_ ||
        standing == UsageStanding::kRefused) {
      Reject(std::move(done));
      return;
    }
    state_.usage = report;
    usage_done_ = std::move(done);
    Advance();
  }

 private:
  // Makes what is due, in an order in which nothing is sent that has not been
  // recorded.
  void Advance() {
    std::vector<ObjectCall> calls;
    std::vector<DutyEvent> events;
    TickDuty(inputs_, handlers_.now(), &state_, &calls, &events);
    Report(events);
    for (const ObjectCall& it : calls) {
      Call(it);
    }
    SendRecordedUsage();
  }

  void Report(const std::vector<DutyEvent>& events) {
    for (const DutyEvent& it : events) {
      handlers_.on_event(it);
    }
  }

  void Call(const ObjectCall& call) {
    const size_t slash = call.key.find('/');
    const std::string& kind = call.key.compare(0, slash, "leases") == 0
                                  ? options_.lease_kind
                                  : options_.shard_kind;
    const std::string name = call.key.substr(slash + 1);
    const std::weak_ptr<Impl> weak = weak_from_this();
    auto done = [weak, id = call.id,
                 is_write = call.write](const RegistryAnswer& answer) {
      if (const auto self = weak.lock()) {
        self->HandleAnswer(ResultOf(id, is_write, answer.object), answer.era);
      }
    };
    if (!call.write) {
      registry_->ReadRecord(kind, name, std::move(done));
      return;
    }
    RegistryObject object;
    object.name = name;
    object.spec = EncodeTextObject(call.value);
    object.revision = static_cast<int64_t>(call.if_version);
    registry_->WriteRecord(kind, object, std::move(done));
  }

  void HandleAnswer(const ObjectResult& result, int64_t era) {
    std::vector<DutyEvent> events;
    ApplyDutyResult(result, era, handlers_.unix_ms(), handlers_.now(), &state_,
                    &events);
    Report(events);
    Advance();
  }

  void SendRecordedUsage() {
    if (!state_.usage) {
      return;
    }
    const TimePoint now = handlers_.now();
    const UsageStanding standing = StandingOf(*state_.usage, state_);
    if (!DutyToken(state_, now) || standing == UsageStanding::kRefused) {
      EndUsage();
      Reject(std::exchange(usage_done_, nullptr));
      return;
    }
    const auto token = TokenWithinRate(now);
    if (standing != UsageStanding::kRecorded || !token) {
      return;
    }
    const UsageReport report = EndUsage();
    StartCall(*token, now);
    api_->SendUsageReport(
        report, *token,
        MakeDone("usage", *token, now, false,
                 [weak = weak_from_this()](DutyCallOutcome outcome) {
                   const auto self = weak.lock();
                   if (self && self->usage_done_) {
                     std::exchange(self->usage_done_, nullptr)(outcome);
                   }
                 }));
  }

  UsageReport EndUsage() {
    UsageReport report = *std::move(state_.usage);
    state_.usage.reset();
    return report;
  }

  std::optional<uint64_t> TokenWithinRate(TimePoint now) {
    while (!sent_at_.empty() && now - sent_at_.front() >= kRateInterval) {
      sent_at_.pop_front();
    }
    return static_cast<double>(sent_at_.size()) < options_.calls_per_second
               ? DutyToken(state_, now)
               : std::nullopt;
  }

  void StartCall(uint64_t token, TimePoint now) {
    sent_at_.push_back(now);
    RecordDutyCall(token, now, &state_);
  }

  DutyApi::Done MakeDone(const char* duty,
                         uint64_t token,
                         TimePoint sent_at,
                         bool is_spot,
                         Done done) {
    return [weak = weak_from_this(), duty, token, sent_at, is_spot,
            done = std::move(done)](DutyCallEnd end) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      const DutyCallOutcome outcome = OutcomeOf(end);
      if (is_spot && end == DutyCallEnd::kConflict) {
        // Without a check of tokens, the only reason is a lack of replicas.
        end = self->options_.duty.checks_token ? DutyCallEnd::kSpotConflict
                                               : DutyCallEnd::kRefused;
      }
      RecordDutyCallEnd(token, sent_at, end, self->handlers_.now(),
                        &self->state_);
      self->handlers_.on_call(duty, end);
      self->Advance();
      done(outcome);
    };
  }

  void Reject(Done done) {
    handlers_.post(
        [done = std::move(done)] { done(DutyCallOutcome::kRejected); });
  }

  RegistryRecordClient* const registry_;
  DutyApi* const api_;
  const DutyHolderOptions options_;
  const DutyHolderHandlers handlers_;
  DutyState state_;
  DutyInputs inputs_;
  Done usage_done_;                // of the report that is recorded or sent
  std::deque<TimePoint> sent_at_;  // of the calls of the last second
};

DutyHolder::DutyHolder(RegistryRecordClient* registry,
                       DutyApi* api,
                       DutyHolderOptions options,
                       DutyHolderHandlers handlers)
    : impl_(std::make_shared<Impl>(registry,
                                   api,
                                   std::move(options),
                                   std::move(handlers))) {}

DutyHolder::~DutyHolder() = default;

void DutyHolder::Tick(const DutyInputs& inputs) {
  impl_->Tick(inputs);
}

void DutyHolder::RecordEra(int64_t era) {
  impl_->RecordEra(era);
}

void DutyHolder::Leave() {
  impl_->Leave();
}

bool DutyHolder::HasLeft() const {
  return impl_->state().has_left;
}

std::optional<uint64_t> DutyHolder::HeldToken() const {
  return OwnedToken(impl_->state(), impl_->now());
}

std::optional<uint64_t> DutyHolder::Token(TimePoint now) const {
  return DutyToken(impl_->state(), now);
}

void DutyHolder::SendScaleOrder(const ScaleOrder& order,
                                std::function<void(DutyCallOutcome)> done) {
  impl_->SendScaleOrder(order, std::move(done));
}

void DutyHolder::SendUsageReport(const UsageReport& report,
                                 std::function<void(DutyCallOutcome)> done) {
  impl_->SendUsageReport(report, std::move(done));
}

int64_t DutyHolder::FirstUsageWindow() const {
  return impl_->state().record.first_window;
}

std::optional<UsageReport> DutyHolder::LastUsageReport() const {
  const DutyState& state = impl_->state();
  return state.record_valid ? state.record.usage : std::nullopt;
}

}  // namespace endiveyard
