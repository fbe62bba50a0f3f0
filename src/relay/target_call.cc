#include "endiveyard/relay/target_call.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "endiveyard/base/digest.h"
#include "relay/header_rules.h"
#include "relay/message_parser.h"
#include "relay/socket_options.h"

namespace endiveyard {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr uint32_t kMaxResponseHeaderBytes = 65536;
constexpr size_t kReadBytes = 16384;
// Limit on the responses to earlier requests that one call skips.
constexpr int kMaxSkippedResponses = 2;
// Limit on the body bytes of the responses that one call skips.
constexpr uint64_t kMaxSkippedBytes = 1048576;
// Statuses that HTTP defines classes for.
constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
// Limit on the interim responses (status 1xx) to one request.
constexpr int kMaxInterimResponses = 8;
// Limit on bytes that the parser needs at once: a response head, a chunk header
// with its extensions, or the trailers.
constexpr size_t kMaxUnparsedBytes = kMaxResponseHeaderBytes + kReadBytes;

struct Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}

  bool HasCarried(uint64_t request_digest) const {
    return std::find(request_digests.begin(), request_digests.end(),
                     request_digest) != request_digests.end();
  }

  tcp::socket socket;
  beast::flat_buffer buffer;
  std::string address;
  TimePoint connected_at{};
  // Digests of the ids of all requests written.
  std::vector<uint64_t> request_digests;
  TimePoint idle_since{};
  Duration idle_limit{};
};

// Returns false for an idle connection that the target has closed, or on which
// it has sent unexpected bytes.
bool IsReusable(tcp::socket& socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Returns true for errors by which the kernel gives up a connection whose peer
// acknowledges nothing.
bool IsSilence(error_code ec) {
  return ec == asio::error::timed_out || ec == asio::error::host_unreachable ||
         ec == asio::error::network_unreachable;
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Returns true if a status line begins within `text`.
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kProtocol = "HTTP/1.";
  constexpr size_t kRestBytes = 5;  // minor version, space, status
  for (size_t n = text.find(kProtocol); n != std::string_view::npos;
       n = text.find(kProtocol, n + 1)) {
    const std::string_view rest = text.substr(n + kProtocol.size(), kRestBytes);
    if (rest.size() == kRestBytes && IsDigit(rest[0]) && rest[1] == ' ' &&
        std::all_of(rest.begin() + 2, rest.end(), IsDigit)) {
      return true;
    }
  }
  return false;
}

// Returns true if the head was parsed from two: bytes that belong to no request
// and that break off within a line, and the response that follows them.
bool IsMergedHead(const TargetResponseHead& head) {
  return ContainsStatusLine(head.reason) ||
         std::any_of(
             head.headers.begin(), head.headers.end(),
             [](const auto& it) { return ContainsStatusLine(it.second); });
}

}  // namespace

class HttpTargetCall;

class TargetClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const WireProtocol& protocol, Options options)
      : io_(io), protocol_(protocol), options_(std::move(options)) {}

  // Returns a connection that has not carried a request with the same id: a
  // copy of the earlier response could not be told from the response.
  std::unique_ptr<Connection> TakeIdle(const std::string& address,
                                       uint64_t request_digest) {
    const auto it = idle_.find(address);
    if (it == idle_.end()) {
      return nullptr;
    }
    const TimePoint now = BootClock::now();
    std::deque<std::unique_ptr<Connection>>& connections = it->second;
    // The most recently used connection is the least likely to have been closed
    // by the target.
    for (size_t n = connections.size(); n-- > 0;) {
      if (connections[n]->HasCarried(request_digest)) {
        continue;
      }
      std::unique_ptr<Connection> connection = std::move(connections[n]);
      connections.erase(connections.begin() + static_cast<ptrdiff_t>(n));
      --idle_count_;
      if (now - connection->idle_since < connection->idle_limit &&
          IsReusable(connection->socket)) {
        return connection;
      }
    }
    if (connections.empty()) {
      idle_.erase(it);
    }
    return nullptr;
  }

  void PutIdle(std::unique_ptr<Connection> connection) {
    connection->idle_since = BootClock::now();
    CloseExpired(connection->idle_since);
    if (idle_count_ >= options_.max_idle_connections ||
        connection->request_digests.size() >=
            options_.max_requests_per_connection) {
      return;
    }
    ++idle_count_;
    idle_[connection->address].push_back(std::move(connection));
  }

  // Makes the call report its connection here, and return it to the pool.
  void Observe(HttpTargetCall* call);

  asio::io_context& io() { return io_; }
  const WireProtocol& protocol() const { return protocol_; }
  const Options& options() const { return options_; }

  void set_connect_observer(ConnectObserver observer) {
    connect_observer_ = std::move(observer);
  }
  void NotifyConnect(const std::string& address, bool connected) {
    if (connect_observer_) {
      connect_observer_(address, connected);
    }
  }

  bool HasIdle(const std::string& address, uint64_t request_digest) const {
    const auto it = idle_.find(address);
    const TimePoint now = BootClock::now();
    return it != idle_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [now, request_digest](const auto& connection) {
                         return now - connection->idle_since <
                                    connection->idle_limit &&
                                !connection->HasCarried(request_digest);
                       });
  }

 private:
  // Closes connections that have reached their idle limit.
  void CloseExpired(TimePoint now) {
    for (auto& [address, connections] : idle_) {
      while (!connections.empty() && now - connections.front()->idle_since >=
                                         connections.front()->idle_limit) {
        connections.pop_front();
        --idle_count_;
      }
    }
  }

  asio::io_context& io_;
  const WireProtocol& protocol_;
  const Options options_;
  ConnectObserver connect_observer_;
  std::map<std::string, std::deque<std::unique_ptr<Connection>>> idle_;
  size_t idle_count_ = 0;
};

