#ifndef ENDIVEYARD_FLEET_CONFIGURATION_TEXT_H_
#define ENDIVEYARD_FLEET_CONFIGURATION_TEXT_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "endiveyard/fleet/fleet_configuration.h"

namespace endiveyard {

// Largest configuration text accepted. Objects hold at most 1 MB.
inline constexpr size_t kMaxConfigurationBytes = 1'000'000;

// Parses a whole configuration in TOML. Every problem is reported in one
// kInvalidSettings status, one per line, with line number, key and reason.
absl::StatusOr<FleetConfiguration> ParseFleetConfiguration(
    std::string_view text);

// Canonical TOML text; parsing it gives an equal configuration.
std::string FormatFleetConfiguration(const FleetConfiguration& configuration);

}  // namespace endiveyard

#endif  // ENDIVEYARD_FLEET_CONFIGURATION_TEXT_H_
