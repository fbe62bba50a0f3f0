#include "endiveyard/placement/stream_starts.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

const StreamGroup kGroup = {"svc", "v1", "chat"};

// Streams of one group, a second apart.
class Streams {
 public:
  bool Begin(uint64_t replica, int64_t first_id) {
    return BeginIn(kGroup, replica, first_id);
  }
  bool BeginIn(const StreamGroup& group, uint64_t replica, int64_t first_id) {
    now_ += std::chrono::seconds(1);
    return starts_.Record(group, replica, first_id, largest_step_, now_);
  }
  void Wait(Duration time) { now_ += time; }
  void Know(const std::vector<StreamStart>& known) {
    starts_.RecordKnown(known);
  }
  std::vector<StreamStart> Learned() const { return starts_.Learned(now_); }
  void set_largest_step(int64_t step) { largest_step_ = step; }
  bool TakeUnknownGroupMet() { return starts_.TakeUnknownGroupMet(); }

 private:
  int64_t largest_step_ = 1;
  TimePoint now_ = TimePointFromMicros(1000000);
  StreamStarts starts_;
};

}  // namespace

// Guards against a stream that is passed on as whole although its first events
// are missing, once two replicas have shown where streams begin.
BOOST_AUTO_TEST_CASE(StreamsThatBeginLateAreFound) {
  for (const int64_t start : {0, 1, 2, 1000}) {
    Streams streams;
    for (int n = 0; n < kStreamsOfHabit; ++n) {
      BOOST_TEST(streams.Begin(1, start));
      BOOST_TEST(streams.Begin(2, start));
    }
    BOOST_TEST(!streams.Begin(1, start + 2));
    BOOST_TEST(!streams.Begin(3, start + 1));
    BOOST_TEST(streams.Begin(3, start));
    // Nothing can be missing before.
    BOOST_TEST(streams.Begin(3, start - 1));
  }
}

// Guards against streams that are refused where nothing shows how they begin:
// the first ones, whatever their ids, and those of a service whose replicas
// count the events of all streams.
BOOST_AUTO_TEST_CASE(StreamsPassWhereNothingIsKnown) {
  Streams streams;
  for (uint64_t replica = 1; replica <= 20; ++replica) {
    BOOST_TEST(streams.Begin(replica, 1));
  }
  for (int64_t n = 1; n <= 20; ++n) {
    for (uint64_t replica = 1; replica <= 20; ++replica) {
      BOOST_TEST(streams.Begin(replica, 40 * n + 1));
    }
  }
}

// Guards against other streams being judged by those of another group.
BOOST_AUTO_TEST_CASE(GroupsOfStreamsAreSeparate) {
  Streams streams;
  for (int n = 0; n < kStreamsOfHabit; ++n) {
    streams.Begin(1, 1);
    streams.Begin(2, 1);
  }
  BOOST_TEST(streams.BeginIn({"svc", "v2", "chat"}, 3, 7));
  BOOST_TEST(streams.BeginIn({"svc", "v1", "list"}, 1, 7));
  BOOST_TEST(streams.BeginIn({"other", "v1", "chat"}, 1, 7));
  BOOST_TEST(!streams.Begin(3, 7));
}

// Guards against a service whose streams are refused for ever after they begin
// with another id, at first at one replica.
BOOST_AUTO_TEST_CASE(NewConventionsAreTakenOver) {
  Streams streams;
  for (uint64_t replica = 1; replica <= 8; ++replica) {
    streams.Begin(replica, 0);
    streams.Begin(replica, 0);
  }
  int refused = 0;
  for (int n = 0; n < 10; ++n) {
    for (const uint64_t replica : {11, 12}) {
      refused += streams.Begin(replica, 1) ? 0 : 1;
    }
  }
  BOOST_TEST(refused <= kStreamsOfHigherHabit * kReplicasOfConvention);
  BOOST_TEST(streams.Begin(13, 1));
  BOOST_TEST(streams.Begin(1, 0));
  BOOST_TEST(!streams.Begin(1, 2));
}

// Guards against one faulty replica that decides how streams begin, and against
// a fault in many streams of all replicas that comes to count as right.
BOOST_AUTO_TEST_CASE(FaultsDoNotBecomeConventions) {
  Streams streams;
  for (int n = 0; n < 50; ++n) {
    BOOST_TEST(streams.Begin(1, 3) == (n < kStreamsOfHabit));
    for (uint64_t replica = 2; replica <= 5; ++replica) {
      BOOST_TEST(streams.Begin(replica, 1));
      if (n > kStreamsOfHabit && n % 4 == 0) {
        BOOST_TEST(!streams.Begin(replica, 3));
      }
    }
  }
}

