#ifndef ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_
#define ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace endiveyard::soak {

enum class RequestKind { kSafe, kUnsafe, kResumableStream, kOnceStream };

// Returns the kind of the route that `target`, a path, belongs to.
RequestKind KindOf(const std::string& target);
bool IsStream(RequestKind kind);
// True if a request may run once at most.
bool MayRunOnce(RequestKind kind);

// Bound on the repeats that reach a service from all processes together.
inline constexpr double kRetryRatio = 0.2;
inline constexpr int kRetrySlack = 56;
inline constexpr int64_t kRetryWindowMs = 10000;

inline constexpr int kEventsOfStream = 12;
// The whole body of the answer to the request `id`.
std::string ExpectedBody(RequestKind kind, const std::string& id);
// Event `number` of the stream for the request `id`.
std::string EventOf(int number, const std::string& id);

// What a client got for a request.
struct ClientResult {
  std::string id;
  RequestKind kind = RequestKind::kSafe;
  int status = 0;  // 0 without a head
  bool complete = false;
  bool connection_ended = false;
  bool signed_by_target = false;
  std::string answered_id;  // request id in the answer; may be empty
  std::string body;
  // The process was killed or frozen at some time while the request was open.
  bool process_disturbed = false;
  bool in_time = false;  // ended before the deadline of the request
};

// Collects what replicas ran and what clients got, and finds contradictions.
// Thread-safe.
class RunLedger {
 public:
  // `sound` means that the replica answers completely if it is not cut off.
  void RecordRun(const std::string& id, const std::string& replica, bool sound);
  // A client sends a request for `service`.
  void RecordRequest(const std::string& service);
  // A call for the request `id` reached a replica of `service`. `read_only`
  // calls only have the prompt read; the first one that is accepted is no
  // repeat.
  void RecordArrival(const std::string& id,
                     const std::string& service,
                     bool read_only,
                     bool accepted);
  void RecordResult(const ClientResult& result);
  // Records a violation that was seen elsewhere.
  void RecordViolation(const std::string& text);

  // To be called once no run begins any more.
  std::vector<std::string> Violations();
  // Returns the most repeats of a service in the window of the retry bound, and
  // by how many they exceed it.
  std::string RepeatSummary();
  // Numbers of results by kind and status, for the report.
  std::string Summary();

 private:
  struct Run {
    std::string replica;
    bool sound;
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

  void Check(const ClientResult& result);
  // Returns the window in which a service came closest to the retry bound, or
  // exceeded it most.
  RepeatPeak FindRepeatPeak() const;

  std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
  std::map<std::string, Traffic> traffic_;
  std::vector<ClientResult> results_;
  std::vector<std::string> violations_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_
