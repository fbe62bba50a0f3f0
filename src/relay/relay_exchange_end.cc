#include <algorithm>
#include <utility>

#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/relay_exchange.h"
#include "relay/retry_after.h"

namespace endiveyard {
namespace {

using boost::system::error_code;

// Interval at which the watchdog checks a call for a stall.
constexpr Duration kWatchdogInterval = std::chrono::milliseconds(250);
// A stream without an event for this share of the time after which callers give
// up is resumed on another target, if the route allows it. The rest of that
// time is left for the other target.
constexpr double kStallShareOfPatience = 0.65;
// A retryable request without any output is retried after twice the time that
// few requests exceed, plus this slack.
constexpr Duration kFirstOutputSlack = std::chrono::milliseconds(1500);
constexpr Duration kPlainResponseSlack = std::chrono::milliseconds(450);

// Limits on the call that releases a KV cache. If it is lost, the cache expires
// by itself.
constexpr Duration kReleaseTimeout = std::chrono::seconds(2);
constexpr uint64_t kMaxReleaseResponseBytes = 65536;

}  // namespace

void RelayExchange::EndInFailure(std::string_view reason,
                                 Duration retry_after) {
  if (MayRefuseForwarded() && route_ == nullptr) {
    RefuseForwarded(reason);
    return;
  }
  CallerResponse response = std::exchange(response_, EndedResponse());
  if (auto* begun = std::get_if<BegunResponse>(&response)) {
    std::move(*begun).Abort();
    End("broken_" + std::string(reason), 0);
    return;
  }
  auto* unsent = std::get_if<UnsentResponse>(&response);
  if (unsent == nullptr) {
    End(reason, 0);
    return;
  }
  int status = 503;
  if (possible_runs_ > 0) {
    status = TimeLeft() > Duration(0) ? 502 : 504;
    // The caller must not take this for a promise that the request has not run.
    retry_after = Duration(0);
  }
  RespondWithError(std::move(*unsent), status, reason, retry_after);
}

void RelayExchange::RespondWithError(UnsentResponse response,
                                     int status,
                                     std::string_view reason,
                                     Duration retry_after) {
  CallerResponseHead head;
  head.status = status;
  head.headers = {{"Content-Type", "application/json"}};
  if (!request_metadata_.request_id.empty()) {
    for (const auto& it : request_.headers) {
      if (it.second == request_metadata_.request_id) {
        head.headers.push_back(it);
        break;
      }
    }
  }
  if (retry_after > Duration(0)) {
    head.headers.push_back(context_->protocol.RetryAfterHeader(retry_after));
  }
  AddForwardedResponse(&head, nullptr);
  const std::string body = "{\"error\":\"" + std::string(reason) + "\"}";
  head.length = body.size();
  std::move(response).Respond(head, body);
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
  CancelInFailure("timeout");
}

void RelayExchange::EndForShutdown() {
  if (phase_ != Phase::kEnded) {
    CancelInFailure("shutting_down");
  }
}

void RelayExchange::CancelInFailure(std::string_view reason) {
  if (phase_ == Phase::kRunning || phase_ == Phase::kForwarding) {
    ++possible_runs_;
  }
  CloseActiveCall(CallResult::kFailed);
  CloseForwarding();
  ReleaseKv();
  EndInFailure(reason, kMinRetryAfter);
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

Duration RelayExchange::StallLimit(TimePoint now) const {
  if (active_call_->output_started_at) {
    const double patience =
        static_cast<double>(FirstOutputTimeout(*route_).count());
    return Duration(static_cast<int64_t>(patience * kStallShareOfPatience));
  }
  return 2 * context_->placer.UpperWait(service_, active_call_->call_class,
                                        active_call_->predicted_wait, now) +
         (request_metadata_.prompt ? kFirstOutputSlack : kPlainResponseSlack);
}

bool RelayExchange::HasTimelyAlternative(TimePoint now) const {
  PlacementQuery query = MakePlacementQuery(now);
  query.excluded.insert(active_call_->replica.id);
  return context_->placer.Choose(context_->routing_state.replicas, query, now)
      .placement.has_value();
}

void RelayExchange::OnWatchdog() {
  ArmWatchdog();
  if (forwarding_) {
    CheckForwarding(BootClock::now());
    return;
  }
  if (!active_call_ || !active_call_->call) {
    return;
  }
  CancelIfCulprit();
  if (!active_call_ || !active_call_->call) {
    return;
  }
  const TimePoint now = BootClock::now();
  const Duration since_progress = std::chrono::duration_cast<Duration>(
      now - active_call_->last_progress_at);
  const bool prefilling = phase_ == Phase::kPrefilling;
  if (!prefilling && !IsRetryable(*route_)) {
    return;
  }
  // A stall is only a reason to continue on another target. What the engine has
  // prefilled is kept if no other target is expected to be faster.
  if (since_progress < StallLimit(now) || caller_->unsent_bytes() > 0 ||
      !HasTimelyAlternative(now)) {
    return;
  }
  if (!active_call_->output_started_at) {
    context_->placer.ObserveAbandoned(
        service_, active_call_->call_class, active_call_->replica,
        active_call_->predicted_wait,
        std::chrono::duration_cast<Duration>(now - active_call_->sent_at), now);
  }
  if (prefilling) {
    Placement placement;
    placement.target = active_call_->replica;
    active_call_->call->Cancel();
    OnPrefillEnd(placement, TransportStatus::kNoResponse,
                 "target sent no data within the stall limit");
    return;
  }
  AttemptFacts attempt;
  attempt.outcome = ResponseBegun() ? CallOutcome::kIncompleteResponse
                                    : CallOutcome::kMayHaveRun;
  attempt.targets_that_may_have_run = possible_runs_ + 1;
  attempt.response_started = ResponseBegun();
  attempt.is_position_known = MayContinueStream();
  attempt.budget_left = context_->retry_budget.Remaining(service_, now) >= 1;
  attempt.time_left = TimeLeft();
  const NextStep step = DecideNextStep(*route_, attempt);
  // A stall alone never ends the request.
  if (step != NextStep::kRetry && step != NextStep::kResume) {
    return;
  }
  AbandonRun(attempt.outcome, "target sent no data within the stall limit");
}

void RelayExchange::CloseActiveCall(CallResult result) {
  if (!active_call_) {
    return;
  }
  if (active_call_->call) {
    active_call_->call->Cancel();
  }
  if (active_call_->survival_check) {
    context_->survival_prober->Drop(*active_call_->survival_check);
  }
  ReplicaLoad& load = context_->placer.LoadOf(active_call_->replica);
  load.RecordPrefilled(active_call_->pending_prefill_tokens);
  load.RecordBodyReleased(RequestBodyBytes());
  context_->placer.RecordCallEnded(active_call_->replica, result,
                                   active_call_->sent_at, BootClock::now());
  active_call_.reset();
}

void RelayExchange::ReleaseKv() {
  if (!kv_handle_ || !kv_holder_) {
    return;
  }
  TargetRequest request;
  request.ip = kv_holder_->ip;
  request.port = kv_holder_->port;
  const auto [method, path] =
      context_->protocol.ReleaseKvCall(kv_handle_->handle);
  request.method = method;
  request.path = path;
  request.headers = {{"Host", AddressOf(*kv_holder_)}};
  request.timeout = kReleaseTimeout;
  request.max_response_bytes = kMaxReleaseResponseBytes;
  TargetCallHandlers handlers;
  handlers.on_head = [](const TargetResponseHead&) { return true; };
  handlers.on_body = [](std::string_view) {};
  handlers.on_end = [](TransportStatus, std::string_view) {};
  context_->target_client.Start(std::move(request), std::move(handlers));
  kv_handle_.reset();
}

void RelayExchange::End(std::string_view outcome, int status) {
  if (phase_ == Phase::kEnded) {
    return;
  }
  phase_ = Phase::kEnded;
  deadline_timer_.cancel();
  watchdog_timer_.cancel();
  EndTurn();
  ReleaseKv();
  const TimePoint now = BootClock::now();
  const Duration total =
      std::chrono::duration_cast<Duration>(now - request_.received);
  const Duration first = first_output_at_
                             ? std::chrono::duration_cast<Duration>(
                                   *first_output_at_ - request_.received)
                             : Duration(-1);
  if (version_record_unused_) {
    context_->stream_versions.RecordNotBegun(
        StreamIdOf(request_metadata_.request_id));
  } else if (outcome == "answered") {
    context_->stream_versions.RecordCompleted(
        StreamIdOf(request_metadata_.request_id));
  }
  const std::string route_name = route_ == nullptr ? "" : route_->name;
  context_->metrics.ObserveRequest(service_, route_name, std::string(outcome),
                                   Duration(-1), first, total);
  JsonFields fields;
  fields.Text("request", request_metadata_.request_id)
      .Text("route", route_name)
      .Text("outcome", outcome)
      .Integer("status", status)
      .Text("replica", last_replica_id_)
      .Integer("arrivals", delivered_calls_)
      .Integer("may_have_run", possible_runs_)
      .Text("framing", response_framing_ ? NameOf(*response_framing_) : "")
      .Integer("first_event", sse_splitter_.first_id().value_or(kNoEvent))
      .Integer("last_event", sse_splitter_.last_id().value_or(kNoEvent))
      .Millis("expected_ms", expected_first_output_)
      .Millis("first_ms", first)
      .Millis("total_ms", total)
      .Integer("map_version", service_map_ ? service_map_->version : 0);
  context_->log.Log(kLogRequestFinished, fields, now);
}

}  // namespace endiveyard
