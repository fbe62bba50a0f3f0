#ifndef ENDIVEYARD_SRC_FLEET_CONFIGURATION_PARSER_H_
#define ENDIVEYARD_SRC_FLEET_CONFIGURATION_PARSER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "endiveyard/fleet/configuration_delta.h"

namespace endiveyard {

// Entries parsed from TOML, the errors found, and the line numbers for errors
// that are found later.
struct ParsedConfiguration {
  ConfigurationDelta delta;
  std::vector<ConfigurationError> errors;
  // Keyed by "<entry label>" and "<entry label>.<key>".
  std::map<std::string, int> line_numbers;

  // Sets the line numbers of errors that were found after parsing.
  void SetErrorLines(std::vector<ConfigurationError>* found) const;
};

// Parses a configuration or delta in TOML. [[remove.<table>]] is accepted only
// if `allow_remove`.
ParsedConfiguration ParseConfigurationToml(std::string_view text,
                                           bool allow_remove);

// Returns kInvalidSettings with one error per line. Precondition: `errors` is
// not empty.
absl::Status ErrorsToStatus(const std::vector<ConfigurationError>& errors);

// Applies `delta` to `builder`. Returns an error for each invalid default and
// each entry to remove that does not exist.
std::vector<ConfigurationError> ApplyToBuilder(
    const ConfigurationDelta& delta,
    FleetConfiguration::Builder* builder);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FLEET_CONFIGURATION_PARSER_H_
