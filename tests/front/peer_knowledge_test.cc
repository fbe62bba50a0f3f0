#include "front/peer_knowledge.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace endiveyard {
namespace {

constexpr int64_t kMaxNumber = std::numeric_limits<int64_t>::max();

}  // namespace

// Guards against a 404 on the word of an instance with another configuration,
// and against one that waits for its own watch although others know more.
BOOST_AUTO_TEST_CASE(ServiceMapsAreComparedByVersion) {
  constexpr struct {
    int64_t own;
    int64_t told;
    PeerKnowledge expected;
  } kCases[] = {
      {0, 0, PeerKnowledge::kSame},
      {0, 1, PeerKnowledge::kNewer},
      {1, 0, PeerKnowledge::kOlder},
      {7, 6, PeerKnowledge::kOlder},
      {7, 7, PeerKnowledge::kSame},
      {7, 8, PeerKnowledge::kNewer},
      {kMaxNumber - 1, kMaxNumber, PeerKnowledge::kNewer},
      {kMaxNumber, kMaxNumber, PeerKnowledge::kSame},
  };
  for (const auto& it : kCases) {
    PeerLoadReport report;
    report.map_version = it.told;
    BOOST_TEST((CompareServiceMaps(it.own, report) == it.expected),
               "own " << it.own << ", told " << it.told);
  }
}

// Guards against replicas that stay in use on the word of an instance that was
// told of them before a restore, or that has not read them yet.
BOOST_AUTO_TEST_CASE(ReplicasAreComparedWithinOneEra) {
  constexpr MirrorPosition kOwn = {3, 10, 8};  // era, revision, last change
  constexpr MirrorPosition kReadsList = {3, 0, 8};
  constexpr struct {
    MirrorPosition own;
    int64_t told_era;
    int64_t told_change;
    std::optional<PeerKnowledge> expected;
  } kCases[] = {
      {kOwn, 3, 11, PeerKnowledge::kNewer},
      {kOwn, 3, kMaxNumber, PeerKnowledge::kNewer},
      // Revisions between belong to objects of other kinds.
      {kOwn, 3, 10, PeerKnowledge::kSame},
      {kOwn, 3, 8, PeerKnowledge::kSame},
      // This instance has heard of a change that was made later.
      {kOwn, 3, 7, PeerKnowledge::kSame},
      {kOwn, 3, 0, std::nullopt},
      {kOwn, 2, 11, std::nullopt},
      {kOwn, 4, 8, std::nullopt},
      {kOwn, 0, 8, std::nullopt},
      {kReadsList, 3, 11, std::nullopt},
      {MirrorPosition(), 0, 0, std::nullopt},
  };
  for (const auto& it : kCases) {
    PeerLoadReport report;
    report.replica_era = it.told_era;
    report.replica_change = it.told_change;
    BOOST_TEST((CompareReplicas(it.own, report) == it.expected),
               "told change " << it.told_change << " of era " << it.told_era);
  }
}

}  // namespace endiveyard
