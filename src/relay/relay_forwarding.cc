#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>

#include "endiveyard/base/digest.h"
#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/header_rules.h"
#include "relay/relay_exchange.h"

// Requests that this instance cannot send to any target and forwards to another
// instance, and those that others forward to it. One hop: a forwarded request
// is not forwarded again.
namespace endiveyard {
namespace {

std::string IpText(uint32_t address) {
  return boost::asio::ip::address_v4(address).to_string();
}

HeaderList WithoutHeader(HeaderList headers, std::string_view name) {
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [name](const auto& it) {
                                 return EqualsIgnoreCase(it.first, name);
                               }),
                headers.end());
  return headers;
}

// Returns true if the response shows that the other instance has not begun to
// handle the request.
bool IsNotTaken(int status, const std::optional<ForwardedResponse>& response) {
  constexpr std::array<int, 5> kUnreadStatuses = {400, 408, 413, 431, 503};
  return status == kNotTakenStatus ||
         (!response && std::find(kUnreadStatuses.begin(), kUnreadStatuses.end(),
                                 status) != kUnreadStatuses.end());
}

}  // namespace

std::optional<uint32_t> RelayExchange::ChoosePeer(TimePoint now) const {
  return context_->forwarding_peers.Choose(
      context_->own_region, excluded_peers_,
      Digest64(request_metadata_.request_id), now);
}

bool RelayExchange::LinksLost() const {
  return context_->links.state() == LinkMonitor::State::kLost;
}

bool RelayExchange::ForwardsInsteadOf(const Placement& placement,
                                      TimePoint now) const {
  const auto has_connection = [this](const Replica& replica) {
    return context_->target_client.HasIdleConnection(
        replica.ip, replica.port, request_metadata_.request_id);
  };
  return LinksLost() && !request_.forwarded && ChoosePeer(now) &&
         (!has_connection(placement.target) ||
          (placement.prefill && !has_connection(*placement.prefill)));
}

void RelayExchange::RefuseForwarded(std::string_view reason) {
  RespondWithError(
      std::get<UnsentResponse>(std::exchange(response_, EndedResponse())),
      kNotTakenStatus, reason, Duration(0));
}

void RelayExchange::StartForwarding(uint32_t peer) {
  const TimePoint now = BootClock::now();
  phase_ = Phase::kForwarding;
  forwarding_ = ForwardingCall();
  // The other instance knows its targets, and holds what is in doubt.
  sse_splitter_.BeginRun(
      {EventNumbering::kByTokens, std::numeric_limits<int64_t>::max()});
  forwarding_->peer = peer;
  last_replica_id_ = IpText(peer);
  context_->forwarding_peers.RecordSent(peer);

  ForwardedRequest state;
  state.time_left = std::max(Duration(0), TimeLeft());
  state.waited = std::chrono::duration_cast<Duration>(now - request_.received);
  state.delivered_calls = delivered_calls_;
  state.possible_runs = possible_runs_;
  state.counted = counted_in_budget_;
  state.prefilled = prompt_prefilled_;
  state.map_version = service_map_->version;
  if (ContinuesStream()) {
    state.service = service_;
  }
  // Chosen here, so that all receivers of the request begin it at the same one.
  state.stream_version = sent_to_version_ = RequiredVersion();
  state.last_event_id = sse_splitter_.last_id();
  state.excluded_replica = failed_replica_id_;

  TargetRequest request;
  request.ip = IpText(peer);
  request.port = context_->options.peer_port;
  request.method = request_.method;
  request.path = request_.path_and_query;
  request.headers = WithoutHeader(forwarded_headers_, kForwardedRequestHeader);
  request.headers.emplace_back(std::string(kForwardedRequestHeader),
                               EncodeForwardedRequest(state));
  request.body = request_.body;
  request.request_id = request_metadata_.request_id;

  TargetCallHandlers handlers;
  const std::weak_ptr<RelayExchange> weak = weak_from_this();
  handlers.on_head = [weak](const TargetResponseHead& head) {
    const auto self = weak.lock();
    return self && self->OnPeerHead(head);
  };
  handlers.on_body = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnPeerBody(bytes);
    }
  };
  handlers.on_end = [weak](TransportStatus transport_status,
                           std::string_view detail) {
    if (const auto self = weak.lock()) {
      self->OnPeerEnd(transport_status, detail);
    }
  };
  JsonFields fields;
  fields.Text("request", request_metadata_.request_id)
      .Text("route", route_->name)
      .Text("peer", request.ip)
      .Integer("arrivals", delivered_calls_)
      .Integer("may_have_run", possible_runs_)
      .Integer("after_event", state.last_event_id.value_or(0))
      .Millis("left_ms", state.time_left);
  context_->log.Log(kLogRequestForwarded, fields, now);
  forwarding_->call =
      context_->peer_client.Start(std::move(request), std::move(handlers));
}

