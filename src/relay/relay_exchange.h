#ifndef ENDIVEYARD_SRC_RELAY_RELAY_EXCHANGE_H_
#define ENDIVEYARD_SRC_RELAY_RELAY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "endiveyard/placement/attempt_policy.h"
#include "endiveyard/relay/sse_splitter.h"
#include "relay/caller_response.h"
#include "relay/relay_context.h"

namespace endiveyard {

// Stands in log lines for the id of an event if there was none.
inline constexpr int64_t kNoEvent = -1;

// Returns true if the registry lists a later process under the id of `replica`.
bool IsRestarted(const RelayContext& context, const Replica& replica);

// Handles one request of a caller from its arrival to the end of the response.
// The request is placed on a target (relay_exchange.cc), or forwarded to
// another instance if no target can be reached (relay_forwarding.cc). If the
// placement uses a separate prefill engine, that engine processes the prompt
// first (relay_prefill_call.cc). Then the request runs on one target after the
// other, as the attempt policy decides, and the response is forwarded
// (relay_run_call.cc). Timeouts, error responses and cleanup are in
// relay_exchange_end.cc.
class RelayExchange : public std::enable_shared_from_this<RelayExchange> {
 public:
  RelayExchange(std::shared_ptr<RelayContext> context,
                std::shared_ptr<CallerConnection> caller,
                CallerRequest request);
  ~RelayExchange();

  void Start();
  // The caller has closed its connection: cancels the call in progress.
  void OnCallerDisconnect();
  // The process is about to exit: ends the exchange with what is known of it.
  void EndForShutdown();
  // Ends the wait for a complete and recent routing state, either because it is
  // there or because the time for it has passed.
  void StopAwaitingRoutingState();

 private:
  enum class Phase {
    kAwaitingRoutingState,
    kAwaitingReplicas,
    kPlacing,
    kAwaitingTurn,
    kPrefilling,
    kRunning,
    kForwarding,
    kEnded
  };

  // The call in progress to a replica.
  struct ActiveCall {
    Replica replica;
    CallClass call_class;
    // Predicted wait until the prompt is prefilled or the first output arrives.
    Duration predicted_wait{};
    std::shared_ptr<TargetCall> call;
    double pending_prefill_tokens = 0;  // counted in the load of `replica`
    TimePoint sent_at{};
    // Last arrival of a head, a complete event of a stream, or bytes of another
    // body.
    TimePoint last_progress_at{};
    int status = 0;
    ResponseMetadata response_metadata;
    TargetResponseHead head;
    std::string body;        // collected until it is sent as one response
    bool streaming = false;  // the body is forwarded as it arrives
    // First event, or first bytes of another body.
    std::optional<TimePoint> output_started_at;
    std::optional<TimePoint> first_event_at;
    // End of a response that has been checked since.
    std::optional<TimePoint> ended_at;
    // Set while it is checked whether the replica outlived the end of its
    // response.
    std::optional<uint64_t> survival_check;
  };

  // What is left of a call that has ended and was closed.
  struct EndedCall {
    CallOutcome outcome = CallOutcome::kNotSent;
    int status = 0;
    bool output_started = false;
    bool was_forwarded = false;  // to another instance
    Replica replica;             // of a call to a target
    Duration took{};
    int earlier_requests = 0;  // on the connection of the call
    // The whole response, unless parts of it were forwarded as they arrived.
    // Present if the outcome is kCompleted or kErrorResponse.
    TargetResponseHead head;
    std::string body;
  };

  // The call in progress to another instance.
  struct ForwardingCall {
    uint32_t peer = 0;  // IPv4 address
    std::shared_ptr<TargetCall> call;
    TargetResponseHead head;
    std::string body;         // collected until it is sent as one response
    bool is_success = false;  // a complete body is a response of a target
    bool streaming = false;   // events are forwarded as they arrive
    // Missing if the other instance has not begun to handle the request.
    std::optional<ForwardedResponse> response;
  };

