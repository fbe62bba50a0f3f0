#include "soak/stream_shape.h"

#include <cstdint>
#include <random>

namespace endiveyard::soak {
namespace {

// Clients append "-N" to the id of a request that they repeat.
constexpr int kPartsOfId = 3;

std::string FirstIdOf(const std::string& id) {
  size_t end = std::string::npos;
  size_t begin = 0;
  for (int n = 0; n < kPartsOfId; ++n) {
    end = id.find('-', begin);
    if (end == std::string::npos) {
      return id;
    }
    begin = end + 1;
  }
  return id.substr(0, end);
}

}  // namespace

size_t NumberOf(const std::string& text) {
  // FNV-1a.
  uint64_t hash = 14695981039346656037ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return std::mt19937_64(hash)();
}

StreamShape ShapeOf(const std::string& id) {
  constexpr int kMinEvents = 2;
  constexpr int kMaxShortEvents = 12;
  constexpr int kMaxEvents = 60;
  constexpr int kMaxPaddingBytes = 6000;
  constexpr int kMaxPauseMs = 900;
  std::mt19937_64 random(NumberOf(FirstIdOf(id)));
  const auto draw = [&random](int min, int max) {
    return min +
           static_cast<int>(random() % static_cast<size_t>(max - min + 1));
  };
  StreamShape shape;
  const bool is_long = draw(1, 4) == 1;
  shape.events = draw(kMinEvents, is_long ? kMaxEvents : kMaxShortEvents);
  shape.padding_bytes =
      draw(1, 8) == 1 ? static_cast<size_t>(draw(1, kMaxPaddingBytes)) : 0;
  shape.max_interval_ms = is_long ? 10 : 20;
  if (draw(1, 16) == 1) {
    shape.pause_before_event = draw(kMinEvents, shape.events);
    shape.pause_ms = draw(1, kMaxPauseMs);
  }
  return shape;
}

int64_t EventIdOf(const std::string& request, int number, bool counts_tokens) {
  if (!counts_tokens) {
    return number;
  }
  std::mt19937_64 random(NumberOf("tokens of " + FirstIdOf(request)));
  int64_t id = 0;
  for (int n = 0; n < number; ++n) {
    id += 1 + static_cast<int64_t>(random() % kMaxTokensOfEvent);
  }
  return id;
}

std::optional<int> EventNumberOf(const std::string& request,
                                 int64_t event_id,
                                 bool counts_tokens) {
  for (int n = 0; n <= ShapeOf(request).events; ++n) {
    if (EventIdOf(request, n, counts_tokens) == event_id) {
      return n;
    }
  }
  return std::nullopt;
}

}  // namespace endiveyard::soak
