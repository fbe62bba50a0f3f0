#ifndef ENDIVEYARD_SRC_RELAY_RELAY_CONTEXT_H_
#define ENDIVEYARD_SRC_RELAY_RELAY_CONTEXT_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "endiveyard/base/digest.h"
#include "endiveyard/placement/caller_patience.h"
#include "endiveyard/placement/crash_suspects.h"
#include "endiveyard/placement/customer_shares.h"
#include "endiveyard/placement/event_steps.h"
#include "endiveyard/placement/forwarding_peers.h"
#include "endiveyard/placement/link_monitor.h"
#include "endiveyard/placement/stream_starts.h"
#include "endiveyard/placement/stream_versions.h"
#include "endiveyard/relay/relay.h"
#include "endiveyard/telemetry/log_interval.h"
#include "relay/caller_memory.h"
#include "relay/survival_prober.h"

namespace endiveyard {

class RelayExchange;

// State shared by all exchanges and connections of a relay.
struct RelayContext {
  RelayContext(boost::asio::io_context& io,
               const RelayOptions& options,
               const WireProtocol& protocol,
               RoutingState* routing_state,
               JsonLog* log,
               Metrics* metrics)
      : io(io),
        options(options),
        protocol(protocol),
        routing_state(*routing_state),
        log(*log),
        metrics(*metrics),
        placer(options.location),
        retry_budget(options.retry_bound),
        caller_memory(options.max_caller_bytes),
        open_requests(options.max_open_requests),
        target_client(io, protocol, options.target_client),
        peer_client(io, protocol, MakePeerClientOptions(options)),
        survival_prober(std::make_shared<SurvivalProber>(
            io,
            protocol,
            links,
            &target_client,
            &placer,
            SurvivalChecks(options.end_check_limit,
                           options.registration_time))) {
    placer.availability().set_seed(Digest64(options.ip, options.port));
    if (options.may_replace_process) {
      retry_budget.RecordStart(BootClock::now());
    }
  }

  static TargetClientOptions MakePeerClientOptions(
      const RelayOptions& options) {
    TargetClientOptions peer_options = options.target_client;
    peer_options.max_idle_connections = options.max_idle_peer_connections;
    peer_options.local_ip = options.peer_ip;
    return peer_options;
  }

  boost::asio::io_context& io;
  const RelayOptions options;
  const WireProtocol& protocol;
  RoutingState& routing_state;
  JsonLog& log;
  Metrics& metrics;
  Placer placer;
  std::map<std::string, CustomerShares> customer_shares;  // by service
  CrashSuspects crash_suspects;
  // Replicas that closed the connection of a call and are checked for whether
  // they live, by EngineKey().
  struct CrashCheck {
    Replica replica;
    TimePoint begun_at{};
    uint64_t survival_check = 0;
  };
  std::map<uint64_t, CrashCheck> crash_checks;
  // When refusals of crashing requests were last logged as an event of the
  // process.
  std::optional<TimePoint> crashing_requests_logged_at;
  // Limits the log lines about headers of a replica that cannot be read.
  LogInterval invalid_headers_log{std::chrono::minutes(1)};
  // Limits the log lines about requests that are refused for their key.
  LogInterval refused_keys_log{std::chrono::seconds(10)};
  // Limits the log lines about callers that are closed or refused.
  LogInterval shed_callers_log{std::chrono::seconds(10)};
  ServiceRetryBudget retry_budget;
  CallerMemory caller_memory;
  OpenRequests open_requests;
  // Since it was last reset: bytes of connections that were closed to free
  // memory.
  size_t freed_caller_bytes = 0;
  bool closes_callers = false;  // in the next iteration of the event loop
  StreamVersions stream_versions;
  StreamStarts stream_starts;
  EventSteps event_steps;
  CallerPatience caller_patience;
  LinkMonitor links;
  ForwardingPeers forwarding_peers;
  uint16_t own_region = 0;
  TargetClient target_client;
  TargetClient peer_client;  // to other instances
  std::shared_ptr<SurvivalProber> survival_prober;
  bool draining = false;
  // Set while draining, once the drain delay is over.
  bool rejects_long_requests = false;
  TimePoint drain_deadline{};
  TimePoint last_forwarded_until{};  // while draining
  // Requests wait until this time for the first complete routing state.
  TimePoint startup_deadline{};
  std::vector<std::weak_ptr<RelayExchange>> exchanges_awaiting_routing_state;
  size_t open_exchanges = 0;
  size_t open_connections = 0;
  size_t buffered_body_bytes = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_RELAY_CONTEXT_H_
