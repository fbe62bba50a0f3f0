#include "soak/soak_configuration.h"

#include <algorithm>
#include <stdexcept>

#include "soak/http_peer.h"
#include "soak/run_watch.h"

namespace endiveyard::soak {

std::string NetworkOf(pid_t pid) {
  constexpr int kNets = 250;
  return "127." + std::to_string(1 + pid / kNets % kNets) + "." +
         std::to_string(1 + pid % kNets) + ".";
}

std::string ConfigurationSpec(int version,
                              int timeout_ms,
                              int max_attempts,
                              int once_attempts) {
  std::string routes;
  const auto add = [&](const std::string& name, const std::string& kind,
                       const std::string& service, int priority, int attempts,
                       const std::string& more) {
    routes += std::string(routes.empty() ? "" : ",") + R"({"name":")" + name +
              R"(","host":")" + kHost + R"(","path_prefix":"/)" + name +
              R"(/","kind":")" + kind + R"(","timeout_ms":)" +
              std::to_string(timeout_ms) +
              R"(,"target_latency_ms":800,"priority":)" +
              std::to_string(priority) + R"(,"service":")" + service +
              R"(","max_attempts":)" + std::to_string(attempts) + more + "}";
  };
  const std::string stream = R"(,"session_affinity":true,"target_gap_ms":300)";
  add("order", "unsafe", "orders", 2, once_attempts, "");
  add("lookup", "safe", "orders", 2, max_attempts, "");
  add("once", "streaming", "chat", 1, once_attempts,
      stream + R"(,"resumable":false)");
  add("chat", "streaming", "chat", 0, max_attempts,
      stream + R"(,"resumable":true)");
  add("added" + std::to_string(version), "safe", "orders", 2, max_attempts, "");
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes +
         R"(],"services":[{"name":"orders","health_path":"/healthz",)"
         R"("max_connections":110},{"name":"chat","health_path":"/healthz",)"
         R"("max_connections":370,"engine":{"slots":64,"kv_tokens":540532,)"
         R"("kv_bytes":35136,"link_mbps":1100000,"handle_ttl_s":5}}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

std::vector<std::unique_ptr<FrontProcess>> StartFrontProcesses(
    const std::string& binary,
    const std::string& folder,
    const std::string& network,
    int count,
    const RegistryStandin& registry,
    size_t registry_views,
    int report_groups,
    int cores) {
  constexpr int kFirstHost = 100;
  const auto ip = [&network](int n) {
    return network + std::to_string(kFirstHost + n);
  };
  // Processes of a group report to each other at one port.
  constexpr size_t kMaxSeeds = 3;
  std::vector<uint16_t> control_ports;
  control_ports.reserve(static_cast<size_t>(report_groups));
  std::vector<std::vector<std::string>> seeds(
      static_cast<size_t>(report_groups));
  for (int n = 0; n < report_groups; ++n) {
    control_ports.push_back(FindFreePort(ip(0), control_ports));
  }
  for (int n = 0; n < count; ++n) {
    const auto group = static_cast<size_t>(n % report_groups);
    if (seeds[group].size() < kMaxSeeds) {
      seeds[group].push_back(ip(n) + ":" +
                             std::to_string(control_ports[group]));
    }
  }
  std::vector<std::unique_ptr<FrontProcess>> fronts;
  for (int n = 0; n < count; ++n) {
    FrontProcess::Options options;
    options.binary = binary;
    options.name = "front-" + std::to_string(n);
    options.ip = ip(n);
    options.folder = folder;
    options.registry_address =
        network + "1:" +
        std::to_string(registry.port(static_cast<size_t>(n) % registry_views));
    const auto group = static_cast<size_t>(n % report_groups);
    options.seed_addresses = seeds[group];
    options.control_port = control_ports[group];
    options.number = n;
    options.cores = cores;
    const Wait wait("start of " + options.name);
    fronts.push_back(std::make_unique<FrontProcess>(options));
    fronts.back()->Start();
  }
  constexpr int kReadyMs = 10000;
  for (const auto& it : fronts) {
    const Wait wait(it->name() + " to be ready");
    if (!it->WaitUntilReady(kReadyMs)) {
      throw std::runtime_error(it->name() + " is not ready after 10 s");
    }
  }
  return fronts;
}

}  // namespace endiveyard::soak
