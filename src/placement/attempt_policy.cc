#include "endiveyard/placement/attempt_policy.h"

namespace endiveyard {
namespace {

bool HasCompleteResponse(CallOutcome outcome) {
  return outcome == CallOutcome::kCompleted ||
         outcome == CallOutcome::kErrorResponse;
}

// Returns true if the outcome proves that the target did not run the request.
bool DidNotRun(CallOutcome outcome) {
  return outcome == CallOutcome::kNotSent || outcome == CallOutcome::kNotRun;
}

}  // namespace

NextStep DecideNextStep(const Route& route, const AttemptFacts& facts) {
  if (!facts.caller_present) {
    return NextStep::kAbandon;
  }
  if (facts.outcome == CallOutcome::kCompleted) {
    return NextStep::kForwardResponse;
  }
  const bool in_time = facts.time_left >= kMinRetryTime;
  const bool attempts_left =
      facts.targets_that_may_have_run < route.max_attempts &&
      !facts.may_crash_targets && !facts.is_run_for_another_instance;
  // A call that was not sent adds no load to a target, so it needs no budget.
  const bool within_budget =
      facts.outcome == CallOutcome::kNotSent || facts.budget_left;
  if (facts.response_started) {
    const bool resumable = route.kind == RouteKind::kStreaming &&
                           route.resumable && facts.is_position_known;
    if (resumable && in_time && within_budget &&
        (DidNotRun(facts.outcome) || attempts_left)) {
      return NextStep::kResume;
    }
    return NextStep::kAbortResponse;
  }
  const bool has_not_run = facts.targets_that_may_have_run == 0;
  const bool retryable = has_not_run || IsRetryable(route);
  const bool attempt_allowed =
      DidNotRun(facts.outcome) ? has_not_run || attempts_left : attempts_left;
  if (retryable && attempt_allowed && in_time && within_budget) {
    return NextStep::kRetry;
  }
  if (HasCompleteResponse(facts.outcome)) {
    return NextStep::kForwardResponse;
  }
  if (has_not_run) {
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
    case CallOutcome::kErrorResponse:
      return "failed_answer";
    case CallOutcome::kIncompleteResponse:
      return "broken";
    case CallOutcome::kCompleted:
      return "answered";
  }
  return "unknown";
}

std::string_view NameOf(NextStep step) {
  switch (step) {
    case NextStep::kRetry:
      return "repeat";
    case NextStep::kResume:
      return "resume";
    case NextStep::kForwardResponse:
      return "deliver";
    case NextStep::kRefuseNotRun:
      return "refuse_not_run";
    case NextStep::kFailUnknown:
      return "fail_unknown";
    case NextStep::kFailTimeout:
      return "fail_timeout";
    case NextStep::kAbortResponse:
      return "break_off";
    case NextStep::kAbandon:
      return "drop";
  }
  return "unknown";
}

}  // namespace endiveyard
