#ifndef ENDIVEYARD_RELAY_SSE_SPLITTER_H_
#define ENDIVEYARD_RELAY_SSE_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "endiveyard/placement/event_steps.h"

namespace endiveyard {

// Splits a stream of server-sent events (SSE) at event boundaries. Only
// complete events are forwarded, so that a stream that fails in the middle of
// an event can be resumed on another target after the last complete one. An
// empty line ends an event, also one without lines unless the stream begins
// with it: that alone is no sign of an answer. As in the standard, lines end
// with a newline, a carriage return or both.
//
// Ids increase, by one or, where they count tokens, by more. An event whose id
// has a larger step than is expected of the target is held until the next one:
// if that has a lower id, the id of the held one is damaged, and the stream
// would be resumed behind events that the caller lacks. If a target is not
// known to count tokens, the next step has to be a larger one as well. Between
// steps of one, events are missing.
class SseSplitter {
 public:
  // Limit on the size of one event without its end. Events hold some tokens
  // each, a few hundred bytes; the limit bounds the memory that a faulty target
  // can take.
  static constexpr size_t kMaxEventBytes = 65536;

  // Begins a run of the stream at a target, which may use these steps between
  // ids. Without a rule, steps are one, or larger ones that are confirmed.
  void BeginRun(const EventStepRule& rule);

  // Returns true if a target with this rule numbers events as in the stream so
  // far, so that an id means the same position to it.
  bool IsNumberedLike(const EventStepRule& rule) const {
    const bool counts_tokens =
        largest_step_ > 1 || step_rule_.numbering == EventNumbering::kByTokens;
    return rule.numbering == EventNumbering::kUnknown ||
           (counts_tokens ? rule.numbering == EventNumbering::kByTokens
                          : step_rule_.numbering != EventNumbering::kByOne ||
                                rule.numbering == EventNumbering::kByOne);
  }

  // Appends bytes of the stream and returns the events that are now complete.
  // They end before the first event that is out of sequence, held or too long;
  // what follows one that is out of sequence or too long is discarded.
  std::string Feed(std::string_view bytes);

  // Returns the held event, if there is one, when the stream has ended as
  // complete. To be called unless IsEndInDoubt().
  std::string TakeHeldEvent();
  // True if the last event is held, and the stream began like one that counts
  // by one: the id of the event is damaged, or events are missing.
  bool IsEndInDoubt() const;

  // Discards the partial event at the end and one that is held, before the
  // stream is resumed on another target. If that one gives the same id to the
  // next event and is not known to count by one, the id is right.
  void DropPartialEvent();

  // Sets the id of the last event that the caller already has. The next event
  // is expected to have a higher one.
  void StartAfter(int64_t id) {
    last_id_ = id;
    is_last_id_confirmed_ = true;
  }

  // Forgets the ids of events that were returned and are not passed on.
  void ForgetIds() {
    first_id_.reset();
    last_id_.reset();
    held_id_.reset();
    doubted_id_.reset();
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
  // True when the last Feed() met an event whose id is no number or not above
  // the id before it, or one that shows that events are missing.
  bool has_gap() const { return has_gap_; }
  bool has_partial_event() const { return partial_event_.size() > held_bytes_; }
  bool has_held_event() const { return held_bytes_ > 0; }
  // Returns the largest step of this run that is one, or that a later id has
  // confirmed; 0 if there is none. The end of a complete response confirms the
  // last step.
  int64_t LargestStepOfRun(bool is_complete) const;
  // True after a Feed() that met an event above `kMaxEventBytes`. Its bytes are
  // not kept, and the rest of the stream cannot be split.
  bool is_overlong() const { return is_overlong_; }

 private:
  enum class EventOrder { kInSequence, kHeld, kOutOfSequence };

  // Records the id of `event`, unless it is out of sequence. An event that is
  // held from now on is recorded with the next one.
  EventOrder RecordEvent(std::string_view event);
  EventOrder RecordId(int64_t id);
  // Records the id of an event that is returned. Precondition: it has a
  // predecessor.
  void RecordStep(int64_t id);
  // Returns true if larger steps are those of a target that counts tokens.
  // `has_step_of_one` says whether there is one beside them.
  bool MayCountTokens(bool has_step_of_one) const;

  // Begins with the event that is held, and what follows it up to the next id.
  std::string partial_event_;
  size_t held_bytes_ = 0;
  std::optional<int64_t> held_id_;
  // Id of an event that was held and dropped, which followed `last_id_`.
  std::optional<int64_t> doubted_id_;
  // The last id has confirmed the held event.
  bool has_confirmed_held_ = false;
  EventStepRule step_rule_;
  int64_t largest_step_ = 0;  // in all runs
  int64_t largest_step_of_run_ = 0;
  // The last step of this run that was returned, until a later id confirms it.
  int64_t unconfirmed_step_ = 0;
  bool has_step_of_one_ = false;  // in this run
  std::optional<int64_t> first_id_;
  std::optional<int64_t> last_id_;
  // `last_id_` is one above the id before it, or was set by StartAfter().
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