// Sends one request over one connection and reads its response. The connection
// may be opened before the request is known.
class HttpTargetCall : public TargetCall,
                       public std::enable_shared_from_this<HttpTargetCall> {
 public:
  HttpTargetCall(asio::io_context& io,
                 const WireProtocol& protocol,
                 const TargetClientOptions& options,
                 TargetRequest request,
                 TargetCallHandlers handlers)
      : io_(io),
        protocol_(protocol),
        options_(options),
        request_(std::move(request)),
        handlers_(std::move(handlers)),
        connect_timer_(io),
        timeout_timer_(io) {}

  // Called with a connection that can be reused. Set before the call starts.
  std::function<void(std::unique_ptr<Connection>)> return_to_pool;
  // Called with the outcome of the attempt to connect. Set before the call
  // starts.
  TargetClient::ConnectObserver on_connect;

  void StartOnConnection(std::unique_ptr<Connection> connection) {
    connection_ = std::move(connection);
    is_reserved_ = false;
    reused_connection_ = true;
    WriteRequest();
  }

  void Connect() {
    connection_ = std::make_unique<Connection>(io_);
    connection_->address = request_.ip + ":" + std::to_string(request_.port);
    connection_->idle_limit = options_.max_idle_time;
    error_code ec;
    const asio::ip::address address = asio::ip::make_address(request_.ip, ec);
    if (!ec) {
      connection_->socket.open(address.is_v6() ? tcp::v6() : tcp::v4(), ec);
    }
    if (!ec && !options_.local_ip.empty()) {
      constexpr uint16_t kAnyPort = 0;
      connection_->socket.bind(
          tcp::endpoint(asio::ip::make_address(options_.local_ip), kAnyPort),
          ec);
    }
    if (ec) {
      asio::post(io_, [self = shared_from_this(), ec] {
        self->End(TransportStatus::kNotSent, ec.message());
      });
      return;
    }
    SetLivenessOptions(connection_->socket, options_.peer_timeout);
    connect_timer_.expires_after(options_.connect_timeout);
    connect_timer_.async_wait([self = shared_from_this()](error_code timer_ec) {
      if (!timer_ec && !self->connected_ && !self->ended_) {
        self->on_connect(self->connection_->address, false);
        self->End(TransportStatus::kNotSent, "connect timeout");
      }
    });
    connection_->socket.async_connect(
        tcp::endpoint(address, request_.port),
        [self = shared_from_this()](error_code connect_ec) {
          if (self->ended_) {
            return;
          }
          self->connected_ = true;
          self->connection_->connected_at = BootClock::now();
          self->connect_timer_.cancel();
          self->on_connect(self->connection_->address, !connect_ec);
          self->refused_ = connect_ec == asio::error::connection_refused;
          if (connect_ec) {
            self->End(TransportStatus::kNotSent, connect_ec.message());
            return;
          }
          if (!self->is_reserved_) {
            self->WriteRequest();
          }
        });
  }

  void ConnectAndStart() {
    is_reserved_ = false;
    Connect();
  }

  // Sends the request that the connection was reserved for.
  void StartReserved(TargetRequest request, TargetCallHandlers handlers) {
    is_reserved_ = false;
    request_ = std::move(request);
    handlers_ = std::move(handlers);
    if (connected_) {
      WriteRequest();
    }
  }

  bool IsReservedAndOpen() const {
    return is_reserved_ && !ended_ &&
           (!connected_ || IsReusable(connection_->socket));
  }

  // Keeps the handlers, as it may be called by one of them.
  void Cancel() override {
    ended_ = true;
    CloseConnection();
  }

  void Pause() override { paused_ = true; }

  bool WasRefused() const override { return refused_; }

  void Resume() override {
    if (paused_) {
      paused_ = false;
      if (read_deferred_ && !ended_) {
        read_deferred_ = false;
        // In a new iteration of the event loop: the handlers that reading calls
        // may release the call, or be running already.
        asio::post(io_, [self = shared_from_this()] { self->ReadBody(); });
      }
    }
  }

 private:
  void WriteRequest() {
    if (request_.timeout > Duration(0)) {
      timeout_timer_.expires_after(request_.timeout);
      timeout_timer_.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec) {
          self->End(self->parser_ && self->parser_->is_header_done() &&
                            !self->skipping_response_
                        ? TransportStatus::kTruncated
                        : TransportStatus::kNoResponse,
                    "timeout of the call");
        }
      });
    }
    response_head_.connected_at = connection_->connected_at;
    response_head_.earlier_requests =
        static_cast<int>(connection_->request_digests.size());
    connection_->request_digests.push_back(Digest64(request_.request_id));
    request_head_ = request_.method + " " + request_.path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request_.headers) {
      AppendHeader(&request_head_, name, value);
    }
    const size_t body_size = request_.body ? request_.body->size() : 0;
    if (body_size > 0 || MethodHasBody(request_.method)) {
      request_head_ += "Content-Length: " + std::to_string(body_size) + "\r\n";
    }
    request_head_ += "\r\n";
    std::vector<asio::const_buffer> buffers = {asio::buffer(request_head_)};
    if (body_size > 0) {
      buffers.push_back(asio::buffer(*request_.body));
    }
    asio::async_write(connection_->socket, buffers,
                      [self = shared_from_this()](error_code ec, size_t) {
                        // A failed write is reported by the read, which may
                        // still find a response that was sent early.
                        self->request_written_ = !ec;
                        self->write_error_ = ec;
                      });
    ReadHead();
  }

  void ReadHead() {
    if (ParseHead()) {
      return;
    }
    auto self = shared_from_this();
    connection_->socket.async_read_some(
        connection_->buffer.prepare(kReadBytes),
        [self](error_code ec, size_t n) {
          if (self->ended_) {
            return;
          }
          if (ec) {
            self->EndWithReadError(self->connection_->buffer.size() > 0
                                       ? TransportStatus::kInvalidResponse
                                       : TransportStatus::kNoResponse,
                                   ec);
            return;
          }
          self->connection_->buffer.commit(n);
          self->ReadHead();
        });
  }

  // Parses the head from the buffered bytes. Returns true when the head is
  // complete or the call has ended.
  bool ParseHead() {
    if (connection_->buffer.size() == 0) {
      return false;
    }
    if (!parser_) {
      parser_.emplace();
      parser_->header_limit(kMaxResponseHeaderBytes);
      parser_->trailer_limit(kMaxUnparsedBytes);
      // Boost 1.74 compares an unset limit as smaller than any size, which
      // would reject every body.
      parser_->body_limit(std::numeric_limits<uint64_t>::max());
      if (request_.method == "HEAD") {
        parser_->skip(true);
      }
    }
    error_code ec;
    const size_t n = parser_->put(connection_->buffer.data(), ec);
    connection_->buffer.consume(n);
    if (ec == http::error::need_more) {
      return false;
    }
    if (ec) {
      End(TransportStatus::kInvalidResponse, ec.message());
      return true;
    }
    if (!parser_->is_header_done()) {
      return false;
    }
    return HandleHead();
  }

  bool HandleHead() {
    ParsedMessage& message = parser_->message();
    response_head_.status = message.status;
    response_head_.reason = std::move(message.reason);
    response_head_.headers = std::move(message.headers);
    if (response_head_.status < kMinStatus ||
        response_head_.status > kMaxStatus) {
      // The parser takes any three digits.
      End(TransportStatus::kInvalidResponse,
          "response with a status outside 100 to 599");
      return true;
    }
    if (IsMergedHead(response_head_)) {
      End(TransportStatus::kInvalidResponse,
          "status line within a line of the head");
      return true;
    }
    if (response_head_.status < kMinFinalStatus) {
      if (++interim_responses_ > kMaxInterimResponses) {
        End(TransportStatus::kInvalidResponse, "too many interim responses");
        return true;
      }
      parser_.reset();
      return ParseHead();
    }
    response_head_.framing = parser_->need_eof()  ? BodyFraming::kConnection
                             : parser_->chunked() ? BodyFraming::kChunks
                                                  : BodyFraming::kLength;
    skipping_response_ = false;
    if (!request_.request_id.empty()) {
      const ResponseMetadata metadata = protocol_.DecodeResponse(
          response_head_.status, response_head_.headers);
      if (!metadata.request_id &&
          (reused_connection_ || skipped_responses_ > 0)) {
        // May be a response to an earlier request.
        End(TransportStatus::kInvalidResponse,
            "response without a request id on a connection that had others");
        return true;
      }
      if (metadata.request_id && *metadata.request_id != request_.request_id) {
        if (++skipped_responses_ > kMaxSkippedResponses ||
            parser_->need_eof()) {
          End(TransportStatus::kInvalidResponse,
              "request id of the response differs from the id sent");
          return true;
        }
        skipping_response_ = true;
      }
    }
    if (!skipping_response_) {
      auto self = shared_from_this();
      if (!handlers_.on_head(response_head_)) {
        if (!ended_) {
          Cancel();
        }
        return true;
      }
      if (ended_) {
        return true;
      }
    }
    ReadBody();
    return true;
  }

  void ReadBody() {
    while (!ended_) {
      if (parser_->is_done()) {
        FinishResponse();
        return;
      }
      if (paused_) {
        read_deferred_ = true;
        return;
      }
      if (connection_->buffer.size() > 0) {
        if (!ParseBody()) {
          return;
        }
        if (made_progress_) {
          continue;
        }
      }
      break;
    }
    if (ended_) {
      return;
    }
    if (connection_->buffer.size() > kMaxUnparsedBytes) {
      EndInBody("framing of the body exceeds its limit");
      return;
    }
    auto self = shared_from_this();
    connection_->socket.async_read_some(
        connection_->buffer.prepare(kReadBytes),
        [self](error_code ec, size_t n) {
          if (self->ended_) {
            return;
          }
          if (ec == asio::error::eof && self->parser_->need_eof() &&
              !self->HasFailedConnection()) {
            error_code eof_ec;
            self->parser_->put_eof(eof_ec);
            self->FinishResponse();
            return;
          }
          if (ec) {
            self->EndWithReadError(self->skipping_response_
                                       ? TransportStatus::kNoResponse
                                       : TransportStatus::kTruncated,
                                   ec);
            return;
          }
          self->connection_->buffer.commit(n);
          self->ReadBody();
        });
  }

  // Parses the body from the buffered bytes. Returns false when the call has
  // ended.
  bool ParseBody() {
    error_code ec;
    const size_t n = parser_->put(connection_->buffer.data(), ec);
    connection_->buffer.consume(n);
    body_buffer_.clear();
    body_buffer_.swap(parser_->message().body);
    const size_t produced = body_buffer_.size();
    made_progress_ = n > 0;
    if (ec && ec != http::error::need_more) {
      EndInBody(ec.message());
      return false;
    }
    const uint64_t limit =
        skipping_response_ ? kMaxSkippedBytes : request_.max_response_bytes;
    body_bytes_ += produced;
    if (limit > 0 && body_bytes_ > limit) {
      EndInBody("body exceeds its limit");
      return false;
    }
    if (produced > 0 && skipping_response_) {
      skipped_body_ += body_buffer_;
      if (HasOwnAnswer(skipped_body_, produced)) {
        EndInBody("response within the body of an earlier one");
      }
    } else if (produced > 0) {
      auto self = shared_from_this();
      handlers_.on_body(body_buffer_);
    }
    return !ended_;
  }

  // Returns true if the head of a response with the id of this request, which
  // ends in the last `produced` bytes, is in `skipped`: the earlier response
  // was cut off, and what follows it counts as its body.
  bool HasOwnAnswer(std::string_view skipped, size_t produced) const {
    const size_t known = skipped.size() - produced;
    const size_t at =
        skipped.find(request_.request_id,
                     known - std::min(known, request_.request_id.size() - 1));
    return at != std::string_view::npos &&
           ContainsStatusLine(skipped.substr(0, at));
  }

  // Ends the call at what is not a body. In a response that is skipped, it says
  // nothing about the one to this request.
  void EndInBody(std::string_view detail) {
    End(skipping_response_ ? TransportStatus::kInvalidResponse
                           : TransportStatus::kTruncated,
        detail);
  }

  void FinishResponse() {
    if (skipping_response_) {
      const HeaderList& trailers = parser_->message().trailers;
      if (std::any_of(trailers.begin(), trailers.end(), [](const auto& it) {
            return ContainsStatusLine(it.second);
          })) {
        EndInBody("response within the trailers of an earlier one");
        return;
      }
      out_of_sync_ = true;
      body_bytes_ = 0;
      skipped_body_.clear();
      parser_.reset();
      ReadHead();
      return;
    }
    // The connection is not reused if it has bytes beyond the response, which
    // belong to no request, or if the request was not written completely: the
    // target would take the next request for the rest of its body.
    const bool reusable = !request_.request_id.empty() && !out_of_sync_ &&
                          request_written_ && parser_->keep_alive() &&
                          connection_->buffer.size() == 0 &&
                          !parser_->need_eof();
    if (reusable) {
      if (const auto limit = KeepAliveTimeout(response_head_.headers)) {
        // Half of the target's own timeout, so that the target does not close
        // the connection while a request is on its way.
        connection_->idle_limit = std::min(options_.max_idle_time, *limit / 2);
      }
      parser_.reset();
      return_to_pool(std::move(connection_));
    }
    End(TransportStatus::kComplete, "");
  }

  // Returns true if the connection has not ended in order, although a read says
  // so: the error was reported to another call. A response that ends with its
  // connection is not complete then.
  bool HasFailedConnection() {
    return write_error_ || WasReset(connection_->socket);
  }

  void EndWithReadError(TransportStatus if_closed, error_code ec) {
    // The kernel reports an error once, to the write if one is in progress.
    const error_code cause =
        IsSilence(write_error_) || (write_error_ && ec == asio::error::eof)
            ? write_error_
            : ec;
    End(IsSilence(cause) ? TransportStatus::kSilent : if_closed,
        cause.message());
  }

  void End(TransportStatus transport_status, std::string_view detail) {
    if (ended_) {
      return;
    }
    ended_ = true;
    CloseConnection();
    const auto on_end = std::move(handlers_.on_end);
    handlers_ = {};
    if (on_end) {
      on_end(transport_status, detail);
    }
  }

  void CloseConnection() {
    connect_timer_.cancel();
    timeout_timer_.cancel();
    if (connection_) {
      error_code ec;
      if (options_.resets_connections) {
        connection_->socket.set_option(asio::socket_base::linger(true, 0), ec);
      }
      connection_->socket.close(ec);
    }
  }

  asio::io_context& io_;
  const WireProtocol& protocol_;
  const TargetClientOptions& options_;
  TargetRequest request_;
  TargetCallHandlers handlers_;
  asio::steady_timer connect_timer_;
  asio::steady_timer timeout_timer_;
  std::unique_ptr<Connection> connection_;
  std::optional<MessageParser<false>> parser_;
  TargetResponseHead response_head_;
  std::string request_head_;
  std::string body_buffer_;
  int skipped_responses_ = 0;
  int interim_responses_ = 0;
  uint64_t body_bytes_ = 0;   // of the current response
  std::string skipped_body_;  // so far, of a response to an earlier request
  error_code write_error_;
  bool is_reserved_ = true;  // there is no request yet
  bool connected_ = false;
  bool refused_ = false;
  bool reused_connection_ = false;
  bool request_written_ = false;
  bool skipping_response_ = false;
  bool out_of_sync_ = false;
  bool made_progress_ = false;
  bool paused_ = false;
  bool read_deferred_ = false;
  bool ended_ = false;
};