bool RelayExchange::OnPeerHead(const TargetResponseHead& head) {
  if (!forwarding_) {
    return false;
  }
  const ResponseMetadata metadata =
      context_->protocol.DecodeResponse(head.status, head.headers);
  forwarding_->head = head;
  response_framing_ = head.framing;
  forwarding_->head.headers =
      WithoutHeader(head.headers, kForwardedResponseHeader);
  if (const auto text = FindHeader(head.headers, kForwardedResponseHeader)) {
    forwarding_->response = DecodeForwardedResponse(*text);
  }
  if (forwarding_->response) {
    const Replica* replica = context_->routing_state.replicas.Find(
        forwarding_->response->replica_id);
    if (replica != nullptr) {
      // The response says so through this instance, too.
      RecordAvailability(*replica, head.status, metadata);
      RecordRateLimit(*replica, head.status, metadata);
    }
  }
  forwarding_->is_success =
      head.status >= 200 && head.status < 300 && metadata.signed_by_target &&
      forwarding_->response && !metadata.has_content_encoding;
  forwarding_->streaming =
      route_->kind == RouteKind::kStreaming && forwarding_->is_success;
  return true;
}

void RelayExchange::OnPeerBody(std::string_view bytes) {
  if (!forwarding_) {
    return;
  }
  if (forwarding_->streaming) {
    const std::string events = sse_splitter_.Feed(bytes);
    if (!events.empty()) {
      if (auto* unsent = std::get_if<UnsentResponse>(&response_)) {
        first_output_at_ = BootClock::now();
        RecordForwardedVersion();
        RecordRunStart();
        response_ = std::move(*unsent).Begin(CallerHeadFrom(forwarding_->head));
      }
      std::get<BegunResponse>(response_).SendBody(events);
    }
    if (sse_splitter_.has_gap() || sse_splitter_.is_overlong()) {
      EndForwarding(TransportStatus::kTruncated,
                    "events that do not follow each other");
      return;
    }
  } else if (ResponseBegun() && route_->kind == RouteKind::kStreaming) {
    return;  // a failure, whose text does not continue the stream
  } else if (ResponseBegun()) {
    std::get<BegunResponse>(response_).SendBody(bytes);
  } else {
    forwarding_->body.append(bytes);
    caller_->SetCollectedBytes(forwarding_->body.capacity());
    if (forwarding_->body.size() > kMaxCollectedResponseBytes) {
      if (!forwarding_->is_success) {
        EndForwarding(TransportStatus::kTruncated,
                      "failure response exceeds the size limit");
        return;
      }
      first_output_at_ = BootClock::now();
      RecordRunStart();
      BegunResponse begun =
          std::get<UnsentResponse>(std::exchange(response_, EndedResponse()))
              .Begin(CallerHeadFrom(forwarding_->head));
      begun.SendBody(std::exchange(forwarding_->body, ""));
      response_ = std::move(begun);
    }
  }
  PauseForSlowCaller(forwarding_->call);
}

CallerResponseHead RelayExchange::ResponseHeadFrom(
    const TargetResponseHead& head,
    const Replica& replica) const {
  CallerResponseHead caller_head = CallerHeadFrom(head);
  AddForwardedResponse(&caller_head, &replica);
  return caller_head;
}

void RelayExchange::AddForwardedResponse(CallerResponseHead* head,
                                         const Replica* replica) const {
  if (!request_.forwarded) {
    return;
  }
  const int open_calls = active_call_ ? 1 : 0;
  ForwardedResponse response;
  response.delivered_calls = delivered_calls_ + open_calls;
  response.possible_runs = possible_runs_ + open_calls;
  if (replica != nullptr) {
    response.replica_id = replica->id;
    response.version = replica->version;
  }
  head->headers.emplace_back(std::string(kForwardedResponseHeader),
                             EncodeForwardedResponse(response));
}

