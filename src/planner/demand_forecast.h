#ifndef ENDIVEYARD_PLANNER_DEMAND_FORECAST_H_
#define ENDIVEYARD_PLANNER_DEMAND_FORECAST_H_

#include <vector>

#include "endiveyard/planner/role_planner.h"

namespace endiveyard {

// A possible demand within the horizon.
struct DemandScenario {
  TokenRates demand;
  double weight = 0;  // the weights of a forecast add up to 1
};

// Returns the forecast for the horizon as weighted scenarios: the recent
// average, which assumes constant demand, and samples of the history, which
// assume that demand keeps varying as before. The weights depend on the past
// prediction errors. Empty without samples. O(samples).
std::vector<DemandScenario> ForecastDemand(const DemandHistory& history);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLANNER_DEMAND_FORECAST_H_
