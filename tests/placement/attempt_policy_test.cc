#include "endiveyard/placement/attempt_policy.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace endiveyard {
namespace {

using Decide = std::function<NextStep(const Route&, const AttemptFacts&)>;

constexpr CallOutcome kOutcomes[] = {
    CallOutcome::kNotSent,
    CallOutcome::kNotRun,
    CallOutcome::kMayHaveRun,
    CallOutcome::kErrorResponse,
    CallOutcome::kIncompleteResponse,
    CallOutcome::kCompleted,
};

Route MakeRoute(RouteKind kind, bool resumable, int max_attempts) {
  Route route;
  route.kind = kind;
  route.resumable = resumable;
  route.max_attempts = max_attempts;
  return route;
}

std::vector<Route> AllRoutes() {
  std::vector<Route> routes;
  for (const int attempts : {1, 2, 3}) {
    routes.push_back(MakeRoute(RouteKind::kSafe, false, attempts));
    routes.push_back(MakeRoute(RouteKind::kUnsafe, false, attempts));
    routes.push_back(MakeRoute(RouteKind::kStreaming, false, attempts));
    routes.push_back(MakeRoute(RouteKind::kStreaming, true, attempts));
  }
  return routes;
}

// Passes every sequence of up to `kMaxCalls` call outcomes of one request to
// the decision function, with every combination of retry budget, time left and
// presence of the caller, and collects the rules that its decisions violate.
class DecisionExplorer {
 public:
  explicit DecisionExplorer(Decide decide) : decide_(std::move(decide)) {}

  void Run() {
    for (const Route& it : AllRoutes()) {
      Explore(it, 0, 0, 0, false);
    }
  }

  const std::set<std::string>& violations() const { return violations_; }
  int states() const { return states_; }

 private:
  static constexpr int kMaxCalls = 4;

  void Explore(const Route& route,
               int calls,
               int certain_runs,
               int possible_runs,
               bool started) {
    if (calls == kMaxCalls) {
      return;
    }
    for (const CallOutcome outcome : kOutcomes) {
      const bool ran =
          outcome != CallOutcome::kNotSent && outcome != CallOutcome::kNotRun;
      for (const bool starts : {false, true}) {
        // A response can only start if the target may have run the request.
        if (starts && !ran) {
          continue;
        }
        for (const bool budget : {false, true}) {
          for (const bool present : {false, true}) {
            for (const int64_t left_ms : {-5, 20, 5000}) {
              for (const bool position_known : {false, true}) {
                Step(route, calls, certain_runs + (ran ? 1 : 0),
                     possible_runs + (ran ? 1 : 0), started || starts, outcome,
                     budget, present, left_ms, position_known);
              }
            }
          }
        }
      }
    }
  }

  void Step(const Route& route,
            int calls,
            int certain_runs,
            int possible_runs,
            bool started,
            CallOutcome outcome,
            bool budget,
            bool present,
            int64_t left_ms,
            bool position_known) {
    ++states_;
    AttemptFacts facts;
    facts.outcome = outcome;
    facts.targets_that_may_have_run = possible_runs;
    facts.response_started = started;
    facts.is_position_known = position_known;
    facts.caller_present = present;
    facts.budget_left = budget;
    facts.time_left = std::chrono::milliseconds(left_ms);
    const NextStep step = decide_(route, facts);
    const bool another_call =
        step == NextStep::kRetry || step == NextStep::kResume;
    const bool retryable =
        route.kind == RouteKind::kSafe ||
        (route.kind == RouteKind::kStreaming && route.resumable);
    Check(!another_call || retryable || possible_runs == 0,
          "request runs twice");
    Check(!another_call || possible_runs < route.max_attempts,
          "too many attempts");
    Check(step != NextStep::kResume || position_known,
          "stream resumed from an unknown position");
    Check(!another_call || present, "call for a caller that has disconnected");
    Check(!another_call || budget || outcome == CallOutcome::kNotSent,
          "retry without budget");
    Check(!another_call || left_ms > 0, "retry after the deadline");
    Check(step != NextStep::kRefuseNotRun || possible_runs == 0,
          "request refused as not run may have run");
    Check(
        !started ||
            (step != NextStep::kRetry && step != NextStep::kRefuseNotRun &&
             step != NextStep::kFailUnknown && step != NextStep::kFailTimeout),
        "second response after the first started");
    Check(step != NextStep::kForwardResponse ||
              outcome == CallOutcome::kCompleted ||
              outcome == CallOutcome::kErrorResponse,
          "forwards a response that was not received");
    Check(outcome != CallOutcome::kCompleted || !present ||
              step == NextStep::kForwardResponse,
          "complete response is not forwarded");
    if (another_call) {
      Explore(route, calls + 1, certain_runs, possible_runs, started);
    }
  }

