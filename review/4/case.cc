// Replicas hand out a few wrong bytes: in one of 34 streams, the id of one
// event is wrong. The route is resumable and other replicas are sound.
#include "../support/streams.h"

namespace review {
namespace {

constexpr int kWrongId = 9;

bool IsOutOfOrder(const Message& response, bool complete) {
  if (!complete || response.Status() != 200) {
    return false;
  }
  const std::vector<int> pieces = PiecesOf(response.body);
  bool in_order = pieces.size() == static_cast<size_t>(kEventsOfStream);
  for (size_t n = 0; n < pieces.size(); ++n) {
    in_order = in_order && pieces[n] == static_cast<int>(n) + 1;
  }
  return !in_order;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) {
    return review::kCannotRun;
  }
  review::RunStreamCase(
      argv[1],
      {"ORDER",
       [](review::Connection& connection) {
         return connection.Send(review::EncodeChunk(
             review::EncodeEvent(review::kWrongId, review::kSpoiledEvent)));
       },
       review::IsOutOfOrder});
}
