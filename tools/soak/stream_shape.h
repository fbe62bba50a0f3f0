#ifndef ENDIVEYARD_TOOLS_SOAK_STREAM_SHAPE_H_
#define ENDIVEYARD_TOOLS_SOAK_STREAM_SHAPE_H_

#include <cstddef>
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

// Returns a number that depends on `text` only and is evenly distributed.
size_t NumberOf(const std::string& text);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_STREAM_SHAPE_H_
