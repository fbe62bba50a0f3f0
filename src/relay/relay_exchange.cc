#include "relay/relay_exchange.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"
#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/header_rules.h"
#include "relay/retry_after.h"

namespace endiveyard {
namespace {

// Work of an engine for an output token, in prompt tokens.
constexpr double kOutputTokenCost = 10;

using boost::system::error_code;

// Limit on placements of one request, including those that failed. Higher than
// the attempts of any route, because a target that does not accept the
// connection does not use up an attempt.
constexpr int kMaxPlacements = 8;
// Calls of a retry whose prompt is prefilled on another engine again.
constexpr double kCallsOfDisaggregatedRetry = 2;
// Retry-After is spread over 1 to 1.5 times the wait, so that callers do not
// all return at once.
constexpr double kRetryAfterJitter = 0.5;

std::string_view NameOf(PlacementRefusal::Reason reason) {
  switch (reason) {
    case PlacementRefusal::Reason::kNoReplica:
      break;
    case PlacementRefusal::Reason::kTooLate:
      return "too_late";
    case PlacementRefusal::Reason::kRateLimited:
      return "rate_limited";
    case PlacementRefusal::Reason::kPaused:
      return "paused";
  }
  return "no_replica";
}

// Maps an id to a number that is uniformly distributed in [0, 1).
double UnitHash(std::string_view id) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(Digest64(id)) / kRange;
}

}  // namespace

RelayExchange::RelayExchange(std::shared_ptr<RelayContext> context,
                             std::shared_ptr<CallerConnection> caller,
                             CallerRequest request)
    : context_(std::move(context)),
      caller_(std::move(caller)),
      request_(std::move(request)),
      deadline_timer_(context_->io),
      watchdog_timer_(context_->io),
      turn_timer_(context_->io),
      response_(UnsentResponse(caller_)) {
  ++context_->open_exchanges;
}

RelayExchange::~RelayExchange() {
  --context_->open_exchanges;
  if (counted_route_) {
    context_->open_requests.End(*counted_route_);
  }
}

void RelayExchange::Start() {
  request_metadata_ = context_->protocol.DecodeRequest(request_.headers);
  if (request_.forwarded) {
    const ForwardedRequest& forwarded = *request_.forwarded;
    request_metadata_.time_left = forwarded.time_left + forwarded.waited;
    if (forwarded.last_event_id) {
      request_metadata_.last_event_id = forwarded.last_event_id;
    }
    stream_version_ = forwarded.stream_version;
    delivered_calls_ = forwarded.delivered_calls;
    possible_runs_ = forwarded.possible_runs;
    counted_in_budget_ = forwarded.counted;
    prompt_prefilled_ = forwarded.prefilled;
    if (!forwarded.excluded_replica.empty()) {
      excluded_replica_ids_.insert(forwarded.excluded_replica);
    }
  }
  const TimePoint now = BootClock::now();
  if (!context_->routing_state.IsComplete()) {
    if (now < context_->startup_deadline) {
      AwaitRoutingState(context_->startup_deadline);
      return;
    }
  } else if (!context_->routing_state.IsRecent(now)) {
    // After a standstill, requests are read before the news.
    AwaitRoutingState(now + context_->options.news_wait);
    return;
  }
  RouteRequest();
}

void RelayExchange::AwaitRoutingState(TimePoint end) {
  phase_ = Phase::kAwaitingRoutingState;
  if (request_metadata_.time_left) {
    end = std::min(end, request_.received + *request_metadata_.time_left);
  }
  context_->exchanges_awaiting_routing_state.push_back(weak_from_this());
  watchdog_timer_.expires_after(
      std::chrono::duration_cast<Duration>(end - BootClock::now()));
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  watchdog_timer_.async_wait([weak](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->StopAwaitingRoutingState();
    }
  });
}

