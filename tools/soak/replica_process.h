#ifndef ENDIVEYARD_TOOLS_SOAK_REPLICA_PROCESS_H_
#define ENDIVEYARD_TOOLS_SOAK_REPLICA_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace endiveyard::soak {

// How a response shows its end.
enum class Framing { kConnection, kChunks };
// Returns the framing with the name "connection" or "chunks". Throws
// std::runtime_error if there is none.
Framing FramingNamed(const std::string& name);

// Number of pieces of each response: events of a stream, or lines of another
// body.
inline constexpr int kPiecesOfResponse = 20;
// Piece `number`, from 1, of the response to the request `id`.
std::string PieceOf(int number, const std::string& id);

// A replica without faults that is a process of its own, so that it can be
// killed. It answers streams and other requests piece by piece, 10 ms apart.
class ReplicaProcess {
 public:
  struct Options {
    std::string ip;
    std::string id;
    std::string service;
    bool is_engine = false;  // decodes
    Framing framing = Framing::kConnection;
    uint16_t port = 0;  // 0 for a free one
    int64_t started_unix_ms = 0;
  };

  explicit ReplicaProcess(const Options& options) : options_(options) {}
  ~ReplicaProcess();
  ReplicaProcess(const ReplicaProcess&) = delete;
  ReplicaProcess& operator=(const ReplicaProcess&) = delete;

  // Starts the program that is running with `kRoleArgument`, and waits until it
  // listens. The process ends with the calling thread.
  void Start();
  // Kills the process and waits for its end.
  void Kill();
  const std::string& id() const { return options_.id; }
  uint16_t port() const { return port_; }
  // Its entry in the registry.
  std::string Spec() const;

  // First argument of the process of a replica; IP, id, framing, port and what
  // it answers to probes follow.
  static constexpr const char* kRoleArgument = "--serve-as-replica";
  // Runs the process of a replica. Writes its port to standard output.
  static int Serve(const std::string& ip,
                   const std::string& id,
                   const std::string& framing,
                   const std::string& port,
                   const std::string& report);

 private:
  const Options options_;
  pid_t pid_ = -1;
  uint16_t port_ = 0;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_REPLICA_PROCESS_H_
