#ifndef ENDIVEYARD_PLACEMENT_ATTEMPT_POLICY_H_
#define ENDIVEYARD_PLACEMENT_ATTEMPT_POLICY_H_

#include <string_view>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/service_map.h"

namespace endiveyard {

// How one call to a target ended.
enum class CallOutcome {
  kNotSent,        // no byte of the request was sent
  kNotRun,         // the target reports that it did not run the request
  kMayHaveRun,     // sent, but no response was received that can be forwarded
  kErrorResponse,  // complete failure response, forwarded if not retried
  kIncompleteResponse,  // the response began, but its end is missing or invalid
  kCompleted,           // complete response to forward
};

// State of a request when a call for it has ended.
struct AttemptFacts {
  CallOutcome outcome = CallOutcome::kNotSent;
  int targets_that_may_have_run = 0;  // including this call
  bool response_started = false;      // response bytes were sent to the caller
  // The last event that the caller has is known, so that a stream which has
  // begun can be continued after it.
  bool is_position_known = true;
  bool caller_present = true;
  bool budget_left = true;  // the retry budget allows another call
  // Requests like this one were lost in crashes of several targets, so that
  // another run could crash one more.
  bool may_crash_targets = false;
  // Another instance has forwarded the request. It decides about a further run,
  // so that it knows how many there were even if it gets no response.
  bool is_run_for_another_instance = false;
  Duration time_left{};
};

enum class NextStep {
  kRetry,            // send the request to another target
  kResume,           // continue the stream on another target
  kForwardResponse,  // forward the received response
  kRefuseNotRun,     // 503: the request has not run and will not run
  kFailUnknown,      // 502: the request may have run
  kFailTimeout,      // 504: the request may have run; its deadline has passed
  kAbortResponse,  // end the response so that the caller sees it as incomplete
  kAbandon,        // the caller has disconnected
};

// Minimum time left for a retry to succeed: a round trip between regions and a
// short run.
inline constexpr Duration kMinRetryTime = std::chrono::milliseconds(60);

// Decides what follows the end of a call. Returns kRefuseNotRun only if no
// target may have run the request.
NextStep DecideNextStep(const Route& route, const AttemptFacts& facts);

std::string_view NameOf(CallOutcome outcome);
std::string_view NameOf(NextStep step);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_ATTEMPT_POLICY_H_
