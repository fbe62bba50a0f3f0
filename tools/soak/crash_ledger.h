#ifndef ENDIVEYARD_TOOLS_SOAK_CRASH_LEDGER_H_
#define ENDIVEYARD_TOOLS_SOAK_CRASH_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace endiveyard::soak {

// What makes a replica crash.
enum class CrashCause {
  kRequest,  // one request that clients send again and again
  kPart,     // a part of the prompts of requests that have nothing else in
             // common
};

// A call that reaches a replica.
struct ReplicaCall {
  std::string request_id;
  std::string replica;
  std::string process;     // that sent it
  bool read_only = false;  // only has the prompt read
  int64_t at_ms = 0;
};

// Counts the calls for requests that crash replicas, and the calls that reach
// replicas with a rate limit. Processes count while they are in touch: calm for
// kStableMs. Times are ms of one clock. Thread-safe.
class CrashLedger {
 public:
  // The time `stable_ms` of the users' rules.
  static constexpr int64_t kStableMs = 4000;

  // Tells whether a process has run without disturbance from one time to
  // another. Called by Violations().
  using IsCalm = std::function<
      bool(const std::string& process, int64_t begin_ms, int64_t end_ms)>;

  explicit CrashLedger(IsCalm is_calm);

  // `name` tells causes of one kind apart.
  void RecordCall(CrashCause cause,
                  const std::string& name,
                  const ReplicaCall& call);
  void RecordCrash(CrashCause cause, const std::string& name, int64_t at_ms);

  // A call of any kind reaches a replica.
  void RecordCall(const ReplicaCall& call);
  // The replica has stated a limit in its response to the process.
  void RecordLimit(const std::string& replica,
                   const std::string& process,
                   double calls_per_s,
                   int64_t at_ms);
  // The replica states no limit any more, or is gone.
  void RecordLimitEnd(const std::string& replica, int64_t at_ms);

  // To be called once no call arrives any more.
  std::vector<std::string> Violations() const;
  std::string Summary() const;

 private:
  struct Crashes {
    std::vector<ReplicaCall> calls;
    std::vector<int64_t> times_ms;
  };
  struct Limit {
    double calls_per_s = 0;
    int64_t begin_ms = 0;
    int64_t end_ms = 0;
    // When processes got a response with the limit.
    std::map<std::string, std::vector<int64_t>> told_ms;
    std::vector<ReplicaCall> calls;
  };
  struct LimitPeak {
    int calls = 0;
    double allowed = 0;
  };

  // Returns the requests that reached replicas too late, a repeat counting like
  // another request, in order.
  std::vector<ReplicaCall> LateCalls(CrashCause cause,
                                     const Crashes& crashes) const;
  // Returns the window in which the limit was exceeded most, or used most.
  LimitPeak FindPeak(const Limit& limit) const;

  const IsCalm is_calm_;
  mutable std::mutex mutex_;
  std::map<std::pair<CrashCause, std::string>, Crashes> crashes_;
  std::map<std::string, Limit> limits_;  // by replica
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_CRASH_LEDGER_H_
