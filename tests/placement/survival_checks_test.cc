#include "endiveyard/placement/survival_checks.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

constexpr uint64_t kReplica = 7;
constexpr uint64_t kOther = 8;
constexpr SurvivalProof kSameProcess = SurvivalProof::kSameProcess;
constexpr TimePoint kBefore{};  // the connection is older than all checks

TimePoint At(int64_t ms) {
  return TimePointFromMicros(1000 * ms);
}

using Answers = std::vector<SurvivalAnswer>;

}  // namespace

// Guards against a response that was sent before a replica ended counting as a
// sign that it outlived that moment.
BOOST_AUTO_TEST_CASE(OnlyRequestsSentLaterShowThatAReplicaRuns) {
  SurvivalChecks checks;
  const uint64_t check = checks.Begin(kReplica, kSameProcess, At(100));
  BOOST_TEST(checks.RecordResponse(kReplica, kBefore, At(99)).empty());
  BOOST_TEST(checks.RecordResponse(kReplica, kBefore, At(100)).empty());
  BOOST_TEST(checks.RecordResponse(kOther, kBefore, At(101)).empty());
  BOOST_TEST((checks.RecordResponse(kReplica, kBefore, At(101)) ==
              Answers{{check, SurvivalVerdict::kAlive}}));
  BOOST_TEST(checks.empty());
}

// Guards against a probe for each response: one answers all checks that began
// before it, and a check that began later gets another one.
BOOST_AUTO_TEST_CASE(OneProbeAnswersAllEarlierChecks) {
  SurvivalChecks checks;
  const uint64_t first = checks.Begin(kReplica, kSameProcess, At(100));
  const uint64_t second = checks.Begin(kReplica, kSameProcess, At(100));
  BOOST_TEST(checks.BeginProbe(kReplica, At(100)));
  const uint64_t third = checks.Begin(kReplica, kSameProcess, At(101));
  BOOST_TEST(!checks.BeginProbe(kReplica, At(101)));
  BOOST_TEST((checks.RecordProbeEnd(kReplica, SurvivalProbeOutcome::kAnswered,
                                    kBefore, true, At(102)) ==
              Answers{{first, SurvivalVerdict::kAlive},
                      {second, SurvivalVerdict::kAlive}}));
  BOOST_TEST(checks.BeginProbe(kReplica, At(102)));
  BOOST_TEST((checks.RecordProbeEnd(
                  kReplica, SurvivalProbeOutcome::kOtherReplica, kBefore, true,
                  At(103)) == Answers{{third, SurvivalVerdict::kGone}}));
  BOOST_TEST(!checks.BeginProbe(kReplica, At(200)));
}

// Guards against replicas that count as ended because this instance has lost
// its links, or because a probe failed for a reason of its own.
BOOST_AUTO_TEST_CASE(ProbesThatShowNothingAreRepeated) {
  SurvivalChecks checks;
  const uint64_t check = checks.Begin(kReplica, kSameProcess, At(0));
  BOOST_TEST(checks.BeginProbe(kReplica, At(0)));
  BOOST_TEST(checks
                 .RecordProbeEnd(kReplica, SurvivalProbeOutcome::kRefused,
                                 kBefore, false, At(1))
                 .empty());
  BOOST_TEST(!checks.BeginProbe(kReplica, At(2)));
  const TimePoint next = At(1) + SurvivalChecks::kProbePause;
  BOOST_TEST((checks.NextStep(kReplica) == next));
  BOOST_TEST(checks.BeginProbe(kReplica, next));
  BOOST_TEST(checks
                 .RecordProbeEnd(kReplica, SurvivalProbeOutcome::kFailed,
                                 kBefore, true, next)
                 .empty());
  // Pauses double.
  const TimePoint refused = next + 2 * SurvivalChecks::kProbePause;
  BOOST_TEST(!checks.BeginProbe(kReplica, refused - Duration(1)));
  BOOST_TEST(checks.BeginProbe(kReplica, refused));
  // One refusal may come before this instance notices that it is cut off.
  BOOST_TEST(checks
                 .RecordProbeEnd(kReplica, SurvivalProbeOutcome::kRefused,
                                 kBefore, true, refused)
                 .empty());
  const TimePoint last = refused + 4 * SurvivalChecks::kProbePause;
  BOOST_TEST(checks.BeginProbe(kReplica, last));
  BOOST_TEST((checks.RecordProbeEnd(kReplica, SurvivalProbeOutcome::kRefused,
                                    kBefore, true, last) ==
              Answers{{check, SurvivalVerdict::kGone}}));
}

// Guards against a probe for each response of a replica that has asked for a
// pause.
BOOST_AUTO_TEST_CASE(PausedReplicasGetOneProbe) {
  constexpr Duration kPause = std::chrono::seconds(2);
  SurvivalChecks checks;
  checks.Begin(kReplica, kSameProcess, At(0));
  BOOST_TEST(checks.BeginProbe(kReplica, At(0), kPause));
  BOOST_TEST(checks
                 .RecordProbeEnd(kReplica, SurvivalProbeOutcome::kAnswered,
                                 kBefore, true, At(1))
                 .size() == 1u);
  checks.Begin(kReplica, kSameProcess, At(2));
  BOOST_TEST(!checks.BeginProbe(kReplica, At(2), kPause));
  BOOST_TEST((checks.NextStep(kReplica) == At(0) + kPause));
  BOOST_TEST(checks.BeginProbe(kReplica, At(0) + kPause, Duration(0)));
  checks.Begin(kOther, kSameProcess, At(3));
  BOOST_TEST(checks.BeginProbe(kOther, At(3), kPause));
}

