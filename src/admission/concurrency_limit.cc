#include "endiveyard/admission/concurrency_limit.h"

#include <algorithm>

namespace endiveyard {
namespace {

constexpr double kSlowLatencyFactor = 2;      // of the minimum latency
constexpr double kSlowLatencyDecrease = 0.9;  // slow response
constexpr double kFailureDecrease = 0.7;      // failed attempt
constexpr double kMaxGrowthFactor = 4;        // of the initial limit
// Requests that were queued together complete together, so that their latencies
// count as one congestion signal.
constexpr Duration kMinDecreaseInterval = std::chrono::milliseconds(200);
// The minimum covers the current and the previous window, so that a target
// whose model or request mix has changed gets a new baseline after two windows.
constexpr Duration kLatencyWindow = std::chrono::seconds(15);

void Decrease(ConcurrencyLimit* limit, double factor, TimePoint now) {
  if (limit->has_decreased &&
      now - limit->last_decrease < kMinDecreaseInterval) {
    return;
  }
  limit->limit = std::max(1.0, limit->limit * factor);
  limit->last_decrease = now;
  limit->has_decreased = true;
}

}  // namespace

ConcurrencyLimit MakeConcurrencyLimit(int initial, TimePoint now) {
  ConcurrencyLimit limit;
  limit.limit = std::max(1, initial);
  limit.max_limit = limit.limit * kMaxGrowthFactor;
  limit.window_start = now;
  return limit;
}

void RecordLatency(ConcurrencyLimit* limit,
                   double latency,
                   int in_flight,
                   TimePoint now) {
  if (now - limit->window_start >= kLatencyWindow) {
    limit->min_latency_previous = limit->min_latency_current;
    limit->min_latency_current = 0;
    limit->window_start = now;
  }
  if (limit->min_latency_current == 0 || latency < limit->min_latency_current) {
    limit->min_latency_current = latency;
  }
  const double min_latency =
      limit->min_latency_previous == 0
          ? limit->min_latency_current
          : std::min(limit->min_latency_current, limit->min_latency_previous);
  if (latency > kSlowLatencyFactor * min_latency) {
    Decrease(limit, kSlowLatencyDecrease, now);
  } else if (in_flight >= AllowedInFlight(*limit)) {
    limit->limit = std::min(limit->max_limit, limit->limit + 1 / limit->limit);
  }
}

void RecordFailure(ConcurrencyLimit* limit, TimePoint now) {
  Decrease(limit, kFailureDecrease, now);
}

int AllowedInFlight(const ConcurrencyLimit& limit) {
  return std::max(1, static_cast<int>(limit.limit));
}

}  // namespace endiveyard
