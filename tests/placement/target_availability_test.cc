#include "endiveyard/placement/target_availability.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "endiveyard/placement/cache_view.h"

namespace endiveyard {
namespace {

constexpr uint64_t kTarget = 7;

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

}  // namespace

// Guards against a pause that a later, shorter one ends, that is believed
// without limit, or that all instances end at the same moment.
BOOST_AUTO_TEST_CASE(PausesAreKeptToTheirEnd) {
  TargetAvailability availability;
  BOOST_TEST(availability.RecordPause(kTarget, std::chrono::seconds(5), At(0)));
  BOOST_TEST(
      !availability.RecordPause(kTarget, std::chrono::seconds(1), At(100)));
  BOOST_TEST(!availability.RecordPause(kTarget, Duration(0), At(200)));
  BOOST_TEST(!availability.TakesWork(kTarget, At(4999)));
  BOOST_TEST(availability.TakesWork(kTarget, At(6000)));
  BOOST_TEST(!availability.IsLeaving(kTarget, At(100)));
  availability.RecordPause(kTarget, std::chrono::hours(9), At(7000));
  BOOST_TEST(availability.TakesWork(kTarget, At(7000 + 301000)));

  std::set<Duration> ends;
  for (uint64_t instance = 0; instance < 20; ++instance) {
    TargetAvailability other;
    other.set_seed(instance);
    other.RecordPause(kTarget, std::chrono::seconds(5), At(0));
    ends.insert(other.PauseOf(kTarget, At(0)));
  }
  BOOST_TEST(ends.size() > 10u);
  BOOST_TEST((*ends.begin() >= std::chrono::seconds(5)));
  BOOST_TEST((*ends.rbegin() <= std::chrono::seconds(6)));
}

// Guards against a target that leaves and is used again, and against one
// target's word that has an effect on others.
BOOST_AUTO_TEST_CASE(LeavingTargetsAreNotSelected) {
  Replica a;
  a.id = "a";
  Replica b;
  b.id = "b";
  Replica c;
  c.id = "c";
  TargetAvailability availability;
  BOOST_TEST(availability.RecordLeaving(EngineKey(a), At(0)));
  BOOST_TEST(!availability.RecordLeaving(EngineKey(a), At(10)));
  availability.RecordPause(EngineKey(b), std::chrono::seconds(2), At(0));
  std::optional<Duration> pause;
  const auto selected = availability.Select({&a, &b, &c}, At(20), &pause);
  BOOST_REQUIRE_EQUAL(selected.size(), 1u);
  BOOST_TEST(selected[0]->id == "c");
  BOOST_TEST((pause > std::chrono::milliseconds(1900)));
  BOOST_TEST(availability.Select({&a, &b, &c}, At(60000), &pause).size() == 2u);
}

// Guards against memory that grows with the targets that have ever been
// unavailable.
BOOST_AUTO_TEST_CASE(StatesAreBounded) {
  TargetAvailability availability;
  for (uint64_t key = 0; key < kMaxUnavailableTargets; ++key) {
    BOOST_REQUIRE(
        availability.RecordPause(key, std::chrono::seconds(1), At(0)));
  }
  BOOST_TEST(!availability.RecordPause(kMaxUnavailableTargets,
                                       std::chrono::seconds(1), At(0)));
  BOOST_TEST(availability.RecordPause(kMaxUnavailableTargets,
                                      std::chrono::seconds(1), At(3000)));
}

// Guards against a forged or mistaken report that shuts out a whole service,
// and against reports that instances return to each other for ever.
BOOST_AUTO_TEST_CASE(ReportsOfOthersAreBounded) {
  std::vector<Replica> replicas(4);
  std::vector<const Replica*> listed;
  for (size_t n = 0; n < replicas.size(); ++n) {
    replicas[n].id = std::to_string(n);
    listed.push_back(&replicas[n]);
  }
  TargetAvailability availability;
  std::optional<Duration> pause;
  const auto tell = [&](size_t n, Duration age) {
    availability.ApplyReport({EngineKey(replicas[n]), age}, At(1000000), true);
  };
  const auto selected = [&] {
    return availability.Select(listed, At(1000000), &pause).size();
  };
  tell(0, std::chrono::seconds(1));
  BOOST_TEST(selected() == 3u);
  BOOST_TEST(!availability.IsLeaving(EngineKey(replicas[0]), At(1000000)));
  tell(1, std::chrono::seconds(2));
  BOOST_TEST(selected() == 2u);
  tell(2, std::chrono::seconds(3));
  BOOST_TEST(selected() == 4u);
  // What a target itself says counts in any case.
  for (const Replica& it : replicas) {
    availability.RecordLeaving(EngineKey(it), At(1000000));
  }
  BOOST_TEST(selected() == 0u);

  TargetAvailability other;
  for (const Duration age : {Duration(-1), kLeavingLifetime}) {
    other.ApplyReport({5, age}, At(1000000), true);
  }
  BOOST_TEST(other.Digest(10, At(1000000)).empty());
  other.ApplyReport({5, std::chrono::minutes(9)}, At(1000000), true);
  BOOST_TEST(other.Digest(10, At(1000000)).size() == 1u);
  other.ApplyReport(other.Digest(10, At(1030000))[0], At(1031000), true);
  BOOST_TEST(other.Digest(10, At(1060000)).empty());

  // Reports about targets that do not exist leave room for others.
  for (uint64_t key = 100; key < 100 + kMaxUnavailableTargets; ++key) {
    other.ApplyReport({key, Duration(0)}, At(1060000), true);
  }
  BOOST_TEST(other.RecordPause(7, std::chrono::seconds(1), At(1060000)));
}

}  // namespace endiveyard
