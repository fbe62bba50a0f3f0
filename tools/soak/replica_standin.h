#ifndef ENDIVEYARD_TOOLS_SOAK_REPLICA_STANDIN_H_
#define ENDIVEYARD_TOOLS_SOAK_REPLICA_STANDIN_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "soak/crash_ledger.h"
#include "soak/http_peer.h"
#include "soak/run_ledger.h"

namespace endiveyard::soak {

// KV caches that prefill calls left, by handle. Shared by all engines.
class HandleTable {
 public:
  std::string Add(const std::string& request_id);
  // Returns the request that the handle belongs to and removes it; empty if
  // there is no such handle.
  std::string Take(const std::string& handle);

 private:
  std::mutex mutex_;
  std::map<std::string, std::string> requests_;
  int64_t next_ = 1;
};

// How a replica misbehaves while it handles a request.
enum class ReplicaFault {
  kNone,
  kRefuse,
  kRefuseTwice,           // the second copy late, with the request id
  kRefuseTwiceWithoutId,  // neither copy is late; the second one has no id
  kLateRefusalWithoutId,  // the second copy is late and has no id
  // The second copy has the request id and comes where the answer to the next
  // request on the connection is due.
  kRefuseAgainBeforeNext,
  // As before, by a replica that is meanwhile registered under another id.
  kRefuseAgainRejoined,
  kResetBeforeRun,
  kCloseBeforeRun,
  kResetAfterRun,
  kCloseAfterRun,
  kCutHead,
  kResetInHead,
  kCutBody,
  kResetInBody,
  kAnswerTwice,
  kAnswerTwiceLate,
  kAnswerAgainBeforeNext,
  kAnswerAgainRejoined,
  // As kAnswerAgainBeforeNext, with the copy cut off anywhere: the next answer
  // follows, or the connection ends.
  kAnswerAgainCut,
  kAnswerAgainCutClose,
  kSurplusBytes,
  kNoHttp,
  kLate,
  kFail500,
  kFail503,  // without the statement that the request has not run
  kFail429,
  kEndlessHead,
  kEndlessBody,
  kEndlessFailure,
  kWrongEventId,
  kUnframed,  // the body ends with the connection; sound
  kUnframedReset,
  // A stream that nothing precedes begins after its first events. The first
  // such streams that a process gets cannot be told from sound ones, so this is
  // played only if it is asked for.
  kLateFirstId,
  // Refuses and asks for a pause. Played only if it is asked for, since each
  // process needs a view of the registry of its own.
  kPause,
  // Clients send requests with kCrashingTarget, which crash each replica before
  // its answer, or with kCrashingPart, which do so after the head of the
  // answer. Played only if they are asked for; the rate of faults is then the
  // share of these requests.
  kCrashRequest,
  kCrashPart,
  // The replica states for some seconds that it takes half of the requests that
  // it gets. Played only if it is asked for.
  kRateLimit,
  kCount
};

// Name of a fault, as in its constant: "kCutHead" is "cut_head".
std::string_view NameOf(ReplicaFault fault);
// Returns nullopt if no fault has this name.
std::optional<ReplicaFault> FaultNamed(std::string_view name);

// Stands in the targets of requests that crash replicas.
inline constexpr std::string_view kCrashingTarget = "crashing";
// The part of prompts that crashes replicas.
inline constexpr std::string_view kCrashingPart = "dead1";

// One replica: a plain service, or an engine for prefill or decode.
class ReplicaStandin {
 public:
  struct Options {
    std::string ip;
    size_t views = 1;     // of the registry
    std::string service;  // the first one
    std::string stage;    // empty for a plain service
    uint64_t seed = 0;
    double fault_rate = 0;
    std::vector<ReplicaFault> faults;  // one of them is drawn
    int max_work_ms = 0;
    // A connection that is idle for up to this time is closed, perhaps while a
    // request is on its way.
    int max_idle_ms = 60000;
    // Returns the process with a view of the registry, for reports. May be
    // empty if there is only one view.
    std::function<std::string(size_t view)> describe_caller;
    // Returns the name of the process with a view of the registry; empty if all
    // have the same.
    std::function<std::string(size_t view)> process_of;
    // Has the replica started again and registered under its new id.
    std::function<void()> rejoin;
    // The same, some seconds after it has crashed.
    std::function<void()> restart;
    CrashLedger* crash_ledger = nullptr;  // null if it is not needed
    // Software versions that number the events of a stream by their tokens.
    std::set<std::string> versions_by_tokens;
  };

