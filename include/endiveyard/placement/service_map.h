#ifndef ENDIVEYARD_PLACEMENT_SERVICE_MAP_H_
#define ENDIVEYARD_PLACEMENT_SERVICE_MAP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/customer_table.h"

namespace endiveyard {

// Which requests of a route may be retried. A kind that is unknown to this
// version is treated as kUnsafe, the strictest one.
enum class RouteKind { kSafe, kUnsafe, kStreaming };

// One service of a route with a traffic split. Weights are relative.
struct WeightedService {
  std::string service;
  double weight = 0;

  bool operator==(const WeightedService& other) const;
};

// One entry of the routing table.
struct Route {
  std::string name;
  std::string host;         // lower case, without a port
  std::string path_prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout{};                  // for the whole request
  Duration target_latency{};           // latency objective for goodput
  std::optional<Duration> target_gap;  // longest gap between stream events
  int priority = 0;                    // 0 is the highest
  int max_attempts = 1;                // targets that may run one request
  bool session_affinity = false;       // requests carry a PromptShape
  bool resumable = false;  // a stream may continue on another target
  // Where the configuration has customers: callers need no key.
  bool allow_anonymous = false;
  std::vector<WeightedService> services;  // at least one

  bool operator==(const Route& other) const;
};

// Properties of the engines of a service.
struct EngineTraits {
  int slots = 0;  // requests in one batch
  // Memory for running requests and cached parts, in tokens.
  double kv_tokens = 0;
  double kv_bytes = 0;    // bytes of KV cache per token
  double link_mbps = 0;   // for transfers of KV cache between engines
  Duration handle_ttl{};  // lifetime of an exported KV cache

  bool operator==(const EngineTraits& other) const;
};

// How many replicas of a service may be ordered, and what they cost.
struct AutoscalingTraits {
  // Per failure domain.
  int min_replicas = 0;
  int max_replicas = 0;
  Duration boot_time = std::chrono::seconds(4);
  // Price of a spot replica relative to an on-demand one.
  double spot_price = 1;
  std::map<std::string, double> failure_domain_prices;  // relative

  bool operator==(const AutoscalingTraits& other) const;
};

struct Service {
  std::string name;
  int max_connections = 0;             // per replica, from all callers
  std::optional<EngineTraits> engine;  // absent for plain services
  // Path of a GET request that its replicas answer without running anything.
  std::string probe_path = "/";
  // Absent if the number of replicas is not decided here.
  std::optional<AutoscalingTraits> autoscaling{};

  bool operator==(const Service& other) const;
};

// Largest limit on headers that takes effect: heads are buffered as a whole.
inline constexpr uint32_t kLargestMaxHeaderBytes = 64512;

// Limits on the requests of callers.
struct CallerLimits {
  // Of the head of a request, and of its trailers. Above
  // `kLargestMaxHeaderBytes`, that holds in its place.
  uint32_t max_header_bytes = 16384;
  uint64_t max_body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const CallerLimits& other) const;
};

// The routing table of one version of the configuration.
struct ServiceMap {
  int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  // Absent if callers need no keys.
  std::optional<CustomerTable> customers;

  bool operator==(const ServiceMap& other) const;
};

// Returns the route of `host` with the longest `path_prefix` that matches
// `path`, or nullptr. `host` is case-insensitive and may include a port.
// O(routes).
const Route* FindRoute(const ServiceMap& map,
                       std::string_view host,
                       std::string_view path);

// Returns a service of `route` with a probability proportional to its weight,
// if `point` is uniform in [0, 1). Precondition: the route has a service.
const std::string& PickService(const Route& route, double point);

// Returns the service, or nullptr if it is not in the map.
const Service* FindService(const ServiceMap& map, std::string_view name);

// Returns the time after which callers give up waiting for the first event of a
// stream: two seconds, four times the target latency or eight times the target
// gap, whichever is longest (documented behaviour of the callers). For other
// requests it is the timeout of the route.
Duration FirstOutputTimeout(const Route& route);

// Returns true if more than one target may run a request of the route.
bool IsRetryable(const Route& route);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_SERVICE_MAP_H_