void RelayExchange::StopAwaitingRoutingState() {
  if (phase_ == Phase::kAwaitingRoutingState) {
    watchdog_timer_.cancel();
    phase_ = Phase::kPlacing;
    RouteRequest();
  }
}

void RelayExchange::RefuseForLoad(const std::string& reason) {
  context_->metrics.CountRefusedForLoad(reason);
  const TimePoint now = BootClock::now();
  if (context_->shed_callers_log.Allow(kLogRequestsRefusedForLoad, now)) {
    JsonFields fields;
    fields.Text("reason", reason)
        .Integer("open", static_cast<int64_t>(context_->open_exchanges))
        .Integer("held", static_cast<int64_t>(context_->caller_memory.total()));
    context_->log.Log(kLogRequestsRefusedForLoad, fields, now);
  }
  if (request_.pipelined) {
    // The requests behind it would be refused as fast as they can be parsed.
    caller_->CloseAfterResponse();
  }
  EndInFailure("overloaded", RetryAfterWithJitter(kNotReadyRetryAfter));
}

void RelayExchange::RouteRequest() {
  route_ = nullptr;
  service_map_ = context_->routing_state.service_map;
  // Without a deadline from the caller, the route's timeout applies, see below.
  // One hour stands in for it until the route is known.
  deadline_ = request_.received + request_metadata_.time_left.value_or(
                                      Duration(std::chrono::hours(1)));
  if (!service_map_) {
    EndInFailure("no_configuration", kNotReadyRetryAfter);
    return;
  }
  if (context_->buffered_body_bytes >
          context_->options.max_body_bytes_in_flight ||
      !caller_->TakesRequest()) {
    RefuseForLoad("memory");
    return;
  }
  if (request_.forwarded &&
      service_map_->version < request_.forwarded->map_version) {
    RefuseForwarded("configuration_older");
    return;
  }
  const std::string_view path =
      std::string_view(request_.path_and_query)
          .substr(0, request_.path_and_query.find('?'));
  const auto host = FindHeader(request_.headers, "host");
  route_ = FindRoute(*service_map_, host.value_or(""), path);
  if (route_ == nullptr) {
    // While the registry is unreachable, the route may exist in a newer
    // configuration.
    if (context_->routing_state.service_map_current && !request_.forwarded) {
      RespondWithError(
          std::get<UnsentResponse>(std::exchange(response_, EndedResponse())),
          404, "no_route", Duration(0));
    } else {
      EndInFailure("configuration_stale", kNotReadyRetryAfter);
    }
    return;
  }
  deadline_ = std::min(deadline_, request_.received + route_->timeout);
  if (!Authenticate()) {
    return;
  }
  if (!context_->open_requests.Admits(route_->name, request_.pipelined)) {
    RefuseForLoad("requests");
    return;
  }
  context_->open_requests.Start(route_->name);
  counted_route_ = route_->name;
  const bool rejects_long_requests = context_->rejects_long_requests ||
                                     (context_->draining && request_.forwarded);
  if (rejects_long_requests &&
      request_.received + route_->timeout > context_->drain_deadline) {
    // The request could be cut off when this process exits. Other instances can
    // take it at once.
    if (MayRefuseForwarded()) {
      RefuseForwarded("shutting_down");
      return;
    }
    EndInFailure("shutting_down", kMinRetryAfter);
    return;
  }
  // The service of the first attempt, whose replicas have begun the stream.
  service_ = PickService(
      *route_,
      UnitHash(TakesUpStream() && !request_metadata_.resumed_request_id.empty()
                   ? request_metadata_.resumed_request_id
                   : request_metadata_.request_id));
  if (request_.forwarded && request_.forwarded->service &&
      *request_.forwarded->service != service_) {
    RefuseForwarded("other_service");
    return;
  }
  if (!request_.forwarded && !LinksLost()) {
    // Otherwise, the instance that sends it to a target counts it.
    CountInBudget();
  }
  forwarded_headers_ = WithoutHopByHopHeaders(request_.headers);
  if (request_metadata_.last_event_id) {
    sse_splitter_.StartAfter(*request_metadata_.last_event_id);
  }
  ArmDeadline();
  if (TakesUpStream() && !stream_version_) {
    TakeUpStream();
    return;
  }
  if (customer_ != nullptr && request_metadata_.prompt) {
    context_->customer_shares[service_].Record(
        customer_->name,
        request_metadata_.prompt->prompt_tokens +
            kOutputTokenCost * request_metadata_.prompt->expected_output_tokens,
        BootClock::now());
  }
  if (!TakesUpStream() && request_metadata_.time_left && !request_.forwarded) {
    context_->caller_patience.Record(route_->name,
                                     *request_metadata_.time_left);
  }
  ArmWatchdog();
  Place();
}