  // Holds the request until the routing state is complete and recent, or until
  // `end`.
  void AwaitRoutingState(TimePoint end);
  void RouteRequest();
  // Refuses the request because this instance has too much to hold.
  void RefuseForLoad(const std::string& reason);
  // Identifies the customer of the caller. Returns false after refusing the
  // request if it must not run.
  bool Authenticate();
  // Lets the request add to the retry budget of its service, once.
  void CountInBudget();
  void Place();
  // Returns the streams that are expected to number their events like those of
  // the replica: all of its service and software version.
  StreamGroup NumberingGroupOf(const Replica& replica) const;
  // Excludes replicas to which the position of the caller in the stream means
  // another one.
  void ExcludeReplicasNumberedOtherwise();
  // Records how the call in progress has numbered its events.
  void RecordEventSteps(bool is_complete);
  // Returns true if this instance may continue the stream whose beginning the
  // caller has. A receiver leaves that to the instance that has forwarded the
  // request, which counts the runs.
  bool MayContinueStream() const {
    return sse_splitter_.is_position_known() && !request_.forwarded;
  }
  // Returns true if the caller takes up a stream that another attempt has
  // begun.
  bool TakesUpStream() const {
    return route_->kind == RouteKind::kStreaming &&
           request_metadata_.last_event_id.has_value();
  }
  // Returns the keys of the stream that `attempt`, with the same prompt, has
  // begun.
  StreamId StreamIdOf(std::string_view attempt) const;
  // Returns true if the caller has the beginning of the stream.
  bool ContinuesStream() const { return TakesUpStream() || ResponseBegun(); }
  // Returns the software version that has begun the stream that the caller
  // takes up, as far as the present view tells; nullopt if that is in doubt.
  std::optional<std::string> FindStreamVersion() const;
  // Returns the version if some instance remembers it.
  std::optional<std::string> FindRememberedVersion() const;
  // Returns how long ago the stream may have begun at an instance with any view
  // of the replicas.
  Duration LongestStreamAge() const;
  // Goes on with a stream that the caller takes up, once it is known which
  // version has begun it.
  void TakeUpStream();
  void OnReplicasRefreshed(bool is_current);
  void OnStreamRecordsRead(bool is_view_current);
  void RefuseTakeUp(bool is_view_current);
  // Returns the version that has to run the request; nullopt for any.
  std::optional<std::string> RequiredVersion() const;
  // Returns the priority of the calls: that of the customer or else of the
  // route, or the highest one if they continue a stream.
  int EffectivePriority() const;
  // Returns the query for the next placement of the request.
  PlacementQuery MakePlacementQuery(TimePoint now) const;
  void StartPlacement(const Placement& placement);
  // Waits until the rate limit of the replica that is called first allows it.
  void AwaitTurn(const Placement& placement);
  void OnTurn();
  // Gives back the turn that is awaited, if any.
  void EndTurn();
  // Returns true if the replica, where a call was placed before, still takes
  // it.
  bool StillTakesWork(const Replica& placed) const;
  void StartPrefill(const Placement& placement);
  // Records the version that the stream begins at, which stays.
  void RecordSentTo(const std::string& version);
  void OnPrefillEnd(const Placement& placement,
                    TransportStatus transport_status,
                    std::string_view detail);
  // Runs the request with the KV cache of its prompt. Moves it to another
  // target if the chosen one no longer takes new work.
  void RunAfterPrefill(const Placement& placement);
  void StartRun(const Placement& placement, std::optional<KvHandle> kv);
  bool OnRunHead(const TargetResponseHead& head);
  void OnRunBody(std::string_view bytes);
  // Records the arrival of a complete event, or of bytes of another body.
  void RecordOutput();
  void OnRunEnd(TransportStatus transport_status, std::string_view detail);

  // The end of responses that end with their connection
  // (relay_response_end.cc).
  // Returns true if the response may have been cut off by the end of the
  // replica and would be taken for a complete one.
  bool IsEndInDoubt(TransportStatus transport_status) const;
  // Returns true if the answers of the replica to probes state its process.
  bool IsEngineService() const;
  // Finishes the run once it is known whether the replica outlived its
  // response.
  void CheckEnd();
  void OnEndChecked(SurvivalVerdict verdict);
  // Returns true if the registry lists a later process under the id of the
  // replica that the call was sent to.
  bool HasReplicaRestarted() const {
    return IsRestarted(*context_, active_call_->replica);
  }
  // Returns true if the replica is leaving, which it may have finished.
  bool IsReplicaLeaving() const;

