#include "soak/crash_ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace endiveyard::soak {
namespace {

constexpr int64_t kStableMs = CrashLedger::kStableMs;

bool AlwaysCalm(const std::string& /*process*/,
                int64_t /*begin_ms*/,
                int64_t /*end_ms*/) {
  return true;
}

ReplicaCall Call(const std::string& request_id,
                 int64_t at_ms,
                 bool read_only = false) {
  return {request_id, "i-1", "front-0", read_only, at_ms};
}

// Records `crashes`, one a second from second 1 on, and calls from kStableMs
// after the last of them on.
void Play(CrashLedger* ledger, CrashCause cause, int crashes, int calls) {
  for (int n = 1; n <= crashes; ++n) {
    ledger->RecordCall(cause, "x", Call("c" + std::to_string(n), n * 1000));
    ledger->RecordCrash(cause, "x", n * 1000);
  }
  const int64_t bound_ms = crashes * 1000 + kStableMs;
  ledger->RecordCall(cause, "x", Call("in time", bound_ms));
  for (int n = 1; n <= calls; ++n) {
    ledger->RecordCall(cause, "x", Call("d" + std::to_string(n), bound_ms + n));
  }
}

}  // namespace

// Guards against a check of crashing requests that cannot fail, or that counts
// what the users' rules allow.
BOOST_AUTO_TEST_CASE(LateCallsOfCrashingRequestsBreakTheBudget) {
  for (const auto& [cause, crashes] :
       {std::pair(CrashCause::kRequest, 3), std::pair(CrashCause::kPart, 5)}) {
    for (const int calls : {3, 4}) {
      CrashLedger ledger(AlwaysCalm);
      Play(&ledger, cause, crashes, calls);
      BOOST_TEST(ledger.Violations().size() == (calls > 3 ? 1u : 0u));
      CrashLedger fewer(AlwaysCalm);
      Play(&fewer, cause, crashes - 1, calls);
      BOOST_TEST(fewer.Violations().empty());
    }
  }
}

// Guards against counting processes that were just started or disturbed, and
// calls that only have the prompt of the same request read.
BOOST_AUTO_TEST_CASE(OnlyRunsOfProcessesInTouchCount) {
  CrashLedger disturbed(
      [](const std::string& /*process*/, int64_t begin_ms, int64_t end_ms) {
        return begin_ms > 3500 || end_ms < 3500;
      });
  Play(&disturbed, CrashCause::kRequest, 3, 4);
  BOOST_TEST(disturbed.Violations().size() == 0u);
  CrashLedger reads(AlwaysCalm);
  Play(&reads, CrashCause::kRequest, 3, 3);
  reads.RecordCall(CrashCause::kRequest, "x", Call("d1", 9000, true));
  BOOST_TEST(reads.Violations().empty());
  reads.RecordCall(CrashCause::kRequest, "x", Call("read", 9000, true));
  BOOST_TEST(reads.Violations().size() == 1u);
}

// Guards against a check of rate limits that cannot fail, or that counts calls
// of processes that did not know of the limit.
BOOST_AUTO_TEST_CASE(CallsBeyondARateLimitAreFound) {
  constexpr int kAllowed = 17;  // at 2 calls a second
  for (const int calls : {kAllowed, kAllowed + 1}) {
    for (const int64_t told_ms : {1000, 6000}) {
      CrashLedger ledger(AlwaysCalm);
      ledger.RecordLimit("i-1", "front-1", 2, 1000);
      ledger.RecordLimit("i-1", "front-0", 2, told_ms);
      for (int n = 0; n < calls; ++n) {
        ledger.RecordCall(Call("c" + std::to_string(n), 5500 + n));
      }
      const bool breaks = calls > kAllowed && told_ms == 1000;
      BOOST_TEST(ledger.Violations().size() == (breaks ? 1u : 0u));
    }
  }
}

}  // namespace endiveyard::soak
