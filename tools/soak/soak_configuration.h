#ifndef ENDIVEYARD_TOOLS_SOAK_SOAK_CONFIGURATION_H_
#define ENDIVEYARD_TOOLS_SOAK_SOAK_CONFIGURATION_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "soak/front_process.h"
#include "soak/registry_standin.h"

namespace endiveyard::soak {

// Host of all routes.
inline constexpr const char* kHost = "soak.example";

// Returns the first three bytes of the loopback addresses of the soak with the
// process id `pid`, with a dot behind them.
std::string NetworkOf(pid_t pid);

// Returns the configuration with the routes of RequestKind, and one more that
// only this version has.
// `once_attempts` holds for requests that may run once at most.
std::string ConfigurationSpec(int version,
                              int timeout_ms,
                              int max_attempts,
                              int once_attempts);

// Starts `count` processes at the addresses from `network` + "100" on, and
// waits until they are ready. Processes of different groups, of which there are
// `report_groups`, cannot report to each other. They share the first `cores`
// cores of the machine; 0 for all. Throws std::runtime_error if processes are
// not ready.
std::vector<std::unique_ptr<FrontProcess>> StartFrontProcesses(
    const std::string& binary,
    const std::string& folder,
    const std::string& network,
    int count,
    const RegistryStandin& registry,
    size_t registry_views,
    int report_groups = 1,
    int cores = 0);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_SOAK_CONFIGURATION_H_
