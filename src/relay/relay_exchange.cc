#include "relay/relay_exchange.h"

#include <algorithm>

#include "endiveyard/base/digest.h"
#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/header_rules.h"

namespace endiveyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Answers of plain services are collected up to this size before they are
// handed on, so that a broken one can be replaced where the route allows it.
constexpr size_t kMaxCollectedBytes = 262144;
// Bytes that wait for a slow caller before reading from the target pauses.
constexpr size_t kMaxUnsentBytes = 65536;
// Answers to the call that only reads a prompt are small.
constexpr size_t kMaxPromptAnswerBytes = 65536;

// Placements of one request, refused ones included. More than the attempts of
// any route, since targets that take no connection cost no attempt.
constexpr int kMaxPlacements = 8;

// How often silence of a target is looked at.
constexpr Duration kWatchdogInterval = std::chrono::milliseconds(250);
// A stream that paused for this long continues elsewhere, where it may: beyond
// the longest pause of the sheets (400 ms) several times, and well before the
// callers give up (2 s and more).
constexpr Duration kMaxStreamSilence = std::chrono::milliseconds(1300);
// A repeatable request without any answer is repeated after this much more
// than twice the expected time.
constexpr Duration kFirstOutputSlack = std::chrono::milliseconds(1500);
constexpr Duration kPlainAnswerSlack = std::chrono::milliseconds(450);

// Shares of callers that come back spread over half the wait again.
constexpr double kRetryAfterSpread = 0.5;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(250);
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(500);

double Point(std::string_view id) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(Digest64(id)) / kRange;
}

}  // namespace

RelayExchange::RelayExchange(std::shared_ptr<RelayCore> core,
                             std::shared_ptr<CallerConnection> caller,
                             CallerRequest request)
    : core_(std::move(core)),
      caller_(std::move(caller)),
      request_(std::move(request)),
      deadline_timer_(core_->io),
      watchdog_timer_(core_->io) {
  ++core_->open_exchanges;
}

RelayExchange::~RelayExchange() {
  --core_->open_exchanges;
}

void RelayExchange::Start() {
  facts_ = core_->protocol.DecodeRequest(request_.headers);
  if (!core_->beliefs.Complete() && BootClock::now() < core_->startup_end) {
    AwaitBeliefs();
    return;
  }
  Begin();
}

void RelayExchange::AwaitBeliefs() {
  phase_ = Phase::kAwaitingBeliefs;
  core_->awaiting_beliefs.push_back(weak_from_this());
  watchdog_timer_.expires_after(std::chrono::duration_cast<Duration>(
      core_->startup_end - BootClock::now()));
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  watchdog_timer_.async_wait([weak](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->BeliefsComplete();
    }
  });
}

void RelayExchange::BeliefsComplete() {
  if (phase_ == Phase::kAwaitingBeliefs) {
    watchdog_timer_.cancel();
    phase_ = Phase::kPlacing;
    Begin();
  }
}

void RelayExchange::Begin() {
  services_ = core_->beliefs.services;
  // A caller that names no deadline is kept waiting for the route's timeout.
  deadline_ = request_.received +
              facts_.time_left.value_or(Duration(std::chrono::hours(1)));
  if (!services_) {
    Refuse(503, "no_configuration", kNotReadyRetryAfter);
    return;
  }
  if (core_->body_bytes > core_->options.max_body_bytes_in_flight) {
    Refuse(503, "overloaded", RetryAfterFor(kNotReadyRetryAfter));
    return;
  }
  const std::string_view path =
      std::string_view(request_.target).substr(0, request_.target.find('?'));
  const auto host = FindHeader(request_.headers, "host");
  route_ = FindRoute(*services_, host.value_or(""), path);
  if (route_ == nullptr) {
    // Without touch to the registry the route may be a new one.
    if (core_->beliefs.services_current) {
      Refuse(404, "no_route", Duration(0));
    } else {
      Refuse(503, "configuration_stale", kNotReadyRetryAfter);
    }
    return;
  }
  deadline_ = std::min(deadline_, request_.received + route_->timeout);
  if (core_->refuses_long &&
      request_.received + route_->timeout > core_->drain_end) {
    // It could be cut by the end of this process. Others take it at once.
    Refuse(503, "shutting_down", kMinRetryAfter);
    return;
  }
  service_ = PickService(*route_, Point(facts_.request_id));
  core_->budget.CountRequest(service_, request_.received);
  forwarded_ = WithoutConnectionHeaders(request_.headers);
  if (facts_.last_event_id) {
    scanner_.StartAfter(*facts_.last_event_id);
  }
  ArmDeadline();
  ArmWatchdog();
  Place();
}

