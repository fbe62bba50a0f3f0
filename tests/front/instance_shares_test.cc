#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "endiveyard/load_exchange/peer_directory.h"
#include "endiveyard/placement/service_retry_budget.h"
#include "fake_clock.h"
#include "fake_registry.h"
#include "front/instance_recorder.h"

namespace endiveyard {
namespace {

constexpr uint16_t kRegion = 7;
constexpr Duration kSecond = std::chrono::seconds(1);

std::string IpOf(uint32_t address) {
  return "10.0.0." + std::to_string(address);
}

uint32_t AddressOf(const std::string& ip) {
  return static_cast<uint32_t>(std::stoul(ip.substr(7)));
}

class Instance {
 public:
  Instance(uint32_t address,
           const RetryBound& bound,
           Clock* clock,
           FakeRegistry::Objects* objects)
      : directory(address, kRegion, {}),
        budget(bound),
        link(clock, objects),
        clock_(clock) {
    budget.RecordStart(clock->now());
    InstanceRecorderHandlers handlers;
    handlers.now = [clock] { return clock->now(); };
    handlers.unix_ms = [clock] {
      return clock->now().time_since_epoch().count() / 1000;
    };
    handlers.schedule = [clock](Duration delay, std::function<void()> action) {
      clock->Schedule(delay, std::move(action));
    };
    handlers.on_read = [this,
                        address](const std::vector<RecordedInstance>& read) {
      std::vector<uint32_t> addresses;
      for (const RecordedInstance& it : read) {
        addresses.push_back(AddressOf(it.ip));
        if (addresses.back() == address) {
          directory.RecordOwnRecord(clock_->now() - it.report_age +
                                    kInstanceRecordLifetime);
        }
      }
      directory.RecordRegistered(addresses, clock_->now());
    };
    handlers.hears = [](const std::string&) { return true; };
    handlers.report = [] { return InstanceReport(); };
    handlers.keeps_report = [] { return false; };
    handlers.on_failure = [](const absl::Status&) {};
    recorder_ = std::make_unique<InstanceRecorder>(
        &link, &link,
        InstanceRecorderOptions{kKindOfFakeRegistry, IpOf(address),
                                IpOf(address)},
        std::move(handlers));
    recorder_->Start();
  }

  void Tick() {
    const TimePoint now = clock_->now();
    budget.RecordHeardCount(directory.InstanceCount(now));
    if (const auto n = directory.SharingCount(now)) {
      budget.RecordInstanceCount(*n, now);
      budget.RecordCounted(directory.CountedUntil(now), now);
    }
  }

  PeerDirectory directory;
  ServiceRetryBudget budget;
  FakeRegistry link;

 private:
  Clock* const clock_;
  std::unique_ptr<InstanceRecorder> recorder_;
};

// Instances of two halves, of which the second loses the registry, and the
// halves each other.
class HalvedFleet {
 public:
  HalvedFleet(uint32_t instances, const RetryBound& bound)
      : bound_(bound), parts_(instances) {
    for (uint32_t n = 0; n < instances; ++n) {
      Start(n);
    }
  }

  void Start(uint32_t n) {
    // The process before has ended, but callbacks of it are still to come.
    if (instances_.count(n) > 0) {
      instances_[n]->link.unavailable = true;
      ended_.push_back(std::move(instances_[n]));
    }
    instances_[n] =
        std::make_unique<Instance>(n + 1, bound_, &clock_, &objects_);
    instances_[n]->link.unavailable =
        is_outage_ || (is_cut_ && IsInSecondHalf(n));
  }

  void StartFirstHalf() {
    for (uint32_t n = 0; !IsInSecondHalf(n); ++n) {
      Start(n);
    }
  }

  void SetCut(bool is_cut) {
    is_cut_ = is_cut;
    for (const auto& [n, it] : instances_) {
      it->link.unavailable = is_cut && IsInSecondHalf(n);
    }
  }

