#include "front/instance_recorder.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "fake_clock.h"
#include "fake_registry.h"
#include "front/instance_record.h"

namespace endiveyard {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

struct Instance {
  Instance(Clock* clock, FakeRegistry* registry, int number) {
    InstanceRecorderHandlers handlers;
    handlers.now = [clock] { return clock->now(); };
    handlers.unix_ms = [clock] {
      return clock->now().time_since_epoch().count() / 1000;
    };
    handlers.schedule = [clock](Duration delay, std::function<void()> action) {
      clock->Schedule(delay, std::move(action));
    };
    handlers.on_read = [this](const std::vector<RecordedInstance>& read) {
      ips = std::set<std::string>();
      for (const RecordedInstance& it : read) {
        ips->insert(it.ip);
        reports[it.ip] = it;
      }
    };
    handlers.hears = [this](const std::string& ip) {
      return unheard.count(ip) == 0;
    };
    handlers.report = [this] { return report; };
    handlers.keeps_report = [this] { return keeps_report; };
    handlers.on_failure = [this](const absl::Status&) { ++failures; };
    recorder = std::make_unique<InstanceRecorder>(
        registry, registry,
        InstanceRecorderOptions{kKindOfFakeRegistry,
                                "front-" + std::to_string(number),
                                "10.0.0." + std::to_string(number)},
        std::move(handlers));
    recorder->Start();
  }

  std::unique_ptr<InstanceRecorder> recorder;
  std::optional<std::set<std::string>> ips;
  std::map<std::string, RecordedInstance> reports;  // by address
  std::set<std::string> unheard;
  InstanceReport report;
  bool keeps_report = false;
  int failures = 0;
};

std::vector<std::unique_ptr<Instance>> StartInstances(Clock* clock,
                                                      FakeRegistry* registry,
                                                      int count) {
  std::vector<std::unique_ptr<Instance>> instances;
  instances.reserve(static_cast<size_t>(count));
  for (int n = 0; n < count; ++n) {
    instances.push_back(std::make_unique<Instance>(clock, registry, n));
  }
  return instances;
}

}  // namespace

// Guards against instances that use shares before all know how many they are,
// and against a fleet that exceeds the rate of the registry when it starts.
BOOST_AUTO_TEST_CASE(AllInstancesKnowOfEachOtherWithinTheFirstWindow) {
  for (const int count : {1, 8, 95, 370}) {
    Clock clock;
    FakeRegistry registry(&clock);
    const auto instances = StartInstances(&clock, &registry, count);
    clock.Advance(kSecondReadTime + kSecond);
    for (const auto& it : instances) {
      BOOST_TEST(it->ips.value().size() == static_cast<size_t>(count));
      BOOST_TEST(it->failures == 0);
    }
    BOOST_TEST(registry.full_price_lists == 0);
    for (const TimePoint it : registry.write_times) {
      BOOST_TEST(
          std::distance(registry.write_times.lower_bound(it),
                        registry.write_times.lower_bound(it + kSecond)) <= 200);
    }
  }
}

// Guards against instances that forget those that are restarted, and those
// whose records the registry has lost.
BOOST_AUTO_TEST_CASE(RecordsOutlastRestartsAndALossOfTheRegistry) {
  Clock clock;
  FakeRegistry registry(&clock);
  auto instances = StartInstances(&clock, &registry, 3);
  clock.Advance(60 * kSecond);
  instances[1] = std::make_unique<Instance>(&clock, &registry, 1);
  clock.Advance(kSecond);
  BOOST_TEST(instances[1]->ips.value().size() == 3u);
  registry.objects.clear();
  clock.Advance(kInstanceRecordInterval + 2 * kSecondReadTime);
  for (const auto& it : instances) {
    BOOST_TEST(it->ips.value().size() == 3u);
    BOOST_TEST(it->failures == 0);
  }
}

// Guards against instances that are gone and keep a share for good, and against
// records that pile up.
BOOST_AUTO_TEST_CASE(InstancesThatAreGoneAreDroppedAndTheirRecordsRemoved) {
  Clock clock;
  FakeRegistry registry(&clock);
  auto instances = StartInstances(&clock, &registry, 8);
  clock.Advance(20 * kSecond);
  instances.resize(3);
  clock.Advance(kInstanceRecordLifetime - 30 * kSecond);
  BOOST_TEST(instances[0]->ips.value().size() == 8u);
  clock.Advance(60 * kSecond);
  BOOST_TEST(instances[0]->ips.value().size() == 3u);
  BOOST_TEST(registry.removals == 0);
  clock.Advance(kMaxInstanceRecordAge);
  BOOST_TEST(registry.objects.size() == 3u);
  BOOST_TEST(registry.removals <= 10);
}

// Guards against an outage of the registry that takes instances for gone, and
// against lines and calls without end while it lasts.
BOOST_AUTO_TEST_CASE(AnOutageOfTheRegistryChangesNothing) {
  Clock clock;
  FakeRegistry registry(&clock);
  registry.unavailable = true;
  const auto instances = StartInstances(&clock, &registry, 3);
  clock.Advance(60 * kSecond);
  for (const auto& it : instances) {
    BOOST_TEST(!it->ips.has_value());
    BOOST_TEST(it->failures == 1);
  }
  BOOST_TEST(registry.write_times.size() <= 3u * 31);
  registry.unavailable = false;
  clock.Advance(3 * kSecondReadTime);
  for (const auto& it : instances) {
    BOOST_TEST(it->ips.value().size() == 3u);
  }
}

