#ifndef ENDIVEYARD_SERVING_SERVING_STATE_H_
#define ENDIVEYARD_SERVING_SERVING_STATE_H_

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "endiveyard/admission/concurrency_limit.h"
#include "endiveyard/admission/fair_queue.h"
#include "endiveyard/admission/retry_budget.h"
#include "endiveyard/admission/wait_estimate.h"
#include "endiveyard/routing/target_router.h"
#include "endiveyard/serving/serving_core.h"
#include "serving/delivered_tokens.h"

namespace endiveyard {

using ServingActions = std::vector<ServingAction>;

enum class ExchangeState {
  kIntentPending,    // CommitIntent emitted, not resolved yet
  kIntentAbandoned,  // finished for the caller; a late commit is closed
  kQueued,
  kRunning,  // one attempt is in flight
  // An at-most-once request is in flight whose caller has disconnected or was
  // answered; only its outcome is still awaited.
  kDetached,
};

// The attempt in flight. Valid in kRunning and kDetached.
struct RunningAttempt {
  int number = 0;
  std::string target;
  std::string address;
  std::string event_id;  // expected on each token event
  bool prefill_only = false;
  int64_t uncached_tokens = 0;
  Duration first_token{-1};  // time to the first event; negative: none yet
  TimePoint started;
  TimePoint last_event;
  Duration first_event_timeout{0};
};

// A request and the state of its processing.
struct Exchange {
  ExchangeId id = 0;
  std::string request_id;
  std::string house;
  std::string caller_class;
  std::string idempotency_key;
  RequestKind kind = RequestKind::kCompletion;
  bool idempotent = true;
  int priority = 5;
  int max_tokens = 0;
  TimePoint received;
  TimePoint deadline;
  uint64_t fingerprint = 0;

  ExchangeState state = ExchangeState::kQueued;
  RouteRequest route;           // unchanged while an attempt is in flight
  std::string flow;             // flow of the fair queue
  bool dedicated_flow = false;  // no other exchange is in `flow`
  QueueOrder queue_order;       // kQueued only
  bool intent_committed = false;

  RunningAttempt attempt;
  int attempts = 0;
  int failures = 0;           // failed attempts, without planned migrations
  bool may_have_run = false;  // an ended attempt may have run the request
  TimePoint last_failure;
  DeliveredTokens delivered;
  int prompt_tokens = 0;
  std::string kv_handle;   // exported by the prefill attempt
  std::string kv_address;  // of the engine that exported it

  // Targets lost while they ran this request.
  std::vector<std::string> targets_lost;
  // The request may have crashed a target: some of `targets_lost` are not
  // attributed to another request.
  bool suspect = false;

  TimePoint first_dispatch;
  TimePoint first_token;
  TimePoint last_token;
  TimePoint timer_due = TimePoint::max();
};

struct TargetState {
  ConcurrencyLimit limit;
  std::unordered_set<ExchangeId> in_flight;
  int suspects = 0;       // number of suspects in `in_flight`
  int applied_limit = 0;  // concurrency limit last set at the router
  bool listed = true;
  bool leaving = false;
  // When the drain timeout ends and `in_flight` is migrated.
  TimePoint migrate_at = TimePoint::max();
  Role role = Role::kMixed;
  std::string house;
  std::string service;
};

// Target losses of a suspect that ended before it was cleared or identified as
// crashing targets. A repeat of the request starts as a suspect, so that a
// caller cannot crash one target after another by repeating it.
struct SuspectRecord {
  std::vector<std::string> targets_lost;
  TimePoint expires;
};

struct Timer {
  TimePoint at;
  ExchangeId exchange = 0;
  friend bool operator>(const Timer& a, const Timer& b) {
    return std::tie(a.at, a.exchange) > std::tie(b.at, b.exchange);
  }
};

// Complete state of the serving core. The functions below modify it; each group
// is implemented in the file named above it.
struct ServingState {
  explicit ServingState(ServingCoreOptions core_options);

  ServingCoreOptions options;
  std::shared_ptr<const ServingPolicy> policy;
  TargetRouter router;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges;
  std::unordered_map<std::string, TargetState> targets;
  // House and service of all targets listed so far.
  std::set<std::pair<std::string, std::string>> services;
  // Numbers of prefill-only and decode-only engines, by house and service.
  std::map<std::pair<std::string, std::string>, std::pair<int, int>>
      role_counts;
  bool target_list_received = false;
  bool shutting_down = false;
  FairQueue queue;
  // By house and flow.
  std::map<std::pair<std::string, std::string>, WaitEstimate> wait_estimates;
  RetryBudget retry_budget;
  // Streams in kQueued that are not in `queue` until a retry can be charged to
  // `retry_budget`.
  std::deque<ExchangeId> awaiting_retry_budget;
  // Expiry by fingerprint of the requests identified as crashing targets.
  std::unordered_map<uint64_t, TimePoint> crash_fingerprints;
  // By fingerprint.
  std::unordered_map<uint64_t, SuspectRecord> suspect_records;
  std::unordered_set<ExchangeId> suspects;  // open exchanges only
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
  TimePoint next_sweep;
  TimePoint last_tick;
  TimePoint process_resumed_at;  // end of the last detected process pause
  ServingCounters counters;
};

// Arguments of one call of ServingCore::Step().
struct StepContext {
  ServingState* state;
  TimePoint now;
  ServingActions* actions;

