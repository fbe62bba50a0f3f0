#ifndef ENDIVEYARD_DUTIES_DUTY_AUTHORITY_H_
#define ENDIVEYARD_DUTIES_DUTY_AUTHORITY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endiveyard/authority/instance_lease.h"
#include "endiveyard/authority/shard_authority.h"
#include "endiveyard/duties/duty_record.h"

namespace endiveyard {

// Key of the object that names the holder of the duties.
inline constexpr const char* kDutyShardKey = "shards/platform";

struct DutyOptions {
  std::string instance;      // name of this instance
  std::string process;       // differs for every process start
  uint32_t address = 0;      // IPv4 of this instance
  uint64_t seed = 0;         // of the waits between calls that fail
  bool checks_token = true;  // the platform refuses lower tokens
  // Holders must not alternate within this time.
  Duration alternation_time = std::chrono::seconds(3);
  Duration window = std::chrono::seconds(5);  // of usage reports
  Duration term = std::chrono::seconds(3);
  Duration renew_interval = std::chrono::seconds(1);
  // Covers the difference in rate between two clocks over the term.
  Duration clock_drift_margin = std::chrono::milliseconds(500);
  Duration call_timeout = std::chrono::seconds(1);
  // A call without an answer can arrive this long after it was sent, or after
  // the end of the lease that it was sent under.
  Duration max_call_delay = std::chrono::seconds(5);
};

// What a holder does next depends on these.
struct DutyInputs {
  // Position of this instance among the candidates, from 0; nullopt if it is
  // none.
  std::optional<int> rank;
  bool leaving = false;  // releases the duties and takes them no more
  // That other instances have told of; 0 if none is known.
  uint64_t heard_token = 0;
};

enum class DutyEventKind {
  kStarted,   // this instance holds the duties
  kEnded,     // it no longer does
  kRevoked,   // it revoked the lease of a holder that did not renew it
  kMalformed  // the object of the holder cannot be parsed
};

struct DutyEvent {
  DutyEventKind kind = DutyEventKind::kStarted;
  uint64_t token = 0;
  std::string holder;  // kRevoked: whose lease; kEnded: the holder now
  Duration wait{};     // kStarted: until the first call may start
};

// State of one instance. Time is that of the BootClock of the instance.
struct DutyState {
  DutyOptions options;
  TimePoint started_at;
  uint64_t next_call = 1;
  uint64_t writes = 0;  // makes the writer of each record unique

  int64_t era = 0;  // highest of the registry that is known
  TimePoint era_noticed_at;
  int64_t era_unix_ms = 0;  // when it was noticed
  // Until then the lease of the era before excludes all other holders.
  TimePoint exclusive_until;
  // The last one of the era before, if this instance owned it to the end.
  std::optional<DutyRecord> former_record;

  LeaseState lease;
  uint64_t lease_serial = 0;
  bool lease_written = false;  // in this era
  CachedObject shard;
  DutyRecord record;  // as last read or written
  bool record_valid = false;
  bool in_conflict = false;   // another instance wrote the shard
  uint64_t seen_fencing = 0;  // highest in this era
  int64_t seen_window = 0;    // latest that was recorded in this era
  ObservedLease owner_lease;  // of another owner
  TimePoint owner_ended_by;   // its lease has ended by then, if set
  std::optional<TimePoint> free_since;

  TimePoint quiet_until;  // calls of former holders may arrive until then
  TimePoint doubt_until;  // own calls without an answer may arrive until then
  std::vector<uint64_t> calls;   // tokens of calls in progress
  uint64_t refused_fencing = 0;  // highest number that was refused
  uint64_t next_fencing = 1;     // lowest number to take after that
  uint64_t fencing_step = 1;     // after a refusal
  TimePoint held_at;             // when this instance could last start a call
  bool has_held = false;
  TimePoint blocked_until;

  // Calls to the platform that failed in a row without an answer.
  int failures = 0;
  TimePoint failing_since;
  bool stepping_down = false;  // the platform cannot be reached from here

  std::optional<UsageReport> usage;  // to be recorded
  bool revokes_lease = false;        // of its own, after a release
  bool leaving = false;
  bool has_left = false;   // no call is to be awaited before the process ends
  bool was_owner = false;  // by the last event
};

DutyState MakeDutyState(DutyOptions options, TimePoint now);

// True while the record names this process as the owner, under its lease.
bool OwnsDuties(const DutyState& state);

// Returns the token to send with, or nullopt if no call may start. The lease
// then lasts for a call timeout at least. O(calls).
std::optional<uint64_t> DutyToken(const DutyState& state, TimePoint now);

// Returns the token of the owner, whether calls may start or not; nullopt if
// this instance does not hold the duties.
std::optional<uint64_t> OwnedToken(const DutyState& state, TimePoint now);

// Records an era of the registry. A higher one than before ends all authority:
// the duties have to be taken again, with a higher token.
void ApplyDutyEra(int64_t era,
                  int64_t unix_ms,
                  TimePoint now,
                  DutyState* state);

// Starts the calls to the registry that are due.
void TickDuty(const DutyInputs& inputs,
              TimePoint now,
              DutyState* state,
              std::vector<ObjectCall>* calls,
              std::vector<DutyEvent>* events);

// Applies the result of a call to the registry, which stated `era` (0: none).
void ApplyDutyResult(ObjectResult result,
                     int64_t era,
                     int64_t unix_ms,
                     TimePoint now,
                     DutyState* state,
                     std::vector<DutyEvent>* events);

// How a call to the platform ended.
enum class DutyCallEnd {
  kAccepted,
  kConflict,  // refused, since a higher token was seen
  // Refused, since a higher token was seen or no spot replicas are there.
  kSpotConflict,
  kRefused,   // answered, without effect
  kNotSent,   // no connection
  kNoAnswer,  // it may have arrived, or may still do so
};

// Record the start and the end of a call to the platform. Precondition of the
// start: DutyToken() returns `token`.
void RecordDutyCall(uint64_t token, TimePoint now, DutyState* state);
void RecordDutyCallEnd(uint64_t token,
                       TimePoint sent_at,
                       DutyCallEnd end,
                       TimePoint now,
                       DutyState* state);

// How a usage report stands to what was recorded.
enum class UsageStanding {
  kNew,       // to be recorded before it is sent
  kRecorded,  // may be sent
  kRefused,   // another one was recorded for this window or a later one
};
UsageStanding StandingOf(const UsageReport& report, const DutyState& state);

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_DUTY_AUTHORITY_H_
