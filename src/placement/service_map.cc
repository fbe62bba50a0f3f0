#include "endiveyard/placement/service_map.h"

#include <algorithm>
#include <cctype>
#include <tuple>

namespace endiveyard {
namespace {

std::string LowerCaseWithoutPort(std::string_view host) {
  std::string name;
  for (const char c : host.substr(0, host.find(':'))) {
    name.push_back(
        static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
  }
  return name;
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

auto AsTuple(const Route& it) {
  return std::tie(it.name, it.host, it.path_prefix, it.kind, it.timeout,
                  it.target_latency, it.target_gap, it.priority,
                  it.max_attempts, it.session_affinity, it.resumable,
                  it.allow_anonymous, it.services);
}

}  // namespace

bool WeightedService::operator==(const WeightedService& other) const {
  return service == other.service && weight == other.weight;
}

bool Route::operator==(const Route& other) const {
  return AsTuple(*this) == AsTuple(other);
}

bool EngineTraits::operator==(const EngineTraits& other) const {
  return std::tie(slots, kv_tokens, kv_bytes, link_mbps, handle_ttl) ==
         std::tie(other.slots, other.kv_tokens, other.kv_bytes, other.link_mbps,
                  other.handle_ttl);
}

bool AutoscalingTraits::operator==(const AutoscalingTraits& other) const {
  return std::tie(min_replicas, max_replicas, boot_time, spot_price,
                  failure_domain_prices) ==
         std::tie(other.min_replicas, other.max_replicas, other.boot_time,
                  other.spot_price, other.failure_domain_prices);
}

bool Service::operator==(const Service& other) const {
  return std::tie(name, probe_path, max_connections, engine, autoscaling) ==
         std::tie(other.name, other.probe_path, other.max_connections,
                  other.engine, other.autoscaling);
}

bool CallerLimits::operator==(const CallerLimits& other) const {
  return std::tie(max_header_bytes, max_body_bytes, header_timeout,
                  idle_timeout) ==
         std::tie(other.max_header_bytes, other.max_body_bytes,
                  other.header_timeout, other.idle_timeout);
}

bool ServiceMap::operator==(const ServiceMap& other) const {
  return std::tie(version, routes, services, limits, customers) ==
         std::tie(other.version, other.routes, other.services, other.limits,
                  other.customers);
}

const Route* FindRoute(const ServiceMap& map,
                       std::string_view host,
                       std::string_view path) {
  const std::string name = LowerCaseWithoutPort(host);
  const Route* best = nullptr;
  for (const Route& it : map.routes) {
    if (it.host == name && StartsWith(path, it.path_prefix) &&
        (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

const std::string& PickService(const Route& route, double point) {
  double total = 0;
  for (const WeightedService& it : route.services) {
    total += it.weight;
  }
  double remaining = point * total;
  for (const WeightedService& it : route.services) {
    remaining -= it.weight;
    if (remaining < 0) {
      return it.service;
    }
  }
  return route.services.back().service;
}

const Service* FindService(const ServiceMap& map, std::string_view name) {
  for (const Service& it : map.services) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

Duration FirstOutputTimeout(const Route& route) {
  if (route.kind != RouteKind::kStreaming) {
    return route.timeout;
  }
  constexpr Duration kMinTimeout = std::chrono::seconds(2);
  constexpr int kTargetLatencyFactor = 4;
  constexpr int kTargetGapFactor = 8;
  return std::max({kMinTimeout, kTargetLatencyFactor * route.target_latency,
                   kTargetGapFactor * route.target_gap.value_or(Duration(0))});
}

bool IsRetryable(const Route& route) {
  return route.kind == RouteKind::kSafe ||
         (route.kind == RouteKind::kStreaming && route.resumable);
}

}  // namespace endiveyard
