#ifndef ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_
#define ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/http_peer.h"

namespace endiveyard::soak {

enum class RequestKind { kSafe, kUnsafe, kResumableStream, kOnceStream };

// Returns the kind of the route that `target`, a path, belongs to.
RequestKind KindOf(const std::string& target);
bool IsStream(RequestKind kind);
// Returns the service that runs it.
std::string ServiceOf(RequestKind kind);
// True if a request may run once at most.
bool MayRunOnce(RequestKind kind);

// Bound on the repeats that reach a service from all processes together.
inline constexpr double kRetryRatio = 0.2;
inline constexpr int kRetrySlack = 56;
inline constexpr int64_t kRetryWindowMs = 10000;

// The whole body of the answer to the request `id`, unless it is a stream.
std::string BodyOf(const std::string& id);

// A call of a process that has reached a replica.
struct Arrival {
  std::string id;  // of the request
  std::string service;
  std::string replica;
  bool read_only = false;  // only has the prompt read
  bool accepted = false;   // not rejected at once
  // As stated by the call; nullopt if it states none.
  std::optional<int64_t> time_left_ms;
  // Process that sent it; empty if not known.
  std::string process;
};

// A request that a replica has begun to work on.
struct Run {
  int64_t number = 0;  // given by the ledger
  std::string id;      // of the request
  RequestKind kind = RequestKind::kSafe;
  std::string replica;
  std::string version;         // of the software of the replica
  bool counts_tokens = false;  // ids of events are numbers of tokens
  std::string caller;          // process and build; empty if not known
  int begun_after = 0;         // last event of the stream that the caller has
  bool sound = false;          // answers completely if it is not cut off
};

// Event `number` of the stream of `run`.
std::string EventOf(int number, const Run& run);
// Number of the last event in `body` that is whole; `begun_after` if there is
// none.
int LastEventOf(const std::string& body, int begun_after);
// Id of that event, as text; `id_before` if there is none.
std::string LastIdOf(const std::string& body, const std::string& id_before);

// What a client got for a request. A client may send several with one id, one
// after the other.
struct ClientResult {
  std::string id;
  // Request that brought the first event of the stream; `id` unless the request
  // takes up a stream.
  std::string first_id;
  int begun_after = 0;  // last event of the stream that the client has
  RequestKind kind = RequestKind::kSafe;
  std::string process;  // that the client asked
  std::string build;    // that it ran; empty if there is only one
  int64_t sent_ms = 0;
  int64_t answered_ms = 0;
  int status = 0;  // 0 without a head
  bool complete = false;
  bool connection_ended = false;
  bool signed_by_target = false;
  std::string answered_id;  // request id in the answer; may be empty
  std::string retry_after;  // as in the answer; may be empty
  std::string body;
  // The process was killed or frozen at some time while the request was open.
  bool process_disturbed = false;
  bool in_time = false;  // ended before the deadline of the request
  bool left = false;     // the client closed the connection midway
};

// Collects what replicas ran and what clients got, and finds contradictions.
// Thread-safe.
class RunLedger {
 public:
  // Returns the run with its number.
  Run RecordRun(Run run);
  // The replica no longer works on the run.
  void RecordRunEnd(int64_t number);
  // A client sends a request for `service`, perhaps with an id that it has sent
  // before, and gives it up after `time_left_ms`.
  void RecordRequest(const std::string& service,
                     const std::string& id,
                     int64_t time_left_ms);
  // The first call of a request that only has the prompt read and is accepted
  // is no repeat.
  void RecordArrival(const Arrival& arrival);
  // The replica has told the process that it wants no work for `pause_ms`.
  void RecordPause(const std::string& replica,
                   const std::string& process,
                   int64_t pause_ms);
  // Tells whether a process has run without disturbance from one time to
  // another, in ms. Needed for pauses.
  void set_is_calm(
      std::function<bool(const std::string&, int64_t, int64_t)> is_calm) {
    is_calm_ = std::move(is_calm);
  }
  // Replaces the clock, for tests.
  void set_now_ms(std::function<int64_t()> now_ms) {
    now_ms_ = std::move(now_ms);
  }
  // The routes allow so many replicas to run one request, and `once` of those
  // that may run once at most.
  void set_max_attempts(int max_attempts, int once) {
    max_attempts_ = max_attempts;
    max_attempts_once_ = once;
  }
  // From this time on, nothing is disturbed, and streams that begin are whole.
  void set_streams_whole_from(int64_t ms) { streams_whole_from_ms_ = ms; }
  void RecordResult(const ClientResult& result);
  // Records a violation that was seen elsewhere.
  void RecordViolation(const std::string& text);