void RelayExchange::CallerLeft() {
  if (phase_ == Phase::kEnded) {
    return;
  }
  CloseActiveCall(CallResult::kAnswered);
  ReleaseKv();
  End("caller_left", 0);
}

size_t RelayExchange::BodyBytes() const {
  return request_.body ? request_.body->size() : 0;
}

Duration RelayExchange::TimeLeft() const {
  return std::chrono::duration_cast<Duration>(deadline_ - BootClock::now());
}

Duration RelayExchange::RetryAfterFor(Duration wait) const {
  const double spread = 1 + kRetryAfterSpread * Point(facts_.request_id);
  return std::max(kMinRetryAfter,
                  Duration(static_cast<int64_t>(
                      static_cast<double>(wait.count()) * spread)));
}

void RelayExchange::Place() {
  phase_ = Phase::kPlacing;
  const TimePoint now = BootClock::now();
  PlacementQuery query;
  query.service = service_;
  query.prompt = facts_.prompt;
  query.excluded = excluded_;
  query.body_bytes = static_cast<double>(BodyBytes());
  query.time_left = query.first_output_left = TimeLeft();
  if (!answer_begun_) {
    const auto waited =
        std::chrono::duration_cast<Duration>(now - request_.received);
    query.first_output_left =
        std::min(query.time_left, CallerPatience(*route_) - waited);
  }
  query.may_read_apart = may_read_apart_;
  PlacementResult result =
      core_->placer.Choose(core_->beliefs.replicas, query, now);
  if (++placements_ > kMaxPlacements) {
    result.placement.reset();
  }
  if (!result.placement) {
    const bool late =
        result.refusal.reason == PlacementRefusal::Reason::kTooLate;
    expected_first_ = result.refusal.expected;
    if (answer_begun_) {
      caller_->Abort();
      End("broken_no_target", 0);
    } else if (maybe_runs_ > 0) {
      Refuse(502, "outcome_unknown", Duration(0));
    } else {
      Refuse(503, late ? "too_late" : "no_replica",
             RetryAfterFor(result.refusal.retry_after));
    }
    return;
  }
  const Placement& placement = *result.placement;
  expected_first_ = placement.expected;
  JsonFields fields;
  fields.Text("request", facts_.request_id)
      .Text("route", route_->name)
      .Text("target", placement.target.id)
      .Text("prefill", placement.prefill ? placement.prefill->id : "")
      .Integer("uncached", static_cast<int64_t>(
                               placement.prefill ? placement.prefill_uncached
                                                 : placement.target_uncached))
      .Text("cache_source",
            placement.cache_source ? placement.cache_source->id : "")
      .Integer("body_bytes", static_cast<int64_t>(BodyBytes()))
      .Integer("copied", static_cast<int64_t>(placement.copied))
      .Integer("read_again", static_cast<int64_t>(placement.read_again))
      .Integer("output",
               facts_.prompt
                   ? static_cast<int64_t>(facts_.prompt->expected_output_tokens)
                   : 0)
      .Millis("expected_ms", placement.expected)
      .Millis("expected_end_ms", placement.expected_end)
      .Millis("left_ms", query.time_left)
      .Millis("first_left_ms", query.first_output_left)
      .Integer("map_version", services_->version);
  core_->log.Log(kLogRequestPlaced, fields, now);
  if (placement.prefill) {
    ReadPrompt(placement);
  } else {
    Run(placement, std::nullopt);
  }
}

CallHeaders RelayExchange::MakeCallHeaders(const Replica& replica) const {
  CallHeaders headers;
  headers.expected_replica = replica.id;
  headers.time_left =
      std::max(Duration(std::chrono::milliseconds(1)), TimeLeft());
  headers.priority =
      QueuePriority(route_->priority, active_ ? active_->unread_tokens : 0);
  headers.last_event_id = facts_.last_event_id;
  return headers;
}

bool RelayExchange::SpendForArrival() {
  if (arrivals_ == 0) {
    return true;
  }
  return core_->budget.TrySpend(service_, BootClock::now());
}