bool RelayExchange::Authenticate() {
  const AuthenticatedCaller caller =
      AuthenticateCaller(service_map_->customers, route_->allow_anonymous,
                         request_metadata_.api_key);
  customer_ = caller.customer;
  switch (caller.result) {
    case Authentication::kNotRequired:
    case Authentication::kAnonymous:
      return true;
    case Authentication::kCustomer:
      if (!context_->routing_state.service_map_behind) {
        return true;
      }
      EndInFailure("configuration_stale",
                   RetryAfterWithJitter(kNotReadyRetryAfter));
      return false;
    case Authentication::kMissingKey:
    case Authentication::kUnknownKey:
      break;
  }
  const std::string_view reason = caller.result == Authentication::kMissingKey
                                      ? "key_missing"
                                      : "key_unknown";
  context_->metrics.CountKeyRefused(std::string(reason));
  if (!context_->routing_state.service_map_current ||
      context_->routing_state.service_map_behind) {
    // A newer configuration may hold the key.
    EndInFailure("configuration_stale",
                 RetryAfterWithJitter(kNotReadyRetryAfter));
    return false;
  }
  const TimePoint now = BootClock::now();
  if (context_->refused_keys_log.Allow(Digest64(reason), now)) {
    JsonFields fields;
    fields.Text("request", request_metadata_.request_id)
        .Text("route", route_->name)
        .Text("reason", reason)
        .Text("key_sha256", KeyForLog(request_metadata_.api_key))
        .Integer("map_version", service_map_->version);
    context_->log.Log(kLogKeyRefused, fields, now);
  }
  RespondWithError(
      std::get<UnsentResponse>(std::exchange(response_, EndedResponse())), 401,
      reason, Duration(0));
  return false;
}

void RelayExchange::TakeUpStream() {
  const auto& refresh = context_->routing_state.refresh_replicas;
  const bool is_view_current = context_->stream_versions.is_view_current();
  // What is in doubt at a current view stays so: further changes only add
  // possible versions.
  if (!refresh || FindRememberedVersion() ||
      (is_view_current && !FindStreamVersion())) {
    OnReplicasRefreshed(is_view_current);
    return;
  }
  // Other instances may have begun the stream at a version that has joined
  // since the last answer of the registry.
  phase_ = Phase::kAwaitingReplicas;
  refresh([weak = weak_from_this()](bool is_current) {
    const auto self = weak.lock();
    if (self && self->phase_ == Phase::kAwaitingReplicas) {
      self->phase_ = Phase::kPlacing;
      self->OnReplicasRefreshed(is_current);
    }
  });
}

void RelayExchange::OnReplicasRefreshed(bool is_current) {
  stream_version_ = is_current ? FindStreamVersion() : FindRememberedVersion();
  if (stream_version_) {
    ArmWatchdog();
    Place();
    return;
  }
  const auto& read_records = context_->routing_state.read_stream_records;
  if (!read_records || !route_->resumable ||
      request_metadata_.resumed_request_id.empty()) {
    RefuseTakeUp(is_current);
    return;
  }
  phase_ = Phase::kAwaitingReplicas;
  read_records([weak = weak_from_this(), is_current] {
    const auto self = weak.lock();
    if (self && self->phase_ == Phase::kAwaitingReplicas) {
      self->phase_ = Phase::kPlacing;
      self->OnStreamRecordsRead(is_current);
    }
  });
}

