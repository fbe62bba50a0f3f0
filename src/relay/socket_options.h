#ifndef ENDIVEYARD_SRC_RELAY_SOCKET_OPTIONS_H_
#define ENDIVEYARD_SRC_RELAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Sets TCP_NODELAY and keep-alive probes, by which a peer that is dead while
// the connection is idle is detected within about `peer_timeout`. A peer that
// does not read is not dead: its kernel answers the probes. Options that the
// kernel rejects keep their default.
void SetKeepAliveOptions(boost::asio::ip::tcp::socket& socket,
                         Duration peer_timeout);

// Also sets TCP_USER_TIMEOUT, so that a dead peer is detected while data is
// unacknowledged, too. The connection ends as well if the peer reads nothing
// for `peer_timeout` while more data is queued than its window takes.
void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        Duration peer_timeout);

// Sets the size of the buffer for received bytes, unless it is 0. The kernel
// then neither enlarges nor shrinks it.
void SetReceiveBuffer(boost::asio::ip::tcp::socket& socket, size_t bytes);

// Sets the size of the buffer for bytes that are sent, unless it is 0.
void SetSendBuffer(boost::asio::ip::tcp::socket& socket, size_t bytes);

// Returns true if the connection has ended by a reset of the peer, and not by
// an orderly end. The kernel tells the error once, to whichever call comes
// first; for the others, the stream just ends.
bool WasReset(boost::asio::ip::tcp::socket& socket);

// Returns the bytes that the peer has not acknowledged; 0 if not known.
size_t SendQueueBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_SOCKET_OPTIONS_H_
