#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/relay_exchange.h"

// The end of responses with neither a length nor chunks. The kernel closes the
// connections of a killed process as the process itself does when it has sent
// everything, so that the end counts only if the replica outlived it.
namespace endiveyard {

bool RelayExchange::IsEndInDoubt(TransportStatus transport_status) const {
  if (transport_status != TransportStatus::kComplete ||
      active_call_->head.framing != BodyFraming::kConnection) {
    return false;
  }
  const CallOutcome outcome = OutcomeOf(transport_status);
  return outcome == CallOutcome::kCompleted ||
         outcome == CallOutcome::kErrorResponse;
}

bool RelayExchange::IsEngineService() const {
  const Service* service = FindService(*service_map_, service_);
  return service != nullptr && service->engine.has_value();
}

void RelayExchange::CheckEnd() {
  const Service* service = FindService(*service_map_, service_);
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  active_call_->ended_at = BootClock::now();
  active_call_->survival_check = context_->survival_prober->Begin(
      active_call_->replica,
      service == nullptr ? Service().probe_path : service->probe_path,
      SurvivalProof::kSameProcess, [weak](SurvivalVerdict verdict) {
        if (const auto self = weak.lock()) {
          self->OnEndChecked(verdict);
        }
      });
}

bool RelayExchange::IsReplicaLeaving() const {
  const Replica& replica = active_call_->replica;
  const Replica* current = context_->routing_state.replicas.Find(replica.id);
  return current == nullptr || current->draining ||
         context_->placer.availability().IsLeaving(EngineKey(replica),
                                                   BootClock::now());
}

void RelayExchange::OnEndChecked(SurvivalVerdict verdict) {
  if (phase_ != Phase::kRunning || !active_call_) {
    return;
  }
  active_call_->survival_check.reset();
  if (verdict == SurvivalVerdict::kAlive && HasReplicaRestarted()) {
    verdict = SurvivalVerdict::kGone;
  }
  const TimePoint now = BootClock::now();
  JsonFields fields;
  fields.Text("request", request_metadata_.request_id)
      .Text("replica", active_call_->replica.id)
      .Text("verdict", NameOf(verdict))
      .Integer("last_event", sse_splitter_.last_id().value_or(kNoEvent))
      .Millis("waited_ms", std::chrono::duration_cast<Duration>(
                               now - *active_call_->ended_at));
  context_->log.Log(kLogResponseEndChecked, fields, now);
  switch (verdict) {
    case SurvivalVerdict::kAlive:
      FinishRun(TransportStatus::kComplete, "");
      return;
    case SurvivalVerdict::kGone:
      // A replica that was to leave has not crashed.
      FinishRun(IsReplicaLeaving() ? TransportStatus::kSilent
                                   : TransportStatus::kTruncated,
                "the replica has ended with its response");
      return;
    case SurvivalVerdict::kUnknown:
      FinishRun(TransportStatus::kSilent,
                "no sign of the replica since the end of its response");
      return;
  }
}

}  // namespace endiveyard
