#ifndef ENDIVEYARD_SRC_CLI_LOAD_REPORT_H_
#define ENDIVEYARD_SRC_CLI_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "cli/load_generator.h"

namespace endiveyard {

// Milliseconds.
struct LatencySummary {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double max = 0;
};

struct LoadReport {
  int64_t requests = 0;
  double seconds = 0;
  double requests_per_second = 0;  // answered in full
  // Share of all requests that were answered in full with the first token
  // within 1.7 s and no gap above 26 ms on average.
  double goodput = 0;
  LatencySummary first_token;
  LatencySummary largest_gap;
  LatencySummary total;
  std::map<std::string, int64_t> outcomes;
};

// Linear interpolation is not used: the value returned was measured. O(n log
// n). An empty input gives zeros.
LatencySummary Summarize(std::vector<Duration> values);

LoadReport MakeLoadReport(const std::vector<LoadSample>& samples,
                          double seconds);

std::string LoadReportJson(const LoadReport& report);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_CLI_LOAD_REPORT_H_
