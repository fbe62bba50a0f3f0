#include "endiveyard/relay/relay.h"

#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "relay/caller_connection.h"
#include "relay/open_acceptor.h"
#include "relay/relay_context.h"
#include "relay/relay_exchange.h"

namespace endiveyard {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Pause before accepting again after the connection limit was reached or an
// accept failed.
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

}  // namespace

class Relay::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(std::shared_ptr<RelayContext> context)
      : context_(std::move(context)),
        acceptor_(context_->io),
        accept_timer_(context_->io),
        drain_timer_(context_->io),
        exit_timer_(context_->io) {}

  absl::Status Listen() {
    absl::Status status =
        OpenAcceptor(acceptor_, context_->options.ip, context_->options.port);
    if (!status.ok()) {
      return status;
    }
    context_->startup_deadline =
        BootClock::now() + context_->options.startup_wait;
    Accept();
    return absl::OkStatus();
  }

  uint16_t port() const {
    error_code ec;
    return acceptor_.local_endpoint(ec).port();
  }

  void StartDraining(Duration drain_delay, TimePoint deadline) {
    context_->draining = true;
    context_->drain_deadline = deadline;
    drain_timer_.expires_after(drain_delay);
    drain_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->StopAccepting();
        self->CloseIdleConnections();
      }
    });
    exit_timer_.expires_after(
        std::chrono::duration_cast<Duration>(deadline - BootClock::now()));
    exit_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->EndExchanges();
      }
    });
  }

  // Closes all connections. Connections and their exchanges refer to each
  // other, so that they would outlive the relay.
  void Close() {
    StopAccepting();
    for (const auto& it : connections_) {
      if (const auto connection = it.lock()) {
        connection->Drop();
      }
    }
  }

  RelayContext& context() { return *context_; }

 private:
  void Accept() {
    if (context_->open_connections >= context_->options.max_connections) {
      AcceptAfterPause();
      return;
    }
    acceptor_.async_accept([self = shared_from_this()](error_code ec,
                                                       tcp::socket socket) {
      if (!self->acceptor_.is_open()) {
        return;
      }
      if (ec) {
        self->AcceptAfterPause();
        return;
      }
      auto connection =
          std::make_shared<CallerConnection>(self->context_, std::move(socket));
      self->TrackConnection(connection);
      connection->Start();
      self->Accept();
    });
  }

  void AcceptAfterPause() {
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->Accept();
      }
    });
  }

  void TrackConnection(const std::shared_ptr<CallerConnection>& connection) {
    constexpr size_t kMinCleanupSize = 64;
    if (connections_.size() >=
        std::max(kMinCleanupSize, 2 * context_->open_connections)) {
      std::vector<std::weak_ptr<CallerConnection>> open;
      for (const auto& it : connections_) {
        if (!it.expired()) {
          open.push_back(it);
        }
      }
      connections_ = std::move(open);
    }
    connections_.push_back(connection);
  }

  void StopAccepting() {
    context_->rejects_long_requests = true;
    error_code ec;
    acceptor_.close(ec);
    accept_timer_.cancel();
  }

  void EndExchanges() {
    StopAccepting();
    for (const auto& it : connections_) {
      if (const auto connection = it.lock()) {
        connection->EndForShutdown();
      }
    }
  }

  void CloseIdleConnections() {
    for (const auto& it : connections_) {
      if (const auto connection = it.lock()) {
        connection->CloseIfIdle();
      }
    }
    // Connections that are busy now are closed once they are idle.
    constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(500);
    drain_timer_.expires_after(kIdleCheckInterval);
    drain_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->CloseIdleConnections();
      }
    });
  }

  std::shared_ptr<RelayContext> context_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer drain_timer_;
  asio::steady_timer exit_timer_;
  std::vector<std::weak_ptr<CallerConnection>> connections_;
};

Relay::Relay(asio::io_context& io,
             const RelayOptions& options,
             const WireProtocol& protocol,
             RoutingState* routing_state,
             JsonLog* log,
             Metrics* metrics)
    : impl_(std::make_shared<Impl>(std::make_shared<RelayContext>(io,
                                                                  options,
                                                                  protocol,
                                                                  routing_state,
                                                                  log,
                                                                  metrics))) {}

Relay::~Relay() {
  impl_->Close();
}

absl::Status Relay::Listen() {
  return impl_->Listen();
}

uint16_t Relay::port() const {
  return impl_->port();
}

void Relay::OnRoutingStateChanged() {
  RelayContext& context = impl_->context();
  context.placer.Retain(context.routing_state.replicas,
                        context.routing_state.service_map.get());
  if (context.routing_state.replicas_known) {
    context.stream_versions.RecordReplicas(context.routing_state.replicas,
                                           BootClock::now());
  }
  if (!context.routing_state.IsComplete()) {
    return;
  }
  std::vector<std::weak_ptr<RelayExchange>> held_exchanges;
  held_exchanges.swap(context.exchanges_awaiting_routing_state);
  for (const auto& it : held_exchanges) {
    if (const auto exchange = it.lock()) {
      exchange->StopAwaitingRoutingState();
    }
  }
}

Placer* Relay::placer() {
  return &impl_->context().placer;
}

StreamVersions* Relay::stream_versions() {
  return &impl_->context().stream_versions;
}

CrashSuspects* Relay::crash_suspects() {
  return &impl_->context().crash_suspects;
}

void Relay::StartDraining(Duration drain_delay, TimePoint deadline) {
  impl_->StartDraining(drain_delay, deadline);
}

size_t Relay::open_exchanges() const {
  return impl_->context().open_exchanges;
}

size_t Relay::open_connections() const {
  return impl_->context().open_connections;
}

void Relay::set_retry_bound(RetryBound bound) {
  impl_->context().retry_budget.set_bound(bound);
}

void Relay::set_instance_count(size_t instances) {
  impl_->context().retry_budget.RecordInstanceCount(instances,
                                                    BootClock::now());
}

}  // namespace endiveyard