void RelayExchange::ReadPrompt(const Placement& placement) {
  phase_ = Phase::kReadingPrompt;
  const TimePoint now = BootClock::now();
  ReplicaLoad& load = core_->placer.LoadOf(*placement.prefill);
  load.CallSent(placement.prefill_uncached);
  core_->placer.cache_view().NoteSent(EngineKey(*placement.prefill),
                                      *facts_.prompt, now);
  active_ = ActiveCall();
  active_->replica = *placement.prefill;
  active_->unread_tokens = placement.prefill_uncached;
  active_->sent = active_->last_bytes = now;
  last_replica_ = placement.prefill->id;

  TargetRequest request;
  request.ip = placement.prefill->ip;
  request.port = placement.prefill->port;
  request.method = request_.method;
  request.path = request_.target;
  CallHeaders headers = MakeCallHeaders(*placement.prefill);
  headers.read_prompt_only = true;
  headers.last_event_id.reset();
  if (placement.cache_source) {
    headers.cache_source = AddressOf(*placement.cache_source);
  }
  request.headers = core_->protocol.EncodeCall(forwarded_, headers);
  request.body = request_.body;
  request.request_id = facts_.request_id;

  TargetCallHandlers handlers;
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  handlers.on_head = [weak](const TargetAnswerHead& head) {
    const auto self = weak.lock();
    if (!self || !self->active_) {
      return false;
    }
    self->active_->status = head.status;
    self->active_->facts =
        self->core_->protocol.DecodeAnswer(head.status, head.headers);
    return true;
  };
  handlers.on_body = [weak](std::string_view bytes) {
    const auto self = weak.lock();
    if (self && self->active_ &&
        self->active_->body.size() + bytes.size() <= kMaxPromptAnswerBytes) {
      self->active_->body.append(bytes);
    }
  };
  handlers.on_end = [weak, placement](CallEnd end, std::string_view detail) {
    if (const auto self = weak.lock()) {
      self->PromptCallEnded(placement, end, detail);
    }
  };
  active_->call = core_->targets.Start(std::move(request), std::move(handlers));
}

void RelayExchange::PromptCallEnded(const Placement& placement,
                                    CallEnd end,
                                    std::string_view detail) {
  if (phase_ != Phase::kReadingPrompt || !active_) {
    return;
  }
  const TimePoint now = BootClock::now();
  const ActiveCall ended = *active_;
  active_->call.reset();
  std::optional<KvHandle> kv;
  if (end == CallEnd::kComplete && ended.status == 200) {
    kv = core_->protocol.DecodeKvHandle(ended.body);
  }
  ReplicaLoad& load = core_->placer.LoadOf(ended.replica);
  if (ended.facts.load) {
    load.Report(*ended.facts.load, now);
  }
  CallResult result = CallResult::kFailed;
  if (kv) {
    result = CallResult::kAnswered;
    core_->placer.cache_view().NoteRead(EngineKey(ended.replica),
                                        *facts_.prompt, now);
    const auto took = std::chrono::duration_cast<Duration>(now - ended.sent);
    core_->placer.ObservePrefill(ended.unread_tokens, took);
  } else if (ended.facts.not_run) {
    result = CallResult::kRejected;
  } else if (end == CallEnd::kNotSent) {
    result = CallResult::kUnreachable;
  }
  CloseActiveCall(result);
  JsonFields fields;
  fields.Text("request", facts_.request_id)
      .Text("replica", ended.replica.id)
      .Text("call", "prefill")
      .Integer("status", ended.status)
      .Millis("took_ms", std::chrono::duration_cast<Duration>(now - ended.sent))
      .Integer("uncached", static_cast<int64_t>(ended.unread_tokens))
      .Text("outcome", kv ? "prompt_read" : "prompt_not_read")
      .Integer("running", ended.facts.load ? ended.facts.load->running : -1)
      .Integer("waiting", ended.facts.load ? ended.facts.load->waiting : -1)
      .Text("detail", detail);
  core_->log.Log(kLogCallEnded, fields, now);
  if (kv) {
    kv_ = kv;
    kv_holder_ = ended.replica;
    RunAfterPrompt(placement);
    return;
  }
  // The prompt call does not run the request, whatever became of it. One that
  // was not accepted counts as an arrival.
  if (end != CallEnd::kNotSent) {
    ++arrivals_;
  }
  excluded_.insert(ended.replica.id);
  if (end != CallEnd::kNotSent) {
    may_read_apart_ = false;
  }
  if (arrivals_ > 0 && core_->budget.Left(service_, now) < 1) {
    Refuse(503, "retry_budget_empty", RetryAfterFor(expected_first_));
    return;
  }
  Place();
}

