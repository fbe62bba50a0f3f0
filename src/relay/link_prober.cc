#include "relay/link_prober.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Time between two rounds while the links are lost. Each round costs up to
// three connections, and callers wait for the detour until one succeeds.
constexpr Duration kProbeInterval = std::chrono::milliseconds(250);

}  // namespace

struct LinkProber::Probe {
  explicit Probe(asio::io_context& io) : socket(io), timer(io) {}

  std::string address;
  tcp::socket socket;
  asio::steady_timer timer;
  bool finished = false;
};

LinkProber::LinkProber(asio::io_context& io,
                       const RoutingState& routing_state,
                       Duration connect_timeout,
                       LinkMonitor* monitor,
                       std::function<void()> on_changed)
    : io_(io),
      routing_state_(routing_state),
      connect_timeout_(connect_timeout),
      monitor_(*monitor),
      on_changed_(std::move(on_changed)),
      pause_timer_(io) {}

void LinkProber::Start() {
  if (round_in_progress_ || stopped_) {
    return;
  }
  round_in_progress_ = true;
  ++round_;
  const std::vector<std::string> targets = ChooseTargets();
  // Counts the loop below as a probe, so that the round does not end in it.
  open_probes_ = 1;
  for (const std::string& it : targets) {
    Connect(it);
  }
  if (--open_probes_ == 0) {
    FinishRound();
  }
}

void LinkProber::Stop() {
  stopped_ = true;
  pause_timer_.cancel();
}

std::vector<std::string> LinkProber::ChooseTargets() const {
  std::map<std::string, std::vector<std::pair<bool, std::string>>> by_service;
  std::map<std::string, uint64_t> order;
  for (const Replica* it : routing_state_.replicas.Usable()) {
    const std::string address = AddressOf(*it);
    order[address] = Digest64(address, round_);
    by_service[it->service].emplace_back(!monitor_.IsUntried(address), address);
  }
  for (auto& [service, targets] : by_service) {
    std::sort(targets.begin(), targets.end(),
              [&order](const auto& a, const auto& b) {
                return std::make_pair(a.first, order[a.second]) <
                       std::make_pair(b.first, order[b.second]);
              });
  }
  // Each round begins with another service, since there may be more of them
  // than probes.
  std::vector<const std::vector<std::pair<bool, std::string>>*> services;
  services.reserve(by_service.size());
  for (const auto& [service, targets] : by_service) {
    services.push_back(&targets);
  }
  if (!services.empty()) {
    std::rotate(services.begin(),
                services.begin() +
                    static_cast<std::ptrdiff_t>(round_ % services.size()),
                services.end());
  }
  std::vector<std::string> chosen;
  for (size_t n = 0; chosen.size() < LinkMonitor::kFailedProbesBeforeLoss;
       ++n) {
    const size_t before = chosen.size();
    for (const auto* targets : services) {
      if (n < targets->size() &&
          chosen.size() < LinkMonitor::kFailedProbesBeforeLoss) {
        chosen.push_back((*targets)[n].second);
      }
    }
    if (chosen.size() == before) {
      break;
    }
  }
  return chosen;
}

void LinkProber::Connect(const std::string& address) {
  error_code ec;
  const size_t colon = address.rfind(':');
  const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
  auto probe = std::make_shared<Probe>(io_);
  probe->address = address;
  if (!ec) {
    probe->socket.open(ip.is_v6() ? tcp::v6() : tcp::v4(), ec);
  }
  if (ec) {
    return;  // says nothing about the links
  }
  ++open_probes_;
  probe->timer.expires_after(connect_timeout_);
  probe->timer.async_wait([self = shared_from_this(), probe](error_code wait) {
    if (!wait) {
      self->Finish(probe, false);
    }
  });
  const auto port = static_cast<uint16_t>(
      std::strtoul(address.substr(colon + 1).c_str(), nullptr, 10));
  probe->socket.async_connect(
      tcp::endpoint(ip, port),
      [self = shared_from_this(), probe](error_code connect_ec) {
        self->Finish(probe, !connect_ec);
      });
}

void LinkProber::Finish(const std::shared_ptr<Probe>& probe, bool connected) {
  if (std::exchange(probe->finished, true) || stopped_) {
    return;
  }
  probe->timer.cancel();
  error_code ec;
  probe->socket.close(ec);
  if (monitor_.RecordProbe(probe->address, connected, BootClock::now())) {
    on_changed_();
  }
  if (--open_probes_ == 0) {
    FinishRound();
  }
}

void LinkProber::FinishRound() {
  round_in_progress_ = false;
  if (stopped_ || monitor_.state() == LinkMonitor::State::kConnected) {
    return;
  }
  pause_timer_.expires_after(kProbeInterval);
  pause_timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec && self->monitor_.state() != LinkMonitor::State::kConnected) {
      self->Start();
    }
  });
}

}  // namespace endiveyard
