#include "soak/run_ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "soak/stream_shape.h"

namespace endiveyard::soak {
namespace {

struct Ledger : RunLedger {
  Ledger() {
    set_now_ms([this] { return now_ms; });
    set_is_calm([](const std::string&, int64_t, int64_t) { return true; });
    set_max_attempts(2, 2);
  }

  int64_t now_ms = 1000;
};

Run RunOf(const std::string& id, const std::string& replica) {
  Run run;
  run.id = id;
  run.kind = RequestKind::kResumableStream;
  run.replica = replica;
  run.version = "v1";
  return run;
}

ClientResult ResultOf(const std::string& id, const std::string& body) {
  ClientResult result;
  result.id = result.first_id = id;
  result.kind = RequestKind::kResumableStream;
  result.status = 200;
  result.complete = result.signed_by_target = true;
  result.sent_ms = 1000;
  result.body = body;
  return result;
}

// Events `begin` to `end` of `run`.
std::string Events(const Run& run, int begin, int end) {
  std::string text;
  for (int n = begin; n <= end; ++n) {
    text += EventOf(n, run);
  }
  return text;
}

// Returns the number of violations of the rule.
int Broken(Ledger* ledger, const std::string& rule) {
  int count = 0;
  for (const std::string& it : ledger->Violations()) {
    count += it.rfind(rule, 0) == 0 ? 1 : 0;
  }
  return count;
}

}  // namespace

// Guards against checks of BUDGET that cannot fail, or that count what the
// users' rules allow: repeats, attempts, time left, calls in a pause.
BOOST_AUTO_TEST_CASE(EachWayOfBudgetIsCounted) {
  for (const bool breaks : {false, true}) {
    Ledger repeats;
    repeats.RecordRequest("orders", "c", 1000);
    for (int n = 0; n < kRetrySlack + (breaks ? 3 : 1); ++n) {
      repeats.now_ms += 10;
      repeats.RecordArrival({"c", "orders", "i-1", false, true, 900, ""});
    }
    BOOST_TEST(Broken(&repeats, "BUDGET") == (breaks ? 1 : 0));

    Ledger attempts;
    for (int n = 0; n < (breaks ? 4 : 3); ++n) {
      const std::string id = "c" + std::to_string(n);
      for (const char* const replica : {"i-1", "i-2", "i-3"}) {
        attempts.RecordRunEnd(attempts.RecordRun(RunOf(id, replica)).number);
      }
      ClientResult failed = ResultOf(id, "");
      failed.status = 502;
      attempts.RecordResult(failed);
    }
    BOOST_TEST(Broken(&attempts, "BUDGET") == (breaks ? 1 : 0));

    Ledger time;
    for (int n = 0; n < (breaks ? 21 : 20); ++n) {
      const std::string id = "c" + std::to_string(n);
      time.RecordRequest("orders", id, 1000);
      time.RecordArrival({id, "orders", "i-1", false, true, 1501, ""});
    }
    BOOST_TEST(Broken(&time, "BUDGET") == (breaks ? 1 : 0));

    Ledger pause;
    pause.RecordPause("i-1", "front-0", 2000);
    for (int n = 0; n < (breaks ? 3 : 2); ++n) {
      const std::string id = "c" + std::to_string(n);
      pause.now_ms = 1501 + n;
      pause.RecordArrival({id, "orders", "i-1", false, true, 900, "front-0"});
      pause.RecordArrival({id, "orders", "i-1", false, true, 900, "front-1"});
    }
    pause.now_ms = 3000;
    pause.RecordArrival({"d", "orders", "i-1", false, true, 900, "front-0"});
    BOOST_TEST(Broken(&pause, "BUDGET") == (breaks ? 1 : 0));
  }
}

// Guards against checks of ORDER that cannot fail: events that are missing,
// come twice or are joined from two runs, an early end, and two software
// versions.
BOOST_AUTO_TEST_CASE(EachWayOfOrderIsCounted) {
  // Of a stream, and of a request that takes it up.
  const std::string first_id = "c7-1-0";
  const std::string take_up_id = first_id + "-1";
  const int events = ShapeOf(first_id).events;
  BOOST_REQUIRE(events > 5);
  Ledger ledger;
  const Run run = ledger.RecordRun(RunOf(first_id, "i-1"));
  ledger.RecordRunEnd(run.number);
  const Run other = ledger.RecordRun(RunOf(first_id, "i-2"));
  ledger.RecordRunEnd(other.number);
  const std::string whole = Events(run, 1, events);
  const std::vector<std::string> wrong = {
      Events(run, 2, events), Events(run, 1, 3) + Events(run, 5, events),
      Events(run, 1, 3) + Events(run, 3, events),
      Events(run, 1, 3) + Events(other, 4, events), Events(run, 1, events - 1)};
  ledger.RecordResult(ResultOf(first_id, whole));
  BOOST_TEST(Broken(&ledger, "ORDER") == 0);
  for (size_t n = 0; n < wrong.size(); ++n) {
    Ledger fresh;
    fresh.RecordRunEnd(fresh.RecordRun(RunOf(first_id, "i-1")).number);
    fresh.RecordRunEnd(fresh.RecordRun(RunOf(first_id, "i-2")).number);
    fresh.RecordResult(ResultOf(first_id, wrong[n]));
    BOOST_TEST(Broken(&fresh, "ORDER") == 1, "case " << n);
  }
  for (const char* const version : {"v1", "v2"}) {
    Ledger taken_up;
    const Run first = taken_up.RecordRun(RunOf(first_id, "i-1"));
    taken_up.RecordRunEnd(first.number);
    Run next = RunOf(take_up_id, "i-2");
    next.begun_after = 3;
    next.version = version;
    next = taken_up.RecordRun(next);
    taken_up.RecordRunEnd(next.number);
    ClientResult broken_off = ResultOf(first_id, Events(first, 1, 3));
    broken_off.complete = false;
    taken_up.RecordResult(broken_off);
    ClientResult rest = ResultOf(take_up_id, Events(next, 4, events));
    rest.first_id = first_id;
    rest.begun_after = 3;
    taken_up.RecordResult(rest);
    BOOST_TEST(Broken(&taken_up, "ORDER") == (next.version == "v2" ? 1 : 0));
  }
}

}  // namespace endiveyard::soak
