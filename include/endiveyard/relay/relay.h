#ifndef ENDIVEYARD_RELAY_RELAY_H_
#define ENDIVEYARD_RELAY_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/crash_suspects.h"
#include "endiveyard/placement/forwarding_peers.h"
#include "endiveyard/placement/placer.h"
#include "endiveyard/placement/replica_view.h"
#include "endiveyard/placement/service_map.h"
#include "endiveyard/placement/service_retry_budget.h"
#include "endiveyard/placement/stream_starts.h"
#include "endiveyard/placement/stream_versions.h"
#include "endiveyard/placement/survival_checks.h"
#include "endiveyard/relay/target_call.h"
#include "endiveyard/relay/wire_protocol.h"
#include "endiveyard/telemetry/json_log.h"
#include "endiveyard/telemetry/metrics.h"

namespace endiveyard {

struct RelayOptions {
  std::string ip;
  uint16_t port = 0;
  Location location;
  RetryBound retry_bound;
  // Time within which all instances learn of a change of the replicas.
  Duration max_view_delay = std::chrono::milliseconds(2500);
  // Another process may have used retries at this address until just now.
  bool may_replace_process = false;
  TargetClientOptions target_client;
  // Port at which all instances take requests that others forward; 0 if they
  // do not.
  uint16_t peer_port = 0;
  // Address from which this instance forwards requests, by which the others
  // know it; empty to let the kernel choose.
  std::string peer_ip;
  // Limit on open caller connections. For further ones, idle connections are
  // closed, then those whose request is incomplete. While all have a request in
  // progress, further ones wait in the kernel's accept queue. Two thirds of the
  // file descriptors, which leaves the rest for connections to targets.
  size_t max_connections = 2700;
  // Limit on the total size of buffered request bodies: a quarter of the
  // memory of the smallest machine (160 MB).
  size_t max_body_bytes_in_flight = 40 << 20;
  // Limit on what callers make the process hold, as CallerMemory counts it.
  // Above it, connections of callers are closed.
  size_t max_caller_bytes = 120 << 20;
  // Limit on requests in progress, which take a connection to a target each;
  // further ones are refused as not run.
  size_t max_open_requests = 1000;
  // Idle connections to other instances that are kept.
  size_t max_idle_peer_connections = 400;
  // Size of the kernel's buffer for what a caller has sent and the process has
  // not read, which counts toward the memory of the machine. 0 for the
  // kernel's choice.
  size_t caller_receive_buffer = 0;
  // As above, for what was sent to a caller that has not acknowledged it.
  size_t caller_send_buffer = 0;
  // Requests that arrive before the routing state is complete are held for up
  // to this long after startup. Loading the lists from the registry takes 20 to
  // 100 ms, which is less than a retry by the caller would take.
  Duration startup_wait = std::chrono::milliseconds(500);
  // Time for which the end of a response that ends with its connection waits
  // for a sign that the target outlived it.
  Duration end_check_limit = SurvivalChecks::kTimeLimit;
  // Time within which a target that answers has registered.
  Duration registration_time = SurvivalChecks::kRegistrationTime;
  // Requests that arrive after a standstill of the process are held for up to
  // this long until the routing state is recent again.
  Duration news_wait = std::chrono::milliseconds(300);
};

// The routing state is recent if all news that had arrived this long ago are
// applied.
inline constexpr Duration kMaxNewsAge = std::chrono::milliseconds(500);

// Routes and replicas that the relay routes by. The owner keeps it current and
// calls Relay::OnRoutingStateChanged() after each change.
struct RoutingState {
  std::shared_ptr<const ServiceMap> service_map;  // null until one is known
  // True while the map is known to be the latest version.
  bool service_map_current = false;
  // True while the map is known to be older than the one that other instances
  // have in force, so that its keys may have been withdrawn.
  bool service_map_behind = false;
  ReplicaView replicas;
  bool replicas_known = false;  // set by the first complete list
  // Brings `replicas` up to date. `done` runs once, later or at once: with true
  // if they include all changes that any instance may have acted on before the
  // call. If it is empty, they always do.
  std::function<void(std::function<void(bool is_current)> done)>
      refresh_replicas;
  // Reads what instances have recorded of their streams into the
  // StreamVersions of the relay. `done` runs once, later or at once. Empty if
  // nothing is recorded.
  std::function<void(std::function<void()> done)> read_stream_records;

  // Called for each request of a customer whose first output goes to the
  // caller, once. Empty if usage is not counted.
  std::function<void(const std::string& customer)> on_run_started;

  // When all news that had arrived were applied; always, if it is empty.
  std::optional<TimePoint> news_applied_at;

  bool IsComplete() const { return service_map != nullptr && replicas_known; }
  bool IsRecent(TimePoint now) const {
    return !news_applied_at || now - *news_applied_at <= kMaxNewsAge;
  }
};

// Reverse proxy between callers and targets: reads requests, selects targets
// and forwards their responses. Single-threaded: all calls come from the thread
// that runs `io`.
class Relay {
 public:
  Relay(boost::asio::io_context& io,
        const RelayOptions& options,
        const WireProtocol& protocol,
        RoutingState* routing_state,
        JsonLog* log,
        Metrics* metrics);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Binds to the configured address and starts accepting connections. Errors:
  // kUnavailable.
  absl::Status Listen();
  uint16_t port() const;
  // Starts taking requests that other instances forward. Errors: kUnavailable.
  absl::Status ListenForPeers(const std::string& ip, uint16_t port);
  uint16_t peer_port() const;
  // Returns false if no target can be connected to.
  bool HasLinks() const;
  // Returns true if this instance has its links, and room for connections of
  // others.
  bool TakesForwardedRequests() const;
  // The same while draining, as long as others hear in time that it is over.
  bool TakesLastForwardedRequests() const;
  // Sets the region as peers state it, see ForwardingState.
  void set_own_region(uint16_t region);

  // Applies a change of the routing state: drops the loads of replicas that are
  // no longer registered and, once the state is complete, resumes the requests
  // that were held for it.
  void OnRoutingStateChanged();

  // Selects the targets. Exposed for the load exchange with other instances.
  Placer* placer();
  StreamVersions* stream_versions();
  StreamStarts* stream_starts();
  // Finds requests that crash replicas. Exposed for the load exchange.
  CrashSuspects* crash_suspects();
  // The instances that requests are forwarded to while no target can be
  // reached. Exposed for the load exchange.
  ForwardingPeers* forwarding_peers();

  // Starts a graceful shutdown. Responses sent from now on close their
  // connection. After `drain_delay`, by which time the platform's load balancer
  // has stopped sending new callers, the listener and idle connections are
  // closed, and requests whose timeout reaches beyond `deadline` are rejected
  // with 503 before they run. Forwarded ones are rejected so at once, with 421:
  // their sender may know another instance. At `deadline`, requests that are
  // still open are answered: with 503 if they have not run, with 502 if they
  // may have. A response that has begun is broken off.
  void StartDraining(Duration drain_delay, TimePoint deadline);
  size_t open_exchanges() const;
  size_t open_connections() const;
  // Bytes that callers make the process hold.
  size_t caller_bytes() const;
  // Returns how many bytes were freed by closing connections since the last
  // call.
  size_t TakeFreedCallerBytes();
  void set_retry_bound(RetryBound bound);
  // Sets the number of instances that share the retry bound.
  void set_instance_count(size_t instances);
  // Sets the number of instances that are heard.
  void SetHeardCount(size_t instances);
  // Sets until when all others count this instance among these.
  void SetCountedUntil(TimePoint until);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_RELAY_RELAY_H_
