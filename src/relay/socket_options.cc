#include "relay/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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

void SetSendBuffer(boost::asio::ip::tcp::socket& socket, size_t bytes) {
  if (bytes > 0) {
    SetOption(socket, SOL_SOCKET, SO_SNDBUF, static_cast<int>(bytes / 2));
  }
}

bool WasReset(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t length = sizeof info;
  // After an orderly end, a socket that was not shut down here waits for that.
  return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                    &length) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

size_t SendQueueBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  const bool is_known = ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return is_known ? static_cast<size_t>(std::max(0, bytes)) : 0;
}

}  // namespace endiveyard
