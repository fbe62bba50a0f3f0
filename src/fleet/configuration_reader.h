#ifndef ENDIVEYARD_SRC_FLEET_CONFIGURATION_READER_H_
#define ENDIVEYARD_SRC_FLEET_CONFIGURATION_READER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "endiveyard/fleet/configuration_delta.h"

namespace endiveyard {

// Entries read from TOML, with what is needed to report problems by line.
struct ReadConfiguration {
  ConfigurationDelta delta;
  std::vector<ConfigurationProblem> problems;
  std::map<std::string, int> lines;  // by entry label, or label and ".key"

  // Sets the lines of problems that were found after reading.
  void LocateProblems(std::vector<ConfigurationProblem>* found) const;
};

// Reads text in TOML. [[remove.<table>]] is accepted if `allow_remove`.
ReadConfiguration ReadConfigurationToml(std::string_view text,
                                        bool allow_remove);

// kInvalidSettings with one problem per line. Precondition: not empty.
absl::Status ProblemsToStatus(
    const std::vector<ConfigurationProblem>& problems);

// Applies `delta` to `builder`; reports removals of missing entries.
std::vector<ConfigurationProblem> ApplyToBuilder(
    const ConfigurationDelta& delta,
    FleetConfiguration::Builder* builder);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FLEET_CONFIGURATION_READER_H_
