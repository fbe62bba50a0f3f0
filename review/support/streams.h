#ifndef ENDIVEYARD_REVIEW_SUPPORT_STREAMS_H_
#define ENDIVEYARD_REVIEW_SUPPORT_STREAMS_H_

#include <functional>
#include <string>
#include <vector>

#include "support.h"

namespace review {

inline constexpr int kEventsOfStream = 20;
// The event of a spoiled stream at which the replica gets it wrong.
inline constexpr int kSpoiledEvent = 6;

// What differs between the cases in which replicas spoil some of their streams.
struct StreamCase {
  std::string rule;
  // Sends what the replica sends in place of the spoiled event. Returns false
  // if the stream ends with it.
  std::function<bool(Connection& connection)> send_spoiled_event;
  // Returns true if a client may not get such a response.
  std::function<bool(const Message& response, bool complete)> is_wrong;
};

std::string EncodeChunk(const std::string& bytes);
// An event of a sound stream. `id` differs from `piece` in a spoiled one only.
std::string EncodeEvent(int id, int piece);
// Returns the numbers of the pieces in the body of a stream.
std::vector<int> PiecesOf(const std::string& body);

// Plays a resumable route with five replicas, three of which spoil one in 34 of
// their streams for five seconds.
[[noreturn]] void RunStreamCase(const std::string& folder,
                                const StreamCase& stream_case);

}  // namespace review

#endif  // ENDIVEYARD_REVIEW_SUPPORT_STREAMS_H_