// Guards against callers that wait for a silent replica without a bound.
BOOST_AUTO_TEST_CASE(ChecksEndAfterTheTimeLimit) {
  SurvivalChecks checks;
  const uint64_t check = checks.Begin(kReplica, kSameProcess, At(0));
  const uint64_t dropped = checks.Begin(kReplica, kSameProcess, At(0));
  checks.Drop(dropped);
  BOOST_TEST(checks.BeginProbe(kReplica, At(0)));
  const TimePoint end = At(0) + SurvivalChecks::kTimeLimit;
  BOOST_TEST((checks.NextStep(kReplica) == end));
  BOOST_TEST(checks.Expire(kReplica, end - Duration(1)).empty());
  BOOST_TEST((checks.Expire(kReplica, end) ==
              Answers{{check, SurvivalVerdict::kUnknown}}));
  BOOST_TEST(checks
                 .RecordProbeEnd(kReplica, SurvivalProbeOutcome::kAnswered,
                                 kBefore, true, end)
                 .empty());
  BOOST_TEST(checks.empty());
}

// Guards against a response cut off by a crash that passes for a complete one,
// since a later process under the id of the replica answers.
BOOST_AUTO_TEST_CASE(LaterProcessesUnderTheIdShowNothing) {
  constexpr auto kSameId = SurvivalProbeOutcome::kSameId;
  SurvivalChecks checks;
  const uint64_t check = checks.Begin(kReplica, kSameProcess, At(100));
  BOOST_TEST(checks.RecordResponse(kReplica, At(100), At(101)).empty());
  BOOST_TEST(checks.RecordResponse(kReplica, At(99), At(100)).empty());
  BOOST_TEST(checks.BeginProbe(kReplica, At(102)));
  BOOST_TEST(
      checks.RecordProbeEnd(kReplica, kSameId, At(100), true, At(103)).empty());
  // A further probe would show no more.
  BOOST_TEST(!checks.BeginProbe(kReplica, At(104)));
  // The later process has registered by then, so that the owner knows of it.
  const TimePoint end = At(103) + SurvivalChecks::kRegistrationTime;
  BOOST_TEST((checks.NextStep(kReplica) == end));
  BOOST_TEST(checks.Expire(kReplica, end - Duration(1)).empty());
  BOOST_TEST((checks.Expire(kReplica, end) ==
              Answers{{check, SurvivalVerdict::kAlive}}));
}

// Guards against sound responses that wait: a connection that was open before
// the end shows at once that the process still runs.
BOOST_AUTO_TEST_CASE(ConnectionsOpenBeforeShowTheProcess) {
  SurvivalChecks checks;
  const uint64_t probed = checks.Begin(kReplica, kSameProcess, At(100));
  BOOST_TEST(checks.BeginProbe(kReplica, At(100)));
  BOOST_TEST((checks.RecordProbeEnd(kReplica, SurvivalProbeOutcome::kSameId,
                                    At(99), true, At(101)) ==
              Answers{{probed, SurvivalVerdict::kAlive}}));
  const uint64_t answered = checks.Begin(kReplica, kSameProcess, At(200));
  const uint64_t later = checks.Begin(kReplica, kSameProcess, At(202));
  BOOST_TEST((checks.RecordResponse(kReplica, At(199), At(201)) ==
              Answers{{answered, SurvivalVerdict::kAlive}}));
  BOOST_TEST((checks.RecordResponse(kReplica, At(201), At(203)) ==
              Answers{{later, SurvivalVerdict::kAlive}}));
  // Where another process under the id will do, the connection is no matter.
  const uint64_t any = checks.Begin(kReplica, SurvivalProof::kSameId, At(300));
  BOOST_TEST((checks.RecordResponse(kReplica, At(301), At(302)) ==
              Answers{{any, SurvivalVerdict::kAlive}}));
}

// Guards against a later process whose answer is believed although what comes
// after it shows that the replica is gone.
BOOST_AUTO_TEST_CASE(AnswersAreNotBelievedOnceTheReplicaIsGone) {
  SurvivalChecks checks;
  const uint64_t first = checks.Begin(kReplica, kSameProcess, At(100));
  BOOST_TEST(checks.BeginProbe(kReplica, At(100)));
  BOOST_TEST(checks
                 .RecordProbeEnd(kReplica, SurvivalProbeOutcome::kSameId,
                                 At(101), true, At(102))
                 .empty());
  const uint64_t second = checks.Begin(kReplica, kSameProcess, At(103));
  BOOST_TEST(checks.BeginProbe(kReplica, At(103)));
  BOOST_TEST((checks.RecordProbeEnd(
                  kReplica, SurvivalProbeOutcome::kOtherReplica, At(103), true,
                  At(104)) == Answers{{first, SurvivalVerdict::kGone},
                                      {second, SurvivalVerdict::kGone}}));
}

}  // namespace endiveyard
