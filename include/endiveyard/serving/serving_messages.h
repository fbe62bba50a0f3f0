#ifndef ENDIVEYARD_SERVING_SERVING_MESSAGES_H_
#define ENDIVEYARD_SERVING_SERVING_MESSAGES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "endiveyard/base/error_kind.h"
#include "endiveyard/base/target.h"
#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Identifies one exchange, that is one request and its answer, within the
// lifetime of an instance process. Never reused.
using ExchangeId = uint64_t;

enum class RequestKind { kCompletion, kChat, kPlain };

// A parsed and authenticated request.
struct ServingRequest {
  std::string request_id;  // echoed to the caller
  std::string house;
  std::string caller_class;
  RequestKind kind = RequestKind::kCompletion;
  std::string service;
  std::string model;
  std::string adapter;
  std::string prompt;  // for prefix-cache affinity; empty for kPlain
  std::string method;  // kPlain only
  std::string path;    // kPlain only, including the query string
  std::string content_type;
  std::string body;  // kPlain: forwarded unchanged
  int max_tokens = 16;
  double temperature = 0;
  bool stream = false;
  bool idempotent = true;       // false: must run at most once
  std::string idempotency_key;  // used only if not idempotent; may be empty
  int priority = 5;             // 0 (lowest) to 9
  TimePoint received;
  TimePoint deadline;
};

// Why an attempt at a target failed.
enum class AttemptFailure {
  kConnectFailed,   // no byte of the request was sent
  kTargetRefused,   // the target reported that it did not run the request
  kConnectionLost,  // the connection broke after the request was sent
  kMalformed,       // the answer violated the protocol, or stalled
  kTargetError,     // the target ran the request and reported an error
};

// Events: the inputs of ServingCore::Step().
struct RequestArrived {
  ExchangeId exchange = 0;
  ServingRequest request;
};
struct CallerDisconnected {
  ExchangeId exchange = 0;
};
struct TokensReceived {
  ExchangeId exchange = 0;
  int attempt = 0;
  std::string event_id;  // as sent by the engine; identifies the attempt
  int index = 0;         // position of the first of `tokens` in the answer
  std::vector<std::string> tokens;
};
struct AttemptCompleted {
  ExchangeId exchange = 0;
  int attempt = 0;
  std::string finish_reason;
  int prompt_tokens = 0;
  std::string kv_handle;  // not empty if the engine exported its KV cache
};
struct AttemptFailed {
  ExchangeId exchange = 0;
  int attempt = 0;
  AttemptFailure failure = AttemptFailure::kConnectionLost;
  std::string detail;
  bool target_leaving = false;  // kTargetRefused: the target is leaving
  // kConnectionLost only: the target is known to be alive, so the request is
  // not suspected of having crashed it.
  bool target_known_alive = false;
};
struct PlainAnswered {
  ExchangeId exchange = 0;
  int attempt = 0;
  int status = 0;
  std::string content_type;
  std::string body;
};
// Result of committing an intent to the log of at-most-once requests, for the
// idempotency key of the request.
enum class IntentState {
  kCommitted,     // this exchange may send the request, once
  kStoredAnswer,  // an earlier request with this key finished
  kInProgress,    // an earlier request with this key runs at this instance
  kUnknown,       // an earlier request with this key may have run
  kKeyReused,     // the key was used with a different request
  kUnavailable,   // this process has not committed it and never will
};
struct IntentResolved {
  ExchangeId exchange = 0;
  IntentState state = IntentState::kUnavailable;
  int status = 0;  // kStoredAnswer only
  std::string content_type;
  std::string body;
};
// The complete list of targets; replaces the previous one.
struct TargetListReceived {
  std::vector<TargetInfo> targets;
};
struct LoadReported {
  std::string target;
  TargetLoad load;
};
// Block hashes added to and removed from a target's prefix cache.
struct CacheChanged {
  std::string target;
  uint64_t sequence = 0;  // number of the first event in the batch
  std::vector<uint64_t> stored;
  std::vector<uint64_t> evicted;
};
// The target must get no new work, as reported by the control thread or a peer.
struct TargetLeaving {
  std::string target;
};
// A target is drained before its role or model changes. `draining` is false
// once the change is complete.
struct TargetDraining {
  std::string target;
  bool draining = true;
};
// A peer identified a request with this fingerprint as crashing targets.
struct CrashFingerprintReceived {
  uint64_t fingerprint = 0;
  TimePoint expires;
};
struct ShutdownStarted {};
struct Tick {};

