#include "endiveyard/placement/event_steps.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

const StreamGroup kGroup = {"svc", "v1", ""};

// Streams of one group, a second apart.
class Streams {
 public:
  void Record(uint64_t replica, int64_t largest_step, int count) {
    for (int n = 0; n < count; ++n) {
      now_ += std::chrono::seconds(1);
      steps_.Record(kGroup, replica, largest_step, now_);
    }
  }
  EventStepRule Rule(uint64_t replica) {
    return steps_.RuleFor(kGroup, replica, now_);
  }
  bool IsMixed() { return steps_.IsMixed(kGroup, now_); }
  int64_t LargestStep() { return steps_.LargestStepOf(kGroup, now_); }

 private:
  TimePoint now_ = TimePointFromMicros(1000000);
  EventSteps steps_;
};

}  // namespace

// Guards against sound streams that are cut at each event with several tokens,
// at replicas that have shown them and at those that have just started.
BOOST_AUTO_TEST_CASE(ReplicasThatCountTokensAreTrusted) {
  Streams streams;
  BOOST_TEST((streams.Rule(1) == EventStepRule{}));
  BOOST_TEST(streams.LargestStep() == 0);
  streams.Record(1, 1, kStreamsByTokens);
  streams.Record(1, 3, kStreamsByTokens - 1);
  streams.Record(1, 5, 1);
  BOOST_TEST((streams.Rule(1) == EventStepRule{EventNumbering::kByTokens, 5}));
  BOOST_TEST((streams.Rule(2) == EventStepRule{EventNumbering::kByTokens, 1}));
  BOOST_TEST(streams.LargestStep() == 5);
}

// Guards against a stream that is passed on although an event is missing: one
// replica in doubt does not change how others count.
BOOST_AUTO_TEST_CASE(ReplicasThatCountByOneAreHeldToIt) {
  const EventStepRule by_one = {EventNumbering::kByOne, 1};
  Streams streams;
  streams.Record(1, 1, kStreamsByOne);
  BOOST_TEST((streams.Rule(1) == EventStepRule{}));
  streams.Record(2, 1, kStreamsByOne);
  BOOST_TEST((streams.Rule(1) == by_one));
  BOOST_TEST((streams.Rule(3) == by_one));
  streams.Record(1, 1, 8 * kStreamsByTokens);
  streams.Record(1, 2, kStreamsByTokens - 1);
  BOOST_TEST((streams.Rule(1) == by_one));
  BOOST_TEST(streams.LargestStep() == 1);
  // Runs without two ids show nothing.
  streams.Record(3, 0, 100);
  BOOST_TEST((streams.Rule(3) == by_one));
}

// Guards against replicas of one software version that are held to what others
// of it do.
BOOST_AUTO_TEST_CASE(EachReplicaOfAMixedGroupCountsAsItDoes) {
  Streams streams;
  streams.Record(1, 1, kStreamsOfCertainStep);
  BOOST_TEST(!streams.IsMixed());
  streams.Record(2, 3, kStreamsByTokens);
  BOOST_TEST(streams.IsMixed());
  BOOST_TEST((streams.Rule(1).numbering == EventNumbering::kByOne));
  BOOST_TEST((streams.Rule(2).numbering == EventNumbering::kByTokens));
  BOOST_TEST((streams.Rule(3) == EventStepRule{}));
}

}  // namespace endiveyard
