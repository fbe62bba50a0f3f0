#include "cli/bench_report.h"

#include <cpprest/json.h>

#include <algorithm>
#include <cmath>

namespace endiveyard {
namespace {

using web::json::value;

// Latency goals that a request has to meet to count as goodput.
constexpr std::chrono::milliseconds kFirstTokenGoal(1700);
constexpr std::chrono::milliseconds kTokenGapGoal(26);

double Millis(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

value ToJson(const LatencySummary& summary) {
  value body = value::object();
  body["p50_ms"] = value::number(summary.p50);
  body["p95_ms"] = value::number(summary.p95);
  body["p99_ms"] = value::number(summary.p99);
  body["max_ms"] = value::number(summary.max);
  return body;
}

bool MeetsLatencyGoals(const LoadSample& sample) {
  if (sample.outcome != "ok") {
    return false;
  }
  if (sample.first_token < Duration::zero()) {
    return true;  // not streamed
  }
  const int gaps = std::max(1, sample.token_events - 1);
  const Duration mean_gap = (sample.total - sample.first_token) / gaps;
  return sample.first_token <= kFirstTokenGoal && mean_gap <= kTokenGapGoal;
}

}  // namespace

LatencySummary Summarize(std::vector<Duration> values) {
  LatencySummary summary;
  if (values.empty()) {
    return summary;
  }
  std::sort(values.begin(), values.end());
  const auto at = [&](double quantile) {
    const double rank =
        std::ceil(quantile * static_cast<double>(values.size()));
    return Millis(values[static_cast<size_t>(std::max(1.0, rank)) - 1]);
  };
  summary.p50 = at(0.50);
  summary.p95 = at(0.95);
  summary.p99 = at(0.99);
  summary.max = Millis(values.back());
  return summary;
}

BenchReport MakeBenchReport(const std::vector<LoadSample>& samples,
                            double seconds) {
  BenchReport report;
  report.requests = static_cast<int64_t>(samples.size());
  report.seconds = seconds;
  std::vector<Duration> first_token;
  std::vector<Duration> largest_gap;
  std::vector<Duration> total;
  int64_t meeting_goals = 0;
  for (const LoadSample& it : samples) {
    ++report.outcomes[it.outcome];
    meeting_goals += MeetsLatencyGoals(it) ? 1 : 0;
    if (it.outcome != "ok") {
      continue;
    }
    total.push_back(it.total);
    if (it.first_token >= Duration::zero()) {
      first_token.push_back(it.first_token);
    }
    if (it.largest_gap >= Duration::zero()) {
      largest_gap.push_back(it.largest_gap);
    }
  }
  report.requests_per_second = static_cast<double>(total.size()) / seconds;
  report.goodput = samples.empty() ? 0
                                   : static_cast<double>(meeting_goals) /
                                         static_cast<double>(samples.size());
  report.first_token = Summarize(std::move(first_token));
  report.largest_gap = Summarize(std::move(largest_gap));
  report.total = Summarize(std::move(total));
  return report;
}

std::string FormatBenchReport(const BenchReport& report) {
  value outcomes = value::object();
  for (const auto& [name, count] : report.outcomes) {
    outcomes[name] = value::number(count);
  }
  value body = value::object();
  body["requests"] = value::number(report.requests);
  body["seconds"] = value::number(report.seconds);
  body["requests_per_second"] = value::number(report.requests_per_second);
  body["goodput"] = value::number(report.goodput);
  body["first_token"] = ToJson(report.first_token);
  body["largest_gap"] = ToJson(report.largest_gap);
  body["total"] = ToJson(report.total);
  body["outcomes"] = outcomes;
  return body.serialize();
}

}  // namespace endiveyard
