#ifndef ENDIVEYARD_SERVING_SERVING_LOG_EVENTS_H_
#define ENDIVEYARD_SERVING_SERVING_LOG_EVENTS_H_

namespace endiveyard {

// Numbers of the log events that the serving core emits; docs/events.md lists
// their names and meanings.
inline constexpr int kLogTargetLost = 301;
inline constexpr int kLogStreamResumed = 302;
inline constexpr int kLogStreamStalled = 303;
inline constexpr int kLogForeignEvent = 304;
inline constexpr int kLogIndexJump = 305;
inline constexpr int kLogCrashingRequestFound = 306;  // crash_culprit_found
inline constexpr int kLogTargetLeaving = 307;
inline constexpr int kLogDrainTimeoutReached = 308;  // drain_bound_reached
inline constexpr int kLogRetryBudgetEmpty = 309;
inline constexpr int kLogOutcomeUnknown = 310;
inline constexpr int kLogShutdownStarted = 311;  // serving_shutdown

}  // namespace endiveyard

#endif  // ENDIVEYARD_SERVING_SERVING_LOG_EVENTS_H_
