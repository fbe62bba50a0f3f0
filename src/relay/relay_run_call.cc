#include <algorithm>
#include <map>
#include <utility>

#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/header_rules.h"
#include "relay/relay_exchange.h"
#include "relay/retry_after.h"

namespace endiveyard {
namespace {

// Reading from the target pauses while more bytes than this wait for a slow
// caller.
constexpr size_t kMaxUnsentBytes = 512 << 10;
constexpr size_t kMaxUnsentBytesWhenScarce = 64 << 10;
// HTTP status of a response from another replica than the one expected.
constexpr int kMisdirectedRequest = 421;

}  // namespace

void RelayExchange::RecordSentTo(const std::string& version) {
  if (route_->kind != RouteKind::kStreaming || !route_->resumable) {
    return;
  }
  // Before the first event, so that other instances are told in time.
  version_record_unused_ = !ResponseBegun();
  context_->stream_versions.RecordBegun(
      service_, StreamIdOf(request_metadata_.request_id), version,
      BootClock::now());
  sent_to_version_ = version;
}

void RelayExchange::StartRun(const Placement& placement,
                             std::optional<KvHandle> kv) {
  phase_ = Phase::kRunning;
  if (!TrySpendRetryBudget()) {
    ReleaseKv();
    EndInFailure("retry_budget_empty",
                 RetryAfterWithJitter(kNotReadyRetryAfter));
    return;
  }
  RecordSentTo(placement.target.version);
  RegisterCall(placement.target,
               kv ? CallKind::kRunAfterPrefill : CallKind::kRun,
               placement.predicted_run, placement.target_uncached);
  CallHeaders headers = MakeCallHeaders(placement.target);
  if (kv) {
    headers.kv_source = AddressOf(*kv_holder_) + "/" + kv->handle;
  } else if (placement.cache_source) {
    headers.cache_source = AddressOf(*placement.cache_source);
  }
  if (sse_splitter_.last_id()) {
    headers.last_event_id = sse_splitter_.last_id();
  }
  sse_splitter_.BeginRun(context_->event_steps.RuleFor(
      NumberingGroupOf(active_call_->replica), EngineKey(active_call_->replica),
      BootClock::now()));
  TargetCallHandlers handlers;
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  handlers.on_head = [weak](const TargetResponseHead& head) {
    const auto self = weak.lock();
    return self && self->OnRunHead(head);
  };
  handlers.on_body = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnRunBody(bytes);
    }
  };
  handlers.on_end = [weak](TransportStatus transport_status,
                           std::string_view detail) {
    if (const auto self = weak.lock()) {
      self->OnRunEnd(transport_status, detail);
    }
  };
  SendCall(headers, std::move(handlers));
  context_->survival_prober->RecordRequest(active_call_->replica);
}

bool RelayExchange::OnRunHead(const TargetResponseHead& head) {
  if (!active_call_) {
    return false;
  }
  active_call_->head = head;
  active_call_->status = head.status;
  response_framing_ = head.framing;
  active_call_->last_progress_at = BootClock::now();
  context_->links.RecordResponse(active_call_->last_progress_at);
  active_call_->response_metadata =
      context_->protocol.DecodeResponse(head.status, head.headers);
  RecordResponseHead();
  if (head.framing == BodyFraming::kConnection && !IsEngineService()) {
    context_->survival_prober->RecordUnframedHead(active_call_->replica);
  }
  if (active_call_->response_metadata.load) {
    context_->placer.RecordReportedLoad(active_call_->replica,
                                        *active_call_->response_metadata.load,
                                        active_call_->last_progress_at);
  }
  active_call_->streaming =
      route_->kind == RouteKind::kStreaming && head.status == 200 &&
      active_call_->response_metadata.signed_by_target &&
      !active_call_->response_metadata.has_content_encoding;
  return true;
}

