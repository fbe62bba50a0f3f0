#include "endiveyard/relay/relay.h"

#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "endiveyard/telemetry/log_event_numbers.h"
#include "relay/caller_connection.h"
#include "relay/link_prober.h"
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
// Other instances hear of a change within this time, unless they are many. It
// lies between the last statement that forwarded requests are taken and the end
// of their listener.
constexpr Duration kStatementTime = std::chrono::milliseconds(600);

}  // namespace

class Relay::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(std::shared_ptr<RelayContext> context)
      : context_(std::move(context)),
        callers_(context_->io, CallerKind::kCaller),
        peers_(context_->io, CallerKind::kPeer),
        drain_timer_(context_->io),
        exit_timer_(context_->io) {}

  void WatchLinks() {
    const std::weak_ptr<Impl> weak = weak_from_this();
    link_prober_ = std::make_shared<LinkProber>(
        context_->io, context_->routing_state,
        context_->options.target_client.connect_timeout, &context_->links,
        [weak] {
          if (const auto self = weak.lock()) {
            self->HandleLinkChange();
          }
        });
    context_->target_client.set_connect_observer(
        [weak](const std::string& address, bool connected) {
          const auto self = weak.lock();
          if (self && self->context_->links.RecordConnect(address, connected)) {
            self->HandleLinkChange();
          }
        });
  }

  absl::Status Listen() {
    absl::Status status = OpenAcceptor(callers_.acceptor, context_->options.ip,
                                       context_->options.port);
    if (!status.ok()) {
      return status;
    }
    context_->startup_deadline =
        BootClock::now() + context_->options.startup_wait;
    Accept(&callers_);
    return absl::OkStatus();
  }

  absl::Status ListenForPeers(const std::string& ip, uint16_t port) {
    absl::Status status = OpenAcceptor(peers_.acceptor, ip, port);
    if (status.ok()) {
      Accept(&peers_);
    }
    return status;
  }

  uint16_t port() const { return callers_.port(); }
  uint16_t peer_port() const { return peers_.port(); }

  void StartDraining(Duration drain_delay, TimePoint deadline) {
    context_->draining = true;
    context_->drain_deadline = deadline;
    context_->last_forwarded_until =
        BootClock::now() + drain_delay - kStatementTime;
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
    link_prober_->Stop();
    context_->survival_prober->Stop();
    StopAccepting();
    for (const auto& it : connections_) {
      if (const auto connection = it.lock()) {
        connection->Drop();
      }
    }
  }

  RelayContext& context() { return *context_; }

 private:
  struct Listener {
    Listener(asio::io_context& io, CallerKind kind)
        : kind(kind), acceptor(io), pause_timer(io) {}

    uint16_t port() const {
      error_code ec;
      return acceptor.local_endpoint(ec).port();
    }
    void Close() {
      error_code ec;
      acceptor.close(ec);
      pause_timer.cancel();
    }

    const CallerKind kind;
    tcp::acceptor acceptor;
    asio::steady_timer pause_timer;
  };

  void Accept(Listener* listener) {
    if (!MayAccept()) {
      AcceptAfterPause(listener);
      return;
    }
    listener->acceptor.async_accept([self = shared_from_this(), listener](
                                        error_code ec, tcp::socket socket) {
      if (!listener->acceptor.is_open()) {
        return;
      }
      if (ec) {
        self->AcceptAfterPause(listener);
        return;
      }
      self->StartConnection(listener->kind, std::move(socket));
      self->AcceptWaiting(listener);
      self->Accept(listener);
    });
  }

  // Accepts further connections that wait already. One in each iteration of the
  // event loop would let the queue of the kernel fill up while many connections
  // are busy.
  void AcceptWaiting(Listener* listener) {
    constexpr int kMaxAtOnce = 128;
    error_code ec;
    listener->acceptor.non_blocking(true, ec);
    for (int n = 0; n < kMaxAtOnce && !ec && MayAccept(); ++n) {
      tcp::socket socket(context_->io);
      listener->acceptor.accept(socket, ec);
      if (!ec) {
        StartConnection(listener->kind, std::move(socket));
      }
    }
  }

  bool MayAccept() const {
    // Connections whose refusal is still being written count as open.
    constexpr size_t kMaxClosing = 32;
    const size_t open = context_->open_connections;
    const size_t limit = context_->options.max_connections;
    return open < limit || (open < limit + kMaxClosing &&
                            context_->caller_memory.ChooseForNewConnection(
                                BootClock::now()) != nullptr);
  }

  void StartConnection(CallerKind kind, tcp::socket socket) {
    if (context_->open_connections >= context_->options.max_connections) {
      CloseForNewConnection();
    }
    auto connection =
        std::make_shared<CallerConnection>(context_, std::move(socket), kind);
    TrackConnection(connection);
    connection->Start();
  }

  void CloseForNewConnection() {
    CallerMemoryHolder* const holder =
        context_->caller_memory.ChooseForNewConnection(BootClock::now());
    if (holder == nullptr) {
      return;  // at most one connection above the limit
    }
    static_cast<CallerConnection*>(holder)->shared_from_this()->Shed();
    context_->metrics.CountCallerClosed("connections");
    const TimePoint now = BootClock::now();
    if (context_->shed_callers_log.Allow(kLogCallersClosedForConnections,
                                         now)) {
      JsonFields fields;
      fields.Integer("open", static_cast<int64_t>(context_->open_connections));
      context_->log.Log(kLogCallersClosedForConnections, fields, now);
    }
  }

  void AcceptAfterPause(Listener* listener) {
    listener->pause_timer.expires_after(kAcceptPause);
    listener->pause_timer.async_wait(
        [self = shared_from_this(), listener](error_code ec) {
          if (!ec) {
            self->Accept(listener);
          }
        });
  }

  void HandleLinkChange() {
    const TimePoint now = BootClock::now();
    const bool lost = context_->links.state() == LinkMonitor::State::kLost;
    if (lost != std::exchange(links_lost_, lost)) {
      JsonFields fields;
      fields.Integer("open", static_cast<int64_t>(context_->open_exchanges));
      context_->log.Log(lost ? kLogTargetLinksLost : kLogTargetLinksRegained,
                        fields, now);
    }
    if (context_->links.state() != LinkMonitor::State::kConnected) {
      link_prober_->Start();
    }
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
    callers_.Close();
    peers_.Close();
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
  Listener callers_;
  Listener peers_;
  std::shared_ptr<LinkProber> link_prober_;
  bool links_lost_ = false;
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
                                                                  metrics))) {
  impl_->WatchLinks();
}

