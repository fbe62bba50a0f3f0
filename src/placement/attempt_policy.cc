#include "endiveyard/placement/attempt_policy.h"

namespace endiveyard {
namespace {

bool AnswerIsThere(CallOutcome outcome) {
  return outcome == CallOutcome::kAnswered ||
         outcome == CallOutcome::kFailedAnswer;
}

// True when the call itself leaves no doubt that the target did not run it.
bool DidNotRun(CallOutcome outcome) {
  return outcome == CallOutcome::kNotSent || outcome == CallOutcome::kNotRun;
}

}  // namespace

NextStep DecideNextStep(const Route& route, const AttemptFacts& facts) {
  if (!facts.caller_present) {
    return NextStep::kDrop;
  }
  if (facts.outcome == CallOutcome::kAnswered) {
    return NextStep::kDeliver;
  }
  const bool in_time = facts.time_left >= kMinRepeatTime;
  const bool runs_left = facts.targets_that_may_have_run < route.max_attempts;
  // A call that never left is no arrival at a target and costs no budget.
  const bool affordable =
      facts.outcome == CallOutcome::kNotSent || facts.budget_left;
  if (facts.answer_begun) {
    const bool resumable =
        route.kind == RouteKind::kStreaming && route.resumable;
    if (resumable && in_time && affordable &&
        (DidNotRun(facts.outcome) || runs_left)) {
      return NextStep::kResume;
    }
    return NextStep::kBreakOff;
  }
  const bool clean = facts.targets_that_may_have_run == 0;
  const bool repeatable = clean || MayRunAgain(route);
  const bool room = DidNotRun(facts.outcome) ? clean || runs_left : runs_left;
  if (repeatable && room && in_time && affordable) {
    return NextStep::kRepeat;
  }
  if (AnswerIsThere(facts.outcome)) {
    return NextStep::kDeliver;
  }
  if (clean) {
    return NextStep::kRefuseNotRun;
  }
  return facts.time_left <= Duration(0) ? NextStep::kFailTimeout
                                        : NextStep::kFailUnknown;
}

std::string_view NameOf(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kNotSent:
      return "not_sent";
    case CallOutcome::kNotRun:
      return "not_run";
    case CallOutcome::kMayHaveRun:
      return "may_have_run";
    case CallOutcome::kFailedAnswer:
      return "failed_answer";
    case CallOutcome::kBroken:
      return "broken";
    case CallOutcome::kAnswered:
      return "answered";
  }
  return "unknown";
}

std::string_view NameOf(NextStep step) {
  switch (step) {
    case NextStep::kRepeat:
      return "repeat";
    case NextStep::kResume:
      return "resume";
    case NextStep::kDeliver:
      return "deliver";
    case NextStep::kRefuseNotRun:
      return "refuse_not_run";
    case NextStep::kFailUnknown:
      return "fail_unknown";
    case NextStep::kFailTimeout:
      return "fail_timeout";
    case NextStep::kBreakOff:
      return "break_off";
    case NextStep::kDrop:
      return "drop";
  }
  return "unknown";
}

}  // namespace endiveyard