void RelayExchange::RecordResponseHead() {
  RecordSignOfLife();
  const ResponseMetadata& metadata = active_call_->response_metadata;
  // What states neither the request nor a signature may not be of a replica.
  if (active_call_->status != kMisdirectedRequest &&
      (metadata.request_id || metadata.signed_by_target)) {
    context_->survival_prober->RecordResponse(active_call_->replica,
                                              active_call_->head.connected_at,
                                              active_call_->sent_at);
  }
  RecordAvailability(active_call_->replica, active_call_->status,
                     active_call_->response_metadata);
  RecordRateLimit(active_call_->replica, active_call_->status,
                  active_call_->response_metadata);
}

void RelayExchange::RecordRateLimit(const Replica& replica,
                                    int status,
                                    const ResponseMetadata& metadata) {
  if (status == kMisdirectedRequest || metadata.has_invalid_rate_limit ||
      (!metadata.requests_per_second && (metadata.not_run || status >= 500))) {
    // From another replica at this address, or perhaps not from a replica. What
    // was stated before stays in force.
    return;
  }
  const TimePoint now = BootClock::now();
  ReplicaRateLimits& limits = context_->placer.rate_limits();
  const uint64_t key = EngineKey(replica);
  const std::optional<double> before = limits.LimitOf(key, now);
  if (limits.RecordResponse(key, metadata.requests_per_second, now)) {
    constexpr double kNone = -1;
    JsonFields fields;
    fields.Text("replica", replica.id)
        .Number("requests_per_s", metadata.requests_per_second.value_or(kNone))
        .Number("before", before.value_or(kNone))
        .Text("request", request_metadata_.request_id)
        .Integer("status", status);
    context_->log.Log(kLogReplicaRateLimitChanged, fields, now);
  }
}

void RelayExchange::RecordAvailability(const Replica& replica,
                                       int status,
                                       const ResponseMetadata& metadata) {
  if (status == kMisdirectedRequest) {
    return;  // from another replica at this address
  }
  const TimePoint now = BootClock::now();
  TargetAvailability& availability = context_->placer.availability();
  const uint64_t key = EngineKey(replica);
  JsonFields fields;
  fields.Text("replica", replica.id)
      .Text("request", request_metadata_.request_id)
      .Integer("status", status);
  if (!metadata.invalid_header.empty() &&
      context_->invalid_headers_log.Allow(key, now)) {
    JsonFields invalid = fields;
    invalid.Text("header", metadata.invalid_header);
    context_->log.Log(kLogReplicaHeaderInvalid, invalid, now);
  }
  if (metadata.leaving && availability.RecordLeaving(key, now)) {
    context_->log.Log(kLogReplicaLeaving, fields, now);
  }
  if (metadata.pause && availability.RecordPause(key, *metadata.pause, now)) {
    fields.Millis("pause_ms", availability.PauseOf(key, now));
    context_->log.Log(kLogReplicaPaused, fields, now);
  }
}

void RelayExchange::RecordOutput() {
  active_call_->last_progress_at = BootClock::now();
  if (active_call_->output_started_at) {
    RecordSurvival(false);
    return;
  }
  active_call_->output_started_at = active_call_->last_progress_at;
  const auto waited = std::chrono::duration_cast<Duration>(
      active_call_->last_progress_at - active_call_->sent_at);
  context_->placer.ObserveWait(
      service_, active_call_->call_class, active_call_->replica,
      active_call_->predicted_wait, waited, active_call_->last_progress_at);
  context_->placer.LoadOf(active_call_->replica)
      .RecordPrefilled(active_call_->pending_prefill_tokens);
  active_call_->pending_prefill_tokens = 0;
  if (active_call_->streaming && request_metadata_.prompt) {
    context_->placer.cache_view().RecordPrefilled(
        EngineKey(active_call_->replica), *request_metadata_.prompt,
        active_call_->last_progress_at);
  }
}

void RelayExchange::OnRunBody(std::string_view bytes) {
  if (!active_call_) {
    return;
  }
  if (active_call_->streaming) {
    ForwardBody(bytes);
    return;
  }
  RecordOutput();
  active_call_->body.append(bytes);
  caller_->SetCollectedBytes(active_call_->body.capacity());
  if (active_call_->body.size() > kMaxCollectedResponseBytes) {
    if (OutcomeOf(TransportStatus::kComplete) != CallOutcome::kCompleted) {
      // The rest is not read, so there is no response to forward.
      AbandonRun(OutcomeOf(TransportStatus::kTruncated),
                 "failure response exceeds the size limit");
      return;
    }
    // Too large to buffer. From here on, a failure is visible to the caller.
    BeginLargeResponse();
  }
}

