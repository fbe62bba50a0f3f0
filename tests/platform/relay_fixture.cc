#include "relay_fixture.h"

#include <linux/filter.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <future>
#include <iterator>
#include <stdexcept>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace endiveyard {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* kLoopback = "127.0.0.1";

// Announces in a response that its connection is closed after it. Otherwise,
// the relay may send the next request before it sees the close, and the outcome
// of that request would be unknown.
std::string WithConnectionClose(std::string response) {
  const size_t line_end = response.find("\r\n");
  if (line_end != std::string::npos) {
    response.insert(line_end, "\r\nConnection: close");
  }
  return response;
}

size_t BodyLength(const std::string& head) {
  const std::string name = "Content-Length: ";
  const size_t at = head.find(name);
  return at == std::string::npos
             ? 0
             : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
}

// Instances that share the retry bound, according to the relay.
constexpr size_t kInstances = 2;

// Returns the slack of which an instance may use `retries`.
double SlackFor(double retries) {
  return retries * kInstances / kUsableSlackShare;
}

}  // namespace

TestConnection::TestConnection(tcp::socket socket)
    : socket_(std::move(socket)) {
  const timeval timeout{10, 0};
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof timeout);
}

void TestConnection::Send(const std::string& bytes) {
  asio::write(socket_, asio::buffer(bytes));
}

void TestConnection::TrySend(const std::string& bytes) {
  boost::system::error_code ec;
  asio::write(socket_, asio::buffer(bytes), ec);
}

size_t TestConnection::SendUntilClosed(const std::string& bytes, size_t limit) {
  constexpr size_t kMinWriteBytes = 16384;
  std::string batch;
  while (batch.size() < kMinWriteBytes) {
    batch += bytes;
  }
  size_t sent = 0;
  boost::system::error_code ec;
  while (sent < limit && !ec) {
    sent += asio::write(socket_, asio::buffer(batch), ec);
  }
  return sent;
}

void TestConnection::SendUntilBlocked(const std::string& bytes) {
  constexpr int kBlockedMs = 300;
  pollfd peer{socket_.native_handle(), POLLOUT, 0};
  size_t sent = 0;
  while (poll(&peer, 1, kBlockedMs) > 0) {
    const ssize_t n = send(peer.fd, bytes.data() + sent, bytes.size() - sent,
                           MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n <= 0) {
      throw std::runtime_error("the connection was closed");
    }
    sent = (sent + static_cast<size_t>(n)) % bytes.size();
  }
}

void TestConnection::TrickleUntilClosed(const std::string& bytes) {
  constexpr int kIntervalMs = 50;
  constexpr int kMaxWrites = 200;
  boost::system::error_code ec;
  for (int n = 0; n < kMaxWrites && !ec; ++n) {
    asio::write(socket_, asio::buffer(bytes), ec);
    // Readable only once the peer has closed, as it has nothing to send.
    pollfd peer{socket_.native_handle(), POLLIN, 0};
    if (poll(&peer, 1, kIntervalMs) > 0) {
      return;
    }
  }
  if (!ec) {
    throw std::runtime_error("the connection was not closed");
  }
}

bool TestConnection::IsClosedWithin(int ms) {
  pollfd peer{socket_.native_handle(), POLLIN, 0};
  return poll(&peer, 1, ms) > 0;
}

std::string TestConnection::ReadUntil(const std::string& delimiter) {
  while (buffer_.find(delimiter) == std::string::npos) {
    char buf[4096];
    const ssize_t n = recv(socket_.native_handle(), buf, sizeof buf, 0);
    if (n <= 0) {
      throw std::runtime_error("connection closed or timed out; expected '" +
                               delimiter + "', got: " + buffer_);
    }
    buffer_.append(buf, static_cast<size_t>(n));
  }
  const size_t size = buffer_.find(delimiter) + delimiter.size();
  std::string read = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return read;
}

std::string TestConnection::ReadMessage() {
  std::string message = ReadUntil("\r\n\r\n");
  if (message.find("Transfer-Encoding: chunked") != std::string::npos) {
    return message + ReadUntil("0\r\n\r\n");
  }
  const size_t length = BodyLength(message);
  while (buffer_.size() < length) {
    char buf[4096];
    const ssize_t n = recv(socket_.native_handle(), buf, sizeof buf, 0);
    if (n <= 0) {
      throw std::runtime_error(
          "connection closed or timed out before the end of the body");
    }
    buffer_.append(buf, static_cast<size_t>(n));
  }
  message += buffer_.substr(0, length);
  buffer_.erase(0, length);
  return message;
}