void RelayExchange::RunAfterPrompt(const Placement& placement) {
  // Reading a long prompt takes seconds, in which the target may have left.
  const Replica* target = core_->beliefs.replicas.Find(placement.target.id);
  if (target != nullptr && TakesWork(*target, placement.target)) {
    Run(placement, kv_);
    return;
  }
  PlacementQuery query;
  query.service = service_;
  query.prompt = facts_.prompt;
  query.excluded = excluded_;
  query.body_bytes = static_cast<double>(BodyBytes());
  query.time_left = query.first_output_left = TimeLeft();
  query.may_read_apart = false;
  const PlacementResult result =
      core_->placer.Choose(core_->beliefs.replicas, query, BootClock::now());
  if (!result.placement) {
    ReleaseKv();
    Place();
    return;
  }
  Placement moved = placement;
  moved.target = result.placement->target;
  moved.target_uncached = 0;
  Run(moved, kv_);
}

void RelayExchange::Run(const Placement& placement,
                        std::optional<KvHandle> kv) {
  phase_ = Phase::kRunning;
  const TimePoint now = BootClock::now();
  if (!SpendForArrival()) {
    ReleaseKv();
    if (answer_begun_) {
      caller_->Abort();
      End("broken_no_budget", 0);
    } else if (maybe_runs_ > 0) {
      Refuse(502, "outcome_unknown", Duration(0));
    } else {
      Refuse(503, "retry_budget_empty", RetryAfterFor(kNotReadyRetryAfter));
    }
    return;
  }
  ReplicaLoad& load = core_->placer.LoadOf(placement.target);
  load.CallSent(placement.target_uncached);
  if (facts_.prompt) {
    core_->placer.cache_view().NoteSent(EngineKey(placement.target),
                                        *facts_.prompt, now);
  }
  active_ = ActiveCall();
  active_->replica = placement.target;
  active_->unread_tokens = placement.target_uncached;
  active_->sent = active_->last_bytes = now;
  last_replica_ = placement.target.id;

  TargetRequest request;
  request.ip = placement.target.ip;
  request.port = placement.target.port;
  request.method = request_.method;
  request.path = request_.target;
  CallHeaders headers = MakeCallHeaders(placement.target);
  if (kv) {
    headers.kv_source = AddressOf(*kv_holder_) + "/" + kv->handle;
  } else if (placement.cache_source) {
    headers.cache_source = AddressOf(*placement.cache_source);
  }
  if (scanner_.last_id()) {
    headers.last_event_id = scanner_.last_id();
  }
  request.headers = core_->protocol.EncodeCall(forwarded_, headers);
  request.body = request_.body;
  request.request_id = facts_.request_id;

  TargetCallHandlers handlers;
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  handlers.on_head = [weak](const TargetAnswerHead& head) {
    const auto self = weak.lock();
    return self && self->RunHead(head);
  };
  handlers.on_body = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->RunBody(bytes);
    }
  };
  handlers.on_end = [weak](CallEnd end, std::string_view detail) {
    if (const auto self = weak.lock()) {
      self->RunEnded(end, detail);
    }
  };
  active_->call = core_->targets.Start(std::move(request), std::move(handlers));
}

bool RelayExchange::RunHead(const TargetAnswerHead& head) {
  if (!active_) {
    return false;
  }
  active_->head = head;
  active_->status = head.status;
  active_->last_bytes = BootClock::now();
  active_->facts = core_->protocol.DecodeAnswer(head.status, head.headers);
  if (active_->facts.load) {
    core_->placer.LoadOf(active_->replica)
        .Report(*active_->facts.load, active_->last_bytes);
  }
  active_->streaming = route_->kind == RouteKind::kStreaming &&
                       head.status == 200 && active_->facts.signed_by_target &&
                       !active_->facts.encoded;
  return true;
}

void RelayExchange::RunBody(std::string_view bytes) {
  if (!active_) {
    return;
  }
  active_->last_bytes = BootClock::now();
  if (!active_->begun) {
    active_->begun = true;
    core_->placer.LoadOf(active_->replica).PromptRead(active_->unread_tokens);
    active_->unread_tokens = 0;
    if (active_->streaming && facts_.prompt) {
      core_->placer.cache_view().NoteRead(EngineKey(active_->replica),
                                          *facts_.prompt, active_->last_bytes);
    }
  }
  if (active_->streaming) {
    RelayEvents(bytes);
    return;
  }
  active_->body.append(bytes);
  if (active_->body.size() > kMaxCollectedBytes) {
    // Too large to hold: from here on a break is visible to the caller.
    active_->streaming = true;
    DeliverCollected();
  }
}

