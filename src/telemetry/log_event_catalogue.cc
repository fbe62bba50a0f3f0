#include "endiveyard/telemetry/log_event.h"

namespace endiveyard {
namespace {

constexpr LogLevel kDebug = LogLevel::kDebug;
constexpr LogLevel kInfo = LogLevel::kInfo;
constexpr LogLevel kWarn = LogLevel::kWarn;
constexpr LogLevel kError = LogLevel::kError;

}  // namespace

const std::vector<LogEventEntry>& LogEventCatalogue() {
  static const std::vector<LogEventEntry> kCatalogue = {
      {101, kInfo, "instance_started", "The instance listens to callers.",
       "None."},
      {102, kInfo, "shutdown_started",
       "New work is refused; open requests finish.", "None."},
      {103, kInfo, "instance_stopped", "All threads have ended.", "None."},
      {104, kError, "listen_failed",
       "The caller or peer address cannot be opened.",
       "Check for another process on the port."},
      {105, kWarn, "shutdown_bound_passed",
       "Open requests were cut because shutdown_bound_ms passed.",
       "Raise callers.shutdown_bound_ms above the longest stream."},
      {201, kInfo, "request_refused",
       "A request ended with an error; the detail names the kind.",
       "See docs/errors.md for the kind."},
      {202, kWarn, "load_report_failed",
       "An engine did not answer the poll of its load.", "Check the target."},
      {301, kWarn, "target_lost", "A target broke its connections.",
       "Check the target; it is avoided until it reports load."},
      {302, kWarn, "stream_resumed",
       "A stream continues on another target after a failure.",
       "Look for 301 of the target named."},
      {303, kWarn, "stream_stalled", "A target sent nothing for stall_ms.",
       "Check the target."},
      {304, kWarn, "foreign_event",
       "A target sent an event of another request or attempt; it was dropped.",
       "Frequent: report the engine version."},
      {305, kWarn, "index_jump", "A target skipped tokens of a stream.",
       "Frequent: report the engine version."},
      {306, kError, "crash_culprit_found",
       "A request crashed its targets and is refused.",
       "Inspect the request; repeats are refused for 10 minutes."},
      {307, kInfo, "target_leaving", "A target gets no new work.", "None."},
      {308, kWarn, "drain_bound_reached",
       "Requests on a draining target resume elsewhere after drain_ms.",
       "None, unless frequent: raise drain_ms."},
      {309, kWarn, "retry_budget_empty",
       "A retry was not made because the budget is used up.",
       "Targets are failing; look for 301."},
      {310, kWarn, "outcome_unknown",
       "A request that may not be repeated has an unknown outcome.",
       "Reconcile with the service by the idempotency key."},
      {311, kInfo, "serving_shutdown",
       "The serving core refuses new requests and finishes open ones.",
       "None."},
      {501, kInfo, "lease_acquired", "The instance holds its lease.", "None."},
      {502, kWarn, "lease_lapsed",
       "The lease was not renewed in time; no order is sent.",
       "Check the object API and pauses of the process."},
      {503, kInfo, "shard_taken", "A shard changed its owner.", "None."},
      {504, kInfo, "order_sent", "An order was sent to a target.", "None."},
      {505, kWarn, "order_refused_stale",
       "A target refused an order with an old fencing number.",
       "None; another instance owns the target."},
      {506, kInfo, "role_change_finished", "A target serves its new role.",
       "None."},
      {507, kWarn, "order_failed", "A target did not carry out an order.",
       "Check the target; the planner decides again."},
      {508, kWarn, "lease_revoked",
       "This instance revoked the lapsed lease of another one.",
       "Check the other instance."},
      {509, kInfo, "shard_released", "A shard was given up on purpose.",
       "None."},
      {510, kWarn, "shard_lost", "Another instance took a shard.",
       "Check this instance for pauses."},
      {511, kWarn, "change_after_drain_bound",
       "A target was changed although drain_ms passed with work on it.",
       "Raise drain_ms if streams are longer."},
      {512, kError, "record_malformed",
       "A lease, shard or capacity object cannot be parsed.",
       "Look for a foreign writer to the object API."},
      {601, kInfo, "configuration_applied",
       "A newer configuration version is in force.", "None."},
      {602, kWarn, "configuration_stale",
       "Neither the object API nor a peer was reached for 8 s.",
       "Check the network; the instance takes no new work."},
      {603, kError, "configuration_invalid",
       "A stored configuration entry cannot be applied.",
       "Apply a corrected configuration."},
      {701, kWarn, "peer_rejected",
       "A peer failed authentication; its message had no effect.",
       "Check certificates; look for a stranger on the network."},
      {702, kDebug, "peer_unreachable", "An exchange with a peer failed.",
       "Check the peer if it persists."},
      {801, kWarn, "object_api_unavailable", "A call failed.",
       "Check the object API; model requests continue."},
      {802, kInfo, "object_api_recovered", "Calls succeed again.", "None."},
  };
  return kCatalogue;
}

const LogEventEntry* FindLogEvent(int number) {
  for (const LogEventEntry& it : LogEventCatalogue()) {
    if (it.number == number) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace endiveyard
