#ifndef ENDIVEYARD_TELEMETRY_LOG_EVENT_NUMBERS_H_
#define ENDIVEYARD_TELEMETRY_LOG_EVENT_NUMBERS_H_

namespace endiveyard {

// Numbers of the log events, apart from those of the serving core, which are in
// serving/serving_log_events.h. A comment gives the name in the catalogue where
// it differs from the identifier.
inline constexpr int kLogInstanceStarted = 101;
inline constexpr int kLogInstanceShutdownStarted = 102;  // shutdown_started
inline constexpr int kLogInstanceStopped = 103;
inline constexpr int kLogListenFailed = 104;
inline constexpr int kLogShutdownTimeoutReached = 105;  // shutdown_bound_passed
inline constexpr int kLogRequestRefused = 201;
inline constexpr int kLogLoadReportFailed = 202;
inline constexpr int kLogKeyRefused = 210;
inline constexpr int kLogServiceMapBehind = 211;
inline constexpr int kLogCallersClosedForMemory = 220;
inline constexpr int kLogCallersClosedForConnections = 221;
inline constexpr int kLogRequestsRefusedForLoad = 222;
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
inline constexpr int kLogChangeAfterDrainTimeout =
    511;  // change_after_drain_bound
inline constexpr int kLogRecordMalformed = 512;
inline constexpr int kLogDutiesTaken = 520;
inline constexpr int kLogDutiesEnded = 521;
inline constexpr int kLogDutyLeaseRevoked = 522;
inline constexpr int kLogDutyCallFailed = 523;
inline constexpr int kLogDutyRecordMalformed = 524;
inline constexpr int kLogUsageReported = 525;
inline constexpr int kLogUsageReportRepeated = 526;
inline constexpr int kLogUsageWindowDropped = 527;
inline constexpr int kLogUsageIncomplete = 528;
inline constexpr int kLogUsageCustomerUnknown = 529;
inline constexpr int kLogScalingStarted = 530;
inline constexpr int kLogScalingStopped = 531;
inline constexpr int kLogReplicasOrdered = 532;
inline constexpr int kLogReplicaOrderFailed = 533;
inline constexpr int kLogSpotReplicasLost = 534;
inline constexpr int kLogConfigurationApplied = 601;
inline constexpr int kLogConfigurationStale = 602;
inline constexpr int kLogConfigurationInvalid = 603;
inline constexpr int kLogServiceMapApplied = 604;
inline constexpr int kLogServiceMapRejected = 605;
inline constexpr int kLogHeaderLimitLowered = 606;
inline constexpr int kLogReplicaChanged = 312;
inline constexpr int kLogReplicaRemoved = 313;
inline constexpr int kLogReplicaEntryInvalid = 314;
inline constexpr int kLogPeerReportsRejected = 315;
inline constexpr int kLogCrashingRequestsRefused = 316;
inline constexpr int kLogReplicaRateLimitChanged = 317;
inline constexpr int kLogReplicaLeaving = 318;
inline constexpr int kLogReplicaPaused = 319;
inline constexpr int kLogReplicaHeaderInvalid = 320;
inline constexpr int kLogTargetLinksLost = 321;
inline constexpr int kLogTargetLinksRegained = 322;
inline constexpr int kLogLostCallChecked = 323;
inline constexpr int kLogCrashEvidenceLeftOut = 324;
inline constexpr int kLogCallLimitStarted = 330;
inline constexpr int kLogCallLimitEnded = 331;
inline constexpr int kLogCallLimitShrank = 332;
inline constexpr int kLogCallLimitBypassed = 333;
inline constexpr int kLogRegistryLost = 803;
inline constexpr int kLogRegistryRegained = 804;
inline constexpr int kLogRegistryRestored = 805;
inline constexpr int kLogVersionRecordRead = 806;
inline constexpr int kLogVersionRecordWritten = 807;
inline constexpr int kLogStreamRecordsRead = 808;
inline constexpr int kLogStreamRecordFailed = 809;
inline constexpr int kLogInstanceRecordsRead = 810;
inline constexpr int kLogInstanceRecordFailed = 811;
inline constexpr int kLogStreamStartsRead = 812;
inline constexpr int kLogStreamStartsWritten = 813;
inline constexpr int kLogRegistryWatchSilent = 814;
inline constexpr int kLogSettingsReloaded = 106;
inline constexpr int kLogLinesSuppressed = 107;  // log_lines_suppressed
inline constexpr int kLogStandstillEnded = 108;
// Hundreds of the events of relayed requests. Only these events are subject to
// the rate limit of JsonLog.
inline constexpr int kRelayEventGroup = 9;
inline constexpr int kLogRequestPlaced = 901;
inline constexpr int kLogCallEnded = 902;
inline constexpr int kLogRequestFinished = 903;
inline constexpr int kLogRequestMalformed = 904;
inline constexpr int kLogPlacementRefused = 905;
inline constexpr int kLogRequestForwarded = 906;
inline constexpr int kLogResponseEndChecked = 907;
inline constexpr int kLogPeerRejected = 701;
inline constexpr int kLogPeerUnreachable = 702;
inline constexpr int kLogObjectApiUnavailable = 801;
inline constexpr int kLogObjectApiRecovered = 802;

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_LOG_EVENT_NUMBERS_H_