std::string TestConnection::ReadUntilClose() {
  while (true) {
    char buf[4096];
    const ssize_t n = recv(socket_.native_handle(), buf, sizeof buf, 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      throw std::runtime_error("expected the connection to be closed, got: " +
                               buffer_);
    }
    if (n <= 0) {
      was_reset_ = n < 0 && errno == ECONNRESET;
      return std::move(buffer_);
    }
    buffer_.append(buf, static_cast<size_t>(n));
  }
}

void TestConnection::Close() {
  boost::system::error_code ec;
  socket_.shutdown(tcp::socket::shutdown_both, ec);
  socket_.close(ec);
}

void TestConnection::Reset() {
  boost::system::error_code ec;
  socket_.set_option(asio::socket_base::linger(true, 0), ec);
  socket_.close(ec);
}

void TestConnection::DiscardIncoming() {
  sock_filter discard_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &discard_all};
  if (setsockopt(socket_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                 &program, sizeof program) != 0) {
    throw std::runtime_error("cannot attach a socket filter");
  }
}

void TestConnection::ReceiveAgain() {
  const int unused = 0;
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused,
             sizeof unused);
}

TestTarget::TestTarget(asio::io_context& io)
    : io_(io),
      acceptor_(io, tcp::endpoint(asio::ip::make_address(kLoopback), 0)) {}

bool TestTarget::HasConnectionWithin(int ms) {
  pollfd listener{acceptor_.native_handle(), POLLIN, 0};
  return poll(&listener, 1, ms) == 1;
}

TestTarget::TestTarget(asio::io_context& io,
                       const std::string& ip,
                       uint16_t port)
    : io_(io), acceptor_(io, tcp::endpoint(asio::ip::make_address(ip), port)) {}

