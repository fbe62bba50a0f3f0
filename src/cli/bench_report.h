#ifndef ENDIVEYARD_SRC_CLI_BENCH_REPORT_H_
#define ENDIVEYARD_SRC_CLI_BENCH_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "cli/load_generator.h"

namespace endiveyard {

// Percentiles in milliseconds.
struct LatencySummary {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double max = 0;
};

struct BenchReport {
  int64_t requests = 0;
  double seconds = 0;
  double requests_per_second = 0;  // only those with outcome "ok"
  // Share of all requests that were completed with the first token within 1.7 s
  // and a mean gap between tokens of at most 26 ms.
  double goodput = 0;
  LatencySummary first_token;
  LatencySummary largest_gap;
  LatencySummary total;
  std::map<std::string, int64_t> outcomes;
};

// Computes percentiles by the nearest-rank method, without interpolation, so
// that each one is a measured value. Returns zeros for an empty input. O(n log
// n).
LatencySummary Summarize(std::vector<Duration> values);

BenchReport MakeBenchReport(const std::vector<LoadSample>& samples,
                            double seconds);

// Returns the report as JSON.
std::string FormatBenchReport(const BenchReport& report);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_CLI_BENCH_REPORT_H_