  // Records the end of the run and decides what follows.
  void FinishRun(TransportStatus transport_status, std::string_view detail);
  // Ends the run in progress, whose response cannot be used: `outcome` is one
  // without a complete response.
  void AbandonRun(CallOutcome outcome, std::string_view detail);
  CallOutcome OutcomeOf(TransportStatus transport_status) const;
  // What a response of the active call that says "not run" tells about its
  // replica.
  CallResult ResultOfRefusal() const;
  // Returns true if the target closed the connection of a response that ends
  // with it before any output.
  bool EndedWithoutAnswer() const;
  // Records what the head of the response states about the replica.
  void RecordResponseHead();
  // Records the limit on requests per second that the replica states.
  void RecordRateLimit(const Replica& replica,
                       int status,
                       const ResponseMetadata& metadata);
  // Records whether the replica says that it takes new work.
  void RecordAvailability(const Replica& replica,
                          int status,
                          const ResponseMetadata& metadata);
  // Records the speed of the target of a completed run.
  void ObserveCompletedRun(const ActiveCall& call);
  // Decides what follows a call. The active call has been closed before;
  // `ended` holds what is needed of it.
  void ContinueAfterCall(const EndedCall& ended, std::string_view detail);
  void ForwardBody(std::string_view bytes);
  // Stops reading the response of `call` while the caller reads slowly.
  void PauseForSlowCaller(const std::shared_ptr<TargetCall>& call);
  // Records the first id of a stream that nothing precedes. Returns false if
  // the first events of the stream are missing.
  bool RecordStreamStart();
  // Sends complete events of a stream, the first ones after the head.
  void ForwardEvents(const std::string& events);
  // Sends the head of the active call's response and what was collected of the
  // body. The rest is forwarded as it arrives.
  void BeginLargeResponse();
  void SendCompleteResponse(const EndedCall& ended);
  // Counts the request in the usage of its customer, once. To be called when
  // the first output of a replica that ran it goes to the caller.
  void RecordRunStart();

  // Evidence about requests that crash replicas (relay_crash_evidence.cc).
  // Records a response of the replica of the active call.
  void RecordSignOfLife();
  // Records that the replica has survived the beginning of the answer, once
  // that is known. `complete` means that the response has ended.
  void RecordSurvival(bool complete);
  // Records that the replica ended the active call, if it closed its connection
  // before the beginning of the answer was survived. If that may have
  // requests refused, the replica is checked: it may live and have cut off its
  // answer.
  void RecordLostCall(TransportStatus transport_status);
  void StartCrashCheck(TimePoint now);
  // Returns true if the request goes behind those of other customers.
  bool YieldsToOtherCustomers() const;
  // Returns what the crashes of replicas by similar requests tell about this
  // one.
  CrashVerdict JudgeByCrashes();
  const SuspectKeys& suspect_keys();
  void RefuseAsCulprit();
  // Cancels the active call if the answer has not begun and similar requests
  // are known to crash replicas.
  void CancelIfCulprit();

  // Forwarding to another instance (relay_forwarding.cc).
  // Returns the instance to forward the request to; nullopt if none takes it.
  std::optional<uint32_t> ChoosePeer(TimePoint now) const;
  // Returns true if no target can be connected to.
  bool LinksLost() const;
  // Returns true if the request is better forwarded than sent to the target
  // that `placement` calls first.
  bool ForwardsInsteadOf(const Placement& placement, TimePoint now) const;
  void StartForwarding(uint32_t peer);
  bool OnPeerHead(const TargetResponseHead& head);
  void OnPeerBody(std::string_view bytes);
  // Remembers the version that has begun the stream.
  void RecordForwardedVersion();
  // Returns the head to send for the response of a target. `replica` has
  // responded, and may have run the request.
  CallerResponseHead ResponseHeadFrom(const TargetResponseHead& head,
                                      const Replica& replica) const;
  // Tells the instance that has forwarded the request what was done for it.
  // `replica` has responded; null if the response is of this instance.
  void AddForwardedResponse(CallerResponseHead* head,
                            const Replica* replica) const;
  void OnPeerEnd(TransportStatus transport_status, std::string_view detail);
  CallOutcome OutcomeOfForwarding(TransportStatus transport_status) const;
  // Ends the call to the other instance and decides what follows.
  void EndForwarding(TransportStatus transport_status, std::string_view detail);
  // Goes on elsewhere if the other instance has fallen silent.
  void CheckForwarding(TimePoint now);
  void CloseForwarding();
  // Tells the instance that has forwarded the request that this one does not
  // take it and has done nothing for it.
  void RefuseForwarded(std::string_view reason);
  // Returns true if another instance has forwarded the request, and nothing was
  // done for it here.
  bool MayRefuseForwarded() const {
    return request_.forwarded.has_value() &&
           delivered_calls_ == request_.forwarded->delivered_calls &&
           prompt_prefilled_ == request_.forwarded->prefilled &&
           std::holds_alternative<UnsentResponse>(response_);
  }

