#ifndef ENDIVEYARD_PLACEMENT_SERVICE_MAP_CHECK_H_
#define ENDIVEYARD_PLACEMENT_SERVICE_MAP_CHECK_H_

#include <string>
#include <vector>

#include "endiveyard/placement/service_map.h"

namespace endiveyard {

enum class FindingKind {
  kError,    // instances refuse it, or do something else than it says
  kWarning,  // an entry without effect, or a combination that is rarely meant
  kChange,   // differs from the version in force
};

// One result of a check, about one entry of a configuration.
struct ConfigurationFinding {
  FindingKind kind = FindingKind::kError;
  std::string subject;  // such as "route r-1"
  std::string text;

  bool operator==(const ConfigurationFinding& other) const {
    return kind == other.kind && subject == other.subject && text == other.text;
  }
};

// Returns errors, entries that can never match, and limits that contradict each
// other. O(routes^2 + services x routes).
std::vector<ConfigurationFinding> CheckServiceMap(const ServiceMap& map);

// Returns what `next` changes of `in_force`, and an error if instances would
// not replace `in_force` with it.
std::vector<ConfigurationFinding> CompareServiceMaps(const ServiceMap& in_force,
                                                     const ServiceMap& next);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_SERVICE_MAP_CHECK_H_
