#ifndef ENDIVEYARD_TELEMETRY_JSON_LOG_H_
#define ENDIVEYARD_TELEMETRY_JSON_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Returns `text` as a JSON string, with quotes.
std::string JsonQuoted(std::string_view text);

// Formats the fields of a JSON object in the order of the calls. Each field
// starts with a comma, to follow the fields that JsonLog writes first.
class JsonFields {
 public:
  JsonFields& Text(std::string_view name, std::string_view value);
  JsonFields& Number(std::string_view name, double value);
  JsonFields& Integer(std::string_view name, int64_t value);
  JsonFields& Flag(std::string_view name, bool value);
  JsonFields& Millis(std::string_view name, Duration value);

  const std::string& text() const { return text_; }

 private:
  void AppendName(std::string_view name);

  std::string text_;
};

struct JsonLogOptions {
  int fd = 1;
  // Request lines beyond this limit are counted by event instead of written.
  // Writing this many takes below 1 % of the time of a quarter of a CPU core.
  int max_lines_per_second = 400;
  // Limit of the buffer that holds lines until the reader of `fd` takes them.
  size_t max_buffered_bytes = 262144;
};

// Writes events as lines of JSON without blocking. Lines above the rate limit
// or beyond the buffer are suppressed: they are counted by event number, and
// the counts are written as log_lines_suppressed events. Not thread-safe.
class JsonLog {
 public:
  using Options = JsonLogOptions;

  explicit JsonLog(std::string instance, Options options = {});

  // Precondition: `number` is in the catalogue of log events.
  void Log(int number, const JsonFields& fields, TimePoint now);

  // Writes the buffered lines and, once a rate-limit window is over, the counts
  // of the lines suppressed in it. To be called several times per second.
  void Flush(TimePoint now);

  uint64_t suppressed() const { return suppressed_total_; }

 private:
  void AppendLine(int number, std::string_view name, std::string_view fields);
  // Starts a new rate-limit window if the current one is over.
  void UpdateWindow(TimePoint now);
  // Writes as much of the buffer as the file descriptor takes.
  void WriteBuffer();

  const std::string instance_;
  const Options options_;
  std::string buffer_;
  TimePoint window_start_{};
  int lines_in_window_ = 0;
  std::map<int, uint64_t> suppressed_by_event_;  // not yet written
  uint64_t suppressed_total_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_JSON_LOG_H_