  // Returns true if the caller has got the head of the response.
  bool ResponseBegun() const {
    return std::holds_alternative<BegunResponse>(response_);
  }
  // Ends the exchange without a response of a target. A response that has begun
  // is aborted. Otherwise, the caller gets 503 if no target may have run the
  // request, and 502 or 504 (after the deadline) if one may have.
  void EndInFailure(std::string_view reason, Duration retry_after);
  // Ends the exchange with an error response generated by this instance.
  void RespondWithError(UnsentResponse response,
                        int status,
                        std::string_view reason,
                        Duration retry_after);
  void EndWithTimeout();
  // Gives up the call in progress and ends the exchange as EndInFailure() does.
  void CancelInFailure(std::string_view reason);
  void OnDeadline();
  void ArmDeadline();
  void ArmWatchdog();
  void OnWatchdog();
  // Returns how long the active call may go without progress.
  Duration StallLimit(TimePoint now) const;
  // Returns true if another replica is expected to respond in time.
  bool HasTimelyAlternative(TimePoint now) const;
  void CloseActiveCall(CallResult result);
  void ReleaseKv();
  void End(std::string_view outcome, int status);
  // Records a new call in the load of `replica`, which has to prefill
  // `uncached` prompt tokens.
  void RegisterCall(const Replica& replica,
                    CallKind kind,
                    Duration predicted_wait,
                    double uncached);
  // Sends the call that was recorded by RegisterCall(). A response body above
  // `max_response_bytes` is truncated; 0 for no limit.
  void SendCall(const CallHeaders& headers,
                TargetCallHandlers handlers,
                uint64_t max_response_bytes = 0);
  CallHeaders MakeCallHeaders(const Replica& replica) const;
  size_t RequestBodyBytes() const;
  int64_t ExpectedOutputTokens() const;  // as estimated by the caller
  Duration TimeLeft() const;
  Duration RetryAfterWithJitter(Duration wait) const;
  bool TrySpendRetryBudget();

  std::shared_ptr<RelayContext> context_;
  std::shared_ptr<CallerConnection> caller_;
  const CallerRequest request_;
  RequestMetadata request_metadata_;
  std::shared_ptr<const ServiceMap> service_map_;  // keeps `route_` alive
  const Route* route_ = nullptr;
  const Customer* customer_ = nullptr;  // null for anonymous callers
  std::string service_;
  HeaderList forwarded_headers_;
  TimePoint deadline_{};
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer watchdog_timer_;
  boost::asio::steady_timer turn_timer_;
  Phase phase_ = Phase::kPlacing;
  CallerResponse response_;
  std::optional<Placement> awaited_placement_;
  std::optional<ActiveCall> active_call_;
  std::optional<ForwardingCall> forwarding_;
  std::set<uint32_t> excluded_peers_;  // IPv4 addresses
  std::optional<KvHandle> kv_handle_;  // not yet used by a run
  std::optional<Replica> kv_holder_;
  std::set<std::string> excluded_replica_ids_;
  SseSplitter sse_splitter_;
  // Of the last response of a target, or of another instance.
  std::optional<BodyFraming> response_framing_;
  // Software version of the replica that sent the first event of the stream.
  // What another version writes does not continue it.
  std::optional<std::string> stream_version_;
  // The version of a run was recorded, and no event was sent to the caller.
  bool version_record_unused_ = false;
  // To which the attempt was sent. Others may have been told of it, so that it
  // begins there or not at all.
  std::optional<std::string> sent_to_version_;
  // Calls that were written to a target, except successful prefill calls. Any
  // run after the first of them has to be covered by the retry budget.
  int delivered_calls_ = 0;
  int possible_runs_ = 0;  // targets that may have run the request
  int placements_ = 0;
  // Route under which it is counted as open, once it is.
  std::optional<std::string> counted_route_;
  bool counted_in_budget_ = false;
  bool may_prefill_separately_ = true;
  // A prefill call was accepted. Further ones have to be covered by the retry
  // budget, too.
  bool prompt_prefilled_ = false;
  Duration expected_first_output_{};  // as estimated by the last placement
  std::optional<TimePoint> first_output_at_;
  std::optional<TimePoint> last_event_sent_at_;
  std::string last_replica_id_;
  // Replica at which a forwarded request has failed; empty if there is none.
  std::string failed_replica_id_;
  std::optional<SuspectKeys> suspect_keys_;  // set on first use
  bool run_start_recorded_ = false;
  // Some replica went on after the first output of this request.
  bool answer_survived_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_RELAY_EXCHANGE_H_
