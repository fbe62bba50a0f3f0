#include "relay/caller_connection.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/forwarded_request.h"
#include "relay/header_rules.h"
#include "relay/relay_exchange.h"
#include "relay/request_target.h"
#include "relay/socket_options.h"

namespace endiveyard {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Limit on the bytes buffered for pipelined requests while a response is in
// progress, and while memory is scarce.
constexpr size_t kMaxPipelinedBytes = 65536;
constexpr size_t kMaxPipelinedBytesWhenScarce = 16384;
static_assert(kLargestMaxHeaderBytes + kMaxForwardedHeaderBytes <=
                  kMaxPipelinedBytes,
              "a head, also of a forwarded request, fits into the buffer");

// A pipelined request waits until the caller has read the responses before it,
// except for this much.
constexpr size_t kMaxUnreadBytes = 16384;

// A caller that leaves more of its response unread than this is a slow one.
constexpr size_t kSlowReaderBytes = 65536;

// A connection that is closed while the kernel holds more than this for the
// caller stays open until it was read: what closed sockets hold is not counted.
constexpr size_t kMaxUnreadBytesWhenClosed = 4096;
constexpr Duration kSendQueuePollInterval = std::chrono::milliseconds(250);

// Smaller writes are appended to the one before them.
constexpr size_t kMinWriteBytes = 4096;

// Smaller bodies are allocated on the heap, where the whole of their announced
// length counts: blocks that were used before are resident.
constexpr size_t kMaxHeapBodyBytes = 256 << 10;

// Copies of the headers of a request in progress: as received, without those
// of the connection, and at the call to the target.
constexpr size_t kHeaderCopies = 3;

// Requests with more header fields than this are refused before they are parsed
// if the request would not be admitted. Parsing 3,000 fields takes a
// millisecond: a crowd that comes again at once with such requests took so much
// of the processor that other callers were not served for 20 s.
constexpr size_t kManyFields = 200;

// Idle connections of other instances, which keep them for a few seconds, are
// not closed before these do so.
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(30);

CallerLimits CurrentLimits(const RelayContext& context, CallerKind kind) {
  CallerLimits limits = context.routing_state.service_map
                            ? context.routing_state.service_map->limits
                            : CallerLimits();
  limits.max_header_bytes =
      std::min(limits.max_header_bytes, kLargestMaxHeaderBytes);
  if (kind == CallerKind::kPeer) {
    limits.max_header_bytes += kMaxForwardedHeaderBytes;
    limits.idle_timeout = std::max(limits.idle_timeout, kPeerIdleTimeout);
  }
  return limits;
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case kNotTakenStatus:
      return "Misdirected Request";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

// Returns the memory that the request and its copies take in progress.
size_t MemoryOf(const CallerRequest& request) {
  // Longer texts are not stored in the string itself.
  constexpr size_t kMaxInlineText = 15;
  const auto heap_bytes = [](const std::string& text) {
    return text.size() > kMaxInlineText ? text.size() + 1 : 0;
  };
  size_t list_bytes = 0;
  size_t text_bytes = 0;  // of the head that is sent
  for (const auto& [name, value] : request.headers) {
    list_bytes += kHeaderFieldBytes + heap_bytes(name) + heap_bytes(value);
    text_bytes += name.size() + value.size() + sizeof ": \r\n";
  }
  return kExchangeBytes + kHeaderCopies * list_bytes + text_bytes +
         2 * request.path_and_query.size() +
         (request.body ? request.body->size() : 0);
}

// Returns true for framing headers that the parser accepts, but from which
// another HTTP implementation may derive a different end of the body (request
// smuggling).
bool HasAmbiguousFraming(const HeaderList& headers) {
  int encodings = 0;
  int lengths = 0;
  bool only_chunked = true;
  for (const auto& [name, value] : headers) {
    if (EqualsIgnoreCase(name, "transfer-encoding")) {
      ++encodings;
      only_chunked = only_chunked && EqualsIgnoreCase(value, "chunked");
    } else if (EqualsIgnoreCase(name, "content-length")) {
      ++lengths;
    }
  }
  return encodings > 1 || lengths > 1 || (encodings > 0 && lengths > 0) ||
         (encodings > 0 && !only_chunked);
}

// Returns true if trailers say where the message ends or whom it is for. What
// is before them has decided that, and another implementation may differ.
bool HasMessageControl(const HeaderList& trailers) {
  return std::any_of(trailers.begin(), trailers.end(), [](const auto& it) {
    return EqualsIgnoreCase(it.first, "host") ||
           EqualsIgnoreCase(it.first, "content-length") ||
           EqualsIgnoreCase(it.first, "transfer-encoding");
  });
}

// Makes a request line in absolute form the origin form with a Host header.
void ReplaceHost(std::string_view authority, CallerRequest* request) {
  HeaderList& headers = request->headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const auto& it) {
                                 return EqualsIgnoreCase(it.first, "host");
                               }),
                headers.end());
  headers.emplace(headers.begin(), "Host", authority);
  if (request->path_and_query.substr(0, 1) != "/") {
    request->path_and_query.insert(0, "/");
  }
}

}  // namespace