void RelayExchange::ForwardBody(std::string_view bytes) {
  if (route_->kind != RouteKind::kStreaming) {
    RecordOutput();
    std::get<BegunResponse>(response_).SendBody(bytes);
  } else {
    const bool has_begun = sse_splitter_.last_id().has_value();
    const std::string events = sse_splitter_.Feed(bytes);
    if (!has_begun && !RecordStreamStart()) {
      if (ResponseBegun()) {
        sse_splitter_.ForgetIds();
      } else {
        sse_splitter_ = SseSplitter();
      }
      AbandonRun(CallOutcome::kIncompleteResponse,
                 "first event id is above that of other streams");
      return;
    }
    ForwardEvents(events);
    if (sse_splitter_.has_held_event()) {
      RecordOutput();
    }
    if (sse_splitter_.has_gap()) {
      // Events are missing, or they belong to another run of the request.
      AbandonRun(CallOutcome::kIncompleteResponse,
                 "event id does not follow the id before it");
      return;
    }
    if (sse_splitter_.is_overlong()) {
      AbandonRun(CallOutcome::kIncompleteResponse,
                 "event exceeds the size limit");
      return;
    }
  }
  if (active_call_) {
    PauseForSlowCaller(active_call_->call);
  }
}

bool RelayExchange::RecordStreamStart() {
  const std::optional<int64_t> first_id = sse_splitter_.first_id();
  const Replica& replica = active_call_->replica;
  const TimePoint now = BootClock::now();
  return !first_id || context_->stream_starts.Record(
                          {service_, replica.version, route_->name},
                          EngineKey(replica), *first_id,
                          context_->event_steps.LargestStepOf(
                              NumberingGroupOf(replica), now),
                          now);
}

StreamGroup RelayExchange::NumberingGroupOf(const Replica& replica) const {
  constexpr const char* kAllRoutes = "";
  return {service_, replica.version, kAllRoutes};
}

void RelayExchange::ExcludeReplicasNumberedOtherwise() {
  const TimePoint now = BootClock::now();
  std::map<std::string, bool> is_mixed;  // by software version
  for (const Replica* it : context_->routing_state.replicas.Usable(service_)) {
    const StreamGroup group = NumberingGroupOf(*it);
    const auto [version, is_new] = is_mixed.emplace(it->version, false);
    if (is_new) {
      version->second = context_->event_steps.IsMixed(group, now);
    }
    if (version->second &&
        !sse_splitter_.IsNumberedLike(
            context_->event_steps.RuleFor(group, EngineKey(*it), now))) {
      excluded_replica_ids_.insert(it->id);
    }
  }
}

void RelayExchange::RecordEventSteps(bool is_complete) {
  if (active_call_->streaming) {
    context_->event_steps.Record(NumberingGroupOf(active_call_->replica),
                                 EngineKey(active_call_->replica),
                                 sse_splitter_.LargestStepOfRun(is_complete),
                                 BootClock::now());
  }
}

void RelayExchange::PauseForSlowCaller(
    const std::shared_ptr<TargetCall>& call) {
  // A target cuts off a response that stays unread, and holds its memory until
  // then. So the rest is kept here while there is memory for it.
  const size_t limit = context_->caller_memory.IsScarce()
                           ? kMaxUnsentBytesWhenScarce
                           : kMaxUnsentBytes;
  if (caller_->unsent_bytes() <= limit || !call) {
    return;
  }
  call->Pause();
  const std::weak_ptr<TargetCall> weak = call;
  caller_->set_on_all_sent([weak] {
    if (const auto paused = weak.lock()) {
      paused->Resume();
    }
  });
}

