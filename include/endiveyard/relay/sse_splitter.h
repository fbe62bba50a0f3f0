#ifndef ENDIVEYARD_RELAY_SSE_SPLITTER_H_
#define ENDIVEYARD_RELAY_SSE_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveyard {

// Splits a stream of server-sent events (SSE) at event boundaries. Only
// complete events are forwarded, so that a stream that fails in the middle of
// an event can be resumed on another target after the last complete one. An
// empty line ends an event, also one without lines unless the stream begins
// with it: that alone is no sign of an answer. As in the standard, lines end
// with a newline, a carriage return or both.
class SseSplitter {
 public:
  // Limit on the size of one event without its end. Events hold some tokens
  // each, a few hundred bytes; the limit bounds the memory that a faulty target
  // can take.
  static constexpr size_t kMaxEventBytes = 65536;

  // Appends bytes of the stream and returns the events that are now complete.
  // They end before the first event that is out of sequence or too long; what
  // follows it is discarded.
  std::string Feed(std::string_view bytes);

  // Discards the partial event at the end, before the stream is resumed on
  // another target.
  void DropPartialEvent();

  // Sets the id of the last event that the caller already has. The next event
  // is expected to have the id after it.
  void StartAfter(int64_t id) {
    last_id_ = id;
    is_last_id_confirmed_ = true;
  }

  // Forgets the ids of events that were returned and are not passed on.
  void ForgetIds() {
    first_id_.reset();
    last_id_.reset();
    is_last_id_confirmed_ = false;
  }

  // Id of the first returned event that had one, if nothing precedes it.
  std::optional<int64_t> first_id() const { return first_id_; }
  // Id of the last returned event that had one.
  std::optional<int64_t> last_id() const { return last_id_; }
  // False if `last_id()` may not be the position of the caller in the stream:
  // an event with data had no id, or the first id was followed by one that does
  // not fit, so that either of them may be wrong.
  bool is_position_known() const { return is_position_known_; }
  // True when the last Feed() met an event whose id is no number, or is not one
  // above the id before it.
  bool has_gap() const { return has_gap_; }
  bool has_partial_event() const { return !partial_event_.empty(); }
  // True after a Feed() that met an event above `kMaxEventBytes`. Its bytes are
  // not kept, and the rest of the stream cannot be split.
  bool is_overlong() const { return is_overlong_; }

 private:
  // Records the id of `event`. Returns false if it is out of sequence.
  bool RecordEvent(std::string_view event);

  std::string partial_event_;
  std::optional<int64_t> first_id_;
  std::optional<int64_t> last_id_;
  // `last_id_` follows the id before it, or was set by StartAfter().
  bool is_last_id_confirmed_ = false;
  bool is_position_known_ = true;
  size_t line_begin_ = 0;  // of the last line of `partial_event_`
  // Bytes of `partial_event_` in which there is no further line end.
  size_t scanned_ = 0;
  // The last line with text ended with two bytes. An empty line that ends with
  // a carriage return is then complete with the next byte only.
  bool uses_crlf_ = false;
  bool event_has_text_ = false;  // the event at the end of `partial_event_`
  bool has_returned_text_ = false;
  bool has_gap_ = false;
  bool is_overlong_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_RELAY_SSE_SPLITTER_H_
