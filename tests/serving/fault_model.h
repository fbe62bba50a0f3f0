#ifndef TESTS_SERVING_FAULT_MODEL_H_
#define TESTS_SERVING_FAULT_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "endiveyard/serving/serving_core.h"
#include "invariant_checker.h"

namespace endiveyard {

// Chances in 1,000, for each attempt or request.
struct FaultRates {
  int connect_failed = 0;
  int refused = 0;
  int leaving = 0;
  int connection_lost = 0;  // the connection alone, the target lives on
  int malformed = 0;
  int stall = 0;
  int crossed_event = 0;  // for each event
  int repeated_event = 0;
  int index_jump = 0;
  int late_event = 0;  // of a cancelled attempt
  int caller_gone = 0;
  int intent_fault = 0;
  int crash = 0;        // of an engine, for each 100 ms
  int drain = 0;        // of any engine, for each 100 ms
  bool poison = false;  // one request crashes every engine that runs it
  bool split_roles = false;
};

struct FaultOutcome {
  std::vector<std::string> violations;
  int answered = 0;
  int refused = 0;
  int crashes = 0;  // of engines, by the poison request alone
  int crash_verdicts_on_innocents = 0;
  int innocents_unanswered = 0;
  uint64_t digest = 0;  // of all actions
  ServingCounters counters;
};

// Drives one core with requests, engines and services that fail at random.
// The same seed gives the same run.
class FaultModel {
 public:
  FaultModel(uint64_t seed, const FaultRates& rates);
  FaultOutcome Run(int requests);

 private:
  struct Scheduled {
    TimePoint at;
    uint64_t order = 0;
    ServingEvent event;
    // Engine whose restart count must still be `epoch`, or empty.
    std::string engine;
    int epoch = 0;
    bool operator>(const Scheduled& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Engine {
    int epoch = 0;
    bool up = true;
    TimePoint up_at;
    // Attempts in flight, by exchange.
    std::map<ExchangeId, int> running;
  };

  uint64_t Below(uint64_t n) { return random_() % n; }
  bool Chance(int in_1000) { return static_cast<int>(Below(1000)) < in_1000; }
  Duration Millis(int64_t from, int64_t to) {
    return std::chrono::milliseconds(
        from + static_cast<int64_t>(Below(static_cast<uint64_t>(to - from))));
  }
  void Schedule(Duration after, ServingEvent event);
  void ScheduleAt(const std::string& engine,
                  Duration after,
                  ServingEvent event);
  void AddRequest(ExchangeId id, TimePoint at, bool poison);
  std::string Token(ExchangeId id, int index) const;
  int Length(ExchangeId id) const { return 1 + static_cast<int>(id * 7 % 23); }
  void Apply(const ServingEvent& event);
  void OnStart(const StartAttempt& start);
  void Generate(const StartAttempt& start);
  void RunPlain(const StartAttempt& start);
  void OnCancel(const CancelAttempt& cancel);
  void OnCommit(const CommitIntent& commit);
  void Crash(const std::string& name);
  void RandomTargetEvents();
  void CheckAnswers(FaultOutcome* outcome);

  FaultRates rates_;
  std::mt19937_64 random_;
  ServingCore core_;
  InvariantChecker checker_;
  TimePoint now_;
  TimePoint drained_until_;
  uint64_t next_order_ = 0;
  uint64_t digest_ = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
      events_;
  std::map<ExchangeId, ServingRequest> requests_;
  std::map<std::string, Engine> engines_;
  std::map<ExchangeId, int> executions_;
  std::set<ExchangeId> poisonous_;
  std::map<ExchangeId, bool> gone_;
  std::vector<std::string> violations_;
  int poison_crashes_ = 0;
};

}  // namespace endiveyard

#endif  // TESTS_SERVING_FAULT_MODEL_H_