// Guards against instances that do not hear each other and learn too late what
// must not wait, and against a write for each report that says the same.
BOOST_AUTO_TEST_CASE(ReportsReachThoseThatAreNotHeard) {
  Clock clock;
  FakeRegistry registry(&clock);
  const auto instances = StartInstances(&clock, &registry, 3);
  clock.Advance(20 * kSecond);
  for (const auto& it : instances) {
    it->unheard = {"10.0.0.0", "10.0.0.1", "10.0.0.2"};
  }
  clock.Advance(kInstanceReadInterval);
  const size_t writes = registry.write_times.size();
  instances[0]->report = {"a", 1};
  clock.Advance(kReportWriteInterval + kReportReadInterval + kSecond / 10);
  BOOST_TEST(instances[1]->reports["10.0.0.0"].report == "a");
  BOOST_TEST((instances[1]->reports["10.0.0.0"].report_age <=
              kReportReadInterval + kSecond / 10));
  BOOST_TEST(registry.write_times.size() <= writes + 4);
  clock.Advance(20 * kSecond);
  BOOST_TEST(registry.write_times.size() <= writes + 7);
  instances[0]->report = {"b", 2};
  clock.Advance(kReportWriteInterval + kReportReadInterval + kSecond / 10);
  BOOST_TEST(instances[2]->reports["10.0.0.0"].report == "b");
  BOOST_TEST(registry.full_price_lists > 0);
}

// Guards against what must not wait being lost with the last process that knows
// it, and against a write for each change of it.
BOOST_AUTO_TEST_CASE(KeptReportsOutliveAllInstances) {
  Clock clock;
  FakeRegistry registry(&clock);
  auto instances = StartInstances(&clock, &registry, 3);
  clock.Advance(20 * kSecond);
  const size_t writes = registry.write_times.size();
  instances[0]->keeps_report = true;
  for (uint64_t n = 1; n <= 200; ++n) {
    for (const auto& it : instances) {
      it->report = {"report " + std::to_string(n), n};
    }
    clock.Advance(kSecond / 10);
  }
  clock.Advance(kKeptReportWriteInterval);
  BOOST_TEST(registry.write_times.size() <= writes + 5 + 3);
  BOOST_TEST(registry.full_price_lists == 0);
  instances.clear();
  instances = StartInstances(&clock, &registry, 3);
  clock.Advance(kSecond / 100);
  for (const auto& it : instances) {
    BOOST_TEST(it->reports["10.0.0.0"].report == "report 200");
    BOOST_TEST(it->reports["10.0.0.1"].report.empty());
  }
}

// Guards against lists at the full price for instances that are gone.
BOOST_AUTO_TEST_CASE(InstancesThatAreGoneAreNotWaitedFor) {
  Clock clock;
  FakeRegistry registry(&clock);
  auto instances = StartInstances(&clock, &registry, 3);
  clock.Advance(20 * kSecond);
  instances.resize(2);
  clock.Advance(kRenewedRecordAge);
  for (const auto& it : instances) {
    it->unheard = {"10.0.0.2"};
    it->report = {"a", 1};
  }
  const size_t writes = registry.write_times.size();
  clock.Advance(2 * kSecond * 20);
  BOOST_TEST(registry.full_price_lists == 0);
  BOOST_TEST(registry.write_times.size() <= writes + 4);
}

// Guards against objects of others that end the process or count as instances.
BOOST_AUTO_TEST_CASE(ObjectsThatAreNoRecordsAreLeftOut) {
  for (const std::string report : {"", "0a1b"}) {
    const InstanceRecord record = {"10.0.0.1", 1790000000000, report};
    BOOST_TEST(
        (DecodeInstanceRecord(EncodeInstanceRecord(record)).value() == record));
  }
  for (const char* const it :
       {"", "{", "[]", "{}", "{\"ip\":\"10.0.0.1\"}", "{\"written_ms\":1}",
        "{\"ip\":1,\"written_ms\":1}", "{\"ip\":\"x\",\"written_ms\":1.5}",
        "{\"ip\":\"x\",\"written_ms\":99999999999999999999}"}) {
    BOOST_TEST(!DecodeInstanceRecord(it).has_value());
  }
  Clock clock;
  FakeRegistry registry(&clock);
  for (const int64_t ms : {std::numeric_limits<int64_t>::min(), int64_t{0},
                           std::numeric_limits<int64_t>::max()}) {
    const std::string name = "odd" + std::to_string(ms);
    registry.objects[name] = {name, EncodeInstanceRecord({"10.0.0.9", ms, ""}),
                              false, 1};
  }
  registry.objects["no-record"] = {"no-record", "[]", false, 1};
  const auto instances = StartInstances(&clock, &registry, 1);
  clock.Advance(10 * kSecond);
  BOOST_TEST((instances[0]->ips.value() == std::set<std::string>{"10.0.0.0"}));
}

}  // namespace endiveyard