CallerConnection::CallerConnection(std::shared_ptr<RelayContext> context,
                                   asio::ip::tcp::socket socket,
                                   CallerKind kind)
    : context_(std::move(context)),
      kind_(kind),
      socket_(std::move(socket)),
      read_timer_(context_->io),
      memory_(context_->caller_memory.Add(this, BootClock::now())) {
  ++context_->open_connections;
}

CallerConnection::~CallerConnection() {
  if (!closed_) {
    --context_->open_connections;
  }
  context_->buffered_body_bytes -= request_body_bytes_;
  context_->caller_memory.Remove(memory_);
}

void CallerConnection::Start() {
  SetKeepAliveOptions(socket_, context_->options.target_client.peer_timeout);
  SetReceiveBuffer(socket_, context_->options.caller_receive_buffer);
  SetSendBuffer(socket_, context_->options.caller_send_buffer);
  ArmReadTimer();
  Read();
}

void CallerConnection::Read() {
  if (buffer_.is_reading() || closed_ || buffer_.size() >= MaxBufferedBytes()) {
    return;
  }
  socket_.async_read_some(buffer_.StartRead(),
                          [self = shared_from_this()](error_code ec, size_t n) {
                            self->OnRead(ec, n);
                          });
}

size_t CallerConnection::MaxBufferedBytes() const {
  // The head of a request is parsed as a whole.
  return request_started_ || !context_->caller_memory.IsScarce()
             ? kMaxPipelinedBytes
             : kMaxPipelinedBytesWhenScarce;
}

void CallerConnection::OnRead(error_code ec, size_t n) {
  buffer_.FinishRead(n);
  if (closed_) {
    return;
  }
  if (ec == asio::error::eof && awaits_reader_) {
    return;  // the caller has ended its side only, and may still read
  }
  if (ec) {
    // The caller has disconnected, so its request is cancelled.
    if (exchange_) {
      const std::shared_ptr<RelayExchange> exchange = std::move(exchange_);
      exchange->OnCallerDisconnect();
    }
    Close();
    return;
  }
  context_->caller_memory.RecordProgress(memory_, BootClock::now());
  if (close_when_written_) {
    buffer_.Release();
  } else if (!exchange_) {
    ParseBuffered();
  }
  Read();
  UpdateMemory();
  if (context_->caller_memory.IsFull()) {
    CloseCallersForMemory(context_.get());
  }
}