void RelayExchange::RelayEvents(std::string_view bytes) {
  if (route_->kind != RouteKind::kStreaming) {
    caller_->SendBody(bytes);
  } else {
    const std::string events = scanner_.Feed(bytes);
    if (scanner_.gap()) {
      // Pieces are missing, or belong to another run.
      CloseActiveCall(CallResult::kFailed);
      ++arrivals_;
      ++maybe_runs_;
      AfterCall(CallOutcome::kBroken, "event ids do not follow each other");
      return;
    }
    if (events.empty()) {
      return;
    }
    if (!answer_begun_) {
      answer_begun_ = true;
      first_output_ = BootClock::now();
      // The KV cache was taken by this run.
      kv_.reset();
      CallerAnswerHead head;
      head.status = active_->head.status;
      head.reason = active_->head.reason;
      head.headers = WithoutConnectionHeaders(active_->head.headers);
      caller_->SendHead(head);
    }
    caller_->SendBody(events);
  }
  if (caller_->unsent_bytes() > kMaxUnsentBytes && active_ && active_->call) {
    active_->call->Pause();
    const std::weak_ptr<RelayExchange> weak = weak_from_this();
    caller_->set_on_drained([weak] {
      const auto self = weak.lock();
      if (self && self->active_ && self->active_->call) {
        self->active_->call->Resume();
      }
    });
  }
}

CallOutcome RelayExchange::OutcomeOf(CallEnd end) const {
  switch (end) {
    case CallEnd::kNotSent:
      return CallOutcome::kNotSent;
    case CallEnd::kNoAnswer:
    case CallEnd::kBadAnswer:
      return CallOutcome::kMayHaveRun;
    case CallEnd::kTruncated:
      return active_->facts.not_run ? CallOutcome::kNotRun
                                    : CallOutcome::kBroken;
    case CallEnd::kComplete:
      break;
  }
  if (active_->facts.not_run) {
    return CallOutcome::kNotRun;
  }
  if (active_->streaming && scanner_.has_partial_event()) {
    return CallOutcome::kBroken;
  }
  const bool success = active_->status >= 200 && active_->status < 300;
  if (success && (!active_->facts.signed_by_target || active_->facts.encoded)) {
    return CallOutcome::kMayHaveRun;
  }
  if (active_->status >= 500) {
    return CallOutcome::kFailedAnswer;
  }
  return CallOutcome::kAnswered;
}

void RelayExchange::RunEnded(CallEnd end, std::string_view detail) {
  if (phase_ != Phase::kRunning || !active_) {
    return;
  }
  active_->call.reset();
  const CallOutcome outcome = OutcomeOf(end);
  CallResult result = CallResult::kFailed;
  switch (outcome) {
    case CallOutcome::kNotSent:
      result = CallResult::kUnreachable;
      break;
    case CallOutcome::kNotRun:
      result = CallResult::kRejected;
      break;
    case CallOutcome::kAnswered:
      result = CallResult::kAnswered;
      break;
    default:
      break;
  }
  ActiveCall ended = *active_;
  CloseActiveCall(result);
  if (outcome != CallOutcome::kNotSent) {
    ++arrivals_;
  }
  if (outcome != CallOutcome::kNotSent && outcome != CallOutcome::kNotRun) {
    ++maybe_runs_;
    kv_.reset();
  }
  active_ = std::move(ended);
  AfterCall(outcome, detail);
}

