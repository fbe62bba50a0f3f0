#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/relay_exchange.h"

namespace endiveyard {
namespace {

// Limit on the response body of a prefill call, which only names a KV cache
// handle.
constexpr uint64_t kMaxPrefillResponseBytes = 65536;

}  // namespace

void RelayExchange::StartPrefill(const Placement& placement) {
  if (prompt_prefilled_ && !TrySpendRetryBudget()) {
    may_prefill_separately_ = false;
    Place();
    return;
  }
  phase_ = Phase::kPrefilling;
  // The run follows where the prompt is read.
  RecordSentTo(placement.target.version);
  RegisterCall(*placement.prefill, CallKind::kPrefill,
               placement.predicted_prefill, placement.prefill_uncached);
  CallHeaders headers = MakeCallHeaders(*placement.prefill);
  headers.prefill_only = true;
  headers.last_event_id.reset();
  if (placement.cache_source) {
    headers.cache_source = AddressOf(*placement.cache_source);
  }
  TargetCallHandlers handlers;
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  handlers.on_head = [weak](const TargetResponseHead& head) {
    const auto self = weak.lock();
    if (!self || !self->active_call_) {
      return false;
    }
    self->context_->links.RecordResponse(BootClock::now());
    self->active_call_->status = head.status;
    self->active_call_->head.earlier_requests = head.earlier_requests;
    self->active_call_->head.connected_at = head.connected_at;
    self->active_call_->response_metadata =
        self->context_->protocol.DecodeResponse(head.status, head.headers);
    self->RecordResponseHead();
    return true;
  };
  handlers.on_body = [weak](std::string_view bytes) {
    const auto self = weak.lock();
    if (self && self->active_call_) {
      self->active_call_->body.append(bytes);
    }
  };
  handlers.on_end = [weak, placement](TransportStatus transport_status,
                                      std::string_view detail) {
    const auto self = weak.lock();
    if (self && self->active_call_) {
      self->RecordLostCall(transport_status);
      self->OnPrefillEnd(placement, transport_status, detail);
    }
  };
  SendCall(headers, std::move(handlers), kMaxPrefillResponseBytes);
}

void RelayExchange::OnPrefillEnd(const Placement& placement,
                                 TransportStatus transport_status,
                                 std::string_view detail) {
  if (phase_ != Phase::kPrefilling || !active_call_) {
    return;
  }
  const TimePoint now = BootClock::now();
  const ActiveCall ended = *active_call_;
  active_call_->call.reset();
  std::optional<KvHandle> kv;
  if (transport_status == TransportStatus::kComplete && ended.status == 200) {
    kv = context_->protocol.DecodeKvHandle(ended.body);
  }
  if (ended.response_metadata.load) {
    context_->placer.RecordReportedLoad(ended.replica,
                                        *ended.response_metadata.load, now);
  }
  CallResult result = CallResult::kFailed;
  if (kv) {
    result = CallResult::kCompleted;
    context_->placer.cache_view().RecordPrefilled(
        EngineKey(ended.replica), *request_metadata_.prompt, now);
    const auto took = std::chrono::duration_cast<Duration>(now - ended.sent_at);
    context_->placer.ObservePrefill(service_, ended.pending_prefill_tokens,
                                    took, now);
    context_->placer.ObserveWait(service_, ended.call_class, ended.replica,
                                 ended.predicted_wait, took, now);
  } else if (ended.response_metadata.not_run) {
    result = ResultOfRefusal();
  } else if (transport_status == TransportStatus::kNotSent) {
    result = CallResult::kUnreachable;
  }
  CloseActiveCall(result);
  JsonFields fields;
  fields.Text("request", request_metadata_.request_id)
      .Text("replica", ended.replica.id)
      .Text("call", "prefill")
      .Integer("status", ended.status)
      .Millis("took_ms",
              std::chrono::duration_cast<Duration>(now - ended.sent_at))
      .Integer("earlier_requests", ended.head.earlier_requests)
      .Integer("uncached", static_cast<int64_t>(ended.pending_prefill_tokens))
      .Integer(
          "tokens_per_s",
          static_cast<int64_t>(
              1000 *
              context_->placer.Profile(service_, now).prefill_tokens_per_ms))
      .Text("outcome", kv ? "prompt_read" : "prompt_not_read")
      .Integer("running", ended.response_metadata.load
                              ? ended.response_metadata.load->running
                              : -1)
      .Integer("waiting", ended.response_metadata.load
                              ? ended.response_metadata.load->waiting
                              : -1)
      .Text("detail", detail);
  context_->log.Log(kLogCallEnded, fields, now);
  if (kv) {
    prompt_prefilled_ = true;
    kv_handle_ = kv;
    kv_holder_ = ended.replica;
    RunAfterPrefill(placement);
    return;
  }
  // Whatever its outcome, a prefill call does not run the request. A failed one
  // still counts as a delivered call if it was sent.
  if (transport_status != TransportStatus::kNotSent) {
    ++delivered_calls_;
  }
  excluded_replica_ids_.insert(ended.replica.id);
  if (transport_status != TransportStatus::kNotSent) {
    may_prefill_separately_ = false;
  }
  if (delivered_calls_ > 0 &&
      context_->retry_budget.Remaining(service_, now) < 1) {
    EndInFailure("retry_budget_empty",
                 RetryAfterWithJitter(expected_first_output_));
    return;
  }
  Place();
}

void RelayExchange::RunAfterPrefill(const Placement& placement) {
  if (JudgeByCrashes() == CrashVerdict::kCulprit) {
    RefuseAsCulprit();
    return;
  }
  // Prefilling a long prompt takes seconds, and the target may have been
  // removed or started draining in the meantime.
  if (StillTakesWork(placement.target)) {
    StartRun(placement, kv_handle_);
    return;
  }
  const TimePoint now = BootClock::now();
  PlacementQuery query = MakePlacementQuery(now);
  query.first_output_time_left = query.time_left;
  query.allow_disaggregated_prefill = false;
  // Another software version cannot read the KV cache.
  query.version = kv_holder_->version;
  const PlacementResult result =
      context_->placer.Choose(context_->routing_state.replicas, query, now);
  if (!result.placement) {
    ReleaseKv();
    Place();
    return;
  }
  Placement moved = placement;
  moved.target = result.placement->target;
  moved.target_uncached = 0;
  moved.predicted_run = result.placement->predicted_run;
  context_->placer.rate_limits().RecordSent(EngineKey(moved.target), now);
  StartRun(moved, kv_handle_);
}

}  // namespace endiveyard