// Guards against a fault that counts as right because it came first: the first
// streams of two replicas lack events.
BOOST_AUTO_TEST_CASE(FaultsThatComeFirstAreFoundSoon) {
  Streams streams;
  for (int n = 0; n < kStreamsOfHabit; ++n) {
    BOOST_TEST(streams.Begin(1, 3));
    BOOST_TEST(streams.Begin(2, 3));
  }
  for (int n = 0; n < kStreamsOfHabit; ++n) {
    BOOST_TEST(streams.Begin(3, 1));
    BOOST_TEST(streams.Begin(4, 1));
  }
  BOOST_TEST(!streams.Begin(1, 3));
  BOOST_TEST(!streams.Begin(4, 3));
}

// Guards against a service of one replica whose streams are never judged, or
// are judged by few of them, or by those of a replica that is long gone.
BOOST_AUTO_TEST_CASE(ALoneReplicaShowsItByManyStreams) {
  Streams streams;
  streams.Begin(1, 1);
  streams.Begin(1, 1);
  BOOST_TEST(streams.Begin(1, 3));
  for (int n = 0; n < kStreamsOfLoneReplica; ++n) {
    BOOST_TEST(streams.Begin(1, 1));
  }
  BOOST_TEST(!streams.Begin(1, 3));
  streams.Wait(kStreamStartLifetime + std::chrono::seconds(2));
  BOOST_TEST(streams.Begin(2, 3));
}

// Guards against memory that grows with names that come and go.
BOOST_AUTO_TEST_CASE(StreamGroupsAreBounded) {
  Streams streams;
  const auto learn = [&streams](const std::string& version) {
    for (const uint64_t replica : {1, 2, 1, 2}) {
      streams.BeginIn({"svc", version, "chat"}, replica, 1);
    }
    return !streams.BeginIn({"svc", version, "chat"}, 1, 3);
  };
  for (size_t n = 0; n < kMaxStreamGroups; ++n) {
    BOOST_TEST(learn("v" + std::to_string(n)));
  }
  streams.Wait(kStreamStartLifetime + std::chrono::seconds(1));
  BOOST_TEST(learn("next"));
}

// Guards against streams without their first events that a process passes on as
// whole because it has just started.
BOOST_AUTO_TEST_CASE(KnownStartsHoldFromTheFirstStream) {
  Streams before;
  for (int n = 0; n < kStreamsOfHigherHabit; ++n) {
    before.Begin(1, 1);
    before.Begin(2, 1);
  }
  BOOST_TEST((before.Learned() == std::vector<StreamStart>{{kGroup, 1}}));
  BOOST_TEST(before.TakeUnknownGroupMet());
  Streams after;
  after.Know(before.Learned());
  BOOST_TEST(!after.Begin(1, 3));
  BOOST_TEST(after.Begin(2, 1));
  BOOST_TEST(!after.Begin(2, 2));
  BOOST_TEST(after.Begin(3, 0));
  BOOST_TEST(!after.TakeUnknownGroupMet());
  BOOST_TEST(after.Learned().empty());
}

// Guards against a wrong first id that was recorded and then lets streams pass
// which the replicas show to be late.
BOOST_AUTO_TEST_CASE(KnownStartsDoNotOverrideOwnHabits) {
  Streams streams;
  streams.Know({{kGroup, 1}, {kGroup, 3}});
  for (int n = 0; n < kStreamsOfHabit; ++n) {
    BOOST_TEST(streams.Begin(1, 1));
    BOOST_TEST(streams.Begin(2, 1));
  }
  BOOST_TEST(!streams.Begin(3, 3));
}

// Guards against a replica that always drops the first events and teaches all
// processes to expect that: it is the first of its version.
BOOST_AUTO_TEST_CASE(ALoneReplicaTeachesNoOtherProcess) {
  Streams streams;
  for (int n = 0; n < 2 * kStreamsOfLoneReplica; ++n) {
    streams.Begin(1, 3);
  }
  BOOST_TEST(streams.Learned().empty());
}