void RelayExchange::AfterCall(CallOutcome outcome, std::string_view detail) {
  const TimePoint now = BootClock::now();
  AttemptFacts facts;
  facts.outcome = outcome;
  facts.targets_that_may_have_run = maybe_runs_;
  facts.answer_begun = answer_begun_;
  facts.budget_left = core_->budget.Left(service_, now) >= 1;
  facts.time_left = TimeLeft();
  const NextStep step = DecideNextStep(*route_, facts);
  if (step != NextStep::kDeliver || outcome != CallOutcome::kAnswered) {
    JsonFields fields;
    fields.Text("request", facts_.request_id)
        .Text("replica", last_replica_)
        .Text("call", "run")
        .Integer("status", active_ ? active_->status : 0)
        .Text("outcome", NameOf(outcome))
        .Text("next", NameOf(step))
        .Integer("may_have_run", maybe_runs_)
        .Number("budget_left", core_->budget.Left(service_, now))
        .Millis("left_ms", facts.time_left)
        .Text("detail", detail);
    core_->log.Log(kLogCallEnded, fields, now);
  }
  switch (step) {
    case NextStep::kRepeat:
    case NextStep::kResume:
      scanner_.DropPartialEvent();
      excluded_.insert(last_replica_);
      if (kv_) {
        // The handle was not taken; the next placement reads the prompt where
        // it runs.
        ReleaseKv();
        may_read_apart_ = false;
      }
      active_.reset();
      Place();
      return;
    case NextStep::kDeliver:
      if (answer_begun_) {
        const int status = active_ ? active_->status : 200;
        caller_->Finish();
        End("answered", status);
      } else {
        DeliverCollected();
      }
      return;
    case NextStep::kRefuseNotRun:
      Refuse(503, "not_run",
             RetryAfterFor(std::max(expected_first_, kNotReadyRetryAfter)));
      return;
    case NextStep::kFailUnknown:
      Refuse(502, "outcome_unknown", Duration(0));
      return;
    case NextStep::kFailTimeout:
      Refuse(504, "timeout", Duration(0));
      return;
    case NextStep::kBreakOff:
      caller_->Abort();
      End("broken_off", 0);
      return;
    case NextStep::kDrop:
      End("caller_left", 0);
      return;
  }
}

void RelayExchange::DeliverCollected() {
  CallerAnswerHead head;
  head.status = active_->head.status;
  head.reason = active_->head.reason;
  head.headers = WithoutConnectionHeaders(active_->head.headers);
  const std::string body = std::move(active_->body);
  if (!first_output_) {
    first_output_ = BootClock::now();
  }
  if (active_->streaming) {
    answer_begun_ = true;
    caller_->SendHead(head);
    caller_->SendBody(body);
    if (active_->call) {
      return;  // the rest follows as it arrives
    }
  } else {
    head.length = body.size();
    if (request_.method == "HEAD") {
      // The length is that of the body which a GET would have.
      const auto length = FindHeader(active_->head.headers, "content-length");
      head.length =
          length ? std::strtoul(std::string(*length).c_str(), nullptr, 10) : 0;
    }
    caller_->SendHead(head);
    caller_->SendBody(body);
  }
  caller_->Finish();
  End(head.status >= 500 ? "target_failed" : "answered", head.status);
}

void RelayExchange::Refuse(int status,
                           std::string_view reason,
                           Duration retry_after) {
  CallerAnswerHead head;
  head.status = status;
  head.headers = {{"Content-Type", "application/json"}};
  if (!facts_.request_id.empty()) {
    for (const auto& it : request_.headers) {
      if (it.second == facts_.request_id) {
        head.headers.push_back(it);
        break;
      }
    }
  }
  if (retry_after > Duration(0)) {
    head.headers.push_back(core_->protocol.RetryAfterHeader(retry_after));
  }
  const std::string body = "{\"error\":\"" + std::string(reason) + "\"}";
  head.length = body.size();
  caller_->SendHead(head);
  caller_->SendBody(body);
  caller_->Finish();
  End(reason, status);
}

void RelayExchange::ArmDeadline() {
  deadline_timer_.expires_after(std::max(Duration(0), TimeLeft()));
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  deadline_timer_.async_wait([weak](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->OnDeadline();
    }
  });
}

void RelayExchange::OnDeadline() {
  if (phase_ == Phase::kEnded) {
    return;
  }
  if (TimeLeft() > Duration(0)) {
    ArmDeadline();
    return;
  }
  EndWithTimeout();
}

void RelayExchange::EndWithTimeout() {
  const bool running = phase_ == Phase::kRunning;
  CloseActiveCall(CallResult::kFailed);
  ReleaseKv();
  if (answer_begun_) {
    caller_->Abort();
    End("timeout_midway", 0);
  } else if (running || maybe_runs_ > 0) {
    Refuse(504, "timeout", Duration(0));
  } else {
    Refuse(503, "timeout_not_run", kMinRetryAfter);
  }
}