void RelayExchange::OnStreamRecordsRead(bool is_view_current) {
  stream_version_ = FindRememberedVersion();
  if (!stream_version_) {
    RefuseTakeUp(is_view_current);
    return;
  }
  ArmWatchdog();
  Place();
}

void RelayExchange::CountInBudget() {
  if (!std::exchange(counted_in_budget_, true)) {
    context_->retry_budget.RecordRequest(service_, BootClock::now());
  }
}

void RelayExchange::RefuseTakeUp(bool is_view_current) {
  JsonFields fields;
  fields.Text("request", request_metadata_.request_id)
      .Text("route", route_->name)
      .Text("reason", "version_unknown")
      .Text("resumes", request_metadata_.resumed_request_id)
      .Integer("after_event", *request_metadata_.last_event_id)
      .Flag("view_current", is_view_current)
      .Millis("stream_age_ms", LongestStreamAge())
      .Millis("left_ms", TimeLeft());
  context_->log.Log(kLogPlacementRefused, fields, BootClock::now());
  EndInFailure("version_unknown", RetryAfterWithJitter(kNotReadyRetryAfter));
}

void RelayExchange::OnCallerDisconnect() {
  if (phase_ == Phase::kEnded) {
    return;
  }
  response_ = EndedResponse();
  CloseActiveCall(CallResult::kCompleted);
  CloseForwarding();
  ReleaseKv();
  End("caller_left", 0);
}

int64_t RelayExchange::ExpectedOutputTokens() const {
  return request_metadata_.prompt
             ? static_cast<int64_t>(
                   request_metadata_.prompt->expected_output_tokens)
             : 0;
}

size_t RelayExchange::RequestBodyBytes() const {
  return request_.body ? request_.body->size() : 0;
}

Duration RelayExchange::TimeLeft() const {
  return std::chrono::duration_cast<Duration>(deadline_ - BootClock::now());
}

Duration RelayExchange::RetryAfterWithJitter(Duration wait) const {
  const double spread =
      1 + kRetryAfterJitter * UnitHash(request_metadata_.request_id);
  return std::max(kMinRetryAfter,
                  Duration(static_cast<int64_t>(
                      static_cast<double>(wait.count()) * spread)));
}

StreamId RelayExchange::StreamIdOf(std::string_view attempt) const {
  return MakeStreamId(service_, attempt, request_metadata_.prompt);
}

Duration RelayExchange::LongestStreamAge() const {
  return context_->caller_patience.LongestAge(route_->name, route_->timeout,
                                              request_metadata_.time_left) +
         context_->options.max_view_delay;
}

std::optional<std::string> RelayExchange::FindRememberedVersion() const {
  const std::string& first_attempt = request_metadata_.resumed_request_id;
  if (!route_->resumable || first_attempt.empty()) {
    return std::nullopt;
  }
  return context_->stream_versions.FindRemembered(
      service_, StreamIdOf(first_attempt), LongestStreamAge(),
      BootClock::now());
}

std::optional<std::string> RelayExchange::FindStreamVersion() const {
  const TimePoint now = BootClock::now();
  const Duration age = LongestStreamAge();
  const std::string& first_attempt = request_metadata_.resumed_request_id;
  const StreamVersions& versions = context_->stream_versions;
  return route_->resumable && !first_attempt.empty()
             ? versions.Find(service_, StreamIdOf(first_attempt), age, now)
             : versions.FindOnly(service_, age, now);
}

std::optional<std::string> RelayExchange::RequiredVersion() const {
  if (stream_version_ || route_->kind != RouteKind::kStreaming ||
      !route_->resumable) {
    return stream_version_;
  }
  if (sent_to_version_) {
    return sent_to_version_;
  }
  return context_->stream_versions.Choose(
      service_, StreamIdOf(request_metadata_.request_id));
}

