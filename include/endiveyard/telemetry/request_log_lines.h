#ifndef ENDIVEYARD_TELEMETRY_REQUEST_LOG_LINES_H_
#define ENDIVEYARD_TELEMETRY_REQUEST_LOG_LINES_H_

#include <istream>
#include <string>
#include <vector>

namespace endiveyard {

// One JSON line of an instance's log.
struct RequestLogLine {
  int64_t unix_ms = 0;
  std::string text;

  bool operator<(const RequestLogLine& other) const {
    return unix_ms < other.unix_ms;
  }
};

// Appends the lines of `log` that belong to the request `id` to `lines`. Text
// before the JSON object of a line, such as a prefix added by a log collector,
// is dropped. O(size of the log).
void CollectRequestLogLines(std::istream& log,
                            const std::string& id,
                            std::vector<RequestLogLine>* lines);

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_REQUEST_LOG_LINES_H_
