#ifndef ENDIVEYARD_TESTS_CLIENTS_CROWD_H_
#define ENDIVEYARD_TESTS_CLIENTS_CROWD_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace endiveyard {

// What each connection of a crowd does. A connection that the process closes is
// opened again after a pause, so that the crowd keeps its size.
struct CrowdOptions {
  uint16_t port = 0;  // on 127.0.0.1
  size_t connections = 0;
  std::string head;         // sent first
  std::string block = "x";  // sent again and again after the head
  size_t block_bytes = 0;   // that are sent of it
  size_t piece_bytes = 65536;
  int pause_ms = 0;           // of each connection after each piece
  bool reads = false;         // what the process sends; else it is left unread
  size_t read_bytes = 65536;  // at once, with `pause_ms` between
  bool half_closes = false;   // after the last byte
};

// Connections that send without waiting for each other, on one thread.
class Crowd {
 public:
  explicit Crowd(CrowdOptions options);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Returns true once connections were opened and nothing could be sent for a
  // while. Crowds that always have something to send never reach that.
  bool IsAtHeight() const { return at_height_; }

 private:
  struct Client {
    int fd = -1;
    bool connected = false;
    bool ended = false;  // its own side
    size_t sent = 0;
    int64_t next_ms = 0;  // of the next attempt, piece or read
  };

  void Run();
  void Open(Client& client, int64_t now_ms);
  void Close(Client& client, int64_t now_ms);
  // Returns false if the connection has ended.
  bool Send(Client& client, int64_t now_ms);
  bool Receive(Client& client, int64_t now_ms);
  size_t total_bytes() const {
    return options_.head.size() + options_.block_bytes;
  }

  const CrowdOptions options_;
  std::string blocks_;  // repeated block, of at least `piece_bytes`
  std::vector<Client> clients_;
  int64_t last_sent_ms_ = 0;
  std::atomic<bool> at_height_{false};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TESTS_CLIENTS_CROWD_H_
