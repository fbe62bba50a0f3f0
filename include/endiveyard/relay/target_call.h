#ifndef ENDIVEYARD_RELAY_TARGET_CALL_H_
#define ENDIVEYARD_RELAY_TARGET_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "endiveyard/base/time_point.h"
#include "endiveyard/relay/wire_protocol.h"

namespace endiveyard {

// One HTTP request to a target.
struct TargetRequest {
  std::string ip;
  uint16_t port = 0;
  std::string method;
  std::string path;  // with the query, raw, as the caller sent it
  HeaderList headers;
  std::shared_ptr<const std::string> body;  // may be null
  // When set, a response that carries another request id belongs to an earlier
  // request on the connection and is skipped. One that carries none is only
  // accepted as the first one on a new connection. No connection carries two
  // requests with the same id. A request without an id has a connection of its
  // own.
  std::string request_id;
  // A longer body ends the call as kTruncated; 0 for no limit.
  uint64_t max_response_bytes = 0;
  // The call ends after this time; 0 if the user of the call limits it.
  Duration timeout{};
};

// How a response shows where its body ends.
enum class BodyFraming {
  kLength,  // including responses that have no body
  kChunks,
  // Neither a length nor chunks: the body ends with the connection, so that its
  // end does not show whether it is complete.
  kConnection,
};

std::string_view NameOf(BodyFraming framing);

struct TargetResponseHead {
  int status = 0;
  std::string reason;
  HeaderList headers;
  BodyFraming framing = BodyFraming::kLength;
  int earlier_requests = 0;  // that the connection carried before this one
  TimePoint connected_at{};  // when the connection was established
};

// How far the HTTP exchange of a call got before it ended.
enum class TransportStatus {
  kNotSent,          // not connected, so nothing was written
  kNoResponse,       // written, but the connection ended without a response
  kInvalidResponse,  // the bytes received are not the expected HTTP response
  kTruncated,        // the head was received, but not the whole body
  // Written, but the target's kernel acknowledged nothing for the peer timeout:
  // the target or a link to it is down, and nobody closed the connection.
  kSilent,
  kComplete,
};

struct TargetCallHandlers {
  // Returns false to cancel the call.
  std::function<bool(const TargetResponseHead& head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  // Called exactly once, unless the call was cancelled. `detail` describes an
  // error, for logs.
  std::function<void(TransportStatus transport_status, std::string_view detail)>
      on_end;
};

struct TargetClientOptions {
  // Connecting across regions takes 24 ms or more. The kernel retransmits a
  // lost SYN only after one second; trying another target is faster than that.
  Duration connect_timeout = std::chrono::milliseconds(400);
  // Connections that were idle for longer are not reused, because a target that
  // closes one by its own idle timeout would race with the request.
  Duration max_idle_time = std::chrono::milliseconds(4000);
  // A target whose kernel acknowledges nothing for this long is considered
  // dead, in the middle of a response too (TCP keep-alive, TCP_USER_TIMEOUT).
  // Links may be silent for up to two seconds: three probes fit, and the
  // retransmission 3 s after a request was written.
  Duration peer_timeout = std::chrono::milliseconds(4000);
  size_t max_idle_connections = 400;
  // Address to connect from; empty to let the kernel choose.
  std::string local_ip;
  // Connections are reset when they are closed, so that bytes that were written
  // but have not arrived yet are lost.
  bool resets_connections = false;
  // Bounds the request ids that are kept for each connection.
  size_t max_requests_per_connection = 1000;
};

// A request to a target that is in progress.
class TargetCall {
 public:
  virtual ~TargetCall() = default;
  // Closes the connection. No handler is called afterwards.
  virtual void Cancel() = 0;
  // Stop and continue reading the response body. Used as back pressure when the
  // caller reads slowly. Neither calls a handler.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
  // True once the target's kernel has refused the connection: no process
  // listens at the address.
  virtual bool WasRefused() const = 0;
};

// A connection to a target that is opened before its request is known. Closed
// with this object unless a call has taken it over.
class ReservedConnection {
 public:
  class Impl;

  explicit ReservedConnection(std::shared_ptr<Impl> impl);
  ~ReservedConnection();
  ReservedConnection(const ReservedConnection&) = delete;
  ReservedConnection& operator=(const ReservedConnection&) = delete;

  // Returns false once the target has refused or closed the connection, or a
  // call has taken it over.
  bool IsOpen() const;

 private:
  friend class TargetClient;

  std::shared_ptr<Impl> impl_;
};

// HTTP client with pooled connections to targets. A request is written at most
// once: retries are up to the user of this class. Single-threaded.
class TargetClient {
 public:
  using Options = TargetClientOptions;

  TargetClient(boost::asio::io_context& io,
               const WireProtocol& protocol,
               Options options = {});
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  std::shared_ptr<TargetCall> Start(TargetRequest request,
                                    TargetCallHandlers handlers);
  // Sends the request on `connection`, which is open, once it is established.
  // The address of the request is not used.
  std::shared_ptr<TargetCall> Start(TargetRequest request,
                                    TargetCallHandlers handlers,
                                    ReservedConnection* connection);
  std::unique_ptr<ReservedConnection> Reserve(const std::string& ip,
                                              uint16_t port);

  // Returns true if a call to the address would use an open connection.
  bool HasIdleConnection(const std::string& ip,
                         uint16_t port,
                         const std::string& request_id) const;

  // Called with the outcome of each attempt to connect to "IP:PORT", before the
  // handlers of the call.
  using ConnectObserver =
      std::function<void(const std::string& address, bool connected)>;
  void set_connect_observer(ConnectObserver observer);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_RELAY_TARGET_CALL_H_
