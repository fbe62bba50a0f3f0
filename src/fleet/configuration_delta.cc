#include "endiveyard/fleet/configuration_delta.h"

#include "fleet/configuration_parser.h"

namespace endiveyard {

absl::StatusOr<FleetConfiguration> ApplyDelta(const FleetConfiguration& base,
                                              const ConfigurationDelta& delta) {
  FleetConfiguration::Builder builder(base);
  const std::vector<ConfigurationError> errors =
      ApplyToBuilder(delta, &builder);
  if (!errors.empty()) {
    return ErrorsToStatus(errors);
  }
  return builder.Build();
}

}  // namespace endiveyard
