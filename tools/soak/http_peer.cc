#include "soak/http_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace endiveyard::soak {
namespace {

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

constexpr int kBacklog = 512;
// Bounds connects and writes, which wait while the peer stands still.
constexpr timeval kMaxWait{10, 0};

// Returns a socket that is bound to `ip` and `port`, or to a free port if that
// is 0.
int BindSocket(const std::string& ip, uint16_t* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  // A port that is drawn is to be free; one that is taken again may have
  // connections.
  if (*port != 0) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  }
  sockaddr_in address = AddressOf(ip, *port);
  socklen_t size = sizeof address;
  // A socket that was closed is bound until no thread waits for it any more.
  constexpr int kMaxWaitMs = 1000;
  constexpr int kIntervalMs = 10;
  int result = bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  for (int ms = 0; result != 0 && *port != 0 && ms < kMaxWaitMs;
       ms += kIntervalMs) {
    SleepMs(kIntervalMs);
    result = bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  }
  if (result != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot bind to " + ip);
  }
  *port = ntohs(address.sin_port);
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return fd;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string HttpMessage::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

std::string HttpMessage::Target() const {
  const size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

int HttpMessage::Status() const {
  return std::atoi(start_line.substr(start_line.find(' ') + 1).c_str());
}

HttpPeer::~HttpPeer() {
  Close();
}

std::unique_ptr<HttpPeer> HttpPeer::Connect(const std::string& ip,
                                            uint16_t port) {
  auto peer = std::make_unique<HttpPeer>(
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  setsockopt(peer->fd_, SOL_SOCKET, SO_SNDTIMEO, &kMaxWait, sizeof kMaxWait);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(peer->fd_, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(peer->fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return peer;
}

void HttpPeer::WaitWhileHanging() {
  constexpr int kIntervalMs = 10;
  if (hangs_ == nullptr || !*hangs_) {
    return;
  }
  while (*hangs_) {
    SleepMs(kIntervalMs);
  }
  pollfd closed{fd_, POLLRDHUP, 0};
  ended_ = ended_ || poll(&closed, 1, 0) == 1;
}

bool HttpPeer::Send(const std::string& bytes) {
  WaitWhileHanging();
  size_t sent = 0;
  while (fd_ >= 0 && sent < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return fd_ >= 0;
}

bool HttpPeer::Fill(int64_t until_ms) {
  const int64_t left = until_ms - NowMs();
  pollfd readable{fd_, POLLIN, 0};
  if (ended_ || left <= 0 || poll(&readable, 1, static_cast<int>(left)) != 1) {
    return false;
  }
  WaitWhileHanging();
  if (ended_) {
    return false;
  }
  char buf[16384];
  const ssize_t n = recv(fd_, buf, sizeof buf, 0);
  if (n <= 0) {
    ended_ = true;
    return false;
  }
  buffer_.append(buf, static_cast<size_t>(n));
  return true;
}

bool HttpPeer::ReadLine(int64_t until_ms, std::string* line) {
  size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(until_ms)) {
      return false;
    }
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool HttpPeer::ReadBytes(int64_t until_ms, size_t size, std::string* bytes) {
  while (buffer_.size() < size) {
    if (!Fill(until_ms)) {
      bytes->append(buffer_);
      buffer_.clear();
      return false;
    }
  }
  bytes->append(buffer_, 0, size);
  buffer_.erase(0, size);
  return true;
}

void HttpPeer::LimitReceiveBuffer(int bytes) {
  setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

HttpMessage HttpPeer::Read(int timeout_ms,
                           const std::function<bool()>& after_piece) {
  const int64_t until = NowMs() + timeout_ms;
  HttpMessage message;
  std::string line;
  if (!ReadLine(until, &message.start_line)) {
    return message;
  }
  while (ReadLine(until, &line) && !line.empty()) {
    const size_t colon = line.find(": ");
    if (colon == std::string::npos) {
      return message;
    }
    message.headers.emplace_back(line.substr(0, colon), line.substr(colon + 2));
  }
  if (!line.empty()) {
    return message;
  }
  if (message.Header("Transfer-Encoding").empty()) {
    const std::string length = message.Header("Content-Length");
    message.complete = ReadBytes(
        until, std::strtoul(length.c_str(), nullptr, 10), &message.body);
    return message;
  }
  while (ReadLine(until, &line)) {
    const size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (!ReadBytes(until, size, &message.body) || !ReadLine(until, &line)) {
      return message;
    }
    if (size == 0) {
      message.complete = true;
      return message;
    }
    if (after_piece && !after_piece()) {
      return message;
    }
  }
  return message;
}

bool HttpPeer::HasEnded() {
  char byte = 0;
  if (!ended_ && fd_ >= 0 &&
      recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
    ended_ = true;
  }
  return ended_;
}

bool HttpPeer::WaitForEnd(int ms) {
  pollfd closed{fd_, POLLRDHUP, 0};
  const bool closes = !ended_ && poll(&closed, 1, ms) == 1;
  WaitWhileHanging();
  ended_ = ended_ || closes;
  return ended_;
}

void HttpPeer::Abort() {
  const std::lock_guard<std::mutex> lock(close_mutex_);
  if (fd_ >= 0) {
    // The thread that uses the connection sees its end and closes it.
    const linger option{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    shutdown(fd_, SHUT_RD);
  }
}

void HttpPeer::Close() {
  const std::lock_guard<std::mutex> lock(close_mutex_);
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
    ended_ = true;
  }
}

void HttpPeer::Reset() {
  const linger option{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  Close();
}

HttpListener::HttpListener(const std::string& ip,
                           std::function<void(HttpPeer&)> serve,
                           uint16_t port)
    : ip_(ip),
      serve_(std::move(serve)),
      port_(port),
      fd_(BindSocket(ip, &port_)) {
  if (listen(fd_, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + ip);
  }
  thread_ = std::thread([this] { Accept(); });
}

void HttpListener::Accept() {
  constexpr int kWaitMs = 100;
  constexpr int kPauseMs = 10;
  while (!stopped_) {
    pollfd readable{-1, POLLIN, 0};
    if (!connections_->hang) {
      const std::lock_guard<std::mutex> lock(mutex_);
      readable.fd = fd_;
    }
    if (readable.fd < 0 || poll(&readable, 1, kWaitMs) != 1) {
      SleepMs(readable.fd < 0 ? kPauseMs : 0);
      continue;
    }
    int fd = -1;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (fd_ == readable.fd && !connections_->hang) {
        fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      }
    }
    if (fd < 0) {
      SleepMs(kPauseMs);
      continue;
    }
    std::thread([serve = serve_, connections = connections_, fd] {
      HttpPeer peer(fd, &connections->hang);
      {
        const std::lock_guard<std::mutex> lock(connections->mutex);
        connections->open.insert(&peer);
      }
      serve(peer);
      const std::lock_guard<std::mutex> lock(connections->mutex);
      connections->open.erase(&peer);
    }).detach();
  }
}

void HttpListener::Hang() {
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_->hang = true;
  // Once the queue of the socket is full, further SYNs are dropped.
  constexpr int kFillers = 2;
  listen(fd_, 0);
  const sockaddr_in address = AddressOf(ip_, port_);
  for (int n = 0; n < kFillers; ++n) {
    fillers_.push_back(
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    static_cast<void>(connect(fillers_.back(),
                              reinterpret_cast<const sockaddr*>(&address),
                              sizeof address));
  }
}

void HttpListener::Refuse() {
  const std::lock_guard<std::mutex> lock(mutex_);
  close(fd_);
  fd_ = -1;
}

void HttpListener::ResetConnections() {
  const std::lock_guard<std::mutex> lock(connections_->mutex);
  for (HttpPeer* it : connections_->open) {
    it->Abort();
  }
}

void HttpListener::Heal() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const int it : fillers_) {
    close(it);
  }
  fillers_.clear();
  if (fd_ < 0) {
    fd_ = BindSocket(ip_, &port_);
  }
  listen(fd_, kBacklog);
  connections_->hang = false;
}

HttpListener::~HttpListener() {
  stopped_ = true;
  thread_.join();
  close(fd_);
}

uint16_t FindFreePort(const std::string& ip,
                      const std::vector<uint16_t>& taken) {
  while (true) {
    uint16_t port = 0;
    close(BindSocket(ip, &port));
    if (std::find(taken.begin(), taken.end(), port) == taken.end()) {
      return port;
    }
  }
}

}  // namespace endiveyard::soak