int RelayExchange::EffectivePriority() const {
  // What a stream has taken from engines is lost if the rest comes too late,
  // and its caller has less time left than others.
  constexpr int kFirst = 0;
  if (ContinuesStream()) {
    return kFirst;
  }
  return customer_ != nullptr ? customer_->priority.value_or(route_->priority)
                              : route_->priority;
}

PlacementQuery RelayExchange::MakePlacementQuery(TimePoint now) const {
  PlacementQuery query;
  query.service = service_;
  const Service* service = FindService(*service_map_, service_);
  if (service != nullptr) {
    query.engine = service->engine;
  }
  query.prompt = request_metadata_.prompt;
  if (const auto events = sse_splitter_.last_id(); query.prompt && events) {
    // The caller has them already.
    query.prompt->expected_output_tokens = context_->placer.TokensAfterEvents(
        service_, query.prompt->expected_output_tokens,
        static_cast<double>(*events), now);
  }
  query.route_priority = EffectivePriority();
  query.excluded = excluded_replica_ids_;
  query.version = RequiredVersion();
  query.continues_stream = ContinuesStream();
  query.target_gap = route_->target_gap;
  query.body_bytes = static_cast<double>(RequestBodyBytes());
  query.tie_breaker = Digest64(request_metadata_.request_id);
  query.time_left = query.first_output_time_left = TimeLeft();
  if (!ResponseBegun()) {
    const auto waited =
        std::chrono::duration_cast<Duration>(now - request_.received);
    query.first_output_time_left =
        std::min(query.time_left, FirstOutputTimeout(*route_) - waited);
  }
  query.allow_disaggregated_prefill =
      may_prefill_separately_ &&
      (!prompt_prefilled_ || context_->retry_budget.Remaining(service_, now) >=
                                 kCallsOfDisaggregatedRetry);
  return query;
}