Relay::~Relay() {
  impl_->Close();
}

absl::Status Relay::Listen() {
  return impl_->Listen();
}

uint16_t Relay::port() const {
  return impl_->port();
}

absl::Status Relay::ListenForPeers(const std::string& ip, uint16_t port) {
  return impl_->ListenForPeers(ip, port);
}

uint16_t Relay::peer_port() const {
  return impl_->peer_port();
}

bool Relay::HasLinks() const {
  return impl_->context().links.state() != LinkMonitor::State::kLost;
}

bool Relay::TakesForwardedRequests() const {
  constexpr double kConnectionShare = 0.9;
  const RelayContext& context = impl_->context();
  return HasLinks() &&
         static_cast<double>(context.open_connections) <
             kConnectionShare *
                 static_cast<double>(context.options.max_connections);
}

bool Relay::TakesLastForwardedRequests() const {
  return impl_->context().draining && TakesForwardedRequests() &&
         BootClock::now() < impl_->context().last_forwarded_until;
}

void Relay::set_own_region(uint16_t region) {
  impl_->context().own_region = region;
}

void Relay::OnRoutingStateChanged() {
  RelayContext& context = impl_->context();
  context.links.set_target_count(context.routing_state.replicas.size());
  context.placer.Retain(context.routing_state.replicas,
                        context.routing_state.service_map.get());
  if (context.routing_state.replicas_known) {
    context.placer.call_limits().RecordReplicas(context.routing_state.replicas,
                                                BootClock::now());
    context.stream_versions.RecordReplicas(context.routing_state.replicas,
                                           BootClock::now());
  }
  if (!context.routing_state.IsComplete() ||
      !context.routing_state.IsRecent(BootClock::now())) {
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

StreamStarts* Relay::stream_starts() {
  return &impl_->context().stream_starts;
}

CrashSuspects* Relay::crash_suspects() {
  return &impl_->context().crash_suspects;
}

ForwardingPeers* Relay::forwarding_peers() {
  return &impl_->context().forwarding_peers;
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

size_t Relay::caller_bytes() const {
  return impl_->context().caller_memory.total();
}

size_t Relay::TakeFreedCallerBytes() {
  return std::exchange(impl_->context().freed_caller_bytes, 0);
}

void Relay::set_retry_bound(RetryBound bound) {
  impl_->context().retry_budget.set_bound(bound);
}

void Relay::set_instance_count(size_t instances) {
  impl_->context().retry_budget.RecordInstanceCount(instances,
                                                    BootClock::now());
}

void Relay::SetHeardCount(size_t instances) {
  impl_->context().retry_budget.RecordHeardCount(instances);
}

void Relay::SetCountedUntil(TimePoint until) {
  impl_->context().retry_budget.RecordCounted(until, BootClock::now());
}

}  // namespace endiveyard
