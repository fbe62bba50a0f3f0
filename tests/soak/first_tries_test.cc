#include "soak/first_tries.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>

#include "soak/http_peer.h"

namespace endiveyard::soak {
namespace {

// Processes a and b without links, c and d with links.
class Fixture {
 public:
  Fixture() { tries_.RecordCut("hang", {"a", "b"}); }

  void Try(const std::string& process, int count, bool served) {
    FirstTry first_try;
    first_try.process = process;
    first_try.process_calm = true;
    // Long enough after the cut.
    first_try.sent_ms = NowMs() + 2 * FirstTries::kStableMs;
    first_try.served = served;
    for (int n = 0; n < count; ++n) {
      tries_.RecordTry(first_try);
    }
  }
  FirstTries& tries() { return tries_; }

 private:
  FirstTries tries_{"/dev/null"};
};

constexpr int kEnough = FirstTries::kMinTriesInTouch;

}  // namespace

// Guards against a violation that no rule knows: connections that a process
// refuses at the end of its drain.
BOOST_FIXTURE_TEST_CASE(TriesOutOfTouchAreNotCounted, Fixture) {
  tries().RecordSignal("b", SIGTERM);
  Try("a", kEnough, true);
  Try("b", 5 * kEnough, false);
  Try("c", kEnough, true);
  BOOST_TEST(tries().Violations().empty());
  // The wider count is reported.
  BOOST_TEST(tries().Summary().find("served 30 of 180") != std::string::npos);
}

// Guards against failures in touch that many tries out of touch hide.
BOOST_FIXTURE_TEST_CASE(TriesInTouchBreakTheBound, Fixture) {
  tries().RecordSignal("b", SIGTERM);
  Try("a", kEnough, false);
  Try("b", 5 * kEnough, true);
  Try("c", kEnough, true);
  BOOST_TEST(tries().Violations().size() == 1u);
}

// Guards against processes that are never in touch and so hide a fault.
BOOST_FIXTURE_TEST_CASE(AllTriesDecideWhereFewAreInTouch, Fixture) {
  for (const char* it : {"b", "d"}) {
    tries().RecordSignal(it, SIGTERM);
  }
  Try("a", kEnough - 1, true);
  Try("b", 5 * kEnough, false);
  Try("c", kEnough, true);
  BOOST_TEST(tries().Violations().size() == 1u);
  Try("a", 1, true);
  BOOST_TEST(tries().Violations().empty());
}

}  // namespace endiveyard::soak
