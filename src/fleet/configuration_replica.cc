#include "endiveyard/fleet/configuration_replica.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"
#include "endiveyard/fleet/configuration_delta.h"
#include "endiveyard/fleet/configuration_text.h"

namespace endiveyard {
namespace {

// Edits retained until the missing ones before them arrive. Further edits are
// read from the log.
constexpr size_t kMaxPendingEdits = 64;
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(250);
// Without contact to a peer for this long, the instance counts as without
// peers and polls the log more often.
constexpr Duration kPeerContactTimeout = std::chrono::seconds(2);

class ReplicaTransition {
 public:
  ReplicaTransition(const ReplicaOptions& options,
                    TimePoint now,
                    ReplicaState* state,
                    std::vector<ReplicaAction>* actions)
      : options_(options), now_(now), state_(*state), actions_(*actions) {}

  void operator()(const ReplicaStarted& /*event*/) { ScheduleRead(now_); }

  void operator()(const LogRead& event) {
    state_.read_sent_at.reset();
    state_.failed_reads = 0;
    RecordApiContact();
    // Entries up to the truncation mark may have been created again by a
    // writer that held an old version, so only the snapshot is trusted for
    // these versions.
    if (event.snapshot && event.snapshot->version >= event.truncated_through) {
      ApplySnapshot(*event.snapshot);
    }
    if (state_.version < event.truncated_through) {
      ScheduleReadRetry();
      return;
    }
    for (const ConfigurationEdit& it : event.edits) {
      if (it.version > event.truncated_through) {
        ApplyEdit(it);
      }
    }
    ApplyPendingEdits();
    // An entry is in the log before any instance applies it, so a version
    // reported before the read and missing from the log does not exist.
    state_.newest_known_version =
        std::max(state_.version, state_.newest_since_read);
    state_.has_read_log = true;
    state_.last_read_at = now_;
    if (state_.newest_known_version > state_.version) {
      ScheduleRead(now_ + Jitter(kInitialRetryDelay));
    }
  }

  void operator()(const LogReadFailed& /*event*/) {
    state_.read_sent_at.reset();
    state_.api_reachable = false;
    ScheduleReadRetry();
  }

  void operator()(const LogChanged& event) {
    RecordApiContact();
    RecordKnownVersion(event.newest_version);
    if (state_.newest_known_version > state_.version) {
      ScheduleRead(now_);
    }
  }

  void operator()(const PeerConfigurationReceived& event) {
    state_.last_peer_contact = now_;
    if (!state_.first_peer_contact) {
      state_.first_peer_contact = now_;
    }
    RecordKnownVersion(event.newest_version);
    if (event.snapshot) {
      RecordKnownVersion(event.snapshot->version);
      ApplySnapshot(*event.snapshot);
    }
    for (const ConfigurationEdit& it : event.edits) {
      RecordKnownVersion(it.version);
      ApplyEdit(it);
      if (it.version > state_.version &&
          state_.pending_edits.size() < kMaxPendingEdits) {
        state_.pending_edits[it.version] = it;
      }
    }
    ApplyPendingEdits();
    if (state_.newest_known_version > state_.version && !state_.read_due) {
      // Peers usually deliver the edits within a second. The jitter spreads the
      // reads of the instances that have not received them by then.
      ScheduleRead(now_ + Jitter(std::chrono::seconds(1)));
    }
  }

  void operator()(const ObjectApiResponded& /*event*/) {
    const bool recovered = !state_.api_reachable;
    RecordApiContact();
    if (recovered && state_.failed_reads > 0) {
      // The jitter spreads the reads of the whole fleet after an outage.
      ScheduleRead(now_ + Jitter(std::chrono::seconds(5)));
    }
  }

  void operator()(const WatchChanged& event) {
    state_.watching = event.watching;
    if (event.watching) {
      ScheduleRead(now_);  // finds entries created before the watch
    }
  }

  void operator()(const SnapshotWritten& event) {
    RecordApiContact();
    if (event.version > options_.retained_log_entries) {
      actions_.push_back(
          TruncateLog{event.version - options_.retained_log_entries});
    }
  }

  void operator()(const ReplicaTick& /*event*/) {
    if (state_.read_sent_at &&
        now_ - *state_.read_sent_at >= options_.read_timeout) {
      state_.read_sent_at.reset();
      state_.api_reachable = false;
      ScheduleReadRetry();
    }
    const bool has_peer =
        state_.last_peer_contact &&
        now_ - *state_.last_peer_contact < kPeerContactTimeout;
    const Duration interval =
        has_peer ? options_.poll_interval_with_peers : options_.poll_interval;
    if (!state_.read_due && !state_.read_sent_at && !state_.watching &&
        now_ - state_.last_read_at >= interval) {
      ScheduleRead(now_);
    }
  }

  // Starts the read that is due, and reports a change of `accepting`.
  void FinishStep() {
    if (state_.read_due && !state_.read_sent_at &&
        now_ >= state_.next_read_at) {
      state_.read_due = false;
      state_.read_sent_at = now_;
      state_.newest_since_read = 0;
      actions_.push_back(ReadLog{state_.version});
    }
    if (!state_.started) {
      state_.started = CanStart();
    }
    std::optional<TimePoint> contact = state_.last_api_contact;
    if (state_.last_peer_contact &&
        (!contact || *state_.last_peer_contact > *contact)) {
      contact = state_.last_peer_contact;
    }
    const bool in_contact =
        contact && now_ - *contact < options_.contact_timeout;
    const bool accepting = state_.started && in_contact;
    if (accepting != state_.accepting) {
      state_.accepting = accepting;
      actions_.push_back(AcceptingChanged{
          accepting,
          accepting ? "configuration version " + std::to_string(state_.version)
                    : "neither the object API nor any peer responded within " +
                          std::to_string(options_.contact_timeout /
                                         std::chrono::milliseconds(1)) +
                          " ms"});
    }
  }