void RelayExchange::Place() {
  phase_ = Phase::kPlacing;
  if (JudgeByCrashes() == CrashVerdict::kCulprit) {
    RefuseAsCulprit();
    return;
  }
  const TimePoint now = BootClock::now();
  const bool may_place = ++placements_ <= kMaxPlacements;
  if (!context_->links.AreOpenConnectionsAlive(now)) {
    if (MayRefuseForwarded()) {
      RefuseForwarded("links_lost");
      return;
    }
    const auto peer = ChoosePeer(now);
    if (peer && may_place && !request_.forwarded) {
      StartForwarding(*peer);
      return;
    }
  }
  const PlacementQuery query = MakePlacementQuery(now);
  PlacementResult result =
      context_->placer.Choose(context_->routing_state.replicas, query, now);
  std::string_view refusal = NameOf(result.refusal.reason);
  if (!may_place) {
    result.placement.reset();
    refusal = "placements_used_up";
  }
  if (!result.placement && may_place && LinksLost() && !request_.forwarded) {
    if (const auto peer = ChoosePeer(now)) {
      // The refusal comes from what this instance sees of the targets.
      StartForwarding(*peer);
      return;
    }
  }
  if (!result.placement) {
    expected_first_output_ = result.refusal.expected_first_output;
    if (may_place &&
        result.refusal.reason == PlacementRefusal::Reason::kTooLate) {
      context_->placer.RecordTooLate(query.service);
    }
    JsonFields fields;
    fields.Text("request", request_metadata_.request_id)
        .Text("route", route_->name)
        .Text("reason", refusal)
        .Text("resumes", request_metadata_.resumed_request_id)
        .Integer("after_event", request_metadata_.last_event_id.value_or(0))
        .Integer("placements", placements_)
        .Integer("prompt", request_metadata_.prompt
                               ? static_cast<int64_t>(
                                     request_metadata_.prompt->prompt_tokens)
                               : 0)
        .Integer("output", ExpectedOutputTokens())
        .Millis("expected_ms", result.refusal.expected_first_output)
        .Millis("expected_end_ms", result.refusal.expected_completion)
        .Millis("left_ms", query.time_left)
        .Millis("first_left_ms", query.first_output_time_left)
        .Integer("map_version", service_map_->version);
    context_->log.Log(kLogPlacementRefused, fields, now);
    EndInFailure(refusal, RetryAfterWithJitter(result.refusal.retry_after));
    return;
  }
  const Placement& placement = *result.placement;
  context_->placer.RecordPlaced(query, placement, now);
  expected_first_output_ = placement.expected_first_output;
  JsonFields fields;
  fields.Text("request", request_metadata_.request_id)
      .Text("route", route_->name)
      .Text("target", placement.target.id)
      .Text("version", placement.target.version)
      .Text("resumes", request_metadata_.resumed_request_id)
      .Integer("after_event", request_metadata_.last_event_id.value_or(0))
      .Text("prefill", placement.prefill ? placement.prefill->id : "")
      .Integer("uncached", static_cast<int64_t>(
                               placement.prefill ? placement.prefill_uncached
                                                 : placement.target_uncached))
      .Text("cache_source",
            placement.cache_source ? placement.cache_source->id : "")
      .Integer("body_bytes", static_cast<int64_t>(RequestBodyBytes()))
      .Integer("prefix", query.prompt ? static_cast<int64_t>(
                                            SharedPrefixKey(*query.prompt))
                                      : 0)
      .Text("parts", query.prompt ? SharedPartsText(*query.prompt) : "")
      .Integer("prompt", query.prompt
                             ? static_cast<int64_t>(query.prompt->prompt_tokens)
                             : 0)
      .Integer("copied", static_cast<int64_t>(placement.copied))
      .Integer("read_again", static_cast<int64_t>(placement.recomputed_tokens))
      .Integer("output", ExpectedOutputTokens())
      .Millis("predicted_prefill_ms", placement.predicted_prefill)
      .Millis("predicted_run_ms", placement.predicted_run)
      .Millis("turn_ms", placement.turn_wait)
      .Millis("expected_ms", placement.expected_first_output)
      .Millis("expected_end_ms", placement.expected_completion)
      .Millis("left_ms", query.time_left)
      .Millis("first_left_ms", query.first_output_time_left)
      .Integer("map_version", service_map_->version);
  context_->log.Log(kLogRequestPlaced, fields, now);
  if (placement.turn_wait > Duration(0)) {
    AwaitTurn(placement);
    return;
  }
  StartPlacement(placement);
}

void RelayExchange::StartPlacement(const Placement& placement) {
  const TimePoint now = BootClock::now();
  if (LinksLost() && MayRefuseForwarded()) {
    context_->placer.RecordNotSent(placement, now);
    RefuseForwarded("links_lost");
    return;
  }
  if (ForwardsInsteadOf(placement, now)) {
    context_->placer.RecordNotSent(placement, now);
    StartForwarding(*ChoosePeer(now));
    return;
  }
  CountInBudget();
  if (placement.prefill) {
    StartPrefill(placement);
  } else {
    StartRun(placement, std::nullopt);
  }
}

void RelayExchange::AwaitTurn(const Placement& placement) {
  phase_ = Phase::kAwaitingTurn;
  awaited_placement_ = placement;
  turn_timer_.expires_after(placement.turn_wait);
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  turn_timer_.async_wait([weak](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self && self->phase_ == Phase::kAwaitingTurn) {
      self->OnTurn();
    }
  });
}

void RelayExchange::OnTurn() {
  const Placement placement = *awaited_placement_;
  if (JudgeByCrashes() == CrashVerdict::kCulprit ||
      !StillTakesWork(placement.target) ||
      (placement.prefill && !StillTakesWork(*placement.prefill))) {
    // Also refuses a request that has turned out to crash replicas.
    EndTurn();
    Place();
    return;
  }
  awaited_placement_.reset();
  StartPlacement(placement);
}

