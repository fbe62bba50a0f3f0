#include "soak/replica_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include "soak/http_peer.h"
#include "soak/run_watch.h"

namespace endiveyard::soak {
namespace {

constexpr int kPieceIntervalMs = 10;
constexpr int kIdleMs = 60000;
constexpr const char* kUnframed = "connection";
constexpr const char* kChunked = "chunks";

std::string InFraming(const std::string& bytes, Framing framing) {
  if (framing == Framing::kConnection) {
    return bytes;
  }
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Returns false when the connection is to be closed.
bool Respond(HttpPeer& peer,
             const HttpMessage& request,
             const std::string& replica_id,
             Framing framing,
             const std::string& report) {
  const std::string expected = request.Header("Endiveyard-Expect-Instance");
  const std::string replica = "Endiveyard-Replica-Id: " + replica_id + "\r\n";
  if (!expected.empty() && expected != replica_id) {
    return peer.Send("HTTP/1.1 421 Misdirected Request\r\n" + replica +
                     "Content-Length: 0\r\n\r\n");
  }
  const std::string id = request.Header("Endiveyard-Request-Id");
  if (id.empty()) {
    return peer.Send("HTTP/1.1 200 OK\r\n" + replica + "Content-Length: " +
                     std::to_string(report.size()) + "\r\n\r\n" + report);
  }
  const bool is_framed = framing == Framing::kChunks;
  std::string head = "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
                     "\r\nEndiveyard-Response-Signature: sig-" + id + "\r\n" +
                     (is_framed ? "Transfer-Encoding: chunked\r\n" : "") +
                     "\r\n";
  int number = std::atoi(request.Header("Last-Event-Id").c_str());
  bool open = peer.Send(head);
  while (open && ++number <= kPiecesOfResponse) {
    open = !peer.WaitForEnd(kPieceIntervalMs) &&
           peer.Send(InFraming(PieceOf(number, id), framing));
  }
  return open && is_framed && peer.Send(InFraming("", framing));
}

}  // namespace

Framing FramingNamed(const std::string& name) {
  if (name != kUnframed && name != kChunked) {
    throw std::runtime_error("no framing has the name " + name);
  }
  return name == kChunked ? Framing::kChunks : Framing::kConnection;
}

std::string PieceOf(int number, const std::string& id) {
  return "id: " + std::to_string(number) + "\ndata: piece of " + id + "\n\n";
}

ReplicaProcess::~ReplicaProcess() {
  if (pid_ > 0) {
    Kill();
  }
}

void ReplicaProcess::Start() {
  int pipe_fds[2];
  if (pipe2(pipe_fds, O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot make a pipe");
  }
  const std::string port_argument = std::to_string(options_.port);
  // Health paths of plain services do not state the process.
  const std::string report =
      options_.is_engine ? R"({"stage":"decode","born":)" +
                               std::to_string(options_.started_unix_ms) + "}"
                         : "";
  const char* const arguments[] = {
      "/proc/self/exe",
      kRoleArgument,
      options_.ip.c_str(),
      options_.id.c_str(),
      options_.framing == Framing::kConnection ? kUnframed : kChunked,
      port_argument.c_str(),
      report.c_str(),
      nullptr};
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    dup2(pipe_fds[1], STDOUT_FILENO);
    execv(arguments[0], const_cast<char* const*>(arguments));
    _exit(127);
  }
  close(pipe_fds[1]);
  const Wait wait("port of replica " + options_.id);
  FILE* const output = fdopen(pipe_fds[0], "r");
  unsigned port = 0;
  const bool listens = std::fscanf(output, "%u", &port) == 1;
  std::fclose(output);
  if (!listens) {
    throw std::runtime_error("a replica does not start");
  }
  port_ = static_cast<uint16_t>(port);
}

void ReplicaProcess::Kill() {
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

std::string ReplicaProcess::Spec() const {
  return R"({"service":")" + options_.service + R"(","address":")" +
         options_.ip + ":" + std::to_string(port_) +
         R"(","zone":"zone-a","version":"v1","slots":64,"state":"ready",)" +
         R"("cold_remaining_ms":0,"born":)" +
         std::to_string(options_.started_unix_ms) + "," +
         (options_.is_engine
              ? R"("stage":"decode",)"
                R"("models":[{"name":"m","version":1,"adapters":[]}],)"
              : "") +
         R"("sequence":1})";
}

int ReplicaProcess::Serve(const std::string& ip,
                          const std::string& id,
                          const std::string& framing_name,
                          const std::string& port,
                          const std::string& report) {
  const Framing framing = FramingNamed(framing_name);
  const HttpListener listener(
      ip,
      [id, framing, report](HttpPeer& peer) {
        HttpMessage request = peer.Read(kIdleMs);
        while (request.complete &&
               Respond(peer, request, id, framing, report)) {
          request = peer.Read(kIdleMs);
        }
      },
      static_cast<uint16_t>(std::atoi(port.c_str())));
  std::printf("%u\n", static_cast<unsigned>(listener.port()));
  std::fflush(stdout);
  while (true) {
    pause();
  }
}

}  // namespace endiveyard::soak
