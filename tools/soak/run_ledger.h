#ifndef ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_
#define ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace endiveyard::soak {

enum class RequestKind { kSafe, kUnsafe, kResumableStream, kOnceStream };

// Returns the kind of the route that `target`, a path, belongs to.
RequestKind KindOf(const std::string& target);
bool IsStream(RequestKind kind);
// True if a request may run once at most.
bool MayRunOnce(RequestKind kind);

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
  void RecordResult(const ClientResult& result);
  // Records a violation that was seen elsewhere.
  void RecordViolation(const std::string& text);

  // To be called once no run begins any more.
  std::vector<std::string> Violations();
  // Numbers of results by kind and status, for the report.
  std::string Summary();

 private:
  struct Run {
    std::string replica;
    bool sound;
  };

  void Check(const ClientResult& result);

  std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
  std::vector<ClientResult> results_;
  std::vector<std::string> violations_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_RUN_LEDGER_H_