  ReplicaStandin(const Options& options,
                 RunLedger* ledger,
                 HandleTable* handles);

  // Starts a new incarnation with another id, and another version of the
  // software, at the same address. Connections stay open.
  void Restart(const std::string& service, const std::string& stage);
  std::string id() const;
  std::string service() const;
  std::string stage() const;  // empty for a plain service
  // Its entry in the registry, by view.
  std::vector<std::string> Specs(const std::string& state) const;
  // The address at which the processes with this view of the registry reach the
  // replica.
  HttpListener& listener(size_t view) { return *listeners_[view]; }
  void set_faulty(bool faulty) { faulty_ = faulty; }

 private:
  struct Connection {
    HttpPeer& peer;
    size_t view;  // of the process
    // Copy of the last answer, sent when the next request arrives.
    std::string copy;
    bool closes = false;  // after the copy
  };

  void Serve(HttpPeer& peer, size_t view);
  // Keeps `answer` for the next request on the connection if `fault` says so.
  void KeepCopy(Connection& connection,
                const std::string& answer,
                ReplicaFault fault);
  // Returns false when the connection is to be closed.
  bool Handle(Connection& connection, const HttpMessage& request);
  // Returns what `arrival` says about a call that arrives now.
  static ReplicaCall CallOf(const Arrival& arrival);
  bool Prefill(Connection& connection,
               const HttpMessage& request,
               Arrival arrival);
  // Sends a refusal, `without_id` in the copies that have none.
  bool Refuse(Connection& connection,
              const std::string& refusal,
              const std::string& without_id,
              ReplicaFault fault);
  // Refuses, and wants no work from the process for a while.
  bool AskForPause(Connection& connection, const Arrival& arrival);
  bool Answer(Connection& connection,
              const HttpMessage& request,
              ReplicaFault fault);
  bool AnswerStream(Connection& connection,
                    const HttpMessage& request,
                    const Run& run,
                    ReplicaFault fault);
  void Rejoin();
  // Ends all connections and has the replica started again after some seconds.
  void Crash();
  // What makes the request crash replicas; nullopt if nothing does.
  static std::optional<std::pair<CrashCause, std::string>> CauseOf(
      const HttpMessage& request);
  // Crashes if the request, whose answer is to begin, makes it.
  bool CrashesBy(HttpPeer& peer, const HttpMessage& request);
  void RecordForCrashLedger(const HttpMessage& request, const Arrival& arrival);
  // Begins to state a rate limit.
  void BeginLimit();
  // Returns the header with the rate limit; empty if there is none.
  std::string LimitHeader() const;
  // A process has got a response, with the limit if there is one.
  void RecordLimitTold(size_t view);
  // Works for up to `max_ms`. Returns false if the peer leaves meanwhile.
  bool Work(HttpPeer& peer, int max_ms);
  std::string IdOf(int incarnation) const;
  static std::string VersionOf(const std::string& ip, int incarnation);
  // Sends bytes until the peer closes the connection.
  static void SendWithoutEnd(HttpPeer& peer, const std::string& head);
  ReplicaFault DrawFault();
  int DrawNumber(int max);

  const Options options_;
  RunLedger* const ledger_;
  HandleTable* const handles_;
  mutable std::mutex mutex_;
  std::string service_;
  std::string stage_;
  std::mt19937_64 random_;
  int incarnation_ = 1;
  std::atomic<bool> faulty_{false};
  std::atomic<bool> has_crashed_{false};
  std::vector<int64_t> call_times_ms_;  // of the present incarnation
  double limit_per_s_ = 0;              // 0 for none
  int limit_incarnation_ = 0;           // that stated the last limit
  int64_t limit_end_ms_ = 0;
  std::vector<std::unique_ptr<HttpListener>> listeners_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_REPLICA_STANDIN_H_
