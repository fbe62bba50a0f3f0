#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <numeric>
#include <set>
#include <vector>

#include "endiveyard/load_exchange/load_exchange.h"
#include "endiveyard/load_exchange/peer_directory.h"
#include "endiveyard/placement/replica_rate_limits.h"
#include "endiveyard/placement/service_retry_budget.h"

namespace endiveyard {
namespace {

constexpr uint16_t kRegion = 7;
constexpr int64_t kTickMs = 20;
constexpr int64_t kStartMs = 1000;

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

struct Plan {
  uint32_t instances = 8;
  uint32_t parts = 2;
  bool reaches_registry = true;
};

std::vector<Plan> Plans() {
  return {{8, 2, true},    {8, 3, true},   {8, 8, true},
          {95, 2, true},   {95, 19, true}, {370, 3, true},
          {370, 37, true}, {8, 3, false},  {95, 19, false}};
}

// Instances that have all just started, and hear those of their part only.
class PartedFleet {
 public:
  explicit PartedFleet(const Plan& plan) : plan_(plan) {
    for (uint32_t n = 0; n < plan.instances; ++n) {
      directories_.emplace_back(AddressOf(n), kRegion, std::vector<uint32_t>());
    }
  }

  // Brings what the instances know up to date.
  void Report(int64_t ms) {
    std::vector<uint32_t> all(plan_.instances);
    std::iota(all.begin(), all.end(), AddressOf(0));
    for (uint32_t n = 0; n < plan_.instances; ++n) {
      std::vector<Member> part;
      for (uint32_t other = n % plan_.parts; other < plan_.instances;
           other += plan_.parts) {
        part.push_back({AddressOf(other), kRegion, Duration(0)});
      }
      for (const Member& it : part) {
        directories_[n].RecordReport(it, 1, part, At(ms));
      }
      if (plan_.reaches_registry) {
        directories_[n].RecordRegistered(all, At(ms));
      }
    }
  }

  PeerDirectory& directory(uint32_t n) { return directories_[n]; }

 private:
  static uint32_t AddressOf(uint32_t n) { return n + 1; }

  const Plan plan_;
  std::vector<PeerDirectory> directories_;
};

void RemoveBefore(int64_t ms, std::deque<int64_t>* times) {
  while (!times->empty() && times->front() < ms) {
    times->pop_front();
  }
}

struct Instance {
  Instance(const std::string& ip, const std::vector<std::string>& registered)
      : placer(Location()),
        exchange(io,
                 {ip, "r", 0, {}},
                 &placer,
                 &suspects,
                 &versions,
                 &forwarding_peers) {
    exchange.RecordRegistered(registered);
  }

