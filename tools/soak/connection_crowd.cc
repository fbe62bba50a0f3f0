#include "soak/connection_crowd.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "soak/http_peer.h"
#include "soak/soak_configuration.h"

namespace endiveyard::soak {
namespace {

enum class Pace { kIdle, kSlowHead, kSlowBody, kCount };

std::string BeginOf(Pace pace, size_t number) {
  const std::string head =
      "POST /lookup/crowd HTTP/1.1\r\nHost: " + std::string(kHost) +
      "\r\nEndiveyard-Request-Id: crowd-" + std::to_string(number) + "\r\n";
  switch (pace) {
    case Pace::kSlowHead:
      return head + "X-Long: ";
    case Pace::kSlowBody:
      return head + "Content-Length: 4000000\r\n\r\n";
    default:
      return "";
  }
}

}  // namespace

ConnectionCrowd::ConnectionCrowd(
    std::vector<std::pair<std::string, uint16_t>> addresses,
    int connections)
    : addresses_(std::move(addresses)),
      connections_(connections),
      thread_([this] { Run(); }) {}

ConnectionCrowd::~ConnectionCrowd() {
  stopped_ = true;
  thread_.join();
}

void ConnectionCrowd::Run() {
  constexpr int kRoundMs = 200;
  std::vector<std::unique_ptr<HttpPeer>> peers(
      static_cast<size_t>(connections_));
  while (!stopped_) {
    int open = 0;
    for (size_t n = 0; n < peers.size() && !stopped_; ++n) {
      const auto pace =
          static_cast<Pace>(n % static_cast<size_t>(Pace::kCount));
      std::unique_ptr<HttpPeer>& peer = peers[n];
      if (!peer || peer->HasEnded()) {
        const auto& [ip, port] = addresses_[n % addresses_.size()];
        peer = HttpPeer::Connect(ip, port);
        if (peer && !peer->Send(BeginOf(pace, n))) {
          peer.reset();
        }
      } else if (pace != Pace::kIdle && !peer->Send("x")) {
        peer.reset();
      }
      open += peer ? 1 : 0;
    }
    most_open_ = std::max<int>(most_open_, open);
    SleepMs(kRoundMs);
  }
}

}  // namespace endiveyard::soak