void CallerConnection::ParseBuffered() {
  while (buffer_.size() > 0 && !exchange_ && !closed_ && !close_when_written_ &&
         unsent_bytes_ <= kMaxUnreadBytes) {
    const CallerLimits limits = CurrentLimits(*context_, kind_);
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->header_limit(limits.max_header_bytes);
      parser_->trailer_limit(limits.max_header_bytes);
      parser_->body_limit(limits.max_body_bytes);
      parser_->reserve_limit(limits.max_body_bytes);
    }
    if (!request_started_) {
      request_started_ = true;
      ArmReadTimer();
    }
    error_code ec;
    const bool in_head = !parser_->is_header_done();
    if (in_head && HasTooManyFields()) {
      context_->metrics.CountRefusedForLoad("memory");
      RespondWithErrorAndClose(503, "overloaded", {});
      buffer_.Release();
      return;
    }
    const size_t n = parser_->put(buffer_.data(), ec);
    if (in_head && !parser_->is_done()) {
      // An upper bound: the bytes may also be part of the body.
      const char* const begin = static_cast<const char*>(buffer_.data().data());
      parsed_head_bytes_ +=
          n + kParsedFieldBytes *
                  static_cast<size_t>(std::count(begin, begin + n, '\n'));
    }
    buffer_.Consume(n);
    RecordBodyBytes(parser_->message().body.size());
    if (!parser_->is_done() && request_body_bytes_ > 0 &&
        context_->buffered_body_bytes >
            context_->options.max_body_bytes_in_flight) {
      RespondWithErrorAndClose(503, "overloaded", ParsedHeaders());
      return;
    }
    if (ec == http::error::need_more) {
      ec = {};
      if (n == 0 && !parser_->is_done()) {
        if (buffer_.size() >= MaxBufferedBytes()) {
          // A chunk header or trailers that are not read to their end.
          HandleParseError(http::error::header_limit);
        }
        return;
      }
    }
    if (ec) {
      HandleParseError(ec);
      return;
    }
    if (parser_->is_done()) {
      // Further requests of the buffer are parsed in later iterations of the
      // event loop. A thousand that are answered at once, as without a route,
      // would hold up other callers.
      HandleRequest();
      return;
    }
    if (n == 0) {
      return;
    }
  }
}

bool CallerConnection::HasTooManyFields() const {
  const char* const begin = static_cast<const char*>(buffer_.data().data());
  const auto lines =
      static_cast<size_t>(std::count(begin, begin + buffer_.size(), '\n'));
  return lines > kManyFields &&
         !context_->caller_memory.Admits(
             lines * (kParsedFieldBytes + kHeaderCopies * kHeaderFieldBytes),
             memory_->bytes);
}

void CallerConnection::RecordBodyBytes(size_t size) {
  context_->buffered_body_bytes += size;
  context_->buffered_body_bytes -= request_body_bytes_;
  request_body_bytes_ = size;
}

void CallerConnection::HandleParseError(error_code ec) {
  JsonFields fields;
  fields.Text("detail", ec.message());
  context_->log.Log(kLogRequestMalformed, fields, BootClock::now());
  if (ec == http::error::body_limit) {
    RespondWithErrorAndClose(413, "body_too_large", ParsedHeaders());
  } else if (ec == http::error::header_limit) {
    RespondWithErrorAndClose(431, "headers_too_large", ParsedHeaders());
  } else {
    RespondWithErrorAndClose(400, "bad_request", ParsedHeaders());
  }
}

void CallerConnection::HandleRequest() {
  ++timer_generation_;
  read_timer_.cancel();
  request_started_ = false;
  const bool keeps_alive = parser_->keep_alive();
  ParsedMessage message = std::move(parser_->message());
  parser_.reset();
  parsed_head_bytes_ = 0;
  CallerRequest request;
  request.received = BootClock::now();
  request.pipelined = std::exchange(pipelined_, false);
  request.method = std::move(message.method);
  request.headers = std::move(message.headers);
  // The list has grown by doubling, and MemoryOf() counts its entries.
  request.headers.shrink_to_fit();
  if (HasAmbiguousFraming(request.headers) ||
      HasMessageControl(message.trailers)) {
    RespondWithErrorAndClose(400, "doubtful_framing", request.headers);
    return;
  }
  if (kind_ == CallerKind::kPeer &&
      (!IsFromKnownPeer() || !TakeForwardedState(&request))) {
    RespondWithErrorAndClose(kNotTakenStatus, "not_forwarded", request.headers);
    return;
  }
  const auto target = ParseRequestTarget(message.target);
  if (!target) {
    RespondWithErrorAndClose(400, "bad_request", request.headers);
    return;
  }
  request.path_and_query = std::string(target->path_and_query);
  if (target->authority) {
    ReplaceHost(*target->authority, &request);
  }
  constexpr int kHttp11 = 11;
  knows_chunks_ = message.version >= kHttp11;
  keep_alive_ = keeps_alive && knows_chunks_;
  method_ = request.method;
  if (!message.body.empty()) {
    request.body = std::make_shared<const std::string>(std::move(message.body));
  }
  message = {};
  request_bytes_ = MemoryOf(request);
  exchange_ = std::make_shared<RelayExchange>(context_, shared_from_this(),
                                              std::move(request));
  const std::shared_ptr<RelayExchange> exchange = exchange_;
  exchange->Start();
}

