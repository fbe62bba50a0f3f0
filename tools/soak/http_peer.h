#ifndef ENDIVEYARD_TOOLS_SOAK_HTTP_PEER_H_
#define ENDIVEYARD_TOOLS_SOAK_HTTP_PEER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace endiveyard::soak {

int64_t NowMs();  // steady clock
void SleepMs(int64_t ms);

struct HttpMessage {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Head and body arrived as far as the framing announces them.
  bool complete = false;

  std::string Header(const std::string& name) const;  // empty if absent
  std::string Target() const;                         // of a request
  int Status() const;                                 // of a response
};

// A blocking HTTP/1.1 connection on loopback.
class HttpPeer {
 public:
  explicit HttpPeer(int fd) : fd_(fd) {}
  ~HttpPeer();
  HttpPeer(const HttpPeer&) = delete;
  HttpPeer& operator=(const HttpPeer&) = delete;

  // Returns null if the connection is refused.
  static std::unique_ptr<HttpPeer> Connect(const std::string& ip,
                                           uint16_t port);

  // Returns false once the peer has closed the connection.
  bool Send(const std::string& bytes);
  // Returns what was read within `timeout_ms`; empty if that is nothing.
  HttpMessage Read(int timeout_ms);
  // True if the connection has ended, as seen by the last Read() or now.
  bool HasEnded();
  // Waits for `ms` or until the peer closes the connection, which returns true.
  bool WaitForEnd(int ms);
  // Bytes that arrived after the last message.
  size_t surplus_bytes() const { return buffer_.size(); }
  void Close();
  void Reset();  // closes with a TCP reset

 private:
  bool Fill(int64_t until_ms);
  bool ReadLine(int64_t until_ms, std::string* line);
  bool ReadBytes(int64_t until_ms, size_t size, std::string* bytes);

  int fd_;
  std::string buffer_;
  bool ended_ = false;
};

// Serves each connection on a thread of its own.
class HttpListener {
 public:
  HttpListener(const std::string& ip, std::function<void(HttpPeer&)> serve);
  // Stops accepting. Connections that are open are not waited for.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  uint16_t port() const { return port_; }

 private:
  uint16_t port_ = 0;  // set while `fd_` is bound
  const int fd_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// Returns a port that is free on `ip` and not among `taken`.
uint16_t FindFreePort(const std::string& ip,
                      const std::vector<uint16_t>& taken);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_HTTP_PEER_H_