void RelayExchange::RecordForwardedVersion() {
  stream_version_ = forwarding_->response->version;
  version_record_unused_ = false;
  if (route_->resumable) {
    // Replaces what this instance remembers of an own run that did not begin.
    context_->stream_versions.RecordBegun(
        service_, StreamIdOf(request_metadata_.request_id), *stream_version_,
        BootClock::now());
  }
}

void RelayExchange::OnPeerEnd(TransportStatus transport_status,
                              std::string_view detail) {
  if (phase_ == Phase::kForwarding && forwarding_) {
    forwarding_->call.reset();
    EndForwarding(transport_status, detail);
  }
}

CallOutcome RelayExchange::OutcomeOfForwarding(
    TransportStatus transport_status) const {
  const int status = forwarding_->head.status;
  const bool complete = transport_status == TransportStatus::kComplete &&
                        forwarding_->head.framing != BodyFraming::kConnection;
  if (transport_status == TransportStatus::kNotSent ||
      (complete && IsNotTaken(status, forwarding_->response))) {
    return CallOutcome::kNotSent;
  }
  const bool is_cut =
      forwarding_->streaming && sse_splitter_.has_partial_event();
  if (!complete || is_cut || !forwarding_->response) {
    return ResponseBegun() ? CallOutcome::kIncompleteResponse
                           : CallOutcome::kMayHaveRun;
  }
  if (ContinuesStream() && !forwarding_->streaming && ResponseBegun()) {
    return forwarding_->response->possible_runs > possible_runs_
               ? CallOutcome::kErrorResponse
               : CallOutcome::kNotRun;
  }
  // The other instance runs a request at one target only.
  const bool has_failed_there =
      status >= 500 && forwarding_->response->possible_runs > possible_runs_;
  if (has_failed_there && !ResponseBegun()) {
    return CallOutcome::kErrorResponse;
  }
  // Refusals, too: the other instance has done what could be done.
  return CallOutcome::kCompleted;
}

void RelayExchange::EndForwarding(TransportStatus transport_status,
                                  std::string_view detail) {
  EndedCall ended;
  ended.outcome = OutcomeOfForwarding(transport_status);
  ended.status = forwarding_->head.status;
  ended.output_started = ResponseBegun();
  ended.was_forwarded = true;
  ended.head = std::move(forwarding_->head);
  ended.body = std::move(forwarding_->body);
  const std::optional<ForwardedResponse> response = forwarding_->response;
  ended.replica.id = response ? response->replica_id : "";
  failed_replica_id_ = ended.replica.id;
  excluded_peers_.insert(forwarding_->peer);
  if (ended.outcome == CallOutcome::kNotSent) {
    context_->forwarding_peers.RecordNotTaken(forwarding_->peer);
  }
  CloseForwarding();
  if (ended.outcome != CallOutcome::kNotSent) {
    counted_in_budget_ = true;  // by the other instance
    // Perhaps; it does not tell.
    prompt_prefilled_ = prompt_prefilled_ || request_metadata_.prompt;
    // Never less than what is known here.
    delivered_calls_ =
        std::max(delivered_calls_,
                 response ? response->delivered_calls : delivered_calls_ + 1);
    possible_runs_ = std::max(possible_runs_, response ? response->possible_runs
                                                       : possible_runs_ + 1);
  }
  ContinueAfterCall(ended, detail);
}

void RelayExchange::CheckForwarding(TimePoint now) {
  // An instance that stands still acknowledges what it gets.
  if (context_->routing_state.IsRecent(now) && IsRetryable(*route_) &&
      !ResponseBegun() &&
      context_->forwarding_peers.IsOverdue(forwarding_->peer, now)) {
    EndForwarding(TransportStatus::kNoResponse,
                  "the other instance has stopped reporting");
  }
}

void RelayExchange::CloseForwarding() {
  if (!forwarding_) {
    return;
  }
  if (forwarding_->call) {
    forwarding_->call->Cancel();
  }
  context_->forwarding_peers.RecordEnded(forwarding_->peer);
  forwarding_.reset();
}

}  // namespace endiveyard
