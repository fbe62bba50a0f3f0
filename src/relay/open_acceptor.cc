#include "relay/open_acceptor.h"

namespace endiveyard {

absl::Status OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& ip,
                          uint16_t port) {
  using tcp = boost::asio::ip::tcp;
  boost::system::error_code ec;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(ip, ec), port);
  if (!ec) {
    acceptor.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return absl::UnavailableError("cannot listen on " + ip + ":" +
                                  std::to_string(port) + ": " + ec.message());
  }
  return absl::OkStatus();
}

}  // namespace endiveyard
