#ifndef ENDIVEYARD_TOOLS_SOAK_HTTP_PEER_H_
#define ENDIVEYARD_TOOLS_SOAK_HTTP_PEER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
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
  explicit HttpPeer(int fd, const std::atomic<bool>* hangs = nullptr)
      : fd_(fd), hangs_(hangs) {}
  ~HttpPeer();
  HttpPeer(const HttpPeer&) = delete;
  HttpPeer& operator=(const HttpPeer&) = delete;

  // Returns null if the connection is refused, or not established within 10 s.
  static std::unique_ptr<HttpPeer> Connect(const std::string& ip,
                                           uint16_t port);

  // Returns false once the peer has closed the connection, or has not read for
  // 10 s.
  bool Send(const std::string& bytes);
  // Returns what was read within `timeout_ms`; empty if that is nothing.
  // Calls `after_piece`, if there is one, after each chunk of a body, and stops
  // when that returns false.
  HttpMessage Read(int timeout_ms,
                   const std::function<bool()>& after_piece = nullptr);
  // Bounds what the system receives before it is read.
  void LimitReceiveBuffer(int bytes);
  // True if the connection has ended, as seen by the last Read() or now.
  bool HasEnded();
  // Waits for `ms` or until the peer closes the connection, which returns true.
  bool WaitForEnd(int ms);
  // Bytes that arrived after the last message.
  size_t surplus_bytes() const { return buffer_.size(); }
  void Close();
  void Reset();  // closes with a TCP reset
  // Ends the connection with a reset. May be called by another thread.
  void Abort();

 private:
  // Waits while nothing passes on the connection. What the peer has sent is
  // lost if it closes the connection meanwhile.
  void WaitWhileHanging();
  bool Fill(int64_t until_ms);
  bool ReadLine(int64_t until_ms, std::string* line);
  bool ReadBytes(int64_t until_ms, size_t size, std::string* bytes);

  std::mutex close_mutex_;  // held while `fd_` is closed
  int fd_;
  const std::atomic<bool>* const hangs_;
  std::string buffer_;
  bool ended_ = false;
};

// Serves each connection on a thread of its own.
class HttpListener {
 public:
  // Listens at a free port if `port` is 0.
  HttpListener(const std::string& ip,
               std::function<void(HttpPeer&)> serve,
               uint16_t port = 0);
  // Stops accepting. Connections that are open are not waited for.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  uint16_t port() const { return port_; }

  // New connections are neither accepted nor refused, and nothing passes on
  // open ones.
  void Hang();
  // New connections are refused.
  void Refuse();
  void ResetConnections();
  // Ends Hang() and Refuse().
  void Heal();

 private:
  // Outlives the listener, as connections may.
  struct Connections {
    std::mutex mutex;
    std::set<HttpPeer*> open;
    std::atomic<bool> hang{false};
  };

  void Accept();

  const std::string ip_;
  const std::function<void(HttpPeer&)> serve_;
  const std::shared_ptr<Connections> connections_ =
      std::make_shared<Connections>();
  uint16_t port_ = 0;  // set while `fd_` is bound
  std::mutex mutex_;   // held while `fd_` changes
  int fd_;             // -1 while connections are refused
  std::vector<int> fillers_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// Returns a port that is free on `ip` and not among `taken`.
uint16_t FindFreePort(const std::string& ip,
                      const std::vector<uint16_t>& taken);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_HTTP_PEER_H_
