#ifndef ENDIVEYARD_TELEMETRY_JSON_LOG_H_
#define ENDIVEYARD_TELEMETRY_JSON_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Builds one JSON object field by field, in order.
class JsonFields {
 public:
  JsonFields& Text(std::string_view name, std::string_view value);
  JsonFields& Number(std::string_view name, double value);
  JsonFields& Integer(std::string_view name, int64_t value);
  JsonFields& Flag(std::string_view name, bool value);
  JsonFields& Millis(std::string_view name, Duration value);

  const std::string& text() const { return text_; }

 private:
  void Name(std::string_view name);

  std::string text_;
};

struct JsonLogOptions {
  int fd = 1;
  // Lines beyond this a second are counted by event instead of written. A
  // quarter of a core spends below 1 % of its time on this many.
  int max_lines_per_second = 400;
  // Bytes kept while the reader of the log is slow.
  size_t max_buffered_bytes = 262144;
};

// Writes one JSON object a line and never blocks: lines that the reader does
// not take in time are counted, and the counts are written when there is room.
// Single-threaded.
class JsonLog {
 public:
  using Options = JsonLogOptions;

  explicit JsonLog(std::string instance, Options options = {});

  // `number` is an entry of the log event catalogue.
  void Log(int number, const JsonFields& fields, TimePoint now);

  // Writes what is buffered, and the counts of suppressed lines of a second
  // that is over. Call it a few times a second.
  void Flush(TimePoint now);

  uint64_t suppressed() const { return suppressed_total_; }

 private:
  void Append(int number, std::string_view name, std::string_view fields);
  void StartSecond(TimePoint now);
  void Write();

  const std::string instance_;
  const Options options_;
  std::string buffer_;
  TimePoint second_{};
  int lines_in_second_ = 0;
  std::map<int, uint64_t> suppressed_;
  uint64_t suppressed_total_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_JSON_LOG_H_