void RelayExchange::ForwardEvents(const std::string& events) {
  if (events.empty()) {
    return;
  }
  RecordOutput();
  if (auto* unsent = std::get_if<UnsentResponse>(&response_)) {
    first_output_at_ = BootClock::now();
    stream_version_ = active_call_->replica.version;
    version_record_unused_ = false;
    RecordRunStart();
    // This run has used the KV cache.
    kv_handle_.reset();
    response_ = std::move(*unsent).Begin(
        ResponseHeadFrom(active_call_->head, active_call_->replica));
  }
  std::get<BegunResponse>(response_).SendBody(events);
  const TimePoint now = BootClock::now();
  if (last_event_sent_at_) {
    const auto gap =
        std::chrono::duration_cast<Duration>(now - *last_event_sent_at_);
    context_->metrics.ObserveTokenGap(service_, route_->name, gap);
  }
  if (!active_call_->first_event_at) {
    active_call_->first_event_at = now;
  }
  last_event_sent_at_ = now;
}

void RelayExchange::AbandonRun(CallOutcome outcome, std::string_view detail) {
  EndedCall ended;
  ended.outcome = outcome;
  ended.status = active_call_->status;
  ended.output_started = active_call_->output_started_at.has_value();
  ended.replica = active_call_->replica;
  ended.took = std::chrono::duration_cast<Duration>(BootClock::now() -
                                                    active_call_->sent_at);
  ended.earlier_requests = active_call_->head.earlier_requests;
  RecordEventSteps(false);
  CloseActiveCall(CallResult::kFailed);
  ++delivered_calls_;
  if (outcome != CallOutcome::kNotRun) {
    ++possible_runs_;
    kv_handle_.reset();
  }
  ContinueAfterCall(ended, detail);
}

bool RelayExchange::EndedWithoutAnswer() const {
  // A stream that goes on may have no events left.
  return active_call_->head.framing == BodyFraming::kConnection &&
         !active_call_->output_started_at &&
         !(active_call_->streaming && sse_splitter_.last_id());
}

CallResult RelayExchange::ResultOfRefusal() const {
  return active_call_->status == kMisdirectedRequest ? CallResult::kMisdirected
                                                     : CallResult::kRejected;
}

CallOutcome RelayExchange::OutcomeOf(TransportStatus transport_status) const {
  switch (transport_status) {
    case TransportStatus::kNotSent:
      return CallOutcome::kNotSent;
    case TransportStatus::kNoResponse:
    case TransportStatus::kInvalidResponse:
      return CallOutcome::kMayHaveRun;
    case TransportStatus::kSilent:
      if (active_call_->status == 0) {
        return CallOutcome::kMayHaveRun;
      }
      [[fallthrough]];
    case TransportStatus::kTruncated:
      return active_call_->response_metadata.not_run
                 ? CallOutcome::kNotRun
                 : CallOutcome::kIncompleteResponse;
    case TransportStatus::kComplete:
      break;
  }
  if (active_call_->response_metadata.not_run) {
    return CallOutcome::kNotRun;
  }
  const bool success =
      active_call_->status >= 200 && active_call_->status < 300;
  if ((active_call_->streaming &&
       (sse_splitter_.has_partial_event() || sse_splitter_.IsEndInDoubt())) ||
      (success && EndedWithoutAnswer())) {
    return CallOutcome::kIncompleteResponse;
  }
  if (success && (!active_call_->response_metadata.signed_by_target ||
                  active_call_->response_metadata.has_content_encoding)) {
    return CallOutcome::kMayHaveRun;
  }
  if (active_call_->response_metadata.reads_as_not_run) {
    // The target has not stated it, so the caller must not read it.
    return CallOutcome::kMayHaveRun;
  }
  // Only events continue a stream that has begun.
  if (active_call_->status >= 500 ||
      (ResponseBegun() && !active_call_->streaming)) {
    return CallOutcome::kErrorResponse;
  }
  return CallOutcome::kCompleted;
}

void RelayExchange::OnRunEnd(TransportStatus transport_status,
                             std::string_view detail) {
  if (phase_ != Phase::kRunning || !active_call_) {
    return;
  }
  active_call_->call.reset();
  if (IsEndInDoubt(transport_status)) {
    CheckEnd();
  } else {
    FinishRun(transport_status, detail);
  }
}

