#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "soak/http_peer.h"

namespace endiveyard {
namespace {

using soak::NowMs;

constexpr int kReopenPauseMs = 100;
constexpr int kQuietMs = 400;
// Small, so that what a client does not read stays in the process.
constexpr int kReceiveBufferBytes = 4096;

}  // namespace

Crowd::Crowd(CrowdOptions options)
    : options_(std::move(options)), clients_(options_.connections) {
  while (blocks_.size() < options_.piece_bytes + options_.block.size()) {
    blocks_ += options_.block;
  }
  thread_ = std::thread([this] { Run(); });
}

Crowd::~Crowd() {
  stopped_ = true;
  thread_.join();
  for (const Client& it : clients_) {
    if (it.fd >= 0) {
      close(it.fd);
    }
  }
}

void Crowd::Open(Client& client, int64_t now_ms) {
  client = {};
  client.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (client.fd < 0) {
    client.next_ms = now_ms + kReopenPauseMs;
    return;
  }
  const int on = 1;
  setsockopt(client.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (!options_.reads) {
    setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof kReceiveBufferBytes);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options_.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(client.fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0 &&
      errno != EINPROGRESS) {
    Close(client, now_ms);
  }
}

void Crowd::Close(Client& client, int64_t now_ms) {
  close(client.fd);
  client = {};
  client.next_ms = now_ms + kReopenPauseMs;
}

bool Crowd::Send(Client& client, int64_t now_ms) {
  const size_t head = options_.head.size();
  const char* data = options_.head.data() + client.sent;
  size_t size = head - std::min(client.sent, head);
  if (client.sent >= head) {
    const size_t at = client.sent - head;
    data = blocks_.data() + at % options_.block.size();
    size = options_.block_bytes - at;
  }
  size = std::min(size, options_.piece_bytes);
  const ssize_t n = send(client.fd, data, size, MSG_NOSIGNAL);
  if (n < 0) {
    return errno == EAGAIN || errno == EWOULDBLOCK;
  }
  last_sent_ms_ = now_ms;
  client.sent += static_cast<size_t>(n);
  client.next_ms = now_ms + options_.pause_ms;
  if (client.sent == total_bytes() && options_.half_closes) {
    client.ended = true;
    shutdown(client.fd, SHUT_WR);
  }
  return true;
}

bool Crowd::Receive(Client& client, int64_t now_ms) {
  char buf[65536];
  const ssize_t n =
      recv(client.fd, buf, std::min(sizeof buf, options_.read_bytes), 0);
  client.next_ms = std::max(client.next_ms, now_ms + options_.pause_ms);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void Crowd::Run() {
  constexpr int kWaitMs = 5;
  std::vector<pollfd> polled;
  std::vector<Client*> clients;
  last_sent_ms_ = NowMs();
  while (!stopped_) {
    polled.clear();
    clients.clear();
    int64_t now = NowMs();
    for (Client& it : clients_) {
      if (it.fd < 0 && now >= it.next_ms) {
        Open(it, now);
      }
      if (it.fd < 0) {
        continue;
      }
      short events = POLLRDHUP;
      const bool is_due = now >= it.next_ms;
      if (!it.connected || (is_due && it.sent < total_bytes())) {
        events |= POLLOUT;
      }
      if (options_.reads && is_due) {
        events |= POLLIN;
      }
      polled.push_back({it.fd, events, 0});
      clients.push_back(&it);
    }
    poll(polled.data(), polled.size(), kWaitMs);
    now = NowMs();
    for (size_t n = 0; n < polled.size(); ++n) {
      Client& it = *clients[n];
      const short seen = polled[n].revents;
      if ((seen & (POLLERR | POLLHUP | POLLRDHUP)) != 0) {
        Close(it, now);
        continue;
      }
      if ((seen & POLLOUT) != 0) {
        it.connected = true;
        if (it.sent < total_bytes() && !Send(it, now)) {
          Close(it, now);
          continue;
        }
      }
      if ((seen & POLLIN) != 0 && options_.reads && !Receive(it, now)) {
        Close(it, now);
      }
    }
    at_height_ = at_height_ || now - last_sent_ms_ >= kQuietMs;
  }
}

}  // namespace endiveyard
