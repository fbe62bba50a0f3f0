#ifndef ENDIVEYARD_TOOLS_SOAK_REPLICA_STANDIN_H_
#define ENDIVEYARD_TOOLS_SOAK_REPLICA_STANDIN_H_

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

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
  kCount
};

// Name of a fault, as in its constant: "kCutHead" is "cut_head".
std::string_view NameOf(ReplicaFault fault);
// Returns nullopt if no fault has this name.
std::optional<ReplicaFault> FaultNamed(std::string_view name);

// One replica: a plain service, or an engine for prefill or decode.
class ReplicaStandin {
 public:
  struct Options {
    std::string ip;
    std::string service;
    std::string stage;  // empty for a plain service
    uint64_t seed = 0;
    double fault_rate = 0;
    std::vector<ReplicaFault> faults;  // one of them is drawn
    int max_work_ms = 0;
  };

  ReplicaStandin(const Options& options,
                 RunLedger* ledger,
                 HandleTable* handles);

  // Starts a new incarnation with another id at the same address.
  void Restart();
  std::string id() const;
  // Its entry in the registry.
  std::string Spec(const std::string& state) const;
  void set_faulty(bool faulty) { faulty_ = faulty; }

 private:
  void Serve(HttpPeer& peer);
  // Returns false when the connection is to be closed.
  bool Handle(HttpPeer& peer, const HttpMessage& request);
  bool Prefill(HttpPeer& peer, const HttpMessage& request);
  bool Refuse(HttpPeer& peer, const std::string& id, ReplicaFault fault);
  bool Answer(HttpPeer& peer, const HttpMessage& request, ReplicaFault fault);
  bool AnswerStream(HttpPeer& peer,
                    const HttpMessage& request,
                    ReplicaFault fault);
  // Sends bytes until the peer closes the connection.
  static void SendWithoutEnd(HttpPeer& peer, const std::string& head);
  ReplicaFault DrawFault();
  int DrawNumber(int max);

  const Options options_;
  RunLedger* const ledger_;
  HandleTable* const handles_;
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  int incarnation_ = 1;
  std::atomic<bool> faulty_{false};
  HttpListener listener_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_REPLICA_STANDIN_H_
