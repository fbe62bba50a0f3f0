#ifndef ENDIVEYARD_PEER_PEER_SERVER_H_
#define ENDIVEYARD_PEER_PEER_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "endiveyard/membership/peer_digest.h"
#include "endiveyard/peer/peer_options.h"

namespace endiveyard {

struct PeerServerOptions {
  std::string address;  // "ip:port"; port 0 selects a free port
  PeerTlsFiles tls;
};

struct PeerServerCounters {
  uint64_t exchanges = 0;
  // Above the connection limit, or without a verified certificate.
  uint64_t rejected_connections = 0;
  uint64_t rejected_senders = 0;   // sender is not the common name
  uint64_t rejected_messages = 0;  // malformed, oversized or invalid
};

// Accepts exchanges from peers, on its own thread.
class PeerServer {
 public:
  // Answers the exchange with a digest. May be called once, from any thread;
  // if it is destroyed without a call, the exchange fails.
  using Reply = std::function<void(const PeerDigest&)>;
  // Called on the server's thread with a digest that ValidateDigest() accepts
  // and whose sender was verified, if TLS is configured. Must not block.
  using Handler = std::function<void(PeerDigest, Reply)>;

  PeerServer(PeerServerOptions options, Handler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Binds the address and starts the thread. Fails if a TLS file cannot be read
  // or is malformed, if the address is in use, or if TLS is not configured and
  // the address is not a loopback one. Call once.
  absl::Status Start();

  // Closes all connections and joins the thread. Open exchanges fail at the
  // peer. Idempotent.
  void Stop();

  uint16_t port() const;
  PeerServerCounters counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PEER_PEER_SERVER_H_
