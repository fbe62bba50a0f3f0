#include "planner/demand_forecast.h"

#include <algorithm>
#include <cmath>

#include "planner/role_counts.h"

namespace endiveyard {

namespace {

// Time constant of the recent average of the demand.
constexpr double kRecentTimeConstantSeconds = 10;
// Time constant of the average prediction errors.
constexpr double kErrorTimeConstantSeconds = 120;
constexpr size_t kMaxSamples = 512;
// Number of scenarios taken from the history, evenly spaced.
constexpr size_t kHistoryScenarios = 12;
// Added to both prediction errors, so that differences between small errors
// hardly affect the weights.
constexpr double kErrorFloor = 0.005;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Weight of a new value in an exponential moving average, `seconds` after the
// previous value.
double SmoothingWeight(double seconds, double time_constant) {
  return 1 - std::exp(-seconds / time_constant);
}

// Average prefill share of the samples later than `after`.
double AverageShare(const PlannerSettings& settings,
                    const DemandHistory& history,
                    TimePoint after) {
  double sum = 0;
  int n = 0;
  for (auto it = history.samples.rbegin();
       it != history.samples.rend() && it->at > after; ++it) {
    sum += PrefillShare(it->demand, settings);
    ++n;
  }
  return n == 0 ? 0 : sum / n;
}

// Updates the average errors of the predictions made one horizon ago with the
// prefill share observed since.
void UpdatePredictionErrors(const PlannerSettings& settings,
                            Duration step,
                            TimePoint now,
                            DemandHistory* history) {
  const TimePoint predicted_at = now - settings.horizon;
  const auto it =
      std::find_if(history->samples.rbegin(), history->samples.rend(),
                   [predicted_at](const DemandSample& sample) {
                     return sample.at <= predicted_at;
                   });
  if (it == history->samples.rend()) {
    return;
  }
  const double actual = AverageShare(settings, *history, it->at);
  const double weight =
      SmoothingWeight(Seconds(step), kErrorTimeConstantSeconds);
  history->recent_error +=
      weight * (std::abs(actual - it->recent_share) - history->recent_error);
  history->history_error +=
      weight * (std::abs(actual - it->history_share) - history->history_error);
}

}  // namespace

void RecordDemand(const PlannerSettings& settings,
                  const TokenRates& demand,
                  TimePoint now,
                  DemandHistory* history) {
  auto& samples = history->samples;
  if (samples.empty()) {
    history->recent = demand;
  } else {
    const Duration step = now - samples.back().at;
    const double weight =
        SmoothingWeight(Seconds(step), kRecentTimeConstantSeconds);
    history->recent.prompt += weight * (demand.prompt - history->recent.prompt);
    history->recent.output += weight * (demand.output - history->recent.output);
    UpdatePredictionErrors(settings, step, now, history);
  }
  samples.push_back({now, demand, 0, 0});
  while (samples.size() > kMaxSamples ||
         now - samples.front().at > settings.history) {
    samples.pop_front();
  }
  samples.back().recent_share = PrefillShare(history->recent, settings);
  samples.back().history_share =
      AverageShare(settings, *history, now - settings.history);
}

std::vector<DemandScenario> ForecastDemand(const DemandHistory& history) {
  std::vector<DemandScenario> scenarios;
  if (history.samples.empty()) {
    return scenarios;
  }
  const auto squared = [](double error) {
    return (error + kErrorFloor) * (error + kErrorFloor);
  };
  const double recent_error = squared(history.recent_error);
  const double history_error = squared(history.history_error);
  const double history_weight = recent_error / (recent_error + history_error);
  scenarios.push_back({history.recent, 1 - history_weight});
  const size_t n = std::min(kHistoryScenarios, history.samples.size());
  for (size_t i = 0; i < n; ++i) {
    const DemandSample& sample =
        history.samples[(2 * i + 1) * history.samples.size() / (2 * n)];
    scenarios.push_back(
        {sample.demand, history_weight / static_cast<double>(n)});
  }
  return scenarios;
}

}  // namespace endiveyard
