#include "gateway/sse_parser.h"

#include <utility>

namespace endiveyard {

bool SseParser::Feed(std::string_view bytes,
                     std::vector<std::string>* payloads) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() + data_.size() > kMaxEventBytes) {
      return false;
    }
    if (end == std::string_view::npos) {
      return true;
    }
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') {
      line_.pop_back();
    }
    ProcessLine(line_, payloads);
    line_.clear();
  }
  return true;
}

void SseParser::ProcessLine(std::string_view line,
                            std::vector<std::string>* payloads) {
  if (line.empty()) {
    if (has_data_) {
      payloads->push_back(std::move(data_));
      data_.clear();
      has_data_ = false;
    }
    return;
  }
  constexpr std::string_view kField = "data:";
  if (line.substr(0, kField.size()) != kField) {
    return;
  }
  line.remove_prefix(kField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (has_data_) {
    data_.push_back('\n');
  }
  data_.append(line);
  has_data_ = true;
}

}  // namespace endiveyard
