#include "front/version_recorder.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <vector>

#include "fake_clock.h"
#include "fake_object_registry.h"

namespace endiveyard {
namespace {

constexpr const char* kService = "lm";

ReplicaView MakeView(int first, int second) {
  std::vector<Replica> replicas;
  for (int n = 0; n < first + second; ++n) {
    Replica replica;
    replica.id = "i-" + std::to_string(n);
    replica.service = kService;
    replica.version = n < first ? "v1" : "v2";
    replicas.push_back(replica);
  }
  ReplicaView view;
  view.Reset(replicas, TimePoint());
  return view;
}

struct Instance {
  Instance(Clock* clock,
           FakeObjectRegistry* registry,
           size_t index,
           size_t count)
      : clock(clock) {
    VersionRecorderHandlers handlers;
    handlers.era = [registry] { return registry->era; };
    handlers.position = [index, count] {
      InstancePosition position;
      position.index = index;
      position.count = count;
      return position;
    };
    handlers.now = [clock] { return clock->now(); };
    handlers.unix_ms = [this, clock] {
      return 1790000000000 + ahead_ms +
             clock->now().time_since_epoch().count() / 1000;
    };
    handlers.schedule = [clock](Duration delay, std::function<void()> action) {
      clock->Schedule(delay, std::move(action));
    };
    handlers.on_read = [](const absl::Status&, size_t) {};
    handlers.on_written = [](const absl::Status&) {};
    recorder = std::make_unique<VersionRecorder>(
        registry, &versions, VersionRecorderOptions{"kind", "name"},
        std::move(handlers));
  }

  void See(const ReplicaView& view) {
    versions.RecordReplicas(view, clock->now());
    recorder->OnReplicasChanged();
  }
  // Returns the version of a stream that began at most `age` ago.
  std::optional<std::string> Find(Duration age) const {
    return versions.Find(kService, MakeStreamId(kService, "r1", std::nullopt),
                         age, clock->now());
  }

  Clock* clock;
  int64_t ahead_ms = 0;  // of its time of day
  StreamVersions versions;
  std::unique_ptr<VersionRecorder> recorder;
};

std::vector<std::unique_ptr<Instance>> StartFleet(Clock* clock,
                                                  FakeObjectRegistry* registry,
                                                  size_t count) {
  std::vector<std::unique_ptr<Instance>> fleet;
  for (size_t n = 0; n < count; ++n) {
    fleet.push_back(std::make_unique<Instance>(clock, registry, n, count));
  }
  return fleet;
}

void ShowAll(const std::vector<std::unique_ptr<Instance>>& fleet,
             const ReplicaView& view) {
  for (const auto& it : fleet) {
    it->See(view);
  }
}

constexpr Duration kSecond = std::chrono::seconds(1);

}  // namespace

// Guards against streams that are refused, or joined, after all instances were
// killed at once: a new process knows from the record which versions there
// were.
BOOST_AUTO_TEST_CASE(RecordOutlivesAllInstances) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  auto fleet = StartFleet(&clock, &registry, 8);
  ShowAll(fleet, MakeView(12, 0));
  clock.Advance(30 * kSecond);
  fleet = StartFleet(&clock, &registry, 8);
  ShowAll(fleet, MakeView(12, 0));
  clock.Advance(kSecond);
  for (const auto& it : fleet) {
    BOOST_TEST((it->Find(12 * kSecond) == "v1"));
  }
  // The replicas are replaced, and all instances are killed 2 s later.
  ShowAll(fleet, MakeView(0, 12));
  clock.Advance(2 * kSecond);
  fleet = StartFleet(&clock, &registry, 8);
  ShowAll(fleet, MakeView(0, 12));
  clock.Advance(kSecond);
  for (const auto& it : fleet) {
    BOOST_TEST(!it->Find(4 * kSecond));
  }
  // Also if nobody had the time to record the change.
  ShowAll(fleet, MakeView(12, 0));
  fleet = StartFleet(&clock, &registry, 8);
  ShowAll(fleet, MakeView(12, 0));
  clock.Advance(kSecond);
  for (const auto& it : fleet) {
    BOOST_TEST(!it->Find(4 * kSecond));
  }
}