void RelayExchange::FinishRun(TransportStatus transport_status,
                              std::string_view detail) {
  const CallOutcome outcome = OutcomeOf(transport_status);
  CallResult result = CallResult::kFailed;
  switch (outcome) {
    case CallOutcome::kNotSent:
      result = CallResult::kUnreachable;
      break;
    case CallOutcome::kNotRun:
      result = ResultOfRefusal();
      break;
    case CallOutcome::kCompleted:
      result = CallResult::kCompleted;
      break;
    default:
      break;
  }
  if (outcome == CallOutcome::kCompleted) {
    if (active_call_->streaming && sse_splitter_.has_held_event()) {
      ForwardEvents(sse_splitter_.TakeHeldEvent());
    }
    ObserveCompletedRun(*active_call_);
    RecordSurvival(true);
  } else {
    RecordLostCall(transport_status);
  }
  EndedCall ended;
  ended.outcome = outcome;
  ended.status = active_call_->status;
  ended.output_started = active_call_->output_started_at.has_value();
  ended.replica = active_call_->replica;
  ended.took = std::chrono::duration_cast<Duration>(
      active_call_->ended_at.value_or(BootClock::now()) -
      active_call_->sent_at);
  ended.earlier_requests = active_call_->head.earlier_requests;
  ended.head = std::move(active_call_->head);
  ended.body = std::move(active_call_->body);
  RecordEventSteps(transport_status == TransportStatus::kComplete);
  CloseActiveCall(result);
  if (outcome != CallOutcome::kNotSent) {
    ++delivered_calls_;
  }
  if (outcome != CallOutcome::kNotSent && outcome != CallOutcome::kNotRun) {
    ++possible_runs_;
    kv_handle_.reset();
  }
  ContinueAfterCall(ended, detail);
}

void RelayExchange::ObserveCompletedRun(const ActiveCall& call) {
  const TimePoint now = call.ended_at.value_or(BootClock::now());
  if (!request_metadata_.prompt) {
    context_->placer.ObservePlainCall(
        service_, std::chrono::duration_cast<Duration>(now - call.sent_at),
        now);
    return;
  }
  // Events hold several tokens each, so that the number of tokens is known only
  // from the estimate of the caller. That is right at the median.
  constexpr double kMinTokens = 16;
  const double tokens = request_metadata_.prompt->expected_output_tokens;
  if (const auto events = sse_splitter_.last_id()) {
    context_->placer.ObserveEvents(service_, tokens,
                                   static_cast<double>(*events), now);
  }
  if (call.first_event_at && call.response_metadata.load &&
      tokens >= kMinTokens) {
    context_->placer.ObserveOutput(
        service_, tokens, call.response_metadata.load->running,
        std::chrono::duration_cast<Duration>(call.last_progress_at -
                                             *call.first_event_at),
        now);
  }
}