  boost::asio::io_context io;
  Placer placer;
  CrashSuspects suspects;
  StreamVersions versions;
  ForwardingPeers forwarding_peers;
  LoadExchange exchange;
};

}  // namespace

// Guards against parts of a fleet that do not hear each other and each spend
// the slack of the whole fleet on retries.
BOOST_AUTO_TEST_CASE(PartsThatDoNotHearEachOtherKeepTheRetryBound) {
  for (const Plan& plan : Plans()) {
    RetryBound bound;
    bound.slack = plan.instances > 95 ? 300 : plan.instances > 8 ? 230 : 56;
    PartedFleet fleet(plan);
    std::vector<ServiceRetryBudget> budgets(plan.instances,
                                            ServiceRetryBudget(bound));
    for (ServiceRetryBudget& it : budgets) {
      it.RecordStart(At(kStartMs));
    }
    std::deque<int64_t> requests;
    std::deque<int64_t> retries;
    size_t most = 0;
    for (int64_t ms = kStartMs; ms < kStartMs + 25000; ms += kTickMs) {
      if (ms % 1000 == 0) {
        fleet.Report(ms);
        for (uint32_t n = 0; n < plan.instances; ++n) {
          if (const auto count = fleet.directory(n).SharingCount(At(ms))) {
            budgets[n].RecordInstanceCount(*count, At(ms));
          }
        }
      }
      const auto n = static_cast<size_t>(ms / kTickMs) % budgets.size();
      budgets[n].RecordRequest("s", At(ms));
      requests.push_back(ms);
      // Every call fails, and as many retries as possible are sent.
      while (budgets[n].TryConsume("s", At(ms))) {
        retries.push_back(ms);
      }
      RemoveBefore(ms - 9999, &requests);
      RemoveBefore(ms - 9999, &retries);
      most = std::max(most, retries.size());
      BOOST_REQUIRE_LE(
          static_cast<double>(retries.size()),
          bound.ratio * static_cast<double>(requests.size()) + bound.slack);
    }
    // The slack is of use where the instances know of each other.
    if (plan.reaches_registry && plan.instances < bound.slack) {
      BOOST_TEST(static_cast<double>(most) > bound.slack / 2);
    }
  }
}

// Guards against parts of a fleet that do not hear each other and each send a
// replica as much as it takes from all together.
BOOST_AUTO_TEST_CASE(PartsThatDoNotHearEachOtherKeepTheLimitsOfReplicas) {
  constexpr uint64_t kReplica = 5;
  constexpr double kLimit = 40;  // requests per second
  constexpr int64_t kWindowMs = 4000;
  for (const Plan& plan : Plans()) {
    if (!plan.reaches_registry) {
      continue;
    }
    PartedFleet fleet(plan);
    std::vector<ReplicaRateLimits> limits(plan.instances);
    std::deque<int64_t> sent;
    size_t most = 0;
    for (int64_t ms = kStartMs; ms < kStartMs + 12000; ms += kTickMs) {
      const bool reports = ms % 1000 == 0;
      if (reports) {
        fleet.Report(ms);
      }
      for (uint32_t n = 0; n < plan.instances; ++n) {
        if (reports) {
          limits[n].RecordResponse(kReplica, kLimit, At(ms));
          limits[n].set_instance(fleet.directory(n).OwnSharingPosition(At(ms)));
        }
        if (limits[n].WaitFor(kReplica, {0, 12}, At(ms)) == Duration(0)) {
          limits[n].RecordSent(kReplica, At(ms));
          sent.push_back(ms);
        }
      }
      RemoveBefore(ms - kWindowMs + 1, &sent);
      most = std::max(most, sent.size());
    }
    BOOST_TEST(static_cast<double>(most) <=
               1.5 * kLimit * kWindowMs / 1000 + 5);
    BOOST_TEST(static_cast<double>(most) >= 0.5 * kLimit * kWindowMs / 1000);
  }
}

// Guards against a list that is older than the records of others and is taken
// for all instances there are.
BOOST_AUTO_TEST_CASE(ListsWithoutThisInstanceDoNotTellHowManyThereAre) {
  PeerDirectory directory(1, kRegion, {});
  directory.RecordReport({2, kRegion, Duration(0)}, 1, {}, At(0));
  BOOST_TEST(!directory.SharingCount(At(0)).has_value());
  directory.RecordRegistered({3}, At(0));
  BOOST_TEST(!directory.SharingCount(At(0)).has_value());
  directory.RecordRegistered({1, 3, 4}, At(1000));
  BOOST_TEST(directory.SharingCount(At(1000)).value() == 4u);
  BOOST_TEST(directory.InstanceCount(At(1000)) == 2u);
  // 3 and 4 have never been heard. They count while the registry cannot be
  // read.
  const int64_t outage = 1000 + 10 * kRegisteredTimeout.count() / 1000;
  directory.RecordReport({2, kRegion, Duration(0)}, 2, {}, At(outage));
  BOOST_TEST(directory.SharingCount(At(outage)).value() == 4u);
  // The registry no longer names 4, as at the end of an outage.
  directory.RecordRegistered({1, 3}, At(outage));
  BOOST_TEST(directory.SharingCount(At(outage)).value() == 4u);
  const int64_t later = outage + kRegisteredTimeout.count() / 1000;
  directory.RecordReport({2, kRegion, Duration(0)}, 3, {}, At(later));
  directory.RecordRegistered({1, 3}, At(later));
  BOOST_TEST(directory.SharingCount(At(later)).value() == 3u);
  InstancePosition expected;
  expected.count = 3;
  BOOST_TEST((directory.OwnSharingPosition(At(later)) == expected));
}

// Guards against an outage of the registry that takes the slack of the retry
// bound from instances which all hear each other.
BOOST_AUTO_TEST_CASE(InstancesThatHearAllOthersAreCounted) {
  PeerDirectory directory(1, kRegion, {});
  directory.RecordRegistered({1, 2, 3}, At(0));
  directory.RecordOwnRecord(At(90000));
  const auto hear = [&directory](uint32_t address) {
    directory.RecordReport({address, kRegion, Duration(0)}, 1, {}, At(100000));
  };
  hear(2);
  BOOST_TEST((directory.CountedUntil(At(100000)) == At(90000)));
  hear(3);
  BOOST_TEST((directory.CountedUntil(At(100000)) > At(100000)));
  const int64_t silent = 100000 + kPeerTimeout.count() / 1000;
  BOOST_TEST((directory.CountedUntil(At(silent)) == At(90000)));
}

// Guards against an instance that is cut off from the registry, hears nobody,
// and takes up streams by its old view, while others read the registry (ORDER).
BOOST_AUTO_TEST_CASE(AnInstanceThatHearsNobodyDoesNotDecideAlone) {
  const std::string own_ip = "10.0.0.1";
  BOOST_TEST(!Instance(own_ip, {}).exchange.IsRegistryLostByAll());
  BOOST_TEST(!Instance(own_ip, {"10.0.0.2"}).exchange.IsRegistryLostByAll());
  BOOST_TEST(
      !Instance(own_ip, {own_ip, "10.0.0.2"}).exchange.IsRegistryLostByAll());
  BOOST_TEST(Instance(own_ip, {own_ip}).exchange.IsRegistryLostByAll());
}

// Guards against instances that do not hear each other and each have to lose
// replicas before they refuse requests that crash them (BUDGET).
BOOST_AUTO_TEST_CASE(EvidenceOfCrashesReachesInstancesThatAreNotHeard) {
  const std::vector<std::string> both = {"10.0.0.1", "10.0.0.2"};
  Instance first("10.0.0.1", both);
  Instance second("10.0.0.2", both);
  const SuspectKeys keys = {7};
  uint64_t fingerprint = 0;
  BOOST_TEST(first.exchange.Hears("10.0.0.1"));
  BOOST_TEST(!first.exchange.Hears("10.0.0.2"));
  BOOST_TEST(first.exchange.ReportForUnheard(&fingerprint).empty());
  std::set<uint64_t> fingerprints;
  for (uint64_t replica = 1; replica <= 3; ++replica) {
    const TimePoint lost_at =
        BootClock::now() - std::chrono::seconds(10 - 2 * replica);
    first.suspects.RecordLostCall(
        replica, keys, lost_at - std::chrono::seconds(1), true, lost_at);
    const std::string text = first.exchange.ReportForUnheard(&fingerprint);
    BOOST_TEST(!text.empty());
    fingerprints.insert(fingerprint);
    second.exchange.ApplyReportOfUnheard(text, std::chrono::seconds(2));
  }
  BOOST_TEST(fingerprints.size() == 3u);
  BOOST_TEST((second.suspects.Judge(keys, BootClock::now()) ==
              CrashVerdict::kCulprit));
  // A process that starts in place of the first reads what that has written.
  Instance restarted("10.0.0.1", both);
  restarted.exchange.ApplyReportOfUnheard(
      first.exchange.ReportForUnheard(&fingerprint), std::chrono::seconds(2));
  BOOST_TEST((restarted.suspects.Judge(keys, BootClock::now()) ==
              CrashVerdict::kCulprit));
  // What is no report changes nothing.
  for (const std::string text : {"", "0", "zz", "00", "ffffffffffffffff"}) {
    second.exchange.ApplyReportOfUnheard(text, Duration(0));
  }
}

// Guards against instances that never hear of each other since their seeds are
// gone.
BOOST_AUTO_TEST_CASE(RegisteredInstancesAreToldOfLiveOnes) {
  PeerDirectory directory(1, kRegion, {9});
  directory.RecordRegistered({1, 2, 3, 4, 5}, At(0));
  std::set<uint32_t> told;
  for (int n = 0; n < 50; ++n) {
    const std::vector<uint32_t> recipients = directory.MemberRecipients(At(0));
    BOOST_TEST(recipients.size() <= 3u);
    told.insert(recipients.begin(), recipients.end());
  }
  BOOST_TEST((told == std::set<uint32_t>{2, 3, 4, 5, 9}));
}

}  // namespace endiveyard
