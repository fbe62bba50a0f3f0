#include "soak/http_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
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

// Returns a socket that is bound to `ip` and a free port.
int BindSocket(const std::string& ip, uint16_t* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot bind to " + ip);
  }
  *port = ntohs(address.sin_port);
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
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(peer->fd_, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(peer->fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return peer;
}

bool HttpPeer::Send(const std::string& bytes) {
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

HttpMessage HttpPeer::Read(int timeout_ms) {
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
  ended_ = ended_ || poll(&closed, 1, ms) == 1;
  return ended_;
}

void HttpPeer::Close() {
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
                           std::function<void(HttpPeer&)> serve)
    : fd_(BindSocket(ip, &port_)) {
  constexpr int kBacklog = 512;
  if (listen(fd_, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + ip);
  }
  thread_ = std::thread([this, serve = std::move(serve)] {
    while (!stopped_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([serve, fd] {
          HttpPeer peer(fd);
          serve(peer);
        }).detach();
      }
    }
  });
}

HttpListener::~HttpListener() {
  stopped_ = true;
  shutdown(fd_, SHUT_RDWR);
  thread_.join();
  close(fd_);
}

uint16_t FindFreePort(const std::string& ip,
                      const std::vector<uint16_t>& taken) {
  uint16_t port = 0;
  do {
    close(BindSocket(ip, &port));
  } while (std::find(taken.begin(), taken.end(), port) != taken.end());
  return port;
}

}  // namespace endiveyard::soak
