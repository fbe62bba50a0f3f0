#ifndef ENDIVEYARD_SRC_CLI_LOAD_GENERATOR_H_
#define ENDIVEYARD_SRC_CLI_LOAD_GENERATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// One kind of request in a load, with its share of the arrivals.
struct LoadClass {
  double share = 1;
  int prompt_bytes = 1024;
  int output_tokens = 16;
};

struct LoadOptions {
  std::string url;  // of an instance, or of an engine to measure it directly
  std::string caller_key;
  std::string model;
  std::string method = "POST";
  std::string path = "/v1/completions";
  double rate = 10;     // arrivals per second; used when concurrency is 0
  int concurrency = 0;  // closed loop with this many requests at a time
  Duration duration = std::chrono::seconds(10);
  int64_t max_requests = 1000000;
  int64_t deadline_ms = 60000;
  int shared_prefixes = 8;  // distinct prompts among which requests choose
  bool stream = true;
  uint64_t seed = 1;
  std::vector<LoadClass> classes;
};

// Outcome of one request. Negative durations were not reached.
struct LoadSample {
  std::string outcome;  // "ok", an error kind, "incomplete" or "unreachable"
  Duration first_token{-1};
  Duration total{-1};
  Duration largest_gap{-1};
  int token_events = 0;
  int64_t bytes = 0;
};

// Sends the load and returns one sample for each request. Open-loop arrivals
// are exponential from `seed`, and do not wait for answers. Blocks until all
// answers or their deadlines have passed.
std::vector<LoadSample> GenerateLoad(const LoadOptions& options);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_CLI_LOAD_GENERATOR_H_