// Guards against sound streams that are refused for as long as a record lives:
// of a lone replica, which may count events over all streams, and of replicas
// that outnumber those that began elsewhere before.
BOOST_AUTO_TEST_CASE(SoundStreamsAreNotRefusedForLong) {
  for (const int step : {0, 40}) {
    Streams streams;
    streams.Know({{kGroup, 1}});
    int refused = 0;
    for (int n = 0; n < 50; ++n) {
      refused +=
          streams.BeginIn({"svc", "v2", "chat"}, 1, 7 + n * step) ? 0 : 1;
    }
    BOOST_TEST(refused <= kStreamsOfLoneReplica);
  }
  Streams streams;
  streams.Know({{kGroup, 1}});
  for (uint64_t replica = 1; replica <= 12; ++replica) {
    streams.Begin(replica, 1);
  }
  for (int n = 0; n < kStreamsOfHigherHabit; ++n) {
    streams.Begin(21, 7);
    streams.Begin(22, 7);
  }
  BOOST_TEST(streams.Begin(23, 7));
}

// Guards against a fault of single replicas that spreads to other processes as
// what is right.
BOOST_AUTO_TEST_CASE(FaultsOfSingleReplicasAreNotLearned) {
  Streams streams;
  for (int n = 0; n < 20; ++n) {
    streams.Begin(1, 3);
    for (uint64_t replica = 2; replica <= 4; ++replica) {
      streams.Begin(replica, n % 3 == 0 ? 3 : 1);
    }
  }
  BOOST_TEST((streams.Learned() == std::vector<StreamStart>{{kGroup, 1}}));
}

// Guards against the first streams of a new software version or route that are
// passed on without their first events, and against a version with another
// convention whose streams are refused for long.
BOOST_AUTO_TEST_CASE(NewGroupsBeginLikeOthersOfTheirService) {
  const StreamGroup version = {"svc", "v2", "chat"};
  Streams streams;
  streams.Know({{kGroup, 1}});
  BOOST_TEST(!streams.BeginIn(version, 1, 3));
  BOOST_TEST(streams.BeginIn(version, 2, 1));
  BOOST_TEST(!streams.BeginIn({"svc", "v1", "list"}, 1, 2));
  BOOST_TEST(streams.BeginIn({"other", "v1", "chat"}, 1, 3));
  BOOST_TEST(streams.TakeUnknownGroupMet());

  const StreamGroup changed = {"svc", "v3", "chat"};
  int refused = 0;
  for (uint64_t replica = 1; replica <= 8; ++replica) {
    refused += streams.BeginIn(changed, replica, 1000) ? 0 : 1;
  }
  BOOST_TEST(refused == kReplicasOfConvention);
}

// Guards against streams that are refused for ever since their service has
// changed how it counts events: begins higher, or counts over all streams.
BOOST_AUTO_TEST_CASE(KnownStartsAreGivenUpWhereReplicasContradictThem) {
  for (const int step : {0, 40}) {
    Streams streams;
    streams.Know({{kGroup, 1}});
    int refused = 0;
    for (int n = 0; n < 50; ++n) {
      for (uint64_t replica = 1; replica <= 4; ++replica) {
        refused += streams.Begin(replica, 7 + n * step) ? 0 : 1;
      }
    }
    BOOST_TEST(refused <= 4 * kStreamsOfHigherHabit);
  }
}

// Guards against sound streams that are refused since their first event has
// several tokens, and against a record that would have other processes do so.
BOOST_AUTO_TEST_CASE(FirstEventsMayHaveSeveralTokens) {
  Streams streams;
  streams.set_largest_step(4);
  for (int n = 0; n < kStreamsOfHigherHabit; ++n) {
    BOOST_TEST(streams.Begin(1, 1));
    BOOST_TEST(streams.Begin(2, 1));
  }
  BOOST_TEST(streams.Begin(1, 4));
  BOOST_TEST(!streams.Begin(1, 5));
  BOOST_TEST(streams.Learned().empty());
}

// Guards against a new software version whose first streams are refused since
// it numbers events in another way.
BOOST_AUTO_TEST_CASE(VersionsWhoseNumberingIsUnknownMayBeginElsewhere) {
  Streams streams;
  streams.Know({{kGroup, 1}});
  const StreamGroup new_version = {"svc", "v2", "chat"};
  const StreamGroup other_route = {"svc", "v1", "other"};
  streams.set_largest_step(0);
  BOOST_TEST(streams.BeginIn(new_version, 3, 3));
  BOOST_TEST(!streams.BeginIn(other_route, 4, 3));
  streams.set_largest_step(1);
  BOOST_TEST(!streams.BeginIn(new_version, 3, 4));
}

}  // namespace endiveyard
