#ifndef ENDIVEYARD_TESTS_PLATFORM_RELAY_FIXTURE_H_
#define ENDIVEYARD_TESTS_PLATFORM_RELAY_FIXTURE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "endiveyard/relay/relay.h"
#include "platform/platform_wire_protocol.h"

namespace endiveyard {

// A blocking connection of a test, used as a caller or as a target. Throws if
// nothing arrives within ten seconds.
class TestConnection {
 public:
  explicit TestConnection(boost::asio::ip::tcp::socket socket);

  void Send(const std::string& bytes);
  // Sends `bytes` once, as far as the peer does not close the connection.
  void TrySend(const std::string& bytes);
  // Sends `bytes` repeatedly until the peer closes the connection or `limit`
  // bytes were sent. Returns the number of bytes sent.
  size_t SendUntilClosed(const std::string& bytes, size_t limit);
  // Sends `bytes` repeatedly until the peer stops reading.
  void SendUntilBlocked(const std::string& bytes);
  // Sends `bytes` every 50 ms until the peer closes the connection. Throws
  // after ten seconds.
  void TrickleUntilClosed(const std::string& bytes);
  // Returns true if the peer closes the connection, or sends something, within
  // `ms`.
  bool IsClosedWithin(int ms);
  // Reads up to and including `delimiter`, and returns it.
  std::string ReadUntil(const std::string& delimiter);
  // Reads a message with its body, by Content-Length or in chunks.
  std::string ReadMessage();
  // Reads until the peer closes the connection and returns what was read.
  std::string ReadUntilClose();
  // Returns true if ReadUntilClose() met a reset instead of an orderly end.
  bool WasReset() const { return was_reset_; }
  void Close();
  // Closes with a TCP reset instead of an orderly shutdown.
  void Reset();
  // Makes the kernel discard all segments that arrive, like a link that is cut
  // in this direction, until ReceiveAgain(). Nothing is acknowledged.
  void DiscardIncoming();
  void ReceiveAgain();
  // Returns the IP address of the other side.
  std::string RemoteIp() {
    return socket_.remote_endpoint().address().to_string();
  }
  int fd() { return socket_.native_handle(); }

 private:
  boost::asio::ip::tcp::socket socket_;
  std::string buffer_;
  bool was_reset_ = false;
};

// A target whose connections the test accepts and whose responses it writes.
class TestTarget {
 public:
  explicit TestTarget(boost::asio::io_context& io);
  // Listens at another address of the loopback network.
  TestTarget(boost::asio::io_context& io, const std::string& ip, uint16_t port);

  // Returns the next connection that carries a request. Those that carry none
  // yet are kept.
  TestConnection Accept();
  // Returns the next connection, whether it carries anything or not.
  TestConnection AcceptConnection();
  // Waits until a request arrives on `kept` or a new connection is opened.
  // Returns the new connection, or null if `kept` was used.
  std::unique_ptr<TestConnection> AcceptUnlessUsed(TestConnection* kept);
  // Returns true if a connection arrives within `ms`, or waits already.
  bool HasConnectionWithin(int ms);
  // The same for a connection that carries no request yet.
  bool HasUnusedConnectionWithin(int ms) {
    return !unused_.empty() || HasConnectionWithin(ms);
  }
  // The same for a connection that carries a request.
  bool HasRequestWithin(int ms);
  // Refuses connections from now on, as after the end of the process.
  void StopListening() {
    acceptor_.close();
    unused_.clear();
  }
  uint16_t port() const;
  int fd() { return acceptor_.native_handle(); }

 private:
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  // Accepted, and without a request until now.
  std::vector<TestConnection> unused_;
};

// Responds to all connections of a target on a thread of its own: reads one
// request, sends what `respond` returns for it with a header that announces the
// close, and closes the connection.
class TargetResponder {
 public:
  TargetResponder(
      TestTarget* target,
      std::function<std::string(const std::string& request)> respond);
  ~TargetResponder();

