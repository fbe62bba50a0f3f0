#ifndef ENDIVEYARD_TOOLS_SOAK_STREAM_SHAPE_H_
#define ENDIVEYARD_TOOLS_SOAK_STREAM_SHAPE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace endiveyard::soak {

// A stream, the same for the request that begins it and those that take it up.
struct StreamShape {
  int events = 0;
  size_t padding_bytes = 0;    // of each event
  int max_interval_ms = 0;     // before an event
  int pause_before_event = 0;  // 0 for none
  int pause_ms = 0;
};

// Returns the shape of the stream that the request `id` begins or takes up.
StreamShape ShapeOf(const std::string& id);

// Returns the id of the event `number` of the stream that the request begins or
// takes up: its number, or that of the tokens so far. Events have 1 to
// kMaxTokensOfEvent tokens then.
inline constexpr int kMaxTokensOfEvent = 4;
int64_t EventIdOf(const std::string& request, int number, bool counts_tokens);
// Returns the number of the event with this id, 0 for the beginning, or nullopt
// if the stream has none.
std::optional<int> EventNumberOf(const std::string& request,
                                 int64_t event_id,
                                 bool counts_tokens);

// Returns a number that depends on `text` only and is evenly distributed.
size_t NumberOf(const std::string& text);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_STREAM_SHAPE_H_
