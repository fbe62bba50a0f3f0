#include "relay/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace endiveyard {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

int OptionOf(tcp::socket& socket, int level, int name) {
  int value = -1;
  socklen_t size = sizeof value;
  getsockopt(socket.native_handle(), level, name, &value, &size);
  return value;
}

struct ConnectedPair {
  ConnectedPair() : local(io), peer(io) {
    tcp::acceptor acceptor(
        io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    local.connect(acceptor.local_endpoint());
    acceptor.accept(peer);
    local.non_blocking(true);
  }

  // Sends until the window of the peer, which reads nothing, is full.
  void FillWindow() {
    const std::string bytes(65536, 'x');
    boost::system::error_code ec;
    while (!ec) {
      local.write_some(boost::asio::buffer(bytes), ec);
    }
    BOOST_TEST(ec == boost::asio::error::would_block);
  }

  // Returns true if the connection of `local` ends within `limit`.
  bool EndsWithin(milliseconds limit) {
    pollfd it{local.native_handle(), 0, 0};
    return poll(&it, 1, static_cast<int>(limit.count())) == 1;
  }

  boost::asio::io_context io;
  tcp::socket local;
  tcp::socket peer;
};

}  // namespace

BOOST_AUTO_TEST_CASE(LivenessOptionsAreSet) {
  ConnectedPair pair;
  SetLivenessOptions(pair.local, seconds(4));
  BOOST_TEST(OptionOf(pair.local, SOL_SOCKET, SO_KEEPALIVE) == 1);
  BOOST_TEST(OptionOf(pair.local, IPPROTO_TCP, TCP_NODELAY) == 1);
  BOOST_TEST(OptionOf(pair.local, IPPROTO_TCP, TCP_KEEPIDLE) == 1);
  BOOST_TEST(OptionOf(pair.local, IPPROTO_TCP, TCP_KEEPINTVL) == 1);
  BOOST_TEST(OptionOf(pair.local, IPPROTO_TCP, TCP_KEEPCNT) == 3);
  BOOST_TEST(OptionOf(pair.local, IPPROTO_TCP, TCP_USER_TIMEOUT) == 4000);
  SetKeepAliveOptions(pair.peer, seconds(4));
  BOOST_TEST(OptionOf(pair.peer, SOL_SOCKET, SO_KEEPALIVE) == 1);
  BOOST_TEST(OptionOf(pair.peer, IPPROTO_TCP, TCP_KEEPCNT) == 3);
  BOOST_TEST(OptionOf(pair.peer, IPPROTO_TCP, TCP_USER_TIMEOUT) == 0);
}

// Guards against connections that end because the peer reads nothing, although
// its kernel answers.
BOOST_AUTO_TEST_CASE(KeepAliveDoesNotEndConnectionsOfPeersThatDoNotRead) {
  constexpr milliseconds kTimeout(1000);
  ConnectedPair pair;
  SetKeepAliveOptions(pair.local, kTimeout);
  pair.FillWindow();
  BOOST_TEST(!pair.EndsWithin(3 * kTimeout));
}

// TCP_USER_TIMEOUT counts a closed window like silence, but not earlier.
BOOST_AUTO_TEST_CASE(LivenessOptionsEndConnectionsOfPeersThatDoNotRead) {
  constexpr milliseconds kTimeout(1000);
  ConnectedPair pair;
  SetLivenessOptions(pair.local, kTimeout);
  const auto start = std::chrono::steady_clock::now();
  pair.FillWindow();
  BOOST_TEST(pair.EndsWithin(seconds(20)));
  BOOST_TEST((std::chrono::steady_clock::now() - start >= kTimeout));
  BOOST_TEST(OptionOf(pair.local, SOL_SOCKET, SO_ERROR) == ETIMEDOUT);
}

}  // namespace endiveyard
