#ifndef ENDIVEYARD_TELEMETRY_LOG_EVENT_NUMBERS_H_
#define ENDIVEYARD_TELEMETRY_LOG_EVENT_NUMBERS_H_

namespace endiveyard {

// Numbers of the events that the gateway and the instance emit. Those of the
// serving core are in serving/serving_log_events.h.
inline constexpr int kLogInstanceStarted = 101;
inline constexpr int kLogInstanceShutdown = 102;
inline constexpr int kLogInstanceStopped = 103;
inline constexpr int kLogListenFailed = 104;
inline constexpr int kLogShutdownBoundPassed = 105;
inline constexpr int kLogRequestRefused = 201;
inline constexpr int kLogLoadReportFailed = 202;
inline constexpr int kLogLeaseAcquired = 501;
inline constexpr int kLogLeaseLapsed = 502;
inline constexpr int kLogShardTaken = 503;
inline constexpr int kLogOrderSent = 504;
inline constexpr int kLogOrderRefusedStale = 505;
inline constexpr int kLogRoleChangeFinished = 506;
inline constexpr int kLogOrderFailed = 507;
inline constexpr int kLogLeaseRevoked = 508;
inline constexpr int kLogShardReleased = 509;
inline constexpr int kLogShardLost = 510;
inline constexpr int kLogChangeAfterDrainBound = 511;
inline constexpr int kLogRecordMalformed = 512;
inline constexpr int kLogConfigurationApplied = 601;
inline constexpr int kLogConfigurationStale = 602;
inline constexpr int kLogConfigurationInvalid = 603;
inline constexpr int kLogPeerRejected = 701;
inline constexpr int kLogPeerUnreachable = 702;
inline constexpr int kLogObjectApiUnavailable = 801;
inline constexpr int kLogObjectApiRecovered = 802;

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_LOG_EVENT_NUMBERS_H_
