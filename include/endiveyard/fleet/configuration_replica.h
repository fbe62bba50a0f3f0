#ifndef ENDIVEYARD_FLEET_CONFIGURATION_REPLICA_H_
#define ENDIVEYARD_FLEET_CONFIGURATION_REPLICA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/fleet/configuration_edit.h"
#include "endiveyard/fleet/fleet_configuration.h"

namespace endiveyard {

struct ReplicaOptions {
  uint64_t seed = 1;  // of the jitter; differs between instances
  // New work is accepted only if the object API or a peer was reached within
  // this time (invariant I9).
  Duration contact_timeout = std::chrono::seconds(8);
  // If the object API is unreachable at the start, the instance waits this
  // long after the first contact with a peer, so that it receives the newest
  // version that any peer has.
  Duration peer_settle_time = std::chrono::seconds(3);
  // Interval of polling the log without a watch and without peers.
  Duration poll_interval = std::chrono::seconds(4);
  // Interval of polling the log without a watch but with peers. Edits are
  // found even if every watching instance of the fleet has stopped.
  Duration poll_interval_with_peers = std::chrono::seconds(30);
  // A read without a response within this time counts as failed.
  Duration read_timeout = std::chrono::seconds(5);
  // Upper bound of the exponential backoff between failed reads, which has
  // full jitter.
  Duration max_retry_delay = std::chrono::seconds(10);
  // Applied edits held in memory for peers.
  size_t retained_edits = 128;
  // A snapshot is written each time the version passes a multiple of this.
  uint64_t snapshot_interval = 256;
  // Log entries before a snapshot that truncation retains.
  uint64_t retained_log_entries = 128;
};

// Input events.

struct ReplicaStarted {};
// Response to ReadLog. `truncated_through` must be read after `edits` were
// listed: once entries up to it are deleted, other entries can be created
// under their versions, so these are not trusted.
struct LogRead {
  std::vector<ConfigurationEdit> edits;
  uint64_t truncated_through = 0;
  // Present if truncated_through > ReadLog::after.
  std::optional<ConfigurationSnapshot> snapshot;
};
struct LogReadFailed {};
// The watch reported a new entry. ReadLog reads it before it is applied.
struct LogChanged {
  uint64_t newest_version = 0;
};
// The configuration part of a digest from an authenticated peer. The peer has
// applied these edits itself.
struct PeerConfigurationReceived {
  std::string peer;
  uint64_t newest_version = 0;
  std::vector<ConfigurationEdit> edits;
  std::optional<ConfigurationSnapshot> snapshot;
};
// The object API responded to a call of any kind.
struct ObjectApiResponded {};
// This instance started or stopped watching the log.
struct WatchChanged {
  bool watching = false;
};
struct SnapshotWritten {
  uint64_t version = 0;
};
struct ReplicaTick {};

using ReplicaEvent = std::variant<ReplicaStarted,
                                  LogRead,
                                  LogReadFailed,
                                  LogChanged,
                                  PeerConfigurationReceived,
                                  ObjectApiResponded,
                                  WatchChanged,
                                  SnapshotWritten,
                                  ReplicaTick>;

// Output actions.

// List the entries with versions above `after`, then read the truncation mark,
// then, if the mark is above `after`, read the newest snapshot.
struct ReadLog {
  uint64_t after = 0;
};
// ReplicaState::configuration now holds version `version`.
struct ConfigurationApplied {
  uint64_t version = 0;
};
struct AcceptingChanged {
  bool accepting = false;
  std::string reason;
};
// Create the snapshot object unless it exists. Respond with SnapshotWritten in
// both cases.
struct WriteSnapshot {
  ConfigurationSnapshot snapshot;
};
// Raise the truncation mark to `through` unless it is higher, and only then
// delete the entries and snapshots of versions up to `through`.
struct TruncateLog {
  uint64_t through = 0;
};
// A log entry or snapshot was invalid and has no effect. The result depends
// only on the log, so every instance skips the same entries.
struct EntrySkipped {
  uint64_t version = 0;
  std::string reason;
};

using ReplicaAction = std::variant<ReadLog,
                                   ConfigurationApplied,
                                   AcceptingChanged,
                                   WriteSnapshot,
                                   TruncateLog,
                                   EntrySkipped>;

// An instance's replica of the fleet configuration. The applied version never
// decreases.
struct ReplicaState {
  uint64_t version = 0;
  FleetConfiguration configuration;
  std::string last_edit_id;             // edit that created `version`, if known
  std::deque<ConfigurationEdit> edits;  // last applied edits, without gaps
  // Edits from peers that cannot be applied yet because earlier ones are
  // missing.
  std::map<uint64_t, ConfigurationEdit> pending_edits;
  uint64_t newest_known_version = 0;
  // Newest version reported since the last read was sent.
  uint64_t newest_since_read = 0;
  bool started = false;    // the replica was up to date once
  bool accepting = false;  // new work may be accepted
  bool watching = false;
  bool has_read_log = false;  // a read succeeded since the start
  bool api_reachable = false;
  std::optional<TimePoint> last_api_contact;
  std::optional<TimePoint> last_peer_contact;
  std::optional<TimePoint> first_peer_contact;
  std::optional<TimePoint> read_sent_at;
  TimePoint next_read_at;
  TimePoint last_read_at;
  bool read_due = false;
  uint32_t failed_reads = 0;
  uint64_t jitter_draws = 0;
};

// Applies `event` at `now` and appends the actions to `actions`.
// Precondition: `now` does not decrease. O(entries) per applied edit.
void StepReplica(const ReplicaOptions& options,
                 const ReplicaEvent& event,
                 TimePoint now,
                 ReplicaState* state,
                 std::vector<ReplicaAction>* actions);

// Returns whether to ask peers for a snapshot: edits are missing and the
// object API is unreachable.
bool WantsPeerSnapshot(const ReplicaState& state);

// Returns at most `limit` applied edits that follow `version`, or none if the
// first of them is no longer retained.
std::vector<ConfigurationEdit> EditsAfter(const ReplicaState& state,
                                          uint64_t version,
                                          size_t limit);

// Returns a snapshot of the applied configuration.
ConfigurationSnapshot TakeSnapshot(const ReplicaState& state);

// How many instances have applied a version.
struct VersionProgress {
  size_t instance_count = 0;
  size_t up_to_date = 0;
  std::vector<std::string> lagging;  // sorted
};
// `reported_versions` maps each instance to the version in its last digest.
VersionProgress ComputeVersionProgress(
    uint64_t version,
    const std::map<std::string, uint64_t>& reported_versions);

}  // namespace endiveyard

#endif  // ENDIVEYARD_FLEET_CONFIGURATION_REPLICA_H_
