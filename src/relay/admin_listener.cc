#include "endiveyard/relay/admin_listener.h"

#include <list>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "relay/open_acceptor.h"
#include "relay/socket_options.h"

namespace endiveyard {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

using Handler = std::function<AdminResponse(std::string_view path)>;

// Connections whose peer stops responding are closed after this.
constexpr Duration kPeerTimeout = std::chrono::seconds(4);
// Time for a request, and for reading its response. The platform's probes are
// answered within milliseconds.
constexpr Duration kRequestTimeout = std::chrono::seconds(3);
// Time for which a connection may wait for its next request.
constexpr Duration kIdleTimeout = std::chrono::seconds(15);
// Requests are a line and a few headers, without a body. The limits bound what
// the connections can make the process hold to about 3 MB for each listener.
constexpr uint32_t kMaxHeaderBytes = 4096;
constexpr uint64_t kMaxBodyBytes = 1024;
constexpr size_t kMaxBufferBytes = 8192;
constexpr size_t kMaxConnections = 32;

class AdminConnection : public std::enable_shared_from_this<AdminConnection> {
 public:
  // Open connections, the one that was idle for longest first.
  using List = std::list<std::weak_ptr<AdminConnection>>;

  AdminConnection(tcp::socket socket,
                  std::shared_ptr<Handler> handler,
                  std::shared_ptr<List> open)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        handler_(std::move(handler)),
        open_(std::move(open)) {
    SetLivenessOptions(socket_, kPeerTimeout);
  }

  void Start() {
    entry_ = open_->insert(open_->end(), weak_from_this());
    Read(kRequestTimeout);
  }

  void Close() {
    if (std::exchange(closed_, true)) {
      return;
    }
    open_->erase(entry_);
    timer_.cancel();
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_both, ec);
    socket_.close(ec);
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  void Read(Duration first_byte_timeout) {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    if (buffer_.size() == 0) {
      // The time for the request begins with its first byte.
      ArmTimer(first_byte_timeout);
      socket_.async_wait(tcp::socket::wait_read,
                         [self = shared_from_this()](error_code ec) {
                           if (!self->CloseOnError(ec)) {
                             self->ReadRequest();
                           }
                         });
    } else {
      ReadRequest();
    }
  }

  void ReadRequest() {
    ArmTimer(kRequestTimeout);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, size_t) {
                       if (!self->CloseOnError(ec)) {
                         self->Respond();
                       }
                     });
  }

  void Respond() {
    const auto& request = parser_->get();
    const auto target = request.target();
    const std::string_view path(target.data(), target.size());
    const AdminResponse admin_response =
        (*handler_)(path.substr(0, path.find('?')));
    response_ = {};
    response_.version(request.version());
    response_.result(static_cast<unsigned>(admin_response.status));
    response_.set(http::field::content_type, admin_response.content_type);
    response_.keep_alive(request.keep_alive());
    response_.body() = admin_response.body;
    response_.prepare_payload();
    ArmTimer(kRequestTimeout);
    http::async_write(
        socket_, response_, [self = shared_from_this()](error_code ec, size_t) {
          if (self->CloseOnError(ec)) {
            return;
          }
          if (!self->response_.keep_alive()) {
            self->Close();
            return;
          }
          self->open_->splice(self->open_->end(), *self->open_, self->entry_);
          self->Read(kIdleTimeout);
        });
  }

  bool CloseOnError(error_code ec) {
    if (ec) {
      Close();
    }
    return closed_;
  }

  void ArmTimer(Duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      // A timer that has expired before it was set again is not meant.
      if (!ec && self &&
          self->timer_.expiry() <= asio::steady_timer::clock_type::now()) {
        self->Close();
      }
    });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Handler> handler_;
  std::shared_ptr<List> open_;
  List::iterator entry_;
  beast::flat_buffer buffer_{kMaxBufferBytes};
  std::optional<Parser> parser_;
  http::response<http::string_body> response_;
  bool closed_ = false;
};

}  // namespace

class AdminListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, Handler handler)
      : acceptor_(io),
        accept_timer_(io),
        handler_(std::make_shared<Handler>(std::move(handler))) {}

  absl::Status Listen(const std::string& ip, uint16_t port) {
    absl::Status status = OpenAcceptor(acceptor_, ip, port);
    if (status.ok()) {
      Accept();
    }
    return status;
  }

  uint16_t port() const {
    error_code ec;
    return acceptor_.local_endpoint(ec).port();
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (ec == asio::error::operation_aborted) {
            return;
          }
          if (ec) {
            constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
            self->accept_timer_.expires_after(kAcceptPause);
            self->accept_timer_.async_wait([self](error_code timer_ec) {
              if (!timer_ec) {
                self->Accept();
              }
            });
            return;
          }
          self->StartConnection(std::move(socket));
          self->AcceptWaiting();
          self->Accept();
        });
  }

  // Accepts further connections that wait already, as many as are kept.
  void AcceptWaiting() {
    error_code ec;
    acceptor_.non_blocking(true, ec);
    for (size_t n = 0; n < kMaxConnections / 2 && !ec; ++n) {
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, ec);
      if (!ec) {
        StartConnection(std::move(socket));
      }
    }
  }

  void StartConnection(tcp::socket socket) {
    // A new connection is worth more than the one that was idle for longest: a
    // probe that is not answered takes this instance out of service.
    while (open_->size() >= kMaxConnections) {
      if (const auto longest_idle = open_->front().lock()) {
        longest_idle->Close();
      } else {
        open_->pop_front();
      }
    }
    std::make_shared<AdminConnection>(std::move(socket), handler_, open_)
        ->Start();
  }

  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::shared_ptr<Handler> handler_;
  const std::shared_ptr<AdminConnection::List> open_ =
      std::make_shared<AdminConnection::List>();
};

AdminListener::AdminListener(
    asio::io_context& io,
    std::function<AdminResponse(std::string_view path)> handler)
    : impl_(std::make_shared<Impl>(io, std::move(handler))) {}

AdminListener::~AdminListener() = default;

absl::Status AdminListener::Listen(const std::string& ip, uint16_t port) {
  return impl_->Listen(ip, port);
}

uint16_t AdminListener::port() const {
  return impl_->port();
}

}  // namespace endiveyard
