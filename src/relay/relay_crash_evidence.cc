#include <limits>

#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/header_rules.h"
#include "relay/relay_exchange.h"

// What a request tells about replicas that crash, and what crashes tell about a
// request.
namespace endiveyard {
namespace {

// A replica that still responds this long after the first output of a request
// has not been crashed by it. Longer than a step of a full batch.
constexpr Duration kSurvivalTime = std::chrono::milliseconds(250);
// Interval of the log lines of the process about refusals of crashing requests.
// Each refusal also has a line of its own.
constexpr Duration kRefusalsLogInterval = std::chrono::seconds(10);

void EndCrashCheck(RelayContext* context, uint64_t key, bool has_answered) {
  const auto it = context->crash_checks.find(key);
  if (it == context->crash_checks.end()) {
    return;
  }
  const bool is_alive =
      has_answered && !IsRestarted(*context, it->second.replica);
  const TimePoint now = BootClock::now();
  context->crash_suspects.RecordCheck(key, is_alive, it->second.begun_at, now);
  JsonFields fields;
  fields.Text("replica", it->second.replica.id)
      .Text("verdict", is_alive ? "alive" : "ended");
  context->log.Log(kLogLostCallChecked, fields, now);
  context->crash_checks.erase(it);
}

// Ends the checks of replicas that the registry lists as restarted.
void EndChecksOfRestartedReplicas(RelayContext* context) {
  std::vector<uint64_t> restarted;
  for (const auto& [key, check] : context->crash_checks) {
    if (IsRestarted(*context, check.replica)) {
      restarted.push_back(key);
      context->survival_prober->Drop(check.survival_check);
    }
  }
  for (const uint64_t it : restarted) {
    EndCrashCheck(context, it, false);
  }
}

}  // namespace

bool IsRestarted(const RelayContext& context, const Replica& replica) {
  const Replica* current = context.routing_state.replicas.Find(replica.id);
  return current != nullptr &&
         current->started_unix_ms != replica.started_unix_ms;
}

const SuspectKeys& RelayExchange::suspect_keys() {
  if (!suspect_keys_) {
    suspect_keys_ = SuspectKeysOf(
        request_metadata_.prompt ? &*request_metadata_.prompt : nullptr,
        FindHeader(request_.headers, "host").value_or(""),
        request_.path_and_query,
        request_.body ? std::string_view(*request_.body) : std::string_view());
  }
  return *suspect_keys_;
}

CrashVerdict RelayExchange::JudgeByCrashes() {
  if (answer_survived_ || context_->crash_suspects.empty()) {
    return CrashVerdict::kNone;
  }
  EndChecksOfRestartedReplicas(context_.get());
  return context_->crash_suspects.Judge(suspect_keys(), BootClock::now());
}

void RelayExchange::RecordSignOfLife() {
  // A rejection may come from another replica at the same address.
  if (!active_call_->response_metadata.not_run) {
    context_->crash_suspects.RecordSignOfLife(EngineKey(active_call_->replica),
                                              active_call_->sent_at,
                                              BootClock::now());
  }
}

void RelayExchange::RecordSurvival(bool complete) {
  if (answer_survived_ || !active_call_->output_started_at) {
    return;
  }
  const TimePoint begun = *active_call_->output_started_at;
  const TimePoint now = BootClock::now();
  if (!complete && now - begun < kSurvivalTime) {
    return;
  }
  answer_survived_ = true;
  const bool has_many_parts =
      request_metadata_.prompt &&
      request_metadata_.prompt->parts.size() >= kMaxPlacedParts;
  if (!context_->crash_suspects.empty() || has_many_parts) {
    context_->crash_suspects.RecordAnswer(suspect_keys(), begun, now);
  }
}

void RelayExchange::RecordLostCall(TransportStatus transport_status) {
  // Responses that are complete or invalid come from a replica that works. A
  // stream that ends with its connection ends like a complete one. After
  // silence, the replica may go on behind a link that is down.
  const bool connection_lost =
      transport_status == TransportStatus::kNoResponse ||
      transport_status == TransportStatus::kTruncated ||
      (transport_status == TransportStatus::kComplete &&
       active_call_->head.framing == BodyFraming::kConnection &&
       OutcomeOf(transport_status) == CallOutcome::kIncompleteResponse);
  if (!connection_lost || answer_survived_ ||
      context_->links.state() != LinkMonitor::State::kConnected ||
      active_call_->response_metadata.not_run) {
    return;
  }
  const TimePoint now = BootClock::now();
  context_->crash_suspects.RecordLostCall(EngineKey(active_call_->replica),
                                          suspect_keys(), active_call_->sent_at,
                                          active_call_->status != 0, now);
  // A loss that has no request refused needs no probe. What other instances
  // have lost is not known yet, so that any loss may be the one too many.
  if (context_->placer.peer_loads().LivePeers(now) > 0 ||
      context_->crash_suspects.Judge(suspect_keys(), now) ==
          CrashVerdict::kCulprit) {
    StartCrashCheck(now);
  }
}

void RelayExchange::StartCrashCheck(TimePoint now) {
  const uint64_t key = EngineKey(active_call_->replica);
  const auto [it, is_new] = context_->crash_checks.try_emplace(key);
  if (!is_new) {
    return;
  }
  const Service* service = FindService(*service_map_, service_);
  it->second.replica = active_call_->replica;
  it->second.begun_at = now;
  context_->crash_suspects.RecordDoubt(key, now);
  it->second.survival_check = context_->survival_prober->Begin(
      active_call_->replica,
      service == nullptr ? Service().probe_path : service->probe_path,
      SurvivalProof::kSameId,
      [weak = std::weak_ptr<RelayContext>(context_),
       key](SurvivalVerdict verdict) {
        if (const auto context = weak.lock()) {
          EndCrashCheck(context.get(), key, verdict == SurvivalVerdict::kAlive);
        }
      });
}

void RelayExchange::RefuseAsCulprit() {
  const TimePoint now = BootClock::now();
  const std::string parts = request_metadata_.prompt
                                ? SharedPartsText(*request_metadata_.prompt)
                                : "";
  std::optional<TimePoint>& logged_at = context_->crashing_requests_logged_at;
  if (!logged_at || now - *logged_at >= kRefusalsLogInterval) {
    logged_at = now;
    JsonFields event_fields;
    // The part that crashes replicas may be any of them.
    event_fields.Text("route", route_->name)
        .Text("parts", request_metadata_.prompt
                           ? SharedPartsText(*request_metadata_.prompt,
                                             std::numeric_limits<size_t>::max())
                           : "");
    context_->log.Log(kLogCrashingRequestsRefused, event_fields, now);
  }
  JsonFields fields;
  fields.Text("request", request_metadata_.request_id)
      .Text("route", route_->name)
      .Text("reason", "crashes_replicas")
      .Text("parts", parts)
      .Integer("placements", placements_)
      .Millis("left_ms", TimeLeft())
      .Integer("map_version", service_map_->version);
  context_->log.Log(kLogPlacementRefused, fields, now);
  EndInFailure("crashes_replicas", RetryAfterWithJitter(kCrashLifetime));
}

void RelayExchange::CancelIfCulprit() {
  if (active_call_->output_started_at || !request_metadata_.prompt ||
      JudgeByCrashes() != CrashVerdict::kCulprit) {
    return;
  }
  if (phase_ == Phase::kPrefilling) {
    CloseActiveCall(CallResult::kCompleted);
    RefuseAsCulprit();
    return;
  }
  AbandonRun(CallOutcome::kMayHaveRun,
             "requests with the same prompt parts crash replicas");
}

}  // namespace endiveyard