void RelayExchange::ContinueAfterCall(const EndedCall& ended,
                                      std::string_view detail) {
  const CallOutcome outcome = ended.outcome;
  const TimePoint now = BootClock::now();
  AttemptFacts attempt;
  attempt.outcome = outcome;
  attempt.targets_that_may_have_run = possible_runs_;
  attempt.response_started = ResponseBegun();
  attempt.is_position_known = MayContinueStream();
  // What is forwarded again is counted by the other instance.
  attempt.budget_left = ended.was_forwarded ||
                        context_->retry_budget.Remaining(service_, now) >= 1;
  attempt.is_run_for_another_instance =
      request_.forwarded && possible_runs_ > request_.forwarded->possible_runs;
  attempt.time_left = TimeLeft();
  attempt.may_crash_targets = JudgeByCrashes() != CrashVerdict::kNone;
  const NextStep step = DecideNextStep(*route_, attempt);
  if (step != NextStep::kForwardResponse ||
      outcome != CallOutcome::kCompleted) {
    JsonFields fields;
    fields.Text("request", request_metadata_.request_id)
        .Text("replica", last_replica_id_)
        .Text("call", "run")
        .Integer("status", ended.status)
        .Millis("took_ms", ended.took)
        .Integer("earlier_requests", ended.earlier_requests)
        .Text("outcome", NameOf(outcome))
        .Text("next", NameOf(step))
        .Flag("output_started", ended.output_started)
        .Integer("last_event", sse_splitter_.last_id().value_or(kNoEvent))
        .Integer("may_have_run", possible_runs_)
        .Number("budget_left", context_->retry_budget.Remaining(service_, now))
        .Millis("left_ms", attempt.time_left)
        .Text("detail", detail);
    context_->log.Log(kLogCallEnded, fields, now);
  }
  switch (step) {
    case NextStep::kRetry:
    case NextStep::kResume:
      sse_splitter_.DropPartialEvent();
      excluded_replica_ids_.insert(last_replica_id_);
      if (step == NextStep::kResume) {
        ExcludeReplicasNumberedOtherwise();
      }
      if (kv_handle_) {
        // No run has used the handle. The next placement prefills the prompt on
        // the engine that runs the request.
        ReleaseKv();
        may_prefill_separately_ = false;
      }
      Place();
      return;
    case NextStep::kForwardResponse:
      if (ResponseBegun()) {
        std::get<BegunResponse>(std::exchange(response_, EndedResponse()))
            .Finish();
        End("answered", ended.status);
      } else {
        SendCompleteResponse(ended);
      }
      return;
    case NextStep::kRefuseNotRun:
      EndInFailure("not_run",
                   RetryAfterWithJitter(
                       std::max(expected_first_output_, kNotReadyRetryAfter)));
      return;
    case NextStep::kFailUnknown:
    case NextStep::kAbortResponse:
      EndInFailure("outcome_unknown", Duration(0));
      return;
    case NextStep::kFailTimeout:
      EndInFailure("timeout", Duration(0));
      return;
    case NextStep::kAbandon:
      response_ = EndedResponse();
      End("caller_left", 0);
      return;
  }
}

void RelayExchange::RecordRunStart() {
  const auto& on_run_started = context_->routing_state.on_run_started;
  // A forwarded request is counted by the instance that the caller turned to,
  // and a stream by the instance that passed its first event.
  const bool has_begun_elsewhere =
      request_.forwarded ||
      (TakesUpStream() && request_metadata_.last_event_id.value_or(0) > 0);
  if (on_run_started && customer_ != nullptr && !run_start_recorded_ &&
      !has_begun_elsewhere) {
    on_run_started(customer_->name);
  }
  run_start_recorded_ = true;
}

void RelayExchange::BeginLargeResponse() {
  RecordRunStart();
  active_call_->streaming = true;
  const std::string body = std::move(active_call_->body);
  if (!first_output_at_) {
    first_output_at_ = BootClock::now();
  }
  BegunResponse begun =
      std::get<UnsentResponse>(std::exchange(response_, EndedResponse()))
          .Begin(ResponseHeadFrom(active_call_->head, active_call_->replica));
  begun.SendBody(body);
  response_ = std::move(begun);
}

void RelayExchange::SendCompleteResponse(const EndedCall& ended) {
  const TargetResponseHead& head = ended.head;
  const std::string& body = ended.body;
  // A forwarded request may be refused by the other instance, without a
  // replica.
  if (!ended.replica.id.empty() && head.status < 500) {
    RecordRunStart();
  }
  if (!first_output_at_) {
    first_output_at_ = BootClock::now();
  }
  CallerResponseHead caller_head = ResponseHeadFrom(head, ended.replica);
  caller_head.length = body.size();
  if (request_.method == "HEAD") {
    // A HEAD response states the length of the body that a GET would return.
    const auto length = FindHeader(head.headers, "content-length");
    caller_head.length =
        length ? std::strtoul(std::string(*length).c_str(), nullptr, 10) : 0;
  }
  std::get<UnsentResponse>(std::exchange(response_, EndedResponse()))
      .Respond(caller_head, body);
  if (head.status < 500) {
    End("answered", head.status);
  } else {
    End(ended.replica.id.empty() ? "peer_failed" : "target_failed",
        head.status);
  }
}

}  // namespace endiveyard
