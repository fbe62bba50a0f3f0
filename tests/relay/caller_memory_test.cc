#include "relay/caller_memory.h"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

constexpr size_t kLimit = 1000000;

TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

using Holders = std::vector<CallerMemoryHolder*>;

}  // namespace

BOOST_AUTO_TEST_SUITE(caller_memory)

// A total that drifts would refuse all callers in the end, or none.
BOOST_AUTO_TEST_CASE(TotalFollowsEntries) {
  CallerMemory memory(kLimit);
  CallerMemoryHolder a;
  CallerMemoryHolder b;
  const auto first = memory.Add(&a, At(0));
  const auto second = memory.Add(&b, At(0));
  memory.Update(first, CallerStage::kReceiving, 70000);
  memory.Update(second, CallerStage::kServing, 30000);
  BOOST_TEST(memory.total() == 100000U);
  memory.Update(first, CallerStage::kClosed, 5);
  memory.Remove(second);
  BOOST_TEST(memory.total() == 5U);
  memory.Remove(first);
  BOOST_TEST(memory.total() == 0U);
}

// Large requests that wait for a slow replica must not lock small ones out.
BOOST_AUTO_TEST_CASE(LargeRequestsLeaveRoomForSmallOnes) {
  CallerMemory memory(kLimit);
  CallerMemoryHolder holder;
  constexpr size_t kLarge = 100000;
  int admitted = 0;
  for (int n = 0; n < 100; ++n) {
    const auto entry = memory.Add(&holder, At(n));
    if (memory.Admits(kLarge, kConnectionBytes)) {
      memory.Update(entry, CallerStage::kServing, kLarge);
      ++admitted;
    } else {
      memory.Remove(entry);
    }
  }
  BOOST_TEST(admitted == 9);
  BOOST_TEST(memory.Admits(40000, 0));
}

// What the request's own connection holds must not count against it.
BOOST_AUTO_TEST_CASE(OneLargeRequestIsAdmittedWhenNothingElseIsHeld) {
  CallerMemory memory(kLimit);
  CallerMemoryHolder holder;
  const auto entry = memory.Add(&holder, At(0));
  memory.Update(entry, CallerStage::kReceiving, 480000);
  BOOST_TEST(memory.Admits(kLimit / 2, 480000));
  BOOST_TEST(!memory.Admits(kLimit / 2 + 1, 480000));
}

BOOST_AUTO_TEST_CASE(IdleThenStalledThenLargest) {
  CallerMemory memory(kLimit);
  CallerMemoryHolder serving;
  CallerMemoryHolder fresh;
  CallerMemoryHolder stalled;
  CallerMemoryHolder idle;
  memory.Update(memory.Add(&serving, At(0)), CallerStage::kServing, 500000);
  const auto receiving = memory.Add(&fresh, At(0));
  memory.Update(receiving, CallerStage::kReceiving, 300000);
  memory.RecordProgress(receiving, At(2000));
  memory.Update(memory.Add(&stalled, At(0)), CallerStage::kSending, 100000);
  memory.Add(&idle, At(1000));
  const auto choose = [&](size_t target) {
    return memory.ChooseToClose(target, At(2001));
  };
  BOOST_TEST((choose(900000) == Holders{&idle}));
  BOOST_TEST((choose(850000) == Holders{&idle, &stalled}));
  BOOST_TEST((choose(0) == Holders{&idle, &stalled, &fresh}));
}

// Requests in progress end only if nothing else brings the total to the limit.
BOOST_AUTO_TEST_CASE(RequestsInProgressEndLast) {
  CallerMemory memory(kLimit);
  CallerMemoryHolder small;
  CallerMemoryHolder large;
  memory.Update(memory.Add(&small, At(0)), CallerStage::kServing, 450000);
  const auto entry = memory.Add(&large, At(0));
  memory.Update(entry, CallerStage::kServing, 550000);
  BOOST_TEST(memory.ChooseToClose(memory.relief_target(), At(1)).empty());
  memory.Update(entry, CallerStage::kServing, 550001);
  BOOST_TEST(
      (memory.ChooseToClose(memory.relief_target(), At(1)) == Holders{&large}));
}

BOOST_AUTO_TEST_CASE(LongestIdleIsClosedForNewConnection) {
  CallerMemory memory(kLimit);
  CallerMemoryHolder a;
  CallerMemoryHolder b;
  BOOST_TEST(memory.ChooseForNewConnection(At(5000)) == nullptr);
  const auto first = memory.Add(&a, At(0));
  const auto second = memory.Add(&b, At(1));
  BOOST_TEST(memory.ChooseForNewConnection(At(5000)) == &a);
  memory.Update(first, CallerStage::kServing, 1);
  memory.Update(first, CallerStage::kIdle, 1);
  BOOST_TEST(memory.ChooseForNewConnection(At(5000)) == &b);
  memory.Update(first, CallerStage::kServing, 1);
  memory.Update(second, CallerStage::kReceiving, 1);
  BOOST_TEST(memory.ChooseForNewConnection(At(5000)) == &b);
  memory.Update(second, CallerStage::kServing, 1);
  BOOST_TEST(memory.ChooseForNewConnection(At(5000)) == nullptr);
}

// Where slow clients take all places, the request of a new connection would
// never be read if it were closed as the only idle one.
BOOST_AUTO_TEST_CASE(FreshConnectionIsClosedAfterIncompleteOnes) {
  CallerMemory memory(kLimit);
  CallerMemoryHolder incomplete;
  CallerMemoryHolder fresh;
  memory.Update(memory.Add(&incomplete, At(0)), CallerStage::kReceiving, 20000);
  memory.Add(&fresh, At(1000));
  BOOST_TEST(memory.ChooseForNewConnection(At(1100)) == &incomplete);
  BOOST_TEST(memory.ChooseForNewConnection(At(1500)) == &fresh);
  BOOST_TEST((memory.ChooseToClose(15000, At(1100)) == Holders{&incomplete}));
  BOOST_TEST(
      (memory.ChooseToClose(15000, At(1500)) == Holders{&fresh, &incomplete}));
}

// A route whose replicas do not answer must leave calls to the other routes.
BOOST_AUTO_TEST_CASE(OneRouteLeavesRequestsToOthers) {
  OpenRequests requests(90);
  int started = 0;
  while (requests.Admits("slow", false)) {
    requests.Start("slow");
    ++started;
  }
  BOOST_TEST(started == 80);
  BOOST_TEST(requests.Admits("other", false));
  for (int n = 0; n < 10; ++n) {
    requests.Start("other");
  }
  BOOST_TEST(!requests.Admits("third", false));
  requests.End("slow");
  BOOST_TEST(requests.Admits("third", false));
  BOOST_TEST(!requests.Admits("slow", false));
}

// Callers that pipeline without end must leave requests to the others.
BOOST_AUTO_TEST_CASE(PipelinedRequestsTakeHalf) {
  OpenRequests requests(90);
  int started = 0;
  while (requests.Admits("lookup", true)) {
    requests.Start("lookup");
    ++started;
  }
  BOOST_TEST(started == 45);
  BOOST_TEST(requests.Admits("lookup", false));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endiveyard
