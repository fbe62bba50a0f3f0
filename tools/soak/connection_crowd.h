#ifndef ENDIVEYARD_TOOLS_SOAK_CONNECTION_CROWD_H_
#define ENDIVEYARD_TOOLS_SOAK_CONNECTION_CROWD_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace endiveyard::soak {

// Connections that are idle, or send a head or a body slowly and never whole.
// Those that end are opened again.
class ConnectionCrowd {
 public:
  ConnectionCrowd(std::vector<std::pair<std::string, uint16_t>> addresses,
                  int connections);
  ~ConnectionCrowd();
  ConnectionCrowd(const ConnectionCrowd&) = delete;
  ConnectionCrowd& operator=(const ConnectionCrowd&) = delete;

  // Most connections that were open at a time.
  int most_open() const { return most_open_; }

 private:
  void Run();

  const std::vector<std::pair<std::string, uint16_t>> addresses_;
  const int connections_;
  std::atomic<int> most_open_{0};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_CONNECTION_CROWD_H_
