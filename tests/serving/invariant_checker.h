#ifndef TESTS_SERVING_INVARIANT_CHECKER_H_
#define TESTS_SERVING_INVARIANT_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "endiveyard/serving/serving_core.h"

namespace endiveyard {

// Watches the events and actions of one core and collects violations of the
// invariants of docs/design.md that hold for every sequence of events.
class InvariantChecker {
 public:
  // Call before Step() with the event, then after it with its actions.
  void BeforeStep(const ServingEvent& event);
  void AfterStep(const ServingEvent& event,
                 const std::vector<ServingAction>& actions);
  // Call when no event will follow: every exchange has ended by now.
  void AtEnd(const ServingCore& core);

  const std::vector<std::string>& violations() const { return violations_; }
  // Tokens that the caller of `exchange` has received.
  const std::vector<std::string>& Delivered(ExchangeId exchange) {
    return exchanges_[exchange].delivered;
  }
  // Name of the error kind, "ok", or empty while open.
  const std::string& Outcome(ExchangeId exchange) {
    return exchanges_[exchange].outcome;
  }
  int Starts(ExchangeId exchange) { return exchanges_[exchange].starts; }

 private:
  struct Seen {
    ServingRequest request;
    std::vector<std::string> delivered;
    std::string outcome;
    std::string target;
    std::set<std::string> lost;
    int starts = 0;
    int outcomes_recorded = 0;
    bool arrived = false;
    bool gone = false;
    bool running = false;
    bool maybe_ran = false;  // an ended attempt may have run
    bool committed = false;
    bool foreign_run = false;  // an earlier request with the key may have run
  };

  void Violation(ExchangeId exchange, const std::string& text);
  void CheckStart(const StartAttempt& start);
  void CheckRefusal(const Refuse& refuse);
  void CheckRecord(const RecordOutcome& record);
  Seen& End(ExchangeId exchange, const std::string& outcome);

  std::map<ExchangeId, Seen> exchanges_;
  std::set<std::string> closed_targets_;  // leaving or draining
  std::vector<std::string> violations_;
  size_t max_lost_ = 2;
  bool crash_known_ = false;
};

}  // namespace endiveyard

#endif  // TESTS_SERVING_INVARIANT_CHECKER_H_
