#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <fstream>
#include <iostream>

#include "cli/bench_report.h"
#include "cli/command.h"
#include "cli/load_generator.h"

namespace endiveyard {
namespace {

namespace po = boost::program_options;

constexpr size_t kClientThreads = 4;
constexpr double kMaxDurationSeconds = 3600;

void PrintSummary(const char* name, const LatencySummary& summary) {
  std::cout << name << "\tp50 " << summary.p50 << " ms\tp95 " << summary.p95
            << " ms\tp99 " << summary.p99 << " ms\tmax " << summary.max
            << " ms\n";
}

void PrintReport(const BenchReport& report) {
  std::cout << "requests\t" << report.requests << " in " << report.seconds
            << " s, " << report.requests_per_second << "/s completed\n"
            << "goodput\t" << report.goodput << "\n";
  PrintSummary("first token", report.first_token);
  PrintSummary("largest gap", report.largest_gap);
  PrintSummary("total", report.total);
  for (const auto& [name, count] : report.outcomes) {
    std::cout << "outcome " << name << "\t" << count << "\n";
  }
}

}  // namespace

int RunBenchCommand(const Arguments& arguments) {
  LoadOptions load;
  LoadClass prompt_heavy{0.5, 8192, 16};
  LoadClass output_heavy{0.5, 512, 64};
  double prompt_heavy_share = 0.5;
  double duration_s = 10;
  std::string save;
  po::options_description options("endiveyard bench");
  options.add_options()("help", "print this text")(
      "url", po::value(&load.url)->required(),
      "URL of an instance, or of an engine to measure it directly")(
      "key", po::value(&load.caller_key)->default_value(""), "caller key")(
      "model", po::value(&load.model)->default_value(""), "model name")(
      "method", po::value(&load.method)->default_value("POST"),
      "POST for completions, GET for plain requests")(
      "path", po::value(&load.path)->default_value("/v1/completions"),
      "request path")("rate", po::value(&load.rate)->default_value(10),
                      "arrivals per second in the open loop")(
      "concurrency", po::value(&load.concurrency)->default_value(0),
      "closed loop with this many open requests; 0 means open loop")(
      "duration-s", po::value(&duration_s)->default_value(10),
      "duration in seconds, at most 3600")("max-requests",
                                           po::value(&load.max_requests),
                                           "maximum number of requests")(
      "deadline-ms", po::value(&load.deadline_ms)->default_value(60000),
      "deadline of each request in ms")(
      "reading-share", po::value(&prompt_heavy_share)->default_value(0.5),
      "share of requests with a long prompt and a short response, 0 to 1")(
      "reading-prompt-bytes",
      po::value(&prompt_heavy.prompt_bytes)->default_value(8192),
      "prompt bytes of requests with a long prompt")(
      "reading-output-tokens",
      po::value(&prompt_heavy.output_tokens)->default_value(16),
      "output tokens of requests with a long prompt")(
      "writing-prompt-bytes",
      po::value(&output_heavy.prompt_bytes)->default_value(512),
      "prompt bytes of requests with a long response")(
      "writing-output-tokens",
      po::value(&output_heavy.output_tokens)->default_value(64),
      "output tokens of requests with a long response")(
      "prefixes", po::value(&load.shared_prefixes)->default_value(8),
      "distinct prompt prefixes")(
      "stream", po::value(&load.stream)->default_value(true),
      "stream the responses")("seed", po::value(&load.seed)->default_value(1),
                              "seed of arrivals and prompts")(
      "save", po::value(&save), "file to write the report to as JSON");
  po::variables_map values;
  int exit_code = kExitOk;
  if (!ParseArguments(options, arguments, &values, &exit_code)) {
    return exit_code;
  }
  if (duration_s <= 0 || duration_s > kMaxDurationSeconds || load.rate <= 0 ||
      prompt_heavy_share < 0 || prompt_heavy_share > 1) {
    std::cerr
        << "endiveyard bench: option out of range: expected --duration-s above "
           "0 and at most 3600, --rate above 0 and --reading-share from 0 "
           "to 1\n";
    return kExitUsage;
  }
  prompt_heavy.share = prompt_heavy_share;
  output_heavy.share = 1 - prompt_heavy_share;
  load.classes = {prompt_heavy, output_heavy};
  load.duration = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(duration_s));
  crossplat::threadpool::initialize_with_threads(kClientThreads);
  const TimePoint start = BootClock::now();
  const std::vector<LoadSample> samples = GenerateLoad(load);
  const double seconds =
      std::chrono::duration<double>(BootClock::now() - start).count();
  const BenchReport report = MakeBenchReport(samples, seconds);
  PrintReport(report);
  if (!save.empty()) {
    std::ofstream file(save);
    file << FormatBenchReport(report) << "\n";
    if (!file) {
      std::cerr << "endiveyard bench: cannot write " << save << "\n";
      return kExitFailed;
    }
  }
  return kExitOk;
}

}  // namespace endiveyard