bool CallerConnection::IsFromKnownPeer() const {
  error_code ec;
  const asio::ip::address address = socket_.remote_endpoint(ec).address();
  return !ec && address.is_v4() &&
         context_->forwarding_peers.IsKnown(address.to_v4().to_uint(),
                                            BootClock::now());
}

bool CallerConnection::TakeForwardedState(CallerRequest* request) {
  const auto text = FindHeader(request->headers, kForwardedRequestHeader);
  request->forwarded = text ? DecodeForwardedRequest(*text) : std::nullopt;
  if (!request->forwarded) {
    return false;
  }
  request->headers.erase(
      std::remove_if(request->headers.begin(), request->headers.end(),
                     [](const auto& it) {
                       return EqualsIgnoreCase(it.first,
                                               kForwardedRequestHeader);
                     }),
      request->headers.end());
  request->received -= request->forwarded->waited;
  return true;
}

HeaderList CallerConnection::ParsedHeaders() const {
  return parser_ && parser_->is_header_done() ? parser_->message().headers
                                              : HeaderList();
}

void CallerConnection::RespondWithErrorAndClose(int status,
                                                std::string_view reason,
                                                const HeaderList& headers) {
  keep_alive_ = false;
  const std::string body = "{\"error\":\"" + std::string(reason) + "\"}";
  CallerResponseHead head;
  head.status = status;
  head.length = body.size();
  head.headers = {{"Content-Type", "application/json"}};
  // Another instance could not tell the response from one to an earlier request
  // without the id.
  const std::string id = context_->protocol.DecodeRequest(headers).request_id;
  const auto id_header =
      std::find_if(headers.begin(), headers.end(),
                   [&id](const auto& it) { return it.second == id; });
  if (!id.empty() && id_header != headers.end()) {
    head.headers.push_back(*id_header);
  }
  SendHead(head);
  SendBody(body);
  Finish();
}

void CallerConnection::ArmReadTimer() {
  const CallerLimits limits = CurrentLimits(*context_, kind_);
  const Duration limit =
      request_started_ ? std::max(limits.header_timeout, limits.idle_timeout)
                       : limits.idle_timeout;
  const uint64_t generation = ++timer_generation_;
  const Duration header_limit = limits.header_timeout;
  read_timer_.expires_after(request_started_ ? header_limit : limit);
  read_timer_.async_wait(
      [self = shared_from_this(), generation, limit](error_code ec) {
        if (ec || self->closed_ || generation != self->timer_generation_ ||
            self->exchange_) {
          return;
        }
        if (!self->request_started_) {
          self->Close();
        } else if (self->parser_ && self->parser_->is_header_done()) {
          // The headers arrived in time. The body gets the idle timeout.
          self->read_timer_.expires_after(limit);
          self->read_timer_.async_wait([self, generation](error_code body_ec) {
            if (!body_ec && !self->closed_ &&
                generation == self->timer_generation_ && !self->exchange_) {
              self->RespondWithErrorAndClose(408, "request_timeout",
                                             self->ParsedHeaders());
            }
          });
        } else {
          self->RespondWithErrorAndClose(408, "request_timeout", {});
        }
      });
}

void CallerConnection::SendHead(const CallerResponseHead& head) {
  if (closed_) {
    return;
  }
  if (context_->draining) {
    keep_alive_ = false;
  }
  has_response_body_ =
      method_ != "HEAD" && head.status != 204 && head.status != 304;
  const bool has_no_length = !head.length && has_response_body_;
  chunked_response_ = has_no_length && knows_chunks_;
  // Without chunks, only the end of the connection ends the body.
  reset_unless_whole_ = has_no_length && !knows_chunks_;
  std::string text =
      "HTTP/1.1 " + std::to_string(head.status) + " " +
      (head.reason.empty() ? std::string(ReasonPhrase(head.status))
                           : head.reason) +
      "\r\n";
  for (const auto& [name, value] : head.headers) {
    AppendHeader(&text, name, value);
  }
  if (chunked_response_) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (head.length && head.status != 204 && head.status != 304) {
    text += "Content-Length: " + std::to_string(*head.length) + "\r\n";
  }
  if (!keep_alive_) {
    text += "Connection: close\r\n";
  }
  Write(text + "\r\n");
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (closed_ || bytes.empty() || !has_response_body_) {
    return;
  }
  if (!chunked_response_) {
    Write(std::string(bytes));
    return;
  }
  char size[20];
  const int n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string chunk(size, static_cast<size_t>(n));
  chunk.append(bytes);
  chunk += "\r\n";
  Write(std::move(chunk));
}