void RelayExchange::ArmWatchdog() {
  watchdog_timer_.expires_after(kWatchdogInterval);
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  watchdog_timer_.async_wait([weak](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self && self->phase_ != Phase::kEnded) {
      self->OnWatchdog();
    }
  });
}

void RelayExchange::OnWatchdog() {
  ArmWatchdog();
  if (!active_ || !active_->call) {
    return;
  }
  const TimePoint now = BootClock::now();
  const Duration silence =
      std::chrono::duration_cast<Duration>(now - active_->last_bytes);
  const bool reading_prompt = phase_ == Phase::kReadingPrompt;
  if (!reading_prompt && !MayRunAgain(*route_)) {
    return;
  }
  Duration limit = kMaxStreamSilence;
  if (!active_->begun) {
    limit = 2 * expected_first_ +
            (facts_.prompt ? kFirstOutputSlack : kPlainAnswerSlack);
  }
  if (silence < limit || caller_->unsent_bytes() > 0) {
    return;
  }
  if (reading_prompt) {
    Placement placement;
    placement.target = active_->replica;
    active_->call->Cancel();
    PromptCallEnded(placement, CallEnd::kNoAnswer, "silent target");
    return;
  }
  AttemptFacts facts;
  facts.outcome =
      answer_begun_ ? CallOutcome::kBroken : CallOutcome::kMayHaveRun;
  facts.targets_that_may_have_run = maybe_runs_ + 1;
  facts.answer_begun = answer_begun_;
  facts.budget_left = core_->budget.Left(service_, now) >= 1;
  facts.time_left = TimeLeft();
  const NextStep step = DecideNextStep(*route_, facts);
  // Silence alone is no reason to end an answer, only to continue elsewhere.
  if (step != NextStep::kRepeat && step != NextStep::kResume) {
    return;
  }
  CloseActiveCall(CallResult::kFailed);
  ++arrivals_;
  ++maybe_runs_;
  kv_.reset();
  AfterCall(facts.outcome, "silent target");
}

void RelayExchange::CloseActiveCall(CallResult result) {
  if (!active_) {
    return;
  }
  if (active_->call) {
    active_->call->Cancel();
  }
  ReplicaLoad& load = core_->placer.LoadOf(active_->replica);
  load.PromptRead(active_->unread_tokens);
  load.CallEnded(result, BootClock::now());
  active_.reset();
}

void RelayExchange::ReleaseKv() {
  if (!kv_ || !kv_holder_) {
    return;
  }
  TargetRequest request;
  request.ip = kv_holder_->ip;
  request.port = kv_holder_->port;
  const auto [method, path] = core_->protocol.ReleaseKvCall(kv_->handle);
  request.method = method;
  request.path = path;
  request.headers = {{"Host", AddressOf(*kv_holder_)}};
  TargetCallHandlers handlers;
  handlers.on_head = [](const TargetAnswerHead&) { return true; };
  handlers.on_body = [](std::string_view) {};
  // The handle lapses by itself when this call is lost.
  handlers.on_end = [](CallEnd, std::string_view) {};
  core_->targets.Start(std::move(request), std::move(handlers));
  kv_.reset();
}

void RelayExchange::End(std::string_view outcome, int status) {
  if (phase_ == Phase::kEnded) {
    return;
  }
  phase_ = Phase::kEnded;
  deadline_timer_.cancel();
  watchdog_timer_.cancel();
  ReleaseKv();
  const TimePoint now = BootClock::now();
  const Duration total =
      std::chrono::duration_cast<Duration>(now - request_.received);
  const Duration first = first_output_ ? std::chrono::duration_cast<Duration>(
                                             *first_output_ - request_.received)
                                       : Duration(-1);
  const std::string route_name = route_ == nullptr ? "" : route_->name;
  core_->metrics.ObserveRequest(service_, route_name, std::string(outcome),
                                Duration(-1), first, total);
  JsonFields fields;
  fields.Text("request", facts_.request_id)
      .Text("route", route_name)
      .Text("outcome", outcome)
      .Integer("status", status)
      .Text("replica", last_replica_)
      .Integer("arrivals", arrivals_)
      .Integer("may_have_run", maybe_runs_)
      .Millis("expected_ms", expected_first_)
      .Millis("first_ms", first)
      .Millis("total_ms", total)
      .Integer("map_version", services_ ? services_->version : 0);
  core_->log.Log(kLogRequestFinished, fields, now);
}

}  // namespace endiveyard