 private:
  // Whether the newest known version is applied: the newest in the log and
  // among the peers, or, while the object API is unreachable, the newest
  // among the peers.
  bool CanStart() const {
    if (state_.version < state_.newest_known_version) {
      return false;
    }
    if (state_.has_read_log) {
      return true;
    }
    return state_.failed_reads > 0 && state_.first_peer_contact &&
           now_ - *state_.first_peer_contact >= options_.peer_settle_time;
  }

  void RecordApiContact() {
    state_.last_api_contact = now_;
    state_.api_reachable = true;
  }

  void RecordKnownVersion(uint64_t version) {
    state_.newest_known_version =
        std::max(state_.newest_known_version, version);
    state_.newest_since_read = std::max(state_.newest_since_read, version);
  }

  Duration Jitter(Duration bound) {
    const uint64_t random_value =
        CombineDigests(options_.seed, ++state_.jitter_draws);
    return Duration(static_cast<int64_t>(
        random_value %
        static_cast<uint64_t>(std::max<int64_t>(bound.count(), 1))));
  }

  void ScheduleRead(TimePoint at) {
    state_.next_read_at =
        state_.read_due ? std::min(state_.next_read_at, at) : at;
    state_.read_due = true;
  }

  void ScheduleReadRetry() {
    const uint32_t doublings = std::min<uint32_t>(state_.failed_reads++, 10);
    ScheduleRead(now_ +
                 Jitter(std::min(options_.max_retry_delay,
                                 kInitialRetryDelay * (1 << doublings))));
  }

  void ApplySnapshot(const ConfigurationSnapshot& snapshot) {
    RecordKnownVersion(snapshot.version);
    if (snapshot.version <= state_.version) {
      return;
    }
    auto parsed = ParseFleetConfiguration(snapshot.text);
    if (!parsed.ok()) {
      actions_.push_back(
          EntrySkipped{snapshot.version,
                       "snapshot: " + std::string(parsed.status().message())});
      return;
    }
    state_.edits.clear();
    state_.last_edit_id.clear();
    SetVersion(snapshot.version, *std::move(parsed));
  }

  void ApplyEdit(const ConfigurationEdit& edit) {
    if (edit.version != state_.version + 1) {
      return;
    }
    FleetConfiguration next = state_.configuration;
    auto delta = ParseConfigurationDelta(edit.delta);
    absl::Status status = delta.status();
    if (delta.ok()) {
      auto applied = ApplyDelta(next, *delta);
      status = applied.status();
      if (applied.ok()) {
        next = *std::move(applied);
      }
    }
    if (!status.ok()) {
      actions_.push_back(
          EntrySkipped{edit.version, std::string(status.message())});
    }
    state_.edits.push_back(edit);
    if (state_.edits.size() > options_.retained_edits) {
      state_.edits.pop_front();
    }
    state_.last_edit_id = edit.edit_id;
    SetVersion(edit.version, std::move(next));
  }

  void ApplyPendingEdits() {
    auto& pending = state_.pending_edits;
    pending.erase(pending.begin(), pending.upper_bound(state_.version));
    while (!pending.empty() && pending.begin()->first == state_.version + 1) {
      ApplyEdit(pending.begin()->second);
      pending.erase(pending.begin());
    }
  }

  void SetVersion(uint64_t version, FleetConfiguration configuration) {
    const bool snapshot_due = version / options_.snapshot_interval >
                              state_.version / options_.snapshot_interval;
    state_.version = version;
    state_.configuration = std::move(configuration);
    actions_.push_back(ConfigurationApplied{version});
    if (snapshot_due && state_.watching && state_.api_reachable) {
      actions_.push_back(WriteSnapshot{TakeSnapshot(state_)});
    }
  }

  const ReplicaOptions& options_;
  const TimePoint now_;
  ReplicaState& state_;
  std::vector<ReplicaAction>& actions_;
};

}  // namespace

void StepReplica(const ReplicaOptions& options,
                 const ReplicaEvent& event,
                 TimePoint now,
                 ReplicaState* state,
                 std::vector<ReplicaAction>* actions) {
  ReplicaTransition transition(options, now, state, actions);
  std::visit(transition, event);
  transition.FinishStep();
}

bool WantsPeerSnapshot(const ReplicaState& state) {
  return !state.api_reachable && state.failed_reads > 0 &&
         state.newest_known_version > state.version;
}

std::vector<ConfigurationEdit> EditsAfter(const ReplicaState& state,
                                          uint64_t version,
                                          size_t limit) {
  std::vector<ConfigurationEdit> edits;
  if (state.edits.empty() || state.edits.front().version > version + 1) {
    return edits;
  }
  for (uint64_t i = version + 1 - state.edits.front().version;
       i < state.edits.size() && edits.size() < limit; ++i) {
    edits.push_back(state.edits[i]);
  }
  return edits;
}

ConfigurationSnapshot TakeSnapshot(const ReplicaState& state) {
  ConfigurationSnapshot snapshot;
  snapshot.version = state.version;
  snapshot.text = FormatFleetConfiguration(state.configuration);
  return snapshot;
}

VersionProgress ComputeVersionProgress(
    uint64_t version,
    const std::map<std::string, uint64_t>& reported_versions) {
  VersionProgress progress;
  progress.instance_count = reported_versions.size();
  for (const auto& [instance, reported] : reported_versions) {
    if (reported >= version) {
      ++progress.up_to_date;
    } else {
      progress.lagging.push_back(instance);
    }
  }
  return progress;
}

}  // namespace endiveyard