  // To be called once no run begins any more.
  std::vector<std::string> Violations();
  // Returns the most repeats of a service in the window of the retry bound, and
  // by how many they exceed it, requests with too many runs, and calls that
  // were given too much time.
  std::string RepeatSummary();
  // Numbers of results by kind and status, for the report.
  std::string Summary();

 private:
  struct RunRecord {
    Run run;
    int64_t begin_ms = 0;
    std::optional<int64_t> end_ms;
  };

  // Arrivals at a service and the requests for it, in ms.
  struct Traffic {
    std::vector<int64_t> requests;
    std::vector<int64_t> repeats;
    std::set<std::string> arrived;
    std::set<std::string> read;
  };
  struct RepeatPeak {
    std::string service;
    int repeats = 0;
    double beyond_bound = 0;
  };
  // When a request and the first call for it end.
  struct Deadline {
    int64_t time_left_ms = 0;  // as the client states it
    int64_t end_ms = 0;
    std::optional<int64_t> first_call_ms;
    int64_t first_call_end_ms = 0;
  };
  struct Pause {
    int64_t begin_ms = 0;
    int64_t end_ms = 0;
    int calls = 0;
  };
  // Calls whose time is checked.
  struct TimeGiven {
    int sent_again_late = 0;
    int too_long = 0;
    std::vector<std::string> examples;
  };

  void Check(const ClientResult& result);
  // Returns what is wrong with the events of a stream; empty if nothing is.
  // Adds the versions of the software that they come from.
  std::string CheckEvents(const ClientResult& result,
                          std::set<std::string>* versions) const;
  // Checks the requests that were run more than once.
  void CheckRepeatedRuns();
  // Checks on how many replicas requests have run.
  void CheckAttempts();
  // Checks the time that calls were given.
  void CheckTimeGiven();
  void RecordTimeGiven(const Arrival& arrival);
  // Counts a call that reaches a replica which wants none.
  void RecordCallInPause(const Arrival& arrival);
  // Checks the streams that clients took up.
  void CheckTakeUps();
  std::string Describe(const std::string& text,
                       const ClientResult& result) const;
  // Lists the tries of a client for one stream, with times as in the logs.
  std::string DescribeTries(const std::string& first_id) const;
  // Returns where `run` ran, and for which process.
  static std::string DescribePlace(const Run& run);
  std::vector<const RunRecord*> RunsOf(const std::string& id) const;
  // When the client has sent the next request with the same id.
  int64_t NextSentMs(const ClientResult& result) const;
  // Returns the runs of one try of a client.
  std::vector<const RunRecord*> RunsOfTry(const ClientResult& result) const;
  // Returns the window in which a service came closest to the retry bound, or
  // exceeded it most.
  RepeatPeak FindRepeatPeak() const;

  std::mutex mutex_;
  std::vector<RunRecord> runs_;                              // by number
  std::map<std::string, std::vector<int64_t>> run_numbers_;  // by request
  std::map<std::string, Traffic> traffic_;
  std::vector<ClientResult> results_;
  std::map<std::string, std::vector<int64_t>> sent_ms_;  // by request
  std::vector<std::string> violations_;
  int max_attempts_ = 0;  // 0 if it is not checked
  int max_attempts_once_ = 0;
  // Tries of clients that ran on more replicas than allowed.
  std::vector<std::string> over_run_;
  std::map<std::string, Deadline> deadlines_;  // by request, of the last try
  TimeGiven time_given_;
  std::optional<int64_t> streams_whole_from_ms_;
  std::function<bool(const std::string&, int64_t, int64_t)> is_calm_;
  std::function<int64_t()> now_ms_ = NowMs;
  // By replica and process.
  std::map<std::pair<std::string, std::string>, std::vector<Pause>> pauses_;
  int calls_in_pauses_ = 0;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_