void CallerConnection::Finish() {
  if (closed_) {
    return;
  }
  if (chunked_response_) {
    Write("0\r\n\r\n");
  }
  chunked_response_ = false;
  finished_ = true;
  exchange_.reset();
  on_all_sent_ = nullptr;
  RecordBodyBytes(0);
  request_bytes_ = 0;
  collected_bytes_ = 0;
  if (buffer_.size() == 0) {
    // Idle connections up to their limit have to fit into the memory for
    // callers: 1,897 on a machine with 120 MB.
    buffer_.Release();
  }
  parsed_head_bytes_ = 0;
  parser_.reset();
  UpdateMemory();
  if (!keep_alive_) {
    CloseWhenWritten();
    return;
  }
  ArmReadTimer();
  // Pipelined requests are parsed in a new iteration of the event loop, so that
  // a long sequence of them does not recurse.
  if (buffer_.size() > 0) {
    pipelined_ = true;
    asio::post(context_->io, [self = shared_from_this()] {
      if (!self->exchange_ && !self->closed_) {
        self->ParseBuffered();
        self->Read();
        self->UpdateMemory();
      }
    });
  } else {
    Read();
  }
}

void CallerConnection::Abort() {
  exchange_.reset();
  RecordBodyBytes(0);
  request_bytes_ = 0;
  collected_bytes_ = 0;
  if (closed_) {
    return;
  }
  // Bytes that are queued are still sent. The caller detects the failure by the
  // missing end of the response.
  CloseWhenWritten();
}

void CallerConnection::CloseWhenWritten() {
  close_when_written_ = true;
  if (!writing_) {
    CloseWhenRead();
    return;
  }
  const uint64_t generation = ++timer_generation_;
  read_timer_.expires_after(CurrentLimits(*context_, kind_).idle_timeout);
  read_timer_.async_wait(
      [self = shared_from_this(), generation](error_code ec) {
        if (!ec && generation == self->timer_generation_) {
          self->Close();
        }
      });
}

void CallerConnection::CloseWhenRead() {
  send_queue_bytes_ = SendQueueBytes(socket_);
  if (send_queue_bytes_ <= kMaxUnreadBytesWhenClosed || reset_unless_whole_) {
    Close();
    return;
  }
  awaits_reader_ = true;
  error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  UpdateMemory();
  Read();
  PollSendQueue(BootClock::now() +
                CurrentLimits(*context_, kind_).idle_timeout);
}

void CallerConnection::PollSendQueue(TimePoint until) {
  const uint64_t generation = ++timer_generation_;
  read_timer_.expires_after(kSendQueuePollInterval);
  read_timer_.async_wait(
      [self = shared_from_this(), generation, until](error_code ec) {
        if (ec || self->closed_ || generation != self->timer_generation_) {
          return;
        }
        self->RefreshMemory();
        if (self->send_queue_bytes_ == 0) {
          self->Close();
        } else if (BootClock::now() >= until) {
          self->Reset();
        } else {
          self->PollSendQueue(until);
        }
      });
}

void CallerConnection::Reset() {
  reset_unless_whole_ = true;
  finished_ = false;
  Close();
}

void CallerConnection::CloseIfIdle() {
  error_code ec;
  // A request may have arrived that was not read yet.
  const bool has_unread_bytes = socket_.available(ec) > 0 && !ec;
  if (!exchange_ && !request_started_ && buffer_.size() == 0 && !writing_ &&
      !has_unread_bytes && !awaits_reader_) {
    Close();
  }
}

