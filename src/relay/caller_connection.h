#ifndef ENDIVEYARD_SRC_RELAY_CALLER_CONNECTION_H_
#define ENDIVEYARD_SRC_RELAY_CALLER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "relay/caller_memory.h"
#include "relay/forwarded_request.h"
#include "relay/message_parser.h"
#include "relay/read_buffer.h"
#include "relay/relay_context.h"

namespace endiveyard {

class BegunResponse;
class RelayExchange;
class UnsentResponse;

// A complete request of a caller.
struct CallerRequest {
  std::string method;
  std::string path_and_query;  // raw, as received
  HeaderList headers;
  std::shared_ptr<const std::string> body;
  // When the first instance received it.
  TimePoint received{};
  // It waited for the end of an earlier request on its connection.
  bool pipelined = false;
  // Set if another instance has forwarded the request.
  std::optional<ForwardedRequest> forwarded;
};

// Who connects to a listener of the relay.
enum class CallerKind { kCaller, kPeer };

// Status line, headers and framing of a response to a caller.
struct CallerResponseHead {
  int status = 200;
  std::string reason;
  HeaderList headers;
  // Length of the body. Without it, the body is sent with chunked encoding.
  std::optional<size_t> length;
};

// An HTTP/1.1 connection of a caller. It keeps reading while a request is
// served, so that a disconnect is detected and the work for the request is
// cancelled.
class CallerConnection : public CallerMemoryHolder,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(std::shared_ptr<RelayContext> context,
                   boost::asio::ip::tcp::socket socket,
                   CallerKind kind);
  ~CallerConnection() override;

  void Start();

  // Returns true if the process may hold what the request in progress takes.
  // Closes other connections for it where that helps.
  bool TakesRequest();
  // Sets the size of the response that is collected before it is sent.
  void SetCollectedBytes(size_t size);
  // Closes the connection after the response to the request in progress, which
  // has not begun.
  void CloseAfterResponse();
  // Ends the connection to free what it holds. A request that is incomplete is
  // refused as not run; one in progress gets no answer.
  void Shed();
  void RefreshMemory() override;

  // Bytes queued but not yet written to the socket.
  size_t unsent_bytes() const { return unsent_bytes_; }
  // Sets the callback for when all queued bytes have been written. Finish()
  // removes it.
  void set_on_all_sent(std::function<void()> on_all_sent) {
    on_all_sent_ = std::move(on_all_sent);
  }

  // Closes the connection unless a request is in progress.
  void CloseIfIdle();
  // Answers the request that is in progress or partly received, as the process
  // is about to exit, and closes the connection.
  void EndForShutdown();
  // Closes the connection and gives up the request in progress, without an
  // answer.
  void Drop();

 private:
  // Exchanges send their response through these types, which keep the order of
  // the calls below.
  friend class BegunResponse;
  friend class UnsentResponse;

  // Send the response to the request in progress: SendHead() once, then
  // SendBody(), then Finish(). Abort() instead of Finish() closes the
  // connection, so that the caller sees an incomplete response.
  void SendHead(const CallerResponseHead& head);
  void SendBody(std::string_view bytes);
  void Finish();
  void Abort();

  void Read();
  void OnRead(boost::system::error_code ec, size_t n);
  void ParseBuffered();
  // Limit on the bytes received and not yet parsed.
  size_t MaxBufferedBytes() const;
  // Returns true for a head of so many fields that its request would be refused
  // for the memory that it takes.
  bool HasTooManyFields() const;
  // Counts the bytes of the body that this connection holds, also while they
  // are received.
  void RecordBodyBytes(size_t size);
  // Counts what this connection makes the process hold.
  void UpdateMemory();
  void HandleParseError(boost::system::error_code ec);
  void HandleRequest();
  // Returns true if the connection comes from an instance that has reported
  // lately.
  bool IsFromKnownPeer() const;
  // Moves what another instance states of its request from the headers.
  // Returns false if it is missing or malformed.
  bool TakeForwardedState(CallerRequest* request);
  // `headers` are those of the request, as far as they were read.
  void RespondWithErrorAndClose(int status,
                                std::string_view reason,
                                const HeaderList& headers);
  // Returns the headers of the request that is being received, if all of them
  // were read.
  HeaderList ParsedHeaders() const;
  void ArmReadTimer();
  // Closes the connection when the queued bytes are written and most of them
  // acknowledged, or after the idle timeout if the caller does not read them.
  void CloseWhenWritten();
  // Ends the own side, as all bytes are written. The connection stays open, and
  // so counts, while the kernel holds much of them.
  void CloseWhenRead();
  // Asks for the send queue until it is empty. Resets the connection at
  // `until`.
  void PollSendQueue(TimePoint until);
  // Closes the connection with a reset, which frees what the kernel holds.
  void Reset();
  void Write(std::string bytes);
  void WriteNext();
  // Writes `batch` from `offset` on.
  void WriteBatch(std::shared_ptr<const std::string> batch, size_t offset);
  void OnAllWritten();
  void Close();

  std::shared_ptr<RelayContext> context_;
  const CallerKind kind_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer read_timer_;
  ReadBuffer buffer_;
  std::optional<MessageParser<true>> parser_;
  std::shared_ptr<RelayExchange> exchange_;
  std::deque<std::string> pending_writes_;
  std::function<void()> on_all_sent_;
  std::string method_;
  size_t unsent_bytes_ = 0;
  size_t send_queue_bytes_ = 0;  // in the kernel, when last asked
  size_t request_body_bytes_ = 0;
  size_t parsed_head_bytes_ = 0;  // of the request that is being received
  size_t request_bytes_ = 0;      // of the request in progress, with its copies
  size_t collected_bytes_ = 0;    // of its response
  CallerMemory::Handle memory_;
  bool writing_ = false;
  bool keep_alive_ = true;
  bool knows_chunks_ = true;  // the caller, by its version of HTTP
  bool chunked_response_ = false;
  // An orderly end would make the response look complete.
  bool reset_unless_whole_ = false;
  bool finished_ = false;  // the last response
  bool has_response_body_ = true;
  bool close_when_written_ = false;
  bool awaits_reader_ = false;  // all is written and the own side ended
  bool closed_ = false;
  bool request_started_ = false;
  bool pipelined_ = false;  // the request that is received next
  uint64_t timer_generation_ = 0;
};

// Closes connections of callers until what they hold is below the limit. An
// exchange may call it only with `spares_serving`, which leaves requests in
// progress alone.
void CloseCallersForMemory(RelayContext* context, bool spares_serving = false);
// Does so in a new iteration of the event loop.
void PostCloseCallersForMemory(const std::shared_ptr<RelayContext>& context);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_CALLER_CONNECTION_H_
