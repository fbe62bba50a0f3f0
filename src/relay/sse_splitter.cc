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

// Longest end of an event: a newline and an empty line.
constexpr size_t kMaxEventEndBytes = 3;
constexpr size_t kMaxWholeEventBytes =
    SseSplitter::kMaxEventBytes + kMaxEventEndBytes;

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  partial_event_.append(bytes);
  has_gap_ = false;
  is_overlong_ = false;
  const std::string_view all = partial_event_;
  size_t complete = 0;
  while (!has_gap_ && !is_overlong_) {
    const size_t newline = all.find('\n', scanned_);
    if (newline == std::string_view::npos) {
      scanned_ = all.size();
      break;
    }
    const std::string_view line =
        all.substr(line_begin_, newline - line_begin_);
    line_begin_ = scanned_ = newline + 1;
    if (!line.empty() && line != "\r") {
      continue;
    }
    const std::string_view event = all.substr(complete, line_begin_ - complete);
    if (event.size() > kMaxWholeEventBytes) {
      is_overlong_ = true;
    } else if (RecordEvent(event)) {
      complete = line_begin_;
    } else {
      has_gap_ = true;
    }
  }
  std::string events = partial_event_.substr(0, complete);
  partial_event_.erase(0, complete);
  line_begin_ -= complete;
  scanned_ -= complete;
  // An event without its end is too long already.
  is_overlong_ = !has_gap_ &&
                 (is_overlong_ || partial_event_.size() >= kMaxWholeEventBytes);
  if (has_gap_ || is_overlong_) {
    DropPartialEvent();
  }
  return events;
}

void SseSplitter::DropPartialEvent() {
  partial_event_.clear();
  line_begin_ = 0;
  scanned_ = 0;
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
  last_id_ = fields.id;
  return true;
}

}  // namespace endiveyard
