#ifndef ENDIVEYARD_REVIEW_SUPPORT_2_SMALL_FLEET_H_
#define ENDIVEYARD_REVIEW_SUPPORT_2_SMALL_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "soak/http_peer.h"
#include "soak/registry_standin.h"

// What the cases of this review share: the platform's settings, processes that
// are started with the command of the deploy file, a proxy before the store,
// and the record of a run.
namespace endiveyard::review {

// Exit status of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Options that all cases have: --binary FILE --folder DIR --record FILE
// --trouble 0|1, and --mode TEXT for those that show several rules.
struct CaseOptions {
  std::string binary;
  std::string folder;
  std::string record;
  std::string mode;
  bool trouble = true;
};
CaseOptions ParseOptions(int argc, char** argv);

// Lines with the time since the start of the run, in ms. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  // Milliseconds since the start of the run.
  int64_t Now() const;
  void Write(const std::string& line);
  // Also prints the line.
  void Say(const std::string& line);

 private:
  const int64_t begin_ms_;
  std::mutex mutex_;
  FILE* const file_;
};

// Returns the first three bytes of loopback addresses that differ between runs
// that are in progress at the same time, with a dot behind them.
std::string Network();

// One process of the system, started with the command of the deploy file.
class Front {
 public:
  // `seeds` are the addresses of the first processes.
  Front(const CaseOptions& options,
        const std::string& name,
        const std::string& ip,
        const std::string& zone,
        const std::string& store_address,
        const std::string& seeds);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  void Start();
  bool WaitUntilReady(int timeout_ms) const;
  void Signal(int signal) const;
  // Returns true once the process has ended.
  bool HasEnded();
  // Resident memory in MB; 0 if the process has ended.
  double ResidentMb() const;

  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  uint16_t port() const;

  // The port of the settings `seeds`, the same for all processes.
  static uint16_t ControlPort();
  static constexpr int kMemoryMb = 260;  // as the settings say

 private:
  const std::string name_;
  const std::string ip_;
  const std::string binary_;
  const std::string base_;  // of its files
  pid_t pid_ = -1;
};

// Passes connections on to the store.
class StoreProxy {
 public:
  StoreProxy(const std::string& ip,
             const std::string& store_ip,
             uint16_t store_port);

  uint16_t port() const { return listener_->port(); }
  // While `loses` is true, the answers of the store to watches of the
  // configuration are lost. A connection on which an answer was lost returns
  // nothing further.
  void set_loses_answers(bool loses) { loses_answers_ = loses; }
  // Watches that have waited for this time are cut off; 0 for never.
  void set_watch_limit_ms(int ms) { watch_limit_ms_ = ms; }

 private:
  void Serve(soak::HttpPeer& peer);

  const std::string store_ip_;
  const uint16_t store_port_;
  std::atomic<bool> loses_answers_{false};
  std::atomic<int> watch_limit_ms_{0};
  std::unique_ptr<soak::HttpListener> listener_;
};

// The entry of a replica in the store, as PROTOCOL.md shows it.
struct ReplicaEntry {
  std::string service;
  std::string address;
  std::string zone;
  int slots = 6;
  std::string state = "ready";
  int cold_remaining_ms = 0;
  bool is_engine = false;
  int64_t born = 0;
  std::string version = "v1";
};
std::string SpecOf(const ReplicaEntry& entry);

// What a client got.
struct ClientResult {
  int status = 0;  // 0: no head of an answer
  bool complete = false;
  std::string body;
};
// Sends one request on a new connection and reads its answer.
ClientResult Ask(const Front& front,
                 const std::string& request,
                 int timeout_ms);
// A POST request with an empty body, or with what `headers` say.
std::string PostRequest(const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        const std::string& headers = "");

int64_t UnixMs();

// Ends the processes and this program. Connections of the stand-ins may still
// be served by threads, which are not waited for.
[[noreturn]] void End(int status, std::vector<std::unique_ptr<Front>>* fronts);

}  // namespace endiveyard::review

#endif  // ENDIVEYARD_REVIEW_SUPPORT_2_SMALL_FLEET_H_
