#ifndef ENDIVEYARD_FLEET_CONFIGURATION_DELTA_H_
#define ENDIVEYARD_FLEET_CONFIGURATION_DELTA_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "endiveyard/fleet/fleet_configuration.h"

namespace endiveyard {

// Lists of entries, one for each table of the configuration.
struct ConfigurationEntries : ComparableByFields<ConfigurationEntries> {
  std::vector<HouseEntry> houses;
  std::vector<ClassEntry> classes;
  std::vector<CallerEntry> callers;
  std::vector<ServiceEntry> services;
  std::vector<ExceptionEntry> exceptions;

  auto Fields() const {
    return std::tie(houses, classes, callers, services, exceptions);
  }
};

// Difference between two configurations: the changed keys of [defaults], and
// the entries that are added, replaced or removed as a whole. Its text has the
// syntax of a configuration that contains only the added and replaced entries;
// the keys of removed entries are listed under [[remove.<table>]].
struct ConfigurationDelta : ComparableByFields<ConfigurationDelta> {
  std::map<std::string, SettingValue> defaults;
  ConfigurationEntries set;
  ConfigurationEntries removed;  // only the key fields are used

  bool empty() const { return *this == ConfigurationDelta(); }
  auto Fields() const { return std::tie(defaults, set, removed); }
};

// Parses the text of a delta. Errors are reported in the same form as by
// ParseFleetConfiguration().
absl::StatusOr<ConfigurationDelta> ParseConfigurationDelta(
    std::string_view text);
std::string FormatConfigurationDelta(const ConfigurationDelta& delta);

// Applies `delta` to `base` and validates the result. Fails with
// kInvalidSettings if an entry to remove does not exist or the result is
// invalid.
absl::StatusOr<FleetConfiguration> ApplyDelta(const FleetConfiguration& base,
                                              const ConfigurationDelta& delta);

// Returns the delta that turns `from` into `to`. O(entries).
ConfigurationDelta DiffConfigurations(const FleetConfiguration& from,
                                      const FleetConfiguration& to);

// Describes each change in one line, for example
// "defaults.queue_limit: 256 -> 300".
std::vector<std::string> DescribeDelta(const FleetConfiguration& base,
                                       const ConfigurationDelta& delta);

// Returns the sorted names of the entries and default keys that `delta`
// changes.
std::vector<std::string> ChangedNames(const ConfigurationDelta& delta);

}  // namespace endiveyard

#endif  // ENDIVEYARD_FLEET_CONFIGURATION_DELTA_H_