  template <typename Action>
  void Emit(Action action) const {
    actions->emplace_back(std::move(action));
  }
  void Log(int number, std::string detail) const;
};

// exchange_arrival.cc
void OnRequestArrived(const StepContext& ctx, const RequestArrived& event);
uint64_t RequestFingerprint(const ServingRequest& request);
RouteRequest MakeRouteRequest(const ServingRequest& request);

// dispatch.cc
void EnqueueExchange(const StepContext& ctx, Exchange* exchange);
void DispatchQueued(const StepContext& ctx);

// stream_tracking.cc
void OnTokensReceived(const StepContext& ctx, const TokensReceived& event);

// attempt_end.cc
void OnAttemptCompleted(const StepContext& ctx, const AttemptCompleted& event);
void OnAttemptFailed(const StepContext& ctx, const AttemptFailed& event);
void OnPlainAnswered(const StepContext& ctx, const PlainAnswered& event);
// Returns the exchange if `attempt` is in flight. Otherwise counts the event as
// stale and returns nullptr.
Exchange* FindRunningExchange(const StepContext& ctx,
                              ExchangeId id,
                              int attempt);
// Removes the attempt from the accounting of its target. `first_token` is
// passed to TargetRouter::RecordAttemptEnd().
void ReleaseTarget(const StepContext& ctx,
                   Exchange* exchange,
                   Duration first_token);
// Ends the attempt in flight, then retries the request or ends the exchange
// with an error.
void FailAttempt(const StepContext& ctx,
                 Exchange* exchange,
                 const AttemptFailed& failed);
// Cancels the attempt in flight, because its answer stalled or violated the
// protocol, and handles it as failed.
void CancelAndFailAttempt(const StepContext& ctx,
                          Exchange* exchange,
                          const std::string& detail);
// Cancels the attempt in flight and queues the exchange to continue on another
// target. Not charged to the retry budget.
void MigrateExchange(const StepContext& ctx, Exchange* exchange);

// at_most_once.cc
void CommitExchangeIntent(const StepContext& ctx, Exchange* exchange);
void OnIntentResolved(const StepContext& ctx, const IntentResolved& event);
// Closes the committed intent, if any, of an exchange that did not run.
void RecordNotRun(const StepContext& ctx, const Exchange& exchange);
// Ends an at-most-once exchange after its only attempt failed.
void FailAtMostOnce(const StepContext& ctx,
                    Exchange* exchange,
                    AttemptFailure failure,
                    const std::string& detail);

// crash_suspects.cc
// Whether a request with this fingerprint was identified as crashing targets.
bool IsKnownToCrash(const StepContext& ctx, uint64_t fingerprint);
// Makes the exchange a suspect if an identical request left a suspect record.
void RestoreSuspectRecord(const StepContext& ctx, Exchange* exchange);
// Makes the exchange a suspect because `target` was lost while it ran it.
// Returns true if the exchange reached the limit of lost targets and was ended.
bool HandleTargetLoss(const StepContext& ctx,
                      Exchange* exchange,
                      const std::string& target,
                      bool was_suspect);
// Clears a suspect that was answered, and deletes its record.
void ClearSuspect(const StepContext& ctx, Exchange* exchange);
// Saves the target losses of the exchange if it is a suspect.
void SaveSuspectRecord(const StepContext& ctx, const Exchange& exchange);
void OnCrashFingerprintReceived(const StepContext& ctx,
                                const CrashFingerprintReceived& event);
void EvictExpiredCrashRecords(const StepContext& ctx);

// target_changes.cc
TargetState* GetOrAddTarget(const StepContext& ctx, const std::string& target);
void EraseTarget(ServingState* state, const std::string& name);
// Sets the concurrency limit of the target at the router.
void ApplyTargetLimit(const StepContext& ctx, const std::string& target);
// Stops new work for the target, and announces that to the peers if `announce`.
void MarkTargetLeaving(const StepContext& ctx,
                       const std::string& target,
                       bool announce);
void OnTargetListReceived(const StepContext& ctx,
                          const TargetListReceived& event);
void OnLoadReported(const StepContext& ctx, const LoadReported& event);
void OnTargetDraining(const StepContext& ctx, const TargetDraining& event);
void OnPolicyChanged(const StepContext& ctx, const PolicyChanged& event);
// Makes the blocked queued requests of the service eligible for dispatch.
void UnblockService(const StepContext& ctx,
                    const std::string& house,
                    const std::string& service);

// deadlines.cc
void ArmTimer(const StepContext& ctx, Exchange* exchange, TimePoint at);
void FireTimers(const StepContext& ctx);
// Detects from the interval between two ticks that this process was paused.
void DetectProcessPause(const StepContext& ctx);

// exchange_end.cc
void OnCallerDisconnected(const StepContext& ctx,
                          const CallerDisconnected& event);
void FinishCompletionExchange(const StepContext& ctx,
                              Exchange* exchange,
                              const std::string& finish_reason);
void FinishPlainExchange(const StepContext& ctx,
                         Exchange* exchange,
                         const PlainAnswered& answer);
// Answers a request with an error before an exchange is created for it.
void RejectArrival(const StepContext& ctx,
                   const RequestArrived& event,
                   ErrorKind kind,
                   const std::string& detail,
                   Duration wait);
// Sends the error and erases the exchange. Precondition: no attempt is in
// flight, or ReleaseTarget() was called for it.
void FailExchange(const StepContext& ctx,
                  Exchange* exchange,
                  ErrorKind kind,
                  const std::string& detail);
// Sends the error to the caller without erasing the exchange.
void SendError(const StepContext& ctx,
               const Exchange& exchange,
               ErrorKind kind,
               const std::string& detail,
               Duration wait);
// Removes the exchange from the state, including the queue. If it is a suspect,
// its record is saved.
void EraseExchange(const StepContext& ctx, Exchange* exchange);

// Common prefix of the names of all flows of a service.
std::string FlowPrefix(const std::string& service);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SERVING_SERVING_STATE_H_
