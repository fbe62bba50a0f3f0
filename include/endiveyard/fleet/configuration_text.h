#ifndef ENDIVEYARD_FLEET_CONFIGURATION_TEXT_H_
#define ENDIVEYARD_FLEET_CONFIGURATION_TEXT_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "endiveyard/fleet/fleet_configuration.h"

namespace endiveyard {

// Maximum size of a configuration text. The object API stores at most 1 MB per
// object.
inline constexpr size_t kMaxConfigurationBytes = 1'000'000;

// Parses a complete configuration in TOML. On failure, the kInvalidSettings
// status lists the errors, one per line, with line number, key and reason.
absl::StatusOr<FleetConfiguration> ParseFleetConfiguration(
    std::string_view text);

// Formats `configuration` as canonical TOML. Parsing the text gives an equal
// configuration.
std::string FormatFleetConfiguration(const FleetConfiguration& configuration);

}  // namespace endiveyard

#endif  // ENDIVEYARD_FLEET_CONFIGURATION_TEXT_H_
