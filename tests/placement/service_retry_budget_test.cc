#include "endiveyard/placement/service_retry_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

namespace endiveyard {
namespace {

namespace tt = boost::test_tools;

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

constexpr RetryBound kBound = {0.2, 56, std::chrono::seconds(10)};

}  // namespace

// Guards against instances that together exceed the common bound, when calls
// fail on all of them at the same time and they do not communicate.
BOOST_AUTO_TEST_CASE(AllInstancesTogetherKeepTheBound) {
  struct Fleet {
    size_t instances;
    size_t known;  // 0: the instances know nothing of each other
    double slack;
  };
  for (const Fleet& fleet :
       {Fleet{1, 0, 56}, Fleet{8, 0, 56}, Fleet{40, 0, 56}, Fleet{1, 1, 56},
        Fleet{8, 8, 56}, Fleet{95, 95, 230}, Fleet{370, 370, 300}}) {
    RetryBound bound = kBound;
    bound.slack = fleet.slack;
    std::vector<ServiceRetryBudget> budgets(fleet.instances,
                                            ServiceRetryBudget(bound));
    for (ServiceRetryBudget& it : budgets) {
      it.RecordInstanceCount(fleet.known, At(0));
    }
    std::deque<int64_t> requests;
    std::deque<int64_t> retries;
    for (int64_t ms = 0; ms < 60000; ms += 20) {
      const size_t n = static_cast<size_t>(ms / 20) % budgets.size();
      budgets[n].RecordRequest("s", At(ms));
      requests.push_back(ms);
      // Every call fails, and as many retries as possible are sent.
      while (budgets[n].TryConsume("s", At(ms))) {
        retries.push_back(ms);
      }
      while (!requests.empty() && ms - requests.front() >= 10000) {
        requests.pop_front();
      }
      while (!retries.empty() && ms - retries.front() >= 10000) {
        retries.pop_front();
      }
      BOOST_REQUIRE_LE(
          static_cast<double>(retries.size()),
          bound.ratio * static_cast<double>(requests.size()) + bound.slack);
    }
  }
}

namespace {

// Requests that clients sent and repeats that reached replicas, as judged from
// outside: the requests are those of the window, of the one before, or of the
// one half a window before, whichever are most.
class BoundCheck {
 public:
  explicit BoundCheck(const RetryBound& bound) : bound_(bound) {}

  void RecordRequest(int64_t ms) { requests_.push_back(ms); }
  void RecordRetry(int64_t ms) { retries_.push_back(ms); }

  // Returns the largest excess over the bound in any window.
  double LargestExcess() const {
    const int64_t window = bound_.window.count() / 1000;
    double largest = -bound_.slack;
    for (const int64_t begin : retries_) {
      const auto requests =
          std::max({Count(requests_, begin, window),
                    Count(requests_, begin - window, window),
                    Count(requests_, begin - window / 2, window)});
      const auto retries = Count(retries_, begin, window);
      largest =
          std::max(largest, static_cast<double>(retries) -
                                bound_.ratio * static_cast<double>(requests) -
                                bound_.slack);
    }
    return largest;
  }

 private:
  static int64_t Count(const std::vector<int64_t>& times,
                       int64_t begin,
                       int64_t length) {
    return std::lower_bound(times.begin(), times.end(), begin + length) -
           std::lower_bound(times.begin(), times.end(), begin);
  }

