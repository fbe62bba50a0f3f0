#include "endiveyard/telemetry/request_log_lines.h"

#include <cstdlib>

namespace endiveyard {

void CollectRequestLogLines(std::istream& log,
                            const std::string& id,
                            std::vector<RequestLogLine>* lines) {
  const std::string request_field = "\"request\":\"" + id + "\"";
  const std::string time_field = "\"unix_ms\":";
  for (std::string line; std::getline(log, line);) {
    const size_t begin = line.find('{');
    const size_t time = line.find(time_field);
    if (begin == std::string::npos || time == std::string::npos ||
        line.find(request_field) == std::string::npos) {
      continue;
    }
    lines->push_back(
        {std::strtoll(line.c_str() + time + time_field.size(), nullptr, 10),
         line.substr(begin)});
  }
}

}  // namespace endiveyard
