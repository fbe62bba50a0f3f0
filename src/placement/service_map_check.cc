#include "endiveyard/placement/service_map_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace endiveyard {
namespace {

using Findings = std::vector<ConfigurationFinding>;

// Collects the findings about one entry.
class Entry {
 public:
  Entry(std::string subject, Findings* findings)
      : subject_(std::move(subject)), findings_(*findings) {}

  void Error(bool is_wrong, std::string text) {
    Add(is_wrong, FindingKind::kError, std::move(text));
  }
  void Warning(bool is_unusual, std::string text) {
    Add(is_unusual, FindingKind::kWarning, std::move(text));
  }
  void Change(std::string text) {
    Add(true, FindingKind::kChange, std::move(text));
  }
  // Reports a property that differs.
  void Compare(const std::string& name,
               const std::string& before,
               const std::string& after) {
    Add(before != after, FindingKind::kChange,
        absl::StrCat(name, ": ", before, " -> ", after));
  }

 private:
  void Add(bool condition, FindingKind kind, std::string text) {
    if (condition) {
      findings_.push_back({kind, subject_, std::move(text)});
    }
  }

  const std::string subject_;
  Findings& findings_;
};

std::string TextOf(Duration duration) {
  constexpr double kMicrosPerMilli = 1000;
  return absl::StrCat(static_cast<double>(duration.count()) / kMicrosPerMilli,
                      " ms");
}

std::string TextOf(bool value) {
  return value ? "yes" : "no";
}

std::string TextOf(RouteKind kind) {
  switch (kind) {
    case RouteKind::kSafe:
      return "safe";
    case RouteKind::kUnsafe:
      return "unsafe";
    case RouteKind::kStreaming:
      return "streaming";
  }
  return "unsafe";
}

std::string TextOf(const std::vector<WeightedService>& services) {
  return absl::StrJoin(services, ", ", [](std::string* out, const auto& it) {
    absl::StrAppend(out, it.service, " (weight ", it.weight, ")");
  });
}

void CheckRoute(const ServiceMap& map, const Route& route, Findings* findings) {
  Entry entry("route " + route.name, findings);
  entry.Error(route.host.empty(), "the host is empty");
  entry.Error(route.path_prefix.empty() || route.path_prefix.front() != '/' ||
                  route.path_prefix.back() != '/',
              "the path prefix has to begin and end with a slash");
  entry.Error(route.path_prefix.find_first_of("?#") != std::string::npos,
              "never matches: paths are compared without their query");
  entry.Error(route.timeout <= Duration(0), "the timeout is not positive");
  entry.Error(route.target_latency > route.timeout,
              "the target latency exceeds the timeout");
  entry.Error(route.target_gap && *route.target_gap > route.timeout,
              "the target for gaps exceeds the timeout");
  entry.Error(route.max_attempts < 1, "allows no attempt");
  entry.Error(route.priority < 0, "the priority is negative");
  entry.Warning(route.resumable && route.kind != RouteKind::kStreaming,
                "resumable has no effect: it is no streaming route");
  entry.Warning(route.target_gap && route.kind != RouteKind::kStreaming,
                "the target for gaps has no effect: it is no streaming route");
  entry.Warning(
      route.kind == RouteKind::kUnsafe && route.max_attempts > 1,
      "repeats unsafe requests only if replicas state that they did not run");
  entry.Warning(route.allow_anonymous && !map.customers,
                "allow_anonymous has no effect: there are no customers");
  double weight = 0;
  for (const WeightedService& it : route.services) {
    weight += std::max(0.0, it.weight);
    entry.Error(FindService(map, it.service) == nullptr,
                absl::StrCat("leads to the unknown service ", it.service));
    entry.Error(it.weight < 0,
                absl::StrCat("the weight of ", it.service, " is negative"));
    entry.Warning(it.weight == 0 && route.services.size() > 1,
                  absl::StrCat(it.service, " never gets a request: weight 0"));
  }
  entry.Error(weight <= 0, "no service has a weight");
  for (const Route& other : map.routes) {
    if (&other == &route) {
      break;
    }
    entry.Error(other.name == route.name, "the name is used twice");
    entry.Error(std::tie(other.host, other.path_prefix) ==
                    std::tie(route.host, route.path_prefix),
                absl::StrCat("never matches: route ", other.name,
                             " has the same host and path prefix"));
  }
}

void CheckService(const ServiceMap& map,
                  const Service& service,
                  Findings* findings) {
  Entry entry("service " + service.name, findings);
  const bool is_used = std::any_of(
      map.routes.begin(), map.routes.end(), [&service](const Route& route) {
        return std::any_of(
            route.services.begin(), route.services.end(),
            [&service](const auto& it) { return it.service == service.name; });
      });
  entry.Warning(!is_used, "no route leads to it");
  entry.Error(FindService(map, service.name) != &service,
              "the name is used twice");
  entry.Error(service.max_connections < 0,
              "the number of connections is negative");
  entry.Error(service.probe_path.empty() || service.probe_path.front() != '/',
              "the health path has to begin with a slash");
  if (service.engine) {
    entry.Error(service.engine->slots <= 0, "engines without slots");
    entry.Error(service.engine->kv_tokens <= 0, "engines without memory");
    entry.Warning(
        service.engine->handle_ttl <= Duration(0),
        "prompts cannot be prefilled apart: handles have no lifetime");
  }
  if (!service.autoscaling) {
    return;
  }
  const AutoscalingTraits& scaling = *service.autoscaling;
  entry.Error(scaling.min_replicas < 0, "min_replicas is negative");
  entry.Error(scaling.min_replicas > scaling.max_replicas,
              absl::StrCat("min_replicas ", scaling.min_replicas,
                           " exceeds max_replicas ", scaling.max_replicas));
  entry.Error(scaling.max_replicas <= 0, "max_replicas allows no replica");
  entry.Error(scaling.boot_time < Duration(0), "boot_time_s is negative");
  entry.Error(scaling.spot_price < 0, "spot_price is negative");
  entry.Warning(scaling.spot_price >= 1,
                "spot replicas are never ordered: they are not cheaper");
  for (const auto& [name, price] : scaling.failure_domain_prices) {
    entry.Error(price <= 0,
                absl::StrCat("the price in ", name, " is not positive"));
  }
}

void CheckCustomers(const ServiceMap& map, Findings* findings) {
  if (!map.customers) {
    return;
  }
  std::set<std::string> names;
  for (const Customer& it : map.customers->customers()) {
    Entry entry("customer " + it.name, findings);
    entry.Error(!names.insert(it.name).second, "the name is used twice");
    entry.Error(it.priority.value_or(0) < 0, "the priority is negative");
    entry.Warning(map.customers->KeyDigestsOf(it.name).empty(),
                  "holds no key, so that no caller is this customer");
  }
  for (const SharedKey& it : map.customers->shared_keys()) {
    constexpr size_t kDigits = 8;
    Entry("customer " + it.second, findings)
        .Error(true,
               absl::StrCat("the key with the digest ",
                            it.digest.substr(0, kDigits),
                            " belongs to customer ", it.first, " already"));
  }
  const bool needs_keys =
      std::any_of(map.routes.begin(), map.routes.end(),
                  [](const Route& it) { return !it.allow_anonymous; });
  Entry("customers", findings)
      .Warning(!needs_keys && !map.routes.empty(),
               "all routes take requests without a key");
}

void CheckLimits(const CallerLimits& limits, Findings* findings) {
  Entry entry("limits", findings);
  entry.Error(limits.max_header_bytes == 0, "allows no headers");
  entry.Warning(limits.max_header_bytes > kLargestMaxHeaderBytes,
                absl::StrCat("headers above ", kLargestMaxHeaderBytes,
                             " bytes are refused all the same"));
  entry.Error(limits.header_timeout <= Duration(0),
              "the timeout for headers is not positive");
  entry.Error(limits.idle_timeout <= Duration(0),
              "the idle timeout is not positive");
  entry.Warning(limits.header_timeout > limits.idle_timeout,
                "the timeout for headers exceeds the idle timeout");
  entry.Warning(limits.max_body_bytes == 0, "allows no bodies");
}

// Pairs entries of both versions by name; either may be missing.
template <typename T>
std::map<std::string, std::pair<const T*, const T*>> PairByName(
    const std::vector<T>& before,
    const std::vector<T>& after) {
  std::map<std::string, std::pair<const T*, const T*>> pairs;
  for (const T& it : before) {
    pairs[it.name].first = &it;
  }
  for (const T& it : after) {
    pairs[it.name].second = &it;
  }
  return pairs;
}

// Reports an entry that only one version has. Returns true if both have it.
template <typename T>
bool IsInBoth(const std::pair<const T*, const T*>& versions, Entry* entry) {
  if (versions.first == nullptr || versions.second == nullptr) {
    entry->Change(versions.first == nullptr ? "added" : "removed");
    return false;
  }
  return true;
}

void CompareRoutes(const Route& before, const Route& after, Entry* entry) {
  entry->Compare("host", before.host, after.host);
  entry->Compare("path prefix", before.path_prefix, after.path_prefix);
  entry->Compare("kind", TextOf(before.kind), TextOf(after.kind));
  entry->Compare("timeout", TextOf(before.timeout), TextOf(after.timeout));
  entry->Compare("target latency", TextOf(before.target_latency),
                 TextOf(after.target_latency));
  entry->Compare("target gap", TextOf(before.target_gap.value_or(Duration(0))),
                 TextOf(after.target_gap.value_or(Duration(0))));
  entry->Compare("priority", absl::StrCat(before.priority),
                 absl::StrCat(after.priority));
  entry->Compare("attempts", absl::StrCat(before.max_attempts),
                 absl::StrCat(after.max_attempts));
  entry->Compare("session affinity", TextOf(before.session_affinity),
                 TextOf(after.session_affinity));
  entry->Compare("resumable", TextOf(before.resumable),
                 TextOf(after.resumable));
  entry->Compare("anonymous callers", TextOf(before.allow_anonymous),
                 TextOf(after.allow_anonymous));
  entry->Compare("services", TextOf(before.services), TextOf(after.services));
}

void CompareServices(const Service& before,
                     const Service& after,
                     Entry* entry) {
  entry->Compare("connections", absl::StrCat(before.max_connections),
                 absl::StrCat(after.max_connections));
  entry->Compare("health path", before.probe_path, after.probe_path);
  if (!(before.engine == after.engine)) {
    entry->Change("the properties of its engines differ");
  }
  const AutoscalingTraits none;
  const AutoscalingTraits& old_scaling = before.autoscaling.value_or(none);
  const AutoscalingTraits& new_scaling = after.autoscaling.value_or(none);
  entry->Compare("autoscaling", TextOf(before.autoscaling.has_value()),
                 TextOf(after.autoscaling.has_value()));
  entry->Compare("min_replicas", absl::StrCat(old_scaling.min_replicas),
                 absl::StrCat(new_scaling.min_replicas));
  entry->Compare("max_replicas", absl::StrCat(old_scaling.max_replicas),
                 absl::StrCat(new_scaling.max_replicas));
  entry->Compare("boot time", TextOf(old_scaling.boot_time),
                 TextOf(new_scaling.boot_time));
  entry->Compare("spot price", absl::StrCat(old_scaling.spot_price),
                 absl::StrCat(new_scaling.spot_price));
  if (old_scaling.failure_domain_prices != new_scaling.failure_domain_prices) {
    entry->Change("the prices by failure domain differ");
  }
}

void CompareCustomers(const ServiceMap& in_force,
                      const ServiceMap& next,
                      Findings* findings) {
  const CustomerTable none;
  const CustomerTable& before = in_force.customers ? *in_force.customers : none;
  const CustomerTable& after = next.customers ? *next.customers : none;
  Entry("customers", findings)
      .Compare("keys are required", TextOf(in_force.customers.has_value()),
               TextOf(next.customers.has_value()));
  for (const auto& [name, versions] :
       PairByName(before.customers(), after.customers())) {
    Entry entry("customer " + name, findings);
    if (!IsInBoth(versions, &entry)) {
      continue;
    }
    constexpr int kNoPriority = -1;
    entry.Compare(
        "priority",
        absl::StrCat(versions.first->priority.value_or(kNoPriority)),
        absl::StrCat(versions.second->priority.value_or(kNoPriority)));
    const auto old_keys = before.KeyDigestsOf(name);
    const auto new_keys = after.KeyDigestsOf(name);
    const auto missing_in = [](const std::set<std::string>& keys,
                               const std::set<std::string>& others) {
      return std::count_if(keys.begin(), keys.end(), [&others](const auto& it) {
        return others.count(it) == 0;
      });
    };
    const auto added = missing_in(new_keys, old_keys);
    const auto removed = missing_in(old_keys, new_keys);
    if (added + removed > 0) {
      entry.Change(absl::StrCat("keys: ", added, " added, ", removed,
                                " removed, ", new_keys.size(), " in all"));
    }
  }
}

}  // namespace