// Guards against as many calls to the registry as there are instances for each
// change.
BOOST_AUTO_TEST_CASE(FewInstancesWriteAChange) {
  for (const size_t instances : {1u, 8u, 95u, 370u}) {
    Clock clock;
    FakeObjectRegistry registry(&clock);
    auto fleet = StartFleet(&clock, &registry, instances);
    ShowAll(fleet, MakeView(12, 0));
    clock.Advance(10 * kSecond);
    BOOST_TEST(registry.writes == 1);
    BOOST_TEST(registry.reads <= static_cast<int>(instances) + 4);
    registry.reads = registry.writes = 0;
    // A release in steps.
    for (int n = 1; n <= 6; ++n) {
      ShowAll(fleet, MakeView(12 - n, n));
      clock.Advance(kSecond / 2);
    }
    clock.Advance(10 * kSecond);
    BOOST_TEST(registry.writes >= 1);
    BOOST_TEST(registry.writes <= 6);
    BOOST_TEST(registry.reads <= 24);
    // Replicas of the versions come and go no more.
    registry.reads = registry.writes = 0;
    ShowAll(fleet, MakeView(6, 6));
    clock.Advance(10 * kSecond);
    BOOST_TEST(registry.writes == 0);
  }
}

// Guards against a change that is never recorded: the instance whose turn it is
// has ended, or the registry was away.
BOOST_AUTO_TEST_CASE(OthersWriteWhereOneDoesNot) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  auto fleet = StartFleet(&clock, &registry, 8);
  ShowAll(fleet, MakeView(12, 0));
  clock.Advance(10 * kSecond);
  for (int lost = 0; lost < 8; ++lost) {
    const std::string before = registry.object.spec;
    for (int n = 0; n < 8; ++n) {
      if (n != lost) {
        fleet[static_cast<size_t>(n)]->See(MakeView(11 - lost, lost + 1));
      }
    }
    clock.Advance(3 * kSecond);
    BOOST_TEST(registry.object.spec != before, "instance " << lost);
    fleet[static_cast<size_t>(lost)]->See(MakeView(11 - lost, lost + 1));
    clock.Advance(3 * kSecond);
  }
  const std::string before = registry.object.spec;
  registry.unavailable = true;
  ShowAll(fleet, MakeView(3, 3));
  clock.Advance(6 * kSecond);
  BOOST_TEST(registry.object.spec == before);
  registry.unavailable = false;
  clock.Advance(4 * kSecond);
  BOOST_TEST(registry.object.spec != before);
}

// Guards against streams that go on at another version after all instances were
// killed: the registry came back from a copy without the last changes, and the
// instances took them for recorded.
BOOST_AUTO_TEST_CASE(RecordsLostInARestoreAreWrittenAgain) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  auto fleet = StartFleet(&clock, &registry, 8);
  ShowAll(fleet, MakeView(6, 6));
  clock.Advance(30 * kSecond);
  const RegistryObject copy = registry.object;
  ShowAll(fleet, MakeView(12, 0));
  clock.Advance(4 * kSecond);
  ShowAll(fleet, MakeView(6, 6));
  clock.Advance(4 * kSecond);
  BOOST_TEST(registry.object.spec != copy.spec);
  registry.object = copy;
  registry.era = 2;
  registry.writes = 0;
  for (const auto& it : fleet) {
    it->recorder->OnRegistryRestored();
  }
  clock.Advance(4 * kSecond);
  BOOST_TEST(registry.writes >= 1);
  BOOST_TEST(registry.writes <= 4);
  fleet = StartFleet(&clock, &registry, 8);
  ShowAll(fleet, MakeView(6, 6));
  clock.Advance(kSecond);
  for (int n = 0; n < 100; ++n) {
    // All began at v1 while there was no other version.
    const StreamId stream =
        MakeStreamId(kService, "r" + std::to_string(n), std::nullopt);
    const auto version = fleet.front()->versions.Find(
        kService, stream, 12 * kSecond, clock.now());
    BOOST_TEST((!version || version == "v1"));
  }
}