 private:
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

struct RelayFixtureOptions {
  // See RelayOptions. By default, requests do not wait for the routing state.
  Duration startup_wait = Duration(0);
  Duration news_wait = Duration(0);
  Duration peer_timeout = TargetClientOptions().peer_timeout;
  // Requests are forwarded to other instances at this port of the loopback
  // address.
  uint16_t peer_port = 0;
  std::string peer_ip;
  // See RelayOptions. Longer than a test takes by default, so that it only
  // passes where a test is about it.
  Duration end_check_limit = std::chrono::seconds(60);
  Duration registration_time = std::chrono::milliseconds(200);
};

inline RelayFixtureOptions WithPeerPort(uint16_t port) {
  RelayFixtureOptions options;
  options.peer_port = port;
  return options;
}

// A relay on the loopback address with its own thread. The service `svc` has
// two targets, `t1` and `t2`; the host "h" has the routes /safe/, /unsafe/,
// /stream/ (resumable) and /once/ (a stream that is not resumable).
class RelayFixture {
 public:
  explicit RelayFixture(const RelayFixtureOptions& options = {});
  ~RelayFixture();

  TestConnection Connect();
  // Runs `action` on the thread of the relay and waits for it.
  void RunOnRelayThread(const std::function<void(RoutingState&)>& action);
  // Notifies the relay of a change of the routing state, on its thread.
  void NotifyRoutingStateChanged();
  // Replaces the targets by ones that refuse connections, and returns when the
  // relay has noticed that it cannot connect to any target.
  void LoseLinks();
  // Lets the relay know of an instance at an address of the loopback network.
  void LearnOfPeer(const std::string& ip = "127.0.0.1");
  // Listens for forwarded requests, and returns a connection of another
  // instance.
  TestConnection ConnectAsPeer();
  // Removes the second target from the registered replicas.
  void UseOneTarget();
  // Replaces the targets by the prefill engine `p1` at the second address and
  // the decode engines `d1` and `d2`, which share the first address.
  void UseDisaggregatedTargets();
  // Changes the software version of the registered replica `id`.
  void SetVersion(const std::string& id, const std::string& version);
  // Registers the same targets as restarted processes with the same ids.
  void RestartTargets();
  // Leaves no retry budget for the service, of which `used` were consumed.
  void ConsumeRetryBudget(int used = 0);

  TestTarget& first() { return first_; }
  TestTarget& second() { return second_; }
  Relay& relay() { return *relay_; }
  const Metrics& metrics() const { return metrics_; }
  // Returns the lines that the relay has logged.
  std::string LogText();

 private:
  Replica MakeReplica(const std::string& id, uint16_t port) const;

  int64_t target_starts_ = 0;
  boost::asio::io_context test_io_;
  TestTarget first_;
  TestTarget second_;
  // Bound, but not listening.
  boost::asio::ip::tcp::acceptor closed_port_{test_io_};
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  platform::PlatformWireProtocol protocol_;
  int log_fd_;
  std::unique_ptr<JsonLog> log_;
  Metrics metrics_;
  RoutingState routing_state_;
  std::unique_ptr<Relay> relay_;
  std::thread thread_;
};

// The head of a request to `path` with the request id `id`.
std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& more_headers = "");

// A signed response of a target to the request `id`.
std::string SignedResponse(const std::string& id,
                           const std::string& body,
                           const std::string& status = "200 OK");

// The head of a signed stream of events to the request `id`, sent in chunks.
std::string StreamResponseHead(const std::string& id);
std::string EncodeChunk(const std::string& bytes);

// True for a request that only asks whether the target runs.
bool IsProbe(const std::string& request);
// Returns the response of the target that a probe asks for.
std::string ResponseToProbe(const std::string& probe);
// Takes a probe and answers it, as a target that runs.
void AnswerProbe(TestTarget* target);

bool Contains(const std::string& text, const std::string& part);

}  // namespace endiveyard

#endif  // ENDIVEYARD_TESTS_PLATFORM_RELAY_FIXTURE_H_