void CallerConnection::EndForShutdown() {
  if (closed_ || close_when_written_) {
    return;
  }
  if (exchange_) {
    const std::shared_ptr<RelayExchange> exchange = exchange_;
    exchange->EndForShutdown();
  } else if (request_started_) {
    RespondWithErrorAndClose(503, "shutting_down", ParsedHeaders());
  } else if (!writing_) {
    Close();
  }
}

void CallerConnection::Drop() {
  exchange_.reset();
  Close();
}

void CallerConnection::Write(std::string bytes) {
  unsent_bytes_ += bytes.size();
  if (!pending_writes_.empty() &&
      pending_writes_.back().size() < kMinWriteBytes &&
      bytes.size() < kMinWriteBytes) {
    pending_writes_.back() += bytes;
  } else {
    pending_writes_.push_back(std::move(bytes));
  }
  UpdateMemory();
  if (context_->caller_memory.IsFull()) {
    PostCloseCallersForMemory(context_);
  }
  if (!writing_) {
    writing_ = true;
    // Pieces produced in one iteration of the event loop are written together.
    asio::post(context_->io,
               [self = shared_from_this()] { self->WriteNext(); });
  }
}

void CallerConnection::WriteNext() {
  if (closed_) {
    return;
  }
  auto batch = std::make_shared<std::string>();
  if (pending_writes_.size() == 1) {
    *batch = std::move(pending_writes_.front());
  } else {
    size_t size = 0;
    for (const std::string& it : pending_writes_) {
      size += it.size();
    }
    batch->reserve(size);
    for (const std::string& it : pending_writes_) {
      batch->append(it);
    }
  }
  pending_writes_.clear();
  WriteBatch(batch, 0);
}

void CallerConnection::WriteBatch(std::shared_ptr<const std::string> batch,
                                  size_t offset) {
  const auto rest =
      asio::buffer(batch->data() + offset, batch->size() - offset);
  socket_.async_write_some(
      rest, [self = shared_from_this(), batch = std::move(batch), offset](
                error_code ec, size_t n) mutable {
        if (self->closed_) {
          return;
        }
        self->unsent_bytes_ -= std::min(n, self->unsent_bytes_);
        self->send_queue_bytes_ = SendQueueBytes(self->socket_);
        self->context_->caller_memory.RecordProgress(self->memory_,
                                                     BootClock::now());
        self->UpdateMemory();
        if (ec) {
          if (self->exchange_) {
            const std::shared_ptr<RelayExchange> exchange =
                std::move(self->exchange_);
            exchange->OnCallerDisconnect();
          }
          self->Close();
          return;
        }
        if (self->context_->caller_memory.IsFull()) {
          PostCloseCallersForMemory(self->context_);
        }
        if (offset + n < batch->size()) {
          self->WriteBatch(std::move(batch), offset + n);
        } else if (!self->pending_writes_.empty()) {
          self->WriteNext();
        } else {
          self->OnAllWritten();
        }
      });
}

void CallerConnection::OnAllWritten() {
  writing_ = false;
  if (close_when_written_) {
    CloseWhenRead();
  } else if (on_all_sent_) {
    on_all_sent_();
  } else if (!exchange_ && buffer_.size() > 0) {
    // Requests that waited for the caller to read.
    ParseBuffered();
    Read();
    UpdateMemory();
  }
}

void CallerConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  --context_->open_connections;
  ++timer_generation_;
  read_timer_.cancel();
  on_all_sent_ = nullptr;
  error_code ec;
  if (reset_unless_whole_ && !(finished_ && unsent_bytes_ == 0)) {
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
  } else {
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  }
  socket_.close(ec);
  if (!exchange_) {
    RecordBodyBytes(0);
    request_bytes_ = 0;
    collected_bytes_ = 0;
  }
  UpdateMemory();
}