  // Cuts all off from the registry, but not from each other.
  void StartInAnOutage() {
    is_outage_ = true;
    for (uint32_t n = 0; n < parts_; ++n) {
      Start(n);
    }
  }

  // Every call fails in this time, and as many retries as possible are sent.
  // Returns the most retries in a window beyond the bound; few requests come.
  double LargestExcess(Duration duration) {
    double largest = -bound_.slack;
    std::deque<TimePoint> retries;
    Run(duration, kSecond / 4, [&](Instance* it) {
      while (it->budget.TryConsume("s", clock_.now())) {
        retries.push_back(clock_.now());
      }
      while (!retries.empty() &&
             clock_.now() - retries.front() >= bound_.window) {
        retries.pop_front();
      }
      largest =
          std::max(largest, static_cast<double>(retries.size()) - bound_.slack);
    });
    return largest;
  }

  void Advance(Duration duration) {
    Run(duration, kSecond, [](Instance*) {});
  }

 private:
  bool IsInSecondHalf(uint32_t n) const { return n >= parts_ / 2; }

  void Run(Duration duration,
           Duration step,
           const std::function<void(Instance*)>& action) {
    for (const TimePoint end = clock_.now() + duration; clock_.now() < end;) {
      clock_.Advance(step);
      for (const auto& [n, it] : instances_) {
        for (const auto& [other, sender] : instances_) {
          if (!is_cut_ || IsInSecondHalf(n) == IsInSecondHalf(other)) {
            it->directory.RecordReport({other + 1, kRegion, Duration(0)}, 1, {},
                                       clock_.now());
          }
        }
        it->Tick();
        action(it.get());
      }
    }
  }

  const RetryBound bound_;
  const uint32_t parts_;
  bool is_cut_ = false;
  bool is_outage_ = false;
  Clock clock_;
  FakeRegistry::Objects objects_;
  std::map<uint32_t, std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<Instance>> ended_;
};

struct Fleet {
  uint32_t instances;
  double slack;
};

std::vector<Fleet> Fleets() {
  return {{2, 56}, {8, 56}, {20, 12}, {40, 230}};
}

}  // namespace

// Guards against instances that are cut off for longer than their records
// count, and spend shares that those which started meanwhile have divided among
// themselves.
BOOST_AUTO_TEST_CASE(InstancesWhoseRecordsLapsedKeepTheRetryBound) {
  for (const Fleet& it : Fleets()) {
    for (const bool first_half_starts_again : {true, false}) {
      for (const int cut_s : {60, 130, 500}) {
        RetryBound bound;
        bound.slack = it.slack;
        HalvedFleet fleet(it.instances, bound);
        fleet.Advance(30 * kSecond);
        fleet.SetCut(true);
        fleet.Advance(cut_s * kSecond);
        if (first_half_starts_again) {
          fleet.StartFirstHalf();
        }
        fleet.Advance(15 * kSecond);
        const double apart = fleet.LargestExcess(20 * kSecond);
        fleet.SetCut(false);
        const double together = fleet.LargestExcess(60 * kSecond);
        BOOST_TEST(std::max(apart, together) <= 0,
                   it.instances << " instances, cut off for " << cut_s
                                << " s, first half "
                                << (first_half_starts_again ? "started again"
                                                            : "goes on")
                                << ": " << apart << " beyond the bound, "
                                << together << " after the cut");
      }
    }
  }
}

// Guards against more instances than retries that each have one, since they
// have started while the registry cannot be read.
BOOST_AUTO_TEST_CASE(InstancesThatStartInAnOutageKeepTheRetryBound) {
  for (const Fleet& it : Fleets()) {
    RetryBound bound;
    bound.slack = it.slack;
    HalvedFleet fleet(it.instances, bound);
    fleet.StartInAnOutage();
    BOOST_TEST(fleet.LargestExcess(60 * kSecond) <= 0);
  }
}

}  // namespace endiveyard
