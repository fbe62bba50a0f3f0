#include "endiveyard/relay/sse_splitter.h"

#include <algorithm>
#include <charconv>

namespace endiveyard {
namespace {

struct EventFields {
  bool has_data = false;
  bool has_id = false;
  std::optional<int64_t> id;  // absent if the last id is no number
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

// Returns the end of the line that goes on at `from`, without its line end.
size_t FindLineEnd(std::string_view bytes, size_t from) {
  return std::min(bytes.find_first_of("\r\n", from), bytes.size());
}

// Returns the length of the line end at `at`: a newline, a carriage return or
// both; 0 if none is there, or if the next byte is needed to tell.
size_t LineEndLength(std::string_view bytes, size_t at) {
  const std::string_view end = bytes.substr(at, 2);
  if (end.empty() || end == "\r") {
    return 0;
  }
  return end == "\r\n" ? 2 : 1;
}

// Precondition: `event` ends with a line end.
EventFields ParseFields(std::string_view event) {
  EventFields fields;
  while (!event.empty()) {
    const size_t end = FindLineEnd(event, 0);
    const std::string_view line = event.substr(0, end);
    event.remove_prefix(end + std::max<size_t>(LineEndLength(event, end), 1));
    if (FieldValue(line, "data")) {
      fields.has_data = true;
    } else if (const auto value = FieldValue(line, "id")) {
      fields.has_id = true;
      int64_t id = 0;
      const char* const value_end = value->data() + value->size();
      const auto parsed = std::from_chars(value->data(), value_end, id);
      // The last id of an event counts, as for the caller.
      fields.id = parsed.ec == std::errc() && parsed.ptr == value_end
                      ? std::optional<int64_t>(id)
                      : std::nullopt;
    }
  }
  return fields;
}

// Returns true if `id` is one above `last_id`, without overflow.
bool Follows(int64_t id, int64_t last_id) {
  return id > last_id && id - 1 == last_id;
}

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  partial_event_.append(bytes);
  has_gap_ = false;
  is_overlong_ = false;
  const std::string_view all = partial_event_;
  size_t complete = 0;
  while (!has_gap_ && !is_overlong_) {
    const size_t line_end = FindLineEnd(all, scanned_);
    const size_t length = LineEndLength(all, line_end);
    const bool is_empty = line_end == line_begin_;
    is_overlong_ =
        !(is_empty && event_has_text_) && line_end - complete > kMaxEventBytes;
    if (is_overlong_ ||
        (length == 0 && !(is_empty && line_end < all.size() && !uses_crlf_))) {
      scanned_ = line_end;
      break;
    }
    // A newline that follows a carriage return later is an empty line.
    line_begin_ = scanned_ = line_end + std::max<size_t>(length, 1);
    if (!is_empty) {
      uses_crlf_ = length == 2;
      event_has_text_ = true;
    } else if (!event_has_text_ && !has_returned_text_) {
      continue;
    } else if (RecordEvent(all.substr(complete, line_begin_ - complete))) {
      complete = line_begin_;
      has_returned_text_ = true;
      event_has_text_ = false;
    } else {
      has_gap_ = true;
    }
  }
  std::string events = partial_event_.substr(0, complete);
  partial_event_.erase(0, complete);
  line_begin_ -= complete;
  scanned_ -= complete;
  if (has_gap_ || is_overlong_) {
    DropPartialEvent();
  }
  return events;
}

void SseSplitter::DropPartialEvent() {
  partial_event_.clear();
  line_begin_ = 0;
  scanned_ = 0;
  uses_crlf_ = false;
  event_has_text_ = false;
  has_returned_text_ = false;
}

bool SseSplitter::RecordEvent(std::string_view event) {
  const EventFields fields = ParseFields(event);
  if (!fields.has_id) {
    is_position_known_ = is_position_known_ && !fields.has_data;
    return true;
  }
  if (!fields.id || (last_id_ && !Follows(*fields.id, *last_id_))) {
    is_position_known_ =
        is_position_known_ && (!last_id_ || is_last_id_confirmed_);
    return false;
  }
  is_last_id_confirmed_ = last_id_.has_value();
  if (!last_id_) {
    first_id_ = fields.id;
  }
  last_id_ = fields.id;
  return true;
}

}  // namespace endiveyard
