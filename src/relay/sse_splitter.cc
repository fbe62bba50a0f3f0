#include "endiveyard/relay/sse_splitter.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

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

// Returns how far `id` is above `last_id`, at most the largest number, or 0 if
// it is not.
int64_t StepTo(int64_t id, int64_t last_id) {
  if (id <= last_id) {
    return 0;
  }
  const uint64_t step =
      static_cast<uint64_t>(id) - static_cast<uint64_t>(last_id);
  constexpr auto kMax = std::numeric_limits<int64_t>::max();
  return static_cast<int64_t>(std::min(step, static_cast<uint64_t>(kMax)));
}

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  partial_event_.append(bytes);
  has_gap_ = false;
  is_overlong_ = false;
  const std::string_view all = partial_event_;
  size_t begin = held_bytes_;  // of the event at the end
  size_t complete = 0;         // end of the events to return
  while (!has_gap_ && !is_overlong_) {
    const size_t line_end = FindLineEnd(all, scanned_);
    const size_t length = LineEndLength(all, line_end);
    const bool is_empty = line_end == line_begin_;
    is_overlong_ =
        !(is_empty && event_has_text_) && line_end - begin > kMaxEventBytes;
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
    } else if (event_has_text_ || has_returned_text_) {
      const size_t event_begin = std::exchange(begin, line_begin_);
      switch (RecordEvent(all.substr(event_begin, begin - event_begin))) {
        case EventOrder::kInSequence:
          complete = begin;
          break;
        case EventOrder::kHeld:
          // An event that was held before it is confirmed by it.
          complete = has_confirmed_held_ ? event_begin : complete;
          // What is held with an event is bounded like an event.
          is_overlong_ = begin - complete > 2 * kMaxEventBytes;
          break;
        case EventOrder::kOutOfSequence:
          has_gap_ = true;
          break;
      }
      has_returned_text_ = true;
      event_has_text_ = false;
    }
  }
  std::string events = partial_event_.substr(0, complete);
  partial_event_.erase(0, complete);
  line_begin_ -= complete;
  scanned_ -= complete;
  held_bytes_ = begin - complete;
  if (has_gap_ || is_overlong_) {
    DropPartialEvent();
  }
  return events;
}

void SseSplitter::BeginRun(const EventStepRule& rule) {
  step_rule_ = rule;
  largest_step_of_run_ = 0;
  unconfirmed_step_ = 0;
  has_step_of_one_ = false;
}

bool SseSplitter::IsEndInDoubt() const {
  // No later event shows how the target counts, so that the first one has to.
  const bool has_first_event = first_id_.has_value();
  return held_id_ && !MayCountTokens(has_step_of_one_ || has_first_event);
}

int64_t SseSplitter::LargestStepOfRun(bool is_complete) const {
  if (!is_complete) {
    return largest_step_of_run_;
  }
  const int64_t held_step = held_id_ ? StepTo(*held_id_, *last_id_) : 0;
  return std::max({largest_step_of_run_, unconfirmed_step_, held_step});
}

std::string SseSplitter::TakeHeldEvent() {
  if (held_id_) {
    RecordStep(*std::exchange(held_id_, std::nullopt));
  }
  std::string held = partial_event_.substr(0, held_bytes_);
  partial_event_.erase(0, held_bytes_);
  line_begin_ -= held_bytes_;
  scanned_ -= held_bytes_;
  held_bytes_ = 0;
  return held;
}

void SseSplitter::DropPartialEvent() {
  partial_event_.clear();
  doubted_id_ = held_id_ ? held_id_ : doubted_id_;
  held_id_.reset();
  held_bytes_ = 0;
  line_begin_ = 0;
  scanned_ = 0;
  uses_crlf_ = false;
  event_has_text_ = false;
  has_returned_text_ = false;
}

SseSplitter::EventOrder SseSplitter::RecordEvent(std::string_view event) {
  has_confirmed_held_ = false;
  const EventFields fields = ParseFields(event);
  if (!fields.has_id) {
    is_position_known_ = is_position_known_ && !fields.has_data;
    return held_id_ ? EventOrder::kHeld : EventOrder::kInSequence;
  }
  const EventOrder order =
      fields.id ? RecordId(*fields.id) : EventOrder::kOutOfSequence;
  if (order == EventOrder::kOutOfSequence) {
    // With one damaged id, what is followed by a higher and a lower one is
    // right.
    const bool follows_last = fields.id && held_id_ && *fields.id > *last_id_ &&
                              *fields.id <= *held_id_;
    is_position_known_ = is_position_known_ &&
                         (!last_id_ || follows_last || is_last_id_confirmed_);
  }
  return order;
}

SseSplitter::EventOrder SseSplitter::RecordId(int64_t id) {
  if (!last_id_) {
    first_id_ = last_id_ = id;
    return EventOrder::kInSequence;
  }
  if (StepTo(id, held_id_.value_or(*last_id_)) == 0) {
    return EventOrder::kOutOfSequence;
  }
  largest_step_of_run_ = std::max(largest_step_of_run_, unconfirmed_step_);
  if (held_id_) {
    largest_step_of_run_ =
        std::max(largest_step_of_run_, StepTo(*held_id_, *last_id_));
    if (!MayCountTokens(has_step_of_one_ || StepTo(id, *held_id_) == 1)) {
      return EventOrder::kOutOfSequence;
    }
    RecordStep(*std::exchange(held_id_, std::nullopt));
    has_confirmed_held_ = true;
  }
  const int64_t step = StepTo(id, *last_id_);
  const bool is_agreed =
      id == doubted_id_ && step_rule_.numbering != EventNumbering::kByOne;
  if (step <= std::max(step_rule_.trusted_step, largest_step_) || is_agreed) {
    RecordStep(id);
    return EventOrder::kInSequence;
  }
  held_id_ = id;
  return EventOrder::kHeld;
}

bool SseSplitter::MayCountTokens(bool has_step_of_one) const {
  // Tokens are counted from 0 on: a target has begun anew after a lower id.
  if (*last_id_ < 0 || step_rule_.numbering == EventNumbering::kByOne) {
    return false;
  }
  // A first event with an id above 1 has several tokens.
  const bool begins_by_one = !first_id_ || *first_id_ <= 1;
  return step_rule_.numbering == EventNumbering::kByTokens ||
         largest_step_ > 1 || !has_step_of_one || !begins_by_one;
}

void SseSplitter::RecordStep(int64_t id) {
  const int64_t step = StepTo(id, *last_id_);
  largest_step_ = std::max(largest_step_, step);
  unconfirmed_step_ = step;
  is_last_id_confirmed_ = step == 1;
  if (is_last_id_confirmed_) {
    largest_step_of_run_ = std::max(largest_step_of_run_, step);
  }
  has_step_of_one_ = has_step_of_one_ || step == 1;
  last_id_ = id;
  doubted_id_.reset();
}

}  // namespace endiveyard