bool RelayExchange::StillTakesWork(const Replica& placed) const {
  const Replica* current = context_->routing_state.replicas.Find(placed.id);
  return current != nullptr && AcceptsWork(*current, placed) &&
         context_->placer.availability().TakesWork(EngineKey(placed),
                                                   BootClock::now());
}

void RelayExchange::EndTurn() {
  if (awaited_placement_) {
    context_->placer.RecordNotSent(*awaited_placement_, BootClock::now());
    awaited_placement_.reset();
    turn_timer_.cancel();
  }
}

bool RelayExchange::YieldsToOtherCustomers() const {
  // A request that is expected in time keeps its place: it takes nothing from
  // others.
  if (customer_ == nullptr || ContinuesStream() ||
      expected_first_output_ <= route_->target_latency) {
    return false;
  }
  const auto it = context_->customer_shares.find(service_);
  return it != context_->customer_shares.end() &&
         it->second.IsBeyondShare(customer_->name,
                                  UnitHash(request_metadata_.request_id),
                                  BootClock::now());
}

CallHeaders RelayExchange::MakeCallHeaders(const Replica& replica) const {
  CallHeaders headers;
  headers.expected_replica_id = replica.id;
  headers.time_left =
      std::max(Duration(std::chrono::milliseconds(1)), TimeLeft());
  // Shared parts are not counted: later requests wait for them, too.
  const double prefill_tokens =
      active_call_ && request_metadata_.prompt
          ? std::min(active_call_->pending_prefill_tokens,
                     UnsharedTokens(*request_metadata_.prompt))
          : 0;
  const bool yields = YieldsToOtherCustomers();
  if (yields) {
    context_->metrics.CountYieldingCall(service_);
  }
  headers.priority = QueuePriority(
      EffectivePriority(),
      prefill_tokens / context_->placer.Profile(service_, BootClock::now())
                           .prefill_tokens_per_ms,
      yields);
  headers.last_event_id = request_metadata_.last_event_id;
  headers.has_customers = service_map_->customers.has_value();
  if (customer_ != nullptr) {
    headers.customer = customer_->name;
  }
  return headers;
}

void RelayExchange::RegisterCall(const Replica& replica,
                                 CallKind kind,
                                 Duration predicted_wait,
                                 double uncached) {
  const TimePoint now = BootClock::now();
  ReplicaLoad& load = context_->placer.LoadOf(replica);
  load.RecordCallSent(uncached);
  load.RecordBodySent(RequestBodyBytes());
  if (request_metadata_.prompt) {
    context_->placer.cache_view().RecordSent(EngineKey(replica),
                                             *request_metadata_.prompt, now);
  }
  active_call_ = ActiveCall();
  active_call_->replica = replica;
  active_call_->call_class = {kind, EffectivePriority()};
  active_call_->predicted_wait = predicted_wait;
  active_call_->pending_prefill_tokens = uncached;
  active_call_->sent_at = active_call_->last_progress_at = now;
  last_replica_id_ = replica.id;
}

void RelayExchange::SendCall(const CallHeaders& headers,
                             TargetCallHandlers handlers,
                             uint64_t max_response_bytes) {
  TargetRequest request;
  request.ip = active_call_->replica.ip;
  request.port = active_call_->replica.port;
  request.method = request_.method;
  request.path = request_.path_and_query;
  request.headers = context_->protocol.EncodeCall(forwarded_headers_, headers);
  request.body = request_.body;
  request.request_id = request_metadata_.request_id;
  request.max_response_bytes = max_response_bytes;
  active_call_->call =
      context_->target_client.Start(std::move(request), std::move(handlers));
}

bool RelayExchange::TrySpendRetryBudget() {
  if (delivered_calls_ == 0) {
    return true;
  }
  return context_->retry_budget.TryConsume(service_, BootClock::now());
}

}  // namespace endiveyard