  const RetryBound bound_;
  std::vector<int64_t> requests_;
  std::vector<int64_t> retries_;
};

// Processes that are killed and start again while every call fails.
struct KillPlan {
  size_t instances;
  size_t killed_at_once;
  int64_t kill_every_ms;
  double requests_per_s;  // of all instances
  double slack;
};

double LargestExcessOf(const KillPlan& plan) {
  RetryBound bound = kBound;
  bound.slack = plan.slack;
  BoundCheck check(bound);
  std::vector<ServiceRetryBudget> budgets(plan.instances,
                                          ServiceRetryBudget(bound));
  for (ServiceRetryBudget& it : budgets) {
    it.RecordInstanceCount(plan.instances, At(0));
  }
  constexpr int64_t kLearnsOthersMs = 2000;
  std::vector<int64_t> learns_others_at(plan.instances, 0);
  const int64_t step_ms =
      std::max<int64_t>(1, static_cast<int64_t>(1000 / plan.requests_per_s));
  size_t next_killed = 0;
  size_t next_request = 0;
  int64_t last_kill = 20000;
  for (int64_t ms = 0; ms < 60000; ms += step_ms) {
    if (ms - last_kill >= plan.kill_every_ms) {
      last_kill = ms;
      for (size_t n = 0; n < plan.killed_at_once; ++n) {
        const size_t n_killed = next_killed++ % plan.instances;
        ServiceRetryBudget& killed = budgets[n_killed];
        killed = ServiceRetryBudget(bound);
        killed.RecordStart(At(ms));
        // It has heard of one other instance when its first request comes.
        killed.RecordInstanceCount(2, At(ms));
        learns_others_at[n_killed] = ms + kLearnsOthersMs;
      }
    }
    const auto requests = static_cast<int>(std::max(
        1.0, plan.requests_per_s * static_cast<double>(step_ms) / 1000));
    for (int n = 0; n < requests; ++n) {
      const size_t receiver = next_request++ % plan.instances;
      ServiceRetryBudget& budget = budgets[receiver];
      if (ms >= learns_others_at[receiver]) {
        budget.RecordInstanceCount(plan.instances, At(ms));
      }
      budget.RecordRequest("s", At(ms));
      check.RecordRequest(ms);
      while (budget.TryConsume("s", At(ms))) {
        check.RecordRetry(ms);
      }
    }
  }
  return check.LargestExcess();
}

}  // namespace

// Guards against repeats beyond the common bound when processes are killed in
// series, some of them or all at once: each new process has retries, although
// the one before it has used its own.
BOOST_AUTO_TEST_CASE(RestartedProcessesKeepTheBound) {
  struct Fleet {
    size_t instances;
    double requests_per_s;
    double slack;
  };
  for (const Fleet& fleet : {Fleet{3, 40, 56}, Fleet{8, 134, 56},
                             Fleet{95, 1500, 230}, Fleet{370, 6000, 300}}) {
    for (const size_t killed :
         {size_t{1}, std::max<size_t>(1, fleet.instances / 3),
          fleet.instances}) {
      for (const int64_t every_ms : {300, 700, 3000, 9000, 11000, 60000}) {
        const double excess =
            LargestExcessOf({fleet.instances, killed, every_ms,
                             fleet.requests_per_s, fleet.slack});
        BOOST_TEST(excess <= 0, fleet.instances << " instances, " << killed
                                                << " killed every " << every_ms
                                                << " ms: " << excess
                                                << " beyond the bound");
      }
    }
  }
}

// Guards against an instance that goes on without the slack for ever.
BOOST_AUTO_TEST_CASE(StartedProcessUsesItsWholeShareAfterOneWindow) {
  ServiceRetryBudget budget(kBound);
  ServiceRetryBudget calm(kBound);
  budget.RecordStart(At(0));
  for (ServiceRetryBudget* it : {&budget, &calm}) {
    it->RecordInstanceCount(8, At(0));
    for (int n = 0; n < 100; ++n) {
      it->RecordRequest("s", At(5000));
    }
  }
  // A twenty-fifth of the requests.
  BOOST_TEST(budget.Remaining("s", At(9999)) == 4, tt::tolerance(1e-9));
  BOOST_TEST(budget.Remaining("s", At(10000)) ==
             calm.Remaining("s", At(10000)));
}

// Guards against two parts of a fleet that, cut off from each other, take the
// other part for gone and divide the whole slack twice: the highest number of
// instances counts for some minutes.
BOOST_AUTO_TEST_CASE(PartitionedInstancesKeepTheBound) {
  ServiceRetryBudget budget(kBound);
  budget.RecordInstanceCount(8, At(0));
  const double share = budget.Remaining("s", At(0));
  BOOST_TEST(share * 8 <= kBound.slack);
  budget.RecordInstanceCount(4, At(10000));
  BOOST_TEST(budget.Remaining("s", At(10000)) == share);
  budget.RecordInstanceCount(4, At(400000));
  BOOST_TEST(budget.Remaining("s", At(400000)) > share);
  // An instance that has never heard of another does not assume to be alone.
  ServiceRetryBudget alone(kBound);
  alone.RecordInstanceCount(1, At(0));
  BOOST_TEST(alone.Remaining("s", At(0)) < share);
}

// Guards against an instance that stood still until others no longer counted
// it, and spends the share that these have divided among themselves.
BOOST_AUTO_TEST_CASE(InstancesThatOthersNoLongerCountSpendTheRestOnly) {
  ServiceRetryBudget budget(kBound);
  budget.RecordInstanceCount(8, At(0));
  budget.RecordCounted(At(90000), At(0));
  const double share = kBound.slack * kUsableSlackShare / 8;
  const double rest = kBound.slack * (1 - kUsableSlackShare) / 8;
  const auto check = [&](int64_t ms, double expected) {
    BOOST_TEST(budget.Remaining("s", At(ms)) == expected, tt::tolerance(1e-9));
  };
  check(89999, share);
  check(90000, rest);
  // Lists of others name it again later.
  budget.RecordInstanceCount(8, At(100000));
  budget.RecordCounted(At(190000), At(100000));
  check(100000, rest);
  check(119999, rest);
  check(120000, share);
  budget.RecordCounted(At(210000), At(120000));
  check(209999, share);
}

// Guards against an instance that may not retry until it has received requests.
BOOST_AUTO_TEST_CASE(NewInstanceHasOneRetry) {
  ServiceRetryBudget budget(kBound);
  BOOST_TEST(budget.TryConsume("s", At(0)));
  BOOST_TEST(!budget.TryConsume("s", At(0)));
}

// Guards against failures of one service that consume the retries of another.
BOOST_AUTO_TEST_CASE(ServicesDoNotShareABudget) {
  ServiceRetryBudget budget(kBound);
  BOOST_TEST(budget.TryConsume("a", At(0)));
  BOOST_TEST(budget.TryConsume("b", At(0)));
}

}  // namespace endiveyard
