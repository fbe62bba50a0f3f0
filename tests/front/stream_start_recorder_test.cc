#include "front/stream_start_recorder.h"

#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "fake_clock.h"
#include "fake_object_registry.h"

namespace endiveyard {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const StreamGroup kGroup = {"lm", "v1", "chat"};

struct Instance {
  Instance(Clock* clock, FakeObjectRegistry* registry, const std::string& name)
      : clock(clock) {
    StreamStartRecorderHandlers handlers;
    handlers.now = [clock] { return clock->now(); };
    handlers.unix_ms = [clock] {
      return 1790000000000 + clock->now().time_since_epoch().count() / 1000;
    };
    handlers.schedule = [clock](Duration delay, std::function<void()> action) {
      clock->Schedule(delay, std::move(action));
    };
    handlers.on_read = [](const absl::Status&, size_t) {};
    handlers.on_written = [](const absl::Status&) {};
    recorder = std::make_unique<StreamStartRecorder>(
        registry, &starts, StreamStartRecorderOptions{"kind", "name", name},
        std::move(handlers));
    recorder->Start();
  }

  bool Begin(uint64_t replica, int64_t first_id) {
    return starts.Record(kGroup, replica, first_id, 1, clock->now());
  }
  void Learn() {
    for (int n = 0; n < kStreamsOfHigherHabit; ++n) {
      Begin(1, 1);
      Begin(2, 1);
    }
  }

  Clock* clock;
  StreamStarts starts;
  std::unique_ptr<StreamStartRecorder> recorder;
};

std::vector<std::unique_ptr<Instance>> StartFleet(Clock* clock,
                                                  FakeObjectRegistry* registry,
                                                  size_t count) {
  std::vector<std::unique_ptr<Instance>> fleet;
  for (size_t n = 0; n < count; ++n) {
    fleet.push_back(std::make_unique<Instance>(
        clock, registry, "instance-" + std::to_string(n)));
  }
  return fleet;
}

}  // namespace

// Guards against streams without their first events that are passed on as whole
// after all instances have ended at once.
BOOST_AUTO_TEST_CASE(StreamStartsOutliveAllInstances) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  auto fleet = StartFleet(&clock, &registry, 8);
  clock.Advance(kSecond);
  fleet[3]->Learn();
  clock.Advance(3 * kSecond);
  fleet.clear();
  fleet = StartFleet(&clock, &registry, 8);
  clock.Advance(std::chrono::milliseconds(10));
  for (const auto& it : fleet) {
    BOOST_TEST(!it->Begin(1, 3));
    BOOST_TEST(it->Begin(1, 1));
  }
}

// Guards against an instance that learns nothing from the others while it runs:
// a service was added.
BOOST_AUTO_TEST_CASE(UnknownGroupsAreReadAgain) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  auto fleet = StartFleet(&clock, &registry, 2);
  clock.Advance(kSecond);
  fleet[0]->Learn();
  clock.Advance(3 * kSecond);
  BOOST_TEST(fleet[1]->Begin(1, 3));
  clock.Advance(6 * kSecond);
  BOOST_TEST(!fleet[1]->Begin(1, 3));
}

// Guards against calls that grow with the instances or with time: hundreds that
// learn the same at the same time write it a few times, and then no more.
BOOST_AUTO_TEST_CASE(WhatAllLearnIsWrittenAFewTimes) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  const auto fleet = StartFleet(&clock, &registry, 370);
  clock.Advance(kSecond);
  for (const auto& it : fleet) {
    it->Learn();
  }
  clock.Advance(10 * kSecond);
  const int writes = registry.writes;
  BOOST_TEST(writes >= 1);
  BOOST_TEST(writes <= 37);
  clock.Advance(60 * kSecond);
  BOOST_TEST(registry.writes == writes);
  BOOST_TEST(registry.reads <= 370 * 6);
}

// Guards against a record that is lost for good: while the registry is away,
// when it returns without the record, and when nobody could read it at first.
BOOST_AUTO_TEST_CASE(StreamStartsOutliveAnOutageOfTheRegistry) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  registry.unavailable = true;
  auto fleet = StartFleet(&clock, &registry, 1);
  fleet[0]->Learn();
  clock.Advance(10 * kSecond);
  BOOST_TEST(registry.writes == 0);
  const int reads = registry.reads;
  BOOST_TEST(reads <= 8);  // less and less often
  registry.unavailable = false;
  clock.Advance(5 * kSecond);
  BOOST_TEST(registry.object.revision > 0);
  // The registry is restored from a copy without the record.
  registry.object = RegistryObject();
  for (int n = 0; n < 6; ++n) {
    clock.Advance(60 * kSecond);
    fleet[0]->Learn();
  }
  BOOST_TEST(registry.object.revision > 0);
}

// Guards against the first streams after an outage that are passed on without
// their first events: a process that started in it serves at once.
BOOST_AUTO_TEST_CASE(StreamStartsAreReadOnceTheRegistryIsRegained) {
  Clock clock;
  FakeObjectRegistry registry(&clock);
  auto fleet = StartFleet(&clock, &registry, 1);
  clock.Advance(kSecond);
  fleet[0]->Learn();
  clock.Advance(3 * kSecond);
  registry.unavailable = true;
  fleet = StartFleet(&clock, &registry, 1);
  clock.Advance(20 * kSecond);
  registry.unavailable = false;
  fleet[0]->recorder->OnRegistryRegained();
  clock.Advance(std::chrono::milliseconds(10));
  BOOST_TEST(!fleet[0]->Begin(1, 3));
}

}  // namespace endiveyard
