#ifndef ENDIVEYARD_SRC_CLI_LOAD_GENERATOR_H_
#define ENDIVEYARD_SRC_CLI_LOAD_GENERATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Class of requests in the generated load, and its share of the arrivals.
struct LoadClass {
  double share = 1;  // relative to the shares of the other classes
  int prompt_bytes = 1024;
  int output_tokens = 16;
};

struct LoadOptions {
  std::string url;  // of an instance, or of an engine to measure it directly
  std::string caller_key;
  std::string model;
  std::string method = "POST";
  std::string path = "/v1/completions";
  double rate = 10;  // arrivals per second in the open loop
  int concurrency =
      0;  // closed loop with this many open requests; 0: open loop
  Duration duration = std::chrono::seconds(10);
  int64_t max_requests = 1000000;
  int64_t deadline_ms = 60000;
  int shared_prefixes = 8;  // distinct prompt prefixes, chosen at random
  bool stream = true;
  uint64_t seed = 1;
  std::vector<LoadClass> classes;
};

// Measurements of one request. A negative duration means that the request ended
// before the value could be measured.
struct LoadSample {
  std::string outcome;  // "ok", an error kind, "incomplete" or "unreachable"
  Duration first_token{-1};
  Duration total{-1};
  Duration largest_gap{-1};
  int token_events = 0;
  int64_t bytes = 0;
};

// Sends the load and returns one sample per finished request. Open-loop
// arrivals do not wait for responses; the intervals between them are
// exponentially distributed and drawn from `seed`. Blocks until every request
// has finished, or until 5 s after the deadline of the last one.
std::vector<LoadSample> GenerateLoad(const LoadOptions& options);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_CLI_LOAD_GENERATOR_H_