void CallerConnection::UpdateMemory() {
  CallerStage stage = CallerStage::kIdle;
  if (closed_) {
    stage = CallerStage::kClosed;
  } else if (unsent_bytes_ > kSlowReaderBytes || awaits_reader_ ||
             (unsent_bytes_ > 0 && !exchange_)) {
    stage = CallerStage::kSending;
  } else if (exchange_) {
    stage = CallerStage::kServing;
  } else if (request_started_ || buffer_.size() > 0) {
    stage = CallerStage::kReceiving;
  }
  // In progress, the body is part of the request.
  size_t request_bytes = request_bytes_;
  if (request_bytes == 0) {
    const size_t capacity = parser_ ? parser_->message().body.capacity() : 0;
    request_bytes =
        parsed_head_bytes_ +
        (capacity <= kMaxHeapBodyBytes ? capacity : request_body_bytes_);
  }
  // Bytes that the kernel may hold while they are not read. It advertises half
  // of the buffer.
  const bool is_paused = !closed_ && !buffer_.is_reading() &&
                         buffer_.size() >= kMaxPipelinedBytesWhenScarce;
  const size_t kernel_bytes =
      is_paused ? context_->options.caller_receive_buffer / 2 : 0;
  context_->caller_memory.Update(
      memory_, stage,
      kConnectionBytes + buffer_.held_bytes() + kernel_bytes + request_bytes +
          unsent_bytes_ + send_queue_bytes_ + collected_bytes_);
}

void CallerConnection::RefreshMemory() {
  if (send_queue_bytes_ > 0 && !closed_) {
    send_queue_bytes_ = SendQueueBytes(socket_);
    UpdateMemory();
  }
}

bool CallerConnection::TakesRequest() {
  CallerMemory& memory = context_->caller_memory;
  UpdateMemory();
  if (!memory.Admits(request_bytes_, memory_->bytes) &&
      memory.total() > memory.relief_target()) {
    // This one is in progress and is not closed.
    CloseCallersForMemory(context_.get(), true);
  }
  return memory.Admits(request_bytes_, memory_->bytes);
}

void CallerConnection::SetCollectedBytes(size_t size) {
  collected_bytes_ = size;
  UpdateMemory();
  if (context_->caller_memory.IsFull()) {
    PostCloseCallersForMemory(context_);
  }
}

void CallerConnection::CloseAfterResponse() {
  keep_alive_ = false;
}

void CallerConnection::Shed() {
  if (closed_) {
    return;
  }
  if (!exchange_ && request_started_ && !close_when_written_ &&
      unsent_bytes_ == 0) {
    RespondWithErrorAndClose(503, "overloaded", ParsedHeaders());
    buffer_.Release();
    UpdateMemory();
    return;
  }
  // The end of what was sent must not look complete, and a reset frees what the
  // kernel holds.
  const bool is_unread = unsent_bytes_ + SendQueueBytes(socket_) > 0;
  const std::shared_ptr<RelayExchange> exchange = std::move(exchange_);
  if (exchange) {
    exchange->OnCallerDisconnect();
  }
  if (is_unread) {
    Reset();
  } else {
    Close();
  }
}

void CloseCallersForMemory(RelayContext* context, bool spares_serving) {
  CallerMemory& memory = context->caller_memory;
  const TimePoint now = BootClock::now();
  memory.Refresh();
  std::vector<std::shared_ptr<CallerConnection>> connections;
  for (CallerMemoryHolder* it :
       memory.ChooseToClose(memory.relief_target(), now, spares_serving)) {
    connections.push_back(
        static_cast<CallerConnection*>(it)->shared_from_this());
  }
  const size_t before = memory.total();
  for (const auto& it : connections) {
    it->Shed();
    context->metrics.CountCallerClosed("memory");
  }
  context->freed_caller_bytes += before - std::min(before, memory.total());
  if (!connections.empty() &&
      context->shed_callers_log.Allow(kLogCallersClosedForMemory, now)) {
    JsonFields fields;
    fields.Integer("connections", static_cast<int64_t>(connections.size()))
        .Integer("held", static_cast<int64_t>(before))
        .Integer("limit", static_cast<int64_t>(memory.limit()));
    context->log.Log(kLogCallersClosedForMemory, fields, now);
  }
}

void PostCloseCallersForMemory(const std::shared_ptr<RelayContext>& context) {
  if (std::exchange(context->closes_callers, true)) {
    return;
  }
  asio::post(context->io, [context] {
    context->closes_callers = false;
    if (context->caller_memory.IsFull()) {
      CloseCallersForMemory(context.get());
    }
  });
}

}  // namespace endiveyard