std::string_view NameOf(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kConnection:
      return "connection";
  }
  return "unknown";
}

TargetClient::TargetClient(asio::io_context& io,
                           const WireProtocol& protocol,
                           Options options)
    : impl_(std::make_shared<Impl>(io, protocol, std::move(options))) {}

TargetClient::~TargetClient() = default;

void TargetClient::Impl::Observe(HttpTargetCall* call) {
  call->return_to_pool =
      [self = shared_from_this()](std::unique_ptr<Connection> connection) {
        self->PutIdle(std::move(connection));
      };
  call->on_connect = [self = shared_from_this()](const std::string& address,
                                                 bool connected) {
    self->NotifyConnect(address, connected);
  };
}

class ReservedConnection::Impl : public HttpTargetCall {
 public:
  using HttpTargetCall::HttpTargetCall;
};

ReservedConnection::ReservedConnection(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

ReservedConnection::~ReservedConnection() {
  if (impl_) {
    impl_->Cancel();
  }
}

bool ReservedConnection::IsOpen() const {
  return impl_ && impl_->IsReservedAndOpen();
}

std::shared_ptr<TargetCall> TargetClient::Start(TargetRequest request,
                                                TargetCallHandlers handlers) {
  const std::string address = request.ip + ":" + std::to_string(request.port);
  // Without an id, a late response to an earlier request cannot be told from
  // the one to this request.
  std::unique_ptr<Connection> idle =
      request.request_id.empty()
          ? nullptr
          : impl_->TakeIdle(address, Digest64(request.request_id));
  auto call = std::make_shared<HttpTargetCall>(
      impl_->io(), impl_->protocol(), impl_->options(), std::move(request),
      std::move(handlers));
  impl_->Observe(call.get());
  if (idle) {
    call->StartOnConnection(std::move(idle));
  } else {
    call->ConnectAndStart();
  }
  return call;
}

std::shared_ptr<TargetCall> TargetClient::Start(
    TargetRequest request,
    TargetCallHandlers handlers,
    ReservedConnection* connection) {
  std::shared_ptr<ReservedConnection::Impl> call = std::move(connection->impl_);
  call->StartReserved(std::move(request), std::move(handlers));
  return call;
}

std::unique_ptr<ReservedConnection> TargetClient::Reserve(const std::string& ip,
                                                          uint16_t port) {
  TargetRequest request;
  request.ip = ip;
  request.port = port;
  auto call = std::make_shared<ReservedConnection::Impl>(
      impl_->io(), impl_->protocol(), impl_->options(), std::move(request),
      TargetCallHandlers());
  impl_->Observe(call.get());
  call->Connect();
  return std::make_unique<ReservedConnection>(std::move(call));
}

bool TargetClient::HasIdleConnection(const std::string& ip,
                                     uint16_t port,
                                     const std::string& request_id) const {
  return !request_id.empty() &&
         impl_->HasIdle(ip + ":" + std::to_string(port), Digest64(request_id));
}

void TargetClient::set_connect_observer(ConnectObserver observer) {
  impl_->set_connect_observer(std::move(observer));
}

}  // namespace endiveyard
