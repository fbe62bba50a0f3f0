#include "relay/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace endiveyard {
namespace {

void SetOption(boost::asio::ip::tcp::socket& socket,
               int level,
               int name,
               int value) {
  (void)setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

int ToMilliseconds(Duration duration) {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

void SetKeepAliveOptions(boost::asio::ip::tcp::socket& socket,
                         Duration peer_timeout) {
  constexpr int kProbeIntervalS = 1;  // minimum that the kernel accepts
  const int timeout_s = ToMilliseconds(peer_timeout) / 1000;
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIntervalS);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT,
            std::max(1, timeout_s / kProbeIntervalS - 1));
}

void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        Duration peer_timeout) {
  SetKeepAliveOptions(socket, peer_timeout);
  // Overrides TCP_KEEPCNT.
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            ToMilliseconds(peer_timeout));
}

void SetReceiveBuffer(boost::asio::ip::tcp::socket& socket, size_t bytes) {
  if (bytes > 0) {
    // The kernel doubles the value for its own overhead.
    SetOption(socket, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes / 2));
  }
}

}  // namespace endiveyard