// Limits and weights for request serving, from the fleet configuration.
struct ServingPolicy {
  uint64_t version = 0;
  int queue_limit = 256;        // queued requests per house and class
  int target_concurrency = 32;  // initial concurrency limit of a target
  // Longest gap between two token events before a stream resumes on another
  // target.
  Duration stall_timeout = std::chrono::seconds(2);
  // Time after which requests on a draining or leaving target are migrated.
  Duration drain_timeout = std::chrono::seconds(30);
  int max_targets_lost_per_request = 2;
  std::map<std::string, double> house_weights;
  std::map<std::string, int> class_priorities;
};
struct PolicyChanged {
  std::shared_ptr<const ServingPolicy> policy;
};

using ServingEvent = std::variant<RequestArrived,
                                  CallerDisconnected,
                                  TokensReceived,
                                  AttemptCompleted,
                                  AttemptFailed,
                                  PlainAnswered,
                                  IntentResolved,
                                  TargetListReceived,
                                  LoadReported,
                                  CacheChanged,
                                  TargetLeaving,
                                  TargetDraining,
                                  CrashFingerprintReceived,
                                  PolicyChanged,
                                  ShutdownStarted,
                                  Tick>;

// Actions: the outputs of ServingCore::Step(), to be executed in order.
struct StartAttempt {
  ExchangeId exchange = 0;
  int attempt = 0;
  std::string target;
  std::string address;
  std::vector<std::string> resume;  // tokens already delivered to the caller
  bool prefill_only = false;  // generate one token and export the KV cache
  std::string import_kv;      // handle of the KV cache at `import_from`
  std::string import_from;    // "host:port" of the engine that exported it
  // Not on a pooled connection, because the request must run at most once.
  bool dedicated_connection = false;
};
struct CancelAttempt {
  ExchangeId exchange = 0;
  int attempt = 0;
  std::string target;
  std::string address;
};
struct DeliverTokens {
  ExchangeId exchange = 0;
  std::vector<std::string> tokens;
};
struct FinishCompletion {
  ExchangeId exchange = 0;
  std::string finish_reason;
  int prompt_tokens = 0;
  int completion_tokens = 0;
};
struct FinishPlain {
  ExchangeId exchange = 0;
  int status = 0;
  std::string content_type;
  std::string body;
};
// Ends the exchange with an error, possibly after tokens were delivered.
struct FinishError {
  ExchangeId exchange = 0;
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
  Duration retry_after{0};  // 0: no Retry-After header
};
struct CommitIntent {
  ExchangeId exchange = 0;
  std::string house;
  std::string key;
  uint64_t fingerprint = 0;
  // Latest time to resolve the intent, with kUnavailable or kUnknown if its
  // state is not known by then.
  TimePoint give_up_at;
};
// Closes a committed intent.
struct RecordOutcome {
  std::string house;
  std::string key;
  bool ran = false;  // false: did not run, so a repeated request may run
  int status = 0;
  std::string content_type;
  std::string body;
};
// Broadcasts to all peers either the fingerprint of a request that crashes
// targets or, if `fingerprint` is 0, the name of a leaving target.
struct AnnounceToPeers {
  std::string leaving_target;
  uint64_t fingerprint = 0;
};
// Metrics of one finished request. A negative duration means not measured.
struct ObserveRequest {
  std::string house;
  std::string caller_class;
  Duration queued{-1};
  Duration first_token{-1};
  Duration total{-1};
  std::string outcome;  // "ok" or the name of the error kind
};
struct ObserveTokenGap {
  std::string house;
  std::string caller_class;
  Duration gap{0};
};
// Writes a log event. `number` is one of serving_log_events.h.
struct EmitLogEvent {
  int number = 0;
  std::string detail;
};

using ServingAction = std::variant<StartAttempt,
                                   CancelAttempt,
                                   DeliverTokens,
                                   FinishCompletion,
                                   FinishPlain,
                                   FinishError,
                                   CommitIntent,
                                   RecordOutcome,
                                   AnnounceToPeers,
                                   ObserveRequest,
                                   ObserveTokenGap,
                                   EmitLogEvent>;

}  // namespace endiveyard

#endif  // ENDIVEYARD_SERVING_SERVING_MESSAGES_H_
