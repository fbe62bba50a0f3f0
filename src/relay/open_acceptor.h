#ifndef ENDIVEYARD_SRC_RELAY_OPEN_ACCEPTOR_H_
#define ENDIVEYARD_SRC_RELAY_OPEN_ACCEPTOR_H_

#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "absl/status/status.h"

namespace endiveyard {

// Binds `acceptor` to IP:PORT and listens; port 0 picks a free one. Errors:
// kUnavailable.
absl::Status OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& ip,
                          uint16_t port);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_OPEN_ACCEPTOR_H_