// Guards against streams that go on at another version at a process that starts
// right after a restore: it reads a record that lacks the last changes.
BOOST_AUTO_TEST_CASE(RecordsOfAnEarlierEraAreNotBelieved) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  auto fleet = StartFleet(&clock, &registry, 8);
  ShowAll(fleet, MakeView(6, 6));
  clock.Advance(30 * kSecond);
  const RegistryObject copy = registry.object;
  ShowAll(fleet, MakeView(12, 0));
  clock.Advance(4 * kSecond);
  ShowAll(fleet, MakeView(6, 6));
  registry.object = copy;
  registry.era = 2;
  auto started = StartFleet(&clock, &registry, 1);
  ShowAll(started, MakeView(6, 6));
  clock.Advance(kSecond / 4);
  const auto count_found = [&] {
    int found = 0;
    for (int n = 0; n < 100; ++n) {
      const StreamId stream =
          MakeStreamId(kService, "r" + std::to_string(n), std::nullopt);
      const auto version = started.front()->versions.Find(
          kService, stream, 3 * kSecond, clock.now());
      BOOST_TEST((!version || version == "v1"));
      found += version ? 1 : 0;
    }
    return found;
  };
  BOOST_TEST(count_found() == 0);
  // Those that were there before write it again.
  for (const auto& it : fleet) {
    it->recorder->OnRegistryRestored();
  }
  clock.Advance(2 * kSecond);
  BOOST_TEST(started.front()
                 ->versions.PeriodsSince(clock.now() - 10 * kSecond)
                 .at(kService)
                 .size() > 1u);
  count_found();
}

// Guards against streams that go on at another version after all instances were
// killed, where the time of day of those that start has jumped by seconds.
BOOST_AUTO_TEST_CASE(TimesOfDayThatJumpJoinNoStreams) {
  constexpr Duration kViewDelay = std::chrono::milliseconds(2500);
  constexpr int64_t kMaxJumpMs = 5000;
  for (int64_t ahead_ms = -2 * kMaxJumpMs; ahead_ms <= kMaxJumpMs;
       ahead_ms += 1000) {
    Clock clock;
    FakeObjectRegistry registry(&clock);
    auto fleet = StartFleet(&clock, &registry, 8);
    ShowAll(fleet, MakeView(9, 3));
    clock.Advance(30 * kSecond);
    const TimePoint begun_at = clock.now();
    std::vector<std::pair<StreamId, std::string>> streams;
    for (int n = 0; n < 50; ++n) {
      const StreamId id =
          MakeStreamId(kService, "r" + std::to_string(n), std::nullopt);
      streams.emplace_back(id, *fleet.front()->versions.Choose(kService, id));
    }
    ShowAll(fleet, MakeView(3, 9));
    clock.Advance(4 * kSecond);
    fleet = StartFleet(&clock, &registry, 8);
    for (const auto& it : fleet) {
      it->ahead_ms = ahead_ms;
    }
    ShowAll(fleet, MakeView(3, 9));
    int joined = 0;
    for (int n = 0; n < 20; ++n) {
      clock.Advance(kSecond / 4);
      const auto age =
          std::chrono::duration_cast<Duration>(clock.now() - begun_at);
      for (const auto& [id, version] : streams) {
        const auto found = fleet.front()->versions.Find(
            kService, id, age + kViewDelay, clock.now());
        joined += found && *found != version ? 1 : 0;
      }
    }
    BOOST_TEST(joined == 0, "ahead by " << ahead_ms << " ms: " << joined);
  }
}

}  // namespace endiveyard