bool TestTarget::HasRequestWithin(int ms) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (true) {
    while (HasConnectionWithin(0)) {
      unused_.push_back(AcceptConnection());
    }
    std::vector<pollfd> sockets = {{acceptor_.native_handle(), POLLIN, 0}};
    auto it = unused_.begin();
    while (it != unused_.end()) {
      char byte = 0;
      const ssize_t n = recv(it->fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (n > 0) {
        // Accept(), which is called next, takes the first one.
        std::rotate(unused_.begin(), it, std::next(it));
        return true;
      }
      if (n < 0 && errno == EAGAIN) {
        sockets.push_back({it->fd(), POLLIN, 0});
        ++it;
      } else {
        it = unused_.erase(it);
      }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    if (poll(sockets.data(), sockets.size(),
             std::max(0, static_cast<int>(left.count()))) == 0) {
      return false;
    }
  }
}

TestConnection TestTarget::Accept() {
  if (!HasRequestWithin(10000)) {
    throw std::runtime_error("target got no request within 10 s");
  }
  TestConnection connection = std::move(unused_.front());
  unused_.erase(unused_.begin());
  return connection;
}

TestConnection TestTarget::AcceptConnection() {
  tcp::socket socket(io_);
  acceptor_.accept(socket);
  return TestConnection(std::move(socket));
}

std::unique_ptr<TestConnection> TestTarget::AcceptUnlessUsed(
    TestConnection* kept) {
  constexpr int kTimeoutMs = 10000;
  pollfd sockets[] = {{acceptor_.native_handle(), POLLIN, 0},
                      {kept->fd(), POLLIN, 0}};
  if (poll(sockets, 2, kTimeoutMs) <= 0) {
    throw std::runtime_error("target got no request within 10 s");
  }
  return sockets[1].revents != 0 ? nullptr
                                 : std::make_unique<TestConnection>(Accept());
}

uint16_t TestTarget::port() const {
  return acceptor_.local_endpoint().port();
}

TargetResponder::TargetResponder(
    TestTarget* target,
    std::function<std::string(const std::string& request)> respond)
    : thread_([this, target, respond = std::move(respond)] {
        constexpr int kStopCheckIntervalMs = 20;
        while (!stopped_) {
          if (!target->HasRequestWithin(kStopCheckIntervalMs)) {
            continue;
          }
          TestConnection connection = target->Accept();
          connection.Send(
              WithConnectionClose(respond(connection.ReadMessage())));
          connection.Close();
        }
      }) {}

TargetResponder::~TargetResponder() {
  stopped_ = true;
  thread_.join();
}

RelayFixture::RelayFixture(const RelayFixtureOptions& fixture_options)
    : first_(test_io_),
      second_(test_io_),
      work_guard_(asio::make_work_guard(io_)),
      log_fd_(memfd_create("relay log", MFD_CLOEXEC)) {
  JsonLogOptions log_options;
  log_options.fd = log_fd_;
  log_ = std::make_unique<JsonLog>("test", log_options);

  auto map = std::make_shared<ServiceMap>();
  map->version = 1;
  for (const auto& [name, kind, resumable] :
       {std::tuple("safe", RouteKind::kSafe, false),
        std::tuple("unsafe", RouteKind::kUnsafe, false),
        std::tuple("stream", RouteKind::kStreaming, true),
        std::tuple("once", RouteKind::kStreaming, false)}) {
    Route route;
    route.name = name;
    route.host = "h";
    route.path_prefix = "/" + route.name + "/";
    route.kind = kind;
    route.resumable = resumable;
    route.timeout = std::chrono::seconds(8);
    route.max_attempts = 2;
    route.services = {{"svc", 1}};
    map->routes.push_back(route);
  }
  routing_state_.service_map = map;
  routing_state_.service_map_current = true;
  routing_state_.replicas.Reset(
      {MakeReplica("t1", first_.port()), MakeReplica("t2", second_.port())},
      BootClock::now());
  routing_state_.replicas_known = true;
  RelayOptions options;
  options.ip = kLoopback;
  options.location.failure_domain = "z";
  constexpr double kRetries = 10;
  options.retry_bound.slack = SlackFor(kRetries);
  options.startup_wait = fixture_options.startup_wait;
  options.news_wait = fixture_options.news_wait;
  options.peer_port = fixture_options.peer_port;
  options.peer_ip = fixture_options.peer_ip;
  options.target_client.peer_timeout = fixture_options.peer_timeout;
  options.end_check_limit = fixture_options.end_check_limit;
  options.registration_time = fixture_options.registration_time;
  relay_ = std::make_unique<Relay>(io_, options, protocol_, &routing_state_,
                                   log_.get(), &metrics_);
  relay_->set_instance_count(kInstances);
  if (!relay_->Listen().ok()) {
    throw std::runtime_error("cannot listen on loopback");
  }
  thread_ = std::thread([this] { io_.run(); });
}

RelayFixture::~RelayFixture() {
  io_.stop();
  thread_.join();
  close(log_fd_);
}

Replica RelayFixture::MakeReplica(const std::string& id, uint16_t port) const {
  Replica replica;
  replica.id = id;
  replica.service = "svc";
  replica.ip = kLoopback;
  replica.port = port;
  // The first target is in the failure domain of the relay, so that it is
  // preferred.
  replica.failure_domain = id == "t1" ? "z" : "far";
  replica.slots = 8;
  replica.started_unix_ms = target_starts_;
  return replica;
}

std::string RelayFixture::LogText() {
  RunOnRelayThread([this](RoutingState&) { log_->Flush(BootClock::now()); });
  std::string text(static_cast<size_t>(lseek(log_fd_, 0, SEEK_END)), '\0');
  const ssize_t n = pread(log_fd_, text.data(), text.size(), 0);
  text.resize(static_cast<size_t>(std::max<ssize_t>(0, n)));
  return text;
}

TestConnection RelayFixture::Connect() {
  tcp::socket socket(test_io_);
  socket.connect(
      tcp::endpoint(asio::ip::make_address(kLoopback), relay_->port()));
  return TestConnection(std::move(socket));
}

void RelayFixture::RunOnRelayThread(
    const std::function<void(RoutingState&)>& action) {
  std::promise<void> done;
  asio::post(io_, [&] {
    action(routing_state_);
    done.set_value();
  });
  done.get_future().wait();
}

void RelayFixture::NotifyRoutingStateChanged() {
  RunOnRelayThread([this](RoutingState&) { relay_->OnRoutingStateChanged(); });
}

void RelayFixture::LoseLinks() {
  closed_port_.open(tcp::v4());
  closed_port_.bind(tcp::endpoint(asio::ip::make_address(kLoopback), 0));
  const uint16_t port = closed_port_.local_endpoint().port();
  RunOnRelayThread([&](RoutingState& routing_state) {
    // Other addresses of the loopback network refuse connections, too.
    std::vector<Replica> replicas;
    for (const char* id : {"t1", "t2", "t3", "t4"}) {
      replicas.push_back(MakeReplica(id, port));
      replicas.back().ip = std::string("127.0.1.") + id[1];
    }
    routing_state.replicas.Reset(replicas, BootClock::now());
  });
  NotifyRoutingStateChanged();
  bool has_links = true;
  while (has_links) {
    TestConnection caller = Connect();
    caller.Send(RequestHead("GET", "/safe/x", "lost"));
    caller.ReadMessage();
    RunOnRelayThread([&](RoutingState&) { has_links = relay_->HasLinks(); });
  }
}

void RelayFixture::LearnOfPeer(const std::string& ip) {
  RunOnRelayThread([this, &ip](RoutingState&) {
    ForwardingState state;
    state.takes_requests = true;
    relay_->forwarding_peers()->RecordReport(
        asio::ip::make_address_v4(ip).to_uint(), state, BootClock::now());
  });
}

TestConnection RelayFixture::ConnectAsPeer() {
  RunOnRelayThread([this](RoutingState&) {
    if (relay_->peer_port() == 0 &&
        !relay_->ListenForPeers(kLoopback, 0).ok()) {
      throw std::runtime_error("cannot listen on loopback");
    }
  });
  tcp::socket socket(test_io_);
  socket.connect(
      tcp::endpoint(asio::ip::make_address(kLoopback), relay_->peer_port()));
  return TestConnection(std::move(socket));
}

void RelayFixture::UseOneTarget() {
  RunOnRelayThread([this](RoutingState& routing_state) {
    routing_state.replicas.Reset({MakeReplica("t1", first_.port())},
                                 BootClock::now());
  });
}

void RelayFixture::UseDisaggregatedTargets() {
  RunOnRelayThread([this](RoutingState& routing_state) {
    Replica prefill = MakeReplica("p1", second_.port());
    prefill.stage = Stage::kPrefill;
    Replica decode = MakeReplica("d1", first_.port());
    decode.stage = Stage::kDecode;
    Replica other_decode = decode;
    other_decode.id = "d2";
    routing_state.replicas.Reset({prefill, decode, other_decode},
                                 BootClock::now());
  });
}

void RelayFixture::SetVersion(const std::string& id,
                              const std::string& version) {
  RunOnRelayThread([&](RoutingState& routing_state) {
    Replica replica = *routing_state.replicas.Find(id);
    replica.version = version;
    routing_state.replicas.Put(replica);
  });
}

void RelayFixture::RestartTargets() {
  ++target_starts_;
  RunOnRelayThread([this](RoutingState& routing_state) {
    routing_state.replicas.Reset(
        {MakeReplica("t1", first_.port()), MakeReplica("t2", second_.port())},
        BootClock::now());
  });
  NotifyRoutingStateChanged();
}

void RelayFixture::ConsumeRetryBudget(int used) {
  // One more retry than those that were consumed.
  RunOnRelayThread([this, used](RoutingState&) {
    RetryBound bound;
    bound.ratio = 0;
    bound.slack = SlackFor(used + 1);
    relay_->set_retry_bound(bound);
  });
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/safe/x", "budget"));
  TestConnection target = first_.Accept();
  target.ReadUntil("\r\n\r\n");
  target.Close();
  TestConnection other = first_.Accept();
  other.ReadUntil("\r\n\r\n");
  other.Send(SignedResponse("budget", "ok"));
  caller.ReadMessage();
}

std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& more_headers) {
  return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" +
         "Endiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Deadline-Ms: 7000\r\n" + more_headers + "\r\n";
}

std::string SignedResponse(const std::string& id,
                           const std::string& body,
                           const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Response-Signature: sig-" + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string StreamResponseHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Response-Signature: sig-" + id +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string EncodeChunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

bool IsProbe(const std::string& request) {
  return request.rfind("GET / HTTP/1.1\r\n", 0) == 0 &&
         Contains(request, "Endiveyard-Expect-Instance: ") &&
         !Contains(request, "Endiveyard-Request-Id: ");
}

std::string ResponseToProbe(const std::string& probe) {
  const std::string name = "Endiveyard-Expect-Instance: ";
  const size_t begin = probe.find(name) + name.size();
  return "HTTP/1.1 200 OK\r\nEndiveyard-Replica-Id: " +
         probe.substr(begin, probe.find('\r', begin) - begin) +
         "\r\nContent-Length: 0\r\n\r\n";
}

void AnswerProbe(TestTarget* target) {
  TestConnection connection = target->Accept();
  const std::string probe = connection.ReadMessage();
  if (!IsProbe(probe)) {
    throw std::runtime_error("expected a probe, got: " + probe);
  }
  connection.Send(ResponseToProbe(probe));
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace endiveyard
