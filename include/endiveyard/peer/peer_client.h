#ifndef ENDIVEYARD_PEER_PEER_CLIENT_H_
#define ENDIVEYARD_PEER_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "endiveyard/base/time_point.h"
#include "endiveyard/membership/peer_digest.h"
#include "endiveyard/peer/peer_options.h"

namespace endiveyard {

struct PeerClientOptions {
  PeerTlsFiles tls;
  uint64_t seed = 1;  // of the retry jitter; must differ between instances
  Duration exchange_timeout = std::chrono::seconds(2);
  // Upper limit of the delay after the first failure; doubles with every
  // further failure in a row, up to `max_backoff`.
  Duration initial_backoff = std::chrono::milliseconds(250);
  Duration max_backoff = std::chrono::seconds(10);
};

// Starts exchanges with any number of peers, on one thread. Connections are
// kept open. After a failure, exchanges with the peer fail immediately until a
// delay has passed: exponential backoff with full jitter.
class PeerClient {
 public:
  // Called exactly once per exchange, on the client's thread and possibly
  // before Exchange() returns. Must not block or call the client.
  using Callback = std::function<void(absl::StatusOr<PeerDigest>)>;

  explicit PeerClient(PeerClientOptions options);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Starts the thread. Fails if a TLS file cannot be read or is malformed.
  // Call once.
  absl::Status Start();

  // Sends `digest` to the instance `name` at `address` ("ip:port") and passes
  // the peer's digest to `callback`, after checking that its sender is `name`.
  // Fails with kUnavailable if the peer cannot be reached, is in its retry
  // delay, already has an open exchange or answers with an invalid digest, and
  // with kDeadlineExceeded after the exchange timeout.
  void Exchange(const std::string& name,
                const std::string& address,
                const PeerDigest& digest,
                Callback callback);

  // Cancels open exchanges; their callbacks get kCancelled. Idempotent.
  // Exchange() must not be called concurrently or afterwards.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PEER_PEER_CLIENT_H_