  void Check(bool holds, const char* rule) {
    if (!holds) {
      violations_.insert(rule);
    }
  }

  Decide decide_;
  std::set<std::string> violations_;
  int states_ = 0;
};

}  // namespace

// Guards against running a request twice, refusing a request as not run that
// may have run, sending a second response, and calling a target although the
// attempts or the budget are exhausted, the deadline has passed or the caller
// is gone.
BOOST_AUTO_TEST_CASE(NoCallSequenceViolatesARule) {
  DecisionExplorer explorer(DecideNextStep);
  explorer.Run();
  BOOST_TEST_MESSAGE("states: " << explorer.states());
  BOOST_TEST(explorer.states() > 5000);
  for (const std::string& it : explorer.violations()) {
    BOOST_ERROR(it);
  }
}

// Guards against an explorer that misses violations: it has to report the rule
// that each of these faulty decision functions violates.
BOOST_AUTO_TEST_CASE(EachFaultyDecisionIsDetected) {
  struct Fault {
    const char* rule;
    Decide decide;
  };
  const Fault faults[] = {
      {"request runs twice",
       [](const Route& route, const AttemptFacts& facts) {
         Route modified = route;
         modified.kind = RouteKind::kSafe;
         return DecideNextStep(modified, facts);
       }},
      {"too many attempts",
       [](const Route& route, const AttemptFacts& facts) {
         Route modified = route;
         modified.max_attempts += 1;
         return DecideNextStep(modified, facts);
       }},
      {"request refused as not run may have run",
       [](const Route& route, const AttemptFacts& facts) {
         const NextStep step = DecideNextStep(route, facts);
         return step == NextStep::kFailUnknown ? NextStep::kRefuseNotRun : step;
       }},
      {"retry without budget",
       [](const Route& route, const AttemptFacts& facts) {
         AttemptFacts modified = facts;
         modified.budget_left = true;
         return DecideNextStep(route, modified);
       }},
      {"second response after the first started",
       [](const Route& route, const AttemptFacts& facts) {
         AttemptFacts modified = facts;
         modified.response_started = false;
         return DecideNextStep(route, modified);
       }},
      {"stream resumed from an unknown position",
       [](const Route& route, const AttemptFacts& facts) {
         AttemptFacts modified = facts;
         modified.is_position_known = true;
         return DecideNextStep(route, modified);
       }},
      {"call for a caller that has disconnected",
       [](const Route& route, const AttemptFacts& facts) {
         AttemptFacts modified = facts;
         modified.caller_present = true;
         return DecideNextStep(route, modified);
       }},
      {"retry after the deadline",
       [](const Route& route, const AttemptFacts& facts) {
         AttemptFacts modified = facts;
         modified.time_left = std::chrono::seconds(5);
         return DecideNextStep(route, modified);
       }},
  };
  for (const Fault& it : faults) {
    DecisionExplorer explorer(it.decide);
    explorer.Run();
    BOOST_TEST(explorer.violations().count(it.rule) == 1, it.rule);
  }
}

// Guards against refusing an unsafe request as not run after it was sent.
BOOST_AUTO_TEST_CASE(UnsafeRequestWithoutResponseHasUnknownOutcome) {
  AttemptFacts facts;
  facts.outcome = CallOutcome::kMayHaveRun;
  facts.targets_that_may_have_run = 1;
  facts.time_left = std::chrono::seconds(1);
  const Route route = MakeRoute(RouteKind::kUnsafe, false, 2);
  BOOST_TEST((DecideNextStep(route, facts) == NextStep::kFailUnknown));
  facts.time_left = Duration(0);
  BOOST_TEST((DecideNextStep(route, facts) == NextStep::kFailTimeout));
}

// Guards against a request that was lost in crashes and crashes one more target
// when it is retried or resumed.
BOOST_AUTO_TEST_CASE(RequestsThatMayCrashTargetsAreNotRunAgain) {
  for (const Route& route : AllRoutes()) {
    for (const CallOutcome outcome :
         {CallOutcome::kMayHaveRun, CallOutcome::kIncompleteResponse}) {
      for (const bool started : {false, true}) {
        AttemptFacts facts;
        facts.outcome = outcome;
        facts.targets_that_may_have_run = 1;
        facts.response_started = started;
        facts.may_crash_targets = true;
        facts.time_left = std::chrono::seconds(5);
        const NextStep step = DecideNextStep(route, facts);
        BOOST_TEST((step == (started ? NextStep::kAbortResponse
                                     : NextStep::kFailUnknown)));
      }
    }
  }
}

}  // namespace endiveyard
