#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "endiveyard/registry/registry_mirror.h"
#include "restorable_registry.h"

namespace endiveyard {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

// Keeps a copy of the registry's objects by a mirror.
struct MirroredObjects {
  MirroredObjects(RestorableRegistry* registry,
                  SimulatedTime* time,
                  RegistryEra* era,
                  uint64_t seed) {
    MirrorHandlers handlers;
    handlers.on_list = [this](const RegistryList& list) {
      objects.clear();
      for (const RegistryObject& it : list.items) {
        objects[it.name] = it.spec;
      }
    };
    handlers.on_change = [this](const RegistryObject& object) {
      if (object.deleted) {
        objects.erase(object.name);
      } else {
        objects[object.name] = object.spec;
      }
    };
    handlers.on_failure = [](const absl::Status&) {};
    handlers.on_success = [] {};
    handlers.schedule = [time](Duration delay, std::function<void()> action) {
      time->Schedule(delay, std::move(action));
    };
    mirror = std::make_unique<RegistryMirror>(
        registry, "things", seed, MirrorTiming(), era, std::move(handlers));
    mirror->Start();
  }

  std::map<std::string, std::string> objects;
  std::unique_ptr<RegistryMirror> mirror;
};

std::map<std::string, std::string> SpecsOf(const RestorableRegistry& registry) {
  std::map<std::string, std::string> specs;
  for (const auto& [name, object] : registry.objects()) {
    specs[name] = object.spec;
  }
  return specs;
}

// Writes random changes for `duration`.
void WriteChanges(RestorableRegistry* registry,
                  SimulatedTime* time,
                  std::mt19937_64* random,
                  Duration duration,
                  int* written) {
  const TimePoint end = time->now() + duration;
  while (time->now() < end) {
    const std::string name = std::to_string((*random)() % 8);
    if ((*random)() % 4 == 0) {
      registry->Delete(name);
    } else {
      registry->Put(name, "spec " + std::to_string(++*written));
    }
    time->RunUntil(time->now() +
                   std::chrono::milliseconds((*random)() % 400 + 1));
  }
}

}  // namespace

// Guards against a view that keeps what a restored registry has lost, or misses
// what was written to it under revisions that were given out before: lists with
// pages from both sides of a restore, watches from a revision of an earlier
// era, answers that arrive after a restore.
BOOST_AUTO_TEST_CASE(MirrorsFollowARestoredRegistry) {
  // A lost watch ends after its timeout; a list has at most four pages.
  constexpr Duration kConvergence = 8 * kSecond;
  int outdated = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    SimulatedTime time;
    RestorableRegistry registry(&time, seed);
    RegistryEra era;
    MirroredObjects first(&registry, &time, &era, seed);
    MirroredObjects second(&registry, &time, &era, seed + 1000);
    int written = 0;
    for (int restore = 0; restore < 3; ++restore) {
      WriteChanges(&registry, &time, &random, 2 * kSecond, &written);
      registry.SaveCopy();
      WriteChanges(&registry, &time, &random, kSecond, &written);
      registry.Restore();
      WriteChanges(&registry, &time, &random, kSecond, &written);
    }
    time.RunUntil(time.now() + kConvergence);
    const auto expected = SpecsOf(registry);
    if (first.objects != expected || second.objects != expected) {
      ++outdated;
      BOOST_TEST_MESSAGE("out of date with seed " << seed);
    }
  }
  BOOST_TEST(outdated == 0);
}

// Guards against a view that is never updated again after one wrong era, or
// after the registry begins to count anew.
BOOST_AUTO_TEST_CASE(RegistriesThatKeepAnEarlierEraAreBelieved) {
  RegistryEra era;
  int64_t notified = 0;
  era.Subscribe([&](int64_t latest, int64_t /*before*/) { notified = latest; });
  BOOST_TEST(era.Record(3));
  BOOST_TEST(era.Record(4000000));
  BOOST_TEST(notified == 4000000);
  BOOST_TEST(!era.Record(3));
  BOOST_TEST(!era.Record(3));
  BOOST_TEST(era.Record(4000000));
  int refused = 0;
  while (!era.Record(3) && refused < 100) {
    ++refused;
  }
  BOOST_TEST(refused > 1);
  BOOST_TEST(refused < 10);
  BOOST_TEST(notified == 3);
  BOOST_TEST(era.Record(3));
}

}  // namespace endiveyard
