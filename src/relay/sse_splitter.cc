#include "endiveyard/relay/sse_splitter.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace endiveyard {
namespace {

struct EventFields {
  bool has_data = false;
  bool has_id = false;
  std::optional<int64_t> id;  // absent if the id is no number
};

// Returns the value of `line` if it is that of the field `name`.
std::optional<std::string_view> FieldValue(std::string_view line,
                                           std::string_view name) {
  if (line.substr(0, name.size()) != name) {
    return std::nullopt;
  }
  line.remove_prefix(name.size());
  if (!line.empty() && line.front() != ':') {
    return std::nullopt;
  }
  line.remove_prefix(line.empty() ? 0 : 1);
  while (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return line;
}

EventFields ParseFields(std::string_view event) {
  EventFields fields;
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (FieldValue(line, "data")) {
      fields.has_data = true;
    } else if (const auto value = FieldValue(line, "id")) {
      fields.has_id = true;
      int64_t id = 0;
      const char* const value_end = value->data() + value->size();
      const auto parsed = std::from_chars(value->data(), value_end, id);
      if (parsed.ec == std::errc() && parsed.ptr == value_end) {
        fields.id = id;
      }
    }
  }
  return fields;
}

// Returns the end of the first event that ends after `from`, with its empty
// line, or npos if there is none. `from` has to be at or before the newline
// that precedes the empty line.
size_t FindEventEnd(std::string_view bytes, size_t from) {
  for (size_t n = bytes.find('\n', from); n != std::string_view::npos;
       n = bytes.find('\n', n + 1)) {
    const std::string_view rest = bytes.substr(n + 1);
    if (rest.substr(0, 1) == "\n") {
      return n + 2;
    }
    if (rest.substr(0, 2) == "\r\n") {
      return n + 3;
    }
  }
  return std::string_view::npos;
}

// Longest end of an event: a newline and an empty line.
constexpr size_t kMaxEventEndBytes = 3;

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  partial_event_.append(bytes);
  has_gap_ = false;
  is_overlong_ = false;
  const std::string_view all = partial_event_;
  size_t complete = 0;
  size_t end = FindEventEnd(all, scanned_);
  while (end != std::string_view::npos && !has_gap_) {
    if (RecordEvent(all.substr(complete, end - complete))) {
      complete = end;
      end = FindEventEnd(all, complete);
    } else {
      has_gap_ = true;
    }
  }
  std::string events = partial_event_.substr(0, complete);
  partial_event_.erase(0, complete);
  if (has_gap_) {
    DropPartialEvent();
  } else if (partial_event_.size() > kMaxEventBytes) {
    DropPartialEvent();
    is_overlong_ = true;
  }
  // The next bytes may complete an end that begins in the last bytes.
  scanned_ = partial_event_.size() -
             std::min(partial_event_.size(), kMaxEventEndBytes - 1);
  return events;
}

void SseSplitter::DropPartialEvent() {
  partial_event_.clear();
  scanned_ = 0;
}

bool SseSplitter::RecordEvent(std::string_view event) {
  const EventFields fields = ParseFields(event);
  if (!fields.has_id) {
    is_position_known_ = is_position_known_ && !fields.has_data;
    return true;
  }
  // Nothing follows the largest id, which a caller may name.
  const bool follows =
      !last_id_ || (*last_id_ != std::numeric_limits<int64_t>::max() &&
                    fields.id == *last_id_ + 1);
  if (!fields.id || !follows) {
    is_position_known_ =
        is_position_known_ && (!last_id_ || is_last_id_confirmed_);
    return false;
  }
  is_last_id_confirmed_ = last_id_.has_value();
  last_id_ = fields.id;
  return true;
}

}  // namespace endiveyard
