#ifndef ENDIVEYARD_PLACEMENT_REPLICA_LOAD_H_
#define ENDIVEYARD_PLACEMENT_REPLICA_LOAD_H_

#include <optional>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Load that a replica reports with its responses.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes on the machine at this moment, relative to the usual
  // time; absent at most services.
  std::optional<double> relative_duration;

  bool operator==(const ReportedLoad& other) const;
};

// Result of a call to a replica, as evidence of the state of the replica.
// kRejected is a response of a working replica and does not count as a failure.
// kMisdirected shows that the replica is not what it is registered as: another
// one answers at its address, or it has another stage.
enum class CallResult {
  kCompleted,
  kFailed,
  kRejected,
  kMisdirected,
  kUnreachable
};

// Load of one replica incarnation as known to this instance: its local calls in
// flight, the last reported load and recent failures.
class ReplicaLoad {
 public:
  // Records that a call with `uncached` prompt tokens to prefill was sent.
  void RecordCallSent(double uncached);
  // Record that a replica holds the body of a request, until its call ends. It
  // ends if what it holds exceeds its memory.
  void RecordBodySent(size_t bytes);
  void RecordBodyReleased(size_t bytes);
  // Returns as how many requests the large bodies count that this instance has
  // in progress at the replica.
  double BodyRequests() const;
  // Records that the prompt of a call was prefilled.
  void RecordPrefilled(double uncached);
  // Records the end of a call. After two consecutive failures, one failure to
  // connect or one misdirected call, the replica is in backoff for 250 ms,
  // doubled by each further failure up to 4 s.
  void RecordCallEnded(CallResult result, TimePoint now);
  void RecordReport(const ReportedLoad& load, TimePoint now);

  // Records that a wait at the replica took `ratio` times as long as expected.
  void RecordWait(double ratio, TimePoint now);

  // Returns how many requests the replica reported to wait, less the older the
  // report is.
  double ReportedWaiting(TimePoint now) const;

  // Returns by which factor waits at this replica differ from those at others:
  // 1 without recent waits.
  double Slowness(TimePoint now) const;

  // Returns the prompt tokens queued ahead of a new call: those of this
  // instance, and an estimate for the other instances from the last report.
  double QueuedTokens(double mean_tokens_per_call, TimePoint now) const;

  // Returns the requests at the replica: those of this instance, and an
  // estimate for the other instances from the last report.
  double Requests(TimePoint now) const;
  int local_calls() const { return local_calls_; }
  double local_pending_prefill_tokens() const {
    return local_pending_prefill_tokens_;
  }

  // Returns true until the backoff after consecutive failures has ended.
  bool InBackoff(TimePoint now) const { return now < backoff_until_; }

  // Returns the share of recent calls that failed, 0 to 1.
  double FailureRate(TimePoint now) const;

 private:
  int local_calls_ = 0;
  double local_pending_prefill_tokens_ = 0;
  size_t large_body_bytes_ = 0;
  std::optional<ReportedLoad> last_report_;
  int local_calls_at_report_ = 0;
  TimePoint reported_at_{};
  // Counts that decay exponentially since `last_call_ended_`.
  double recent_failures_ = 0;
  double recent_calls_ = 0;
  TimePoint last_call_ended_{};
  int consecutive_failures_ = 0;
  // Sums that decay exponentially since `last_wait_`.
  double wait_ratios_ = 0;
  double waits_ = 0;
  TimePoint last_wait_{};
  TimePoint backoff_until_{};
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_REPLICA_LOAD_H_