std::vector<ConfigurationFinding> CheckServiceMap(const ServiceMap& map) {
  Findings findings;
  Entry entry("configuration", &findings);
  entry.Error(map.version <= 0, "the version is not positive");
  entry.Warning(map.routes.empty(), "there are no routes");
  for (const Route& it : map.routes) {
    CheckRoute(map, it, &findings);
  }
  for (const Service& it : map.services) {
    CheckService(map, it, &findings);
  }
  CheckCustomers(map, &findings);
  CheckLimits(map.limits, &findings);
  return findings;
}

std::vector<ConfigurationFinding> CompareServiceMaps(const ServiceMap& in_force,
                                                     const ServiceMap& next) {
  Findings findings;
  Entry map("configuration", &findings);
  map.Error(next.version <= in_force.version,
            absl::StrCat("version ", next.version, " does not replace version ",
                         in_force.version));
  map.Compare("version", absl::StrCat(in_force.version),
              absl::StrCat(next.version));
  for (const auto& [name, versions] :
       PairByName(in_force.routes, next.routes)) {
    Entry entry("route " + name, &findings);
    if (IsInBoth(versions, &entry)) {
      CompareRoutes(*versions.first, *versions.second, &entry);
    }
  }
  for (const auto& [name, versions] :
       PairByName(in_force.services, next.services)) {
    Entry entry("service " + name, &findings);
    if (IsInBoth(versions, &entry)) {
      CompareServices(*versions.first, *versions.second, &entry);
    }
  }
  CompareCustomers(in_force, next, &findings);
  Entry limits("limits", &findings);
  const CallerLimits& before = in_force.limits;
  const CallerLimits& after = next.limits;
  limits.Compare("header bytes", absl::StrCat(before.max_header_bytes),
                 absl::StrCat(after.max_header_bytes));
  limits.Compare("body bytes", absl::StrCat(before.max_body_bytes),
                 absl::StrCat(after.max_body_bytes));
  limits.Compare("timeout for headers", TextOf(before.header_timeout),
                 TextOf(after.header_timeout));
  limits.Compare("idle timeout", TextOf(before.idle_timeout),
                 TextOf(after.idle_timeout));
  return findings;
}

}  // namespace endiveyard
