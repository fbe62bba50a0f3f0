#ifndef ENDIVEYARD_PLACEMENT_SURVIVAL_CHECKS_H_
#define ENDIVEYARD_PLACEMENT_SURVIVAL_CHECKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// What a check has found out about a replica.
enum class SurvivalVerdict {
  kAlive,    // it has answered a later request, see SurvivalProof
  kGone,     // its process no longer has the address
  kUnknown,  // neither has been shown in time
};

// How a request whose only purpose is an answer of the replica has ended.
enum class SurvivalProbeOutcome {
  kAnswered,      // by the replica
  kSameId,        // by the replica, or by a later process under its id
  kOtherReplica,  // by another one, which has the address now
  kRefused,       // nothing listens at the address
  kFailed,        // anything else; shows nothing
};

// What has to be shown for a replica to count as alive.
enum class SurvivalProof {
  // Its process has not ended. A later process under its id does not answer on
  // a connection that was open before the check began. If there is none, an
  // answer counts once a later process would have registered.
  kSameProcess,
  kSameId,  // a process under its id runs
};

// Answer to one check.
struct SurvivalAnswer {
  uint64_t check = 0;
  SurvivalVerdict verdict = SurvivalVerdict::kUnknown;

  bool operator==(const SurvivalAnswer& other) const {
    return check == other.check && verdict == other.verdict;
  }
};

// Decides whether a replica outlived the connections that it has closed. The
// end of a response that ends with its connection looks the same whether the
// replica has finished or its process was killed, but only a replica that has
// finished answers requests that are sent afterwards.
//
// Replicas are identified by the key of one incarnation, see EngineKey().
class SurvivalChecks {
 public:
  // Time after which a check ends with kUnknown. A sound replica may be silent
  // for up to two seconds.
  static constexpr Duration kTimeLimit = std::chrono::milliseconds(2500);
  // Pause before a probe that failed is repeated, doubled each time. A replica
  // at its limit of connections resets further ones.
  static constexpr Duration kProbePause = std::chrono::milliseconds(100);
  // Refused probes in a row that show that a replica is gone. In between, the
  // instance notices if it is its own links that are down.
  static constexpr int kRefusalsOfGoneReplica = 2;
  // Time within which a process registers after it has begun to answer.
  static constexpr Duration kRegistrationTime = std::chrono::milliseconds(1500);

  explicit SurvivalChecks(Duration time_limit = kTimeLimit,
                          Duration registration_time = kRegistrationTime)
      : time_limit_(time_limit), registration_time_(registration_time) {}

  // Begins a check: does the replica outlive the moment `now`? Returns the
  // number of the check.
  uint64_t Begin(uint64_t replica_key, SurvivalProof proof, TimePoint now);
  // Drops a check that is no longer of interest.
  void Drop(uint64_t check);

  // Returns true if a probe would help a check and none is in progress; the
  // caller then sends it and calls RecordProbeEnd() once. A replica that wants
  // no requests for `pause` gets one probe in that time.
  bool BeginProbe(uint64_t replica_key,
                  TimePoint now,
                  Duration pause = Duration(0));
  // `connected_at` is when the connection of an answer was established.
  // `may_be_reached` is false while the links of this instance are in doubt, so
  // that a refused connection says nothing about the replica.
  std::vector<SurvivalAnswer> RecordProbeEnd(uint64_t replica_key,
                                             SurvivalProbeOutcome outcome,
                                             TimePoint connected_at,
                                             bool may_be_reached,
                                             TimePoint now);
  // A process under the id of the replica has answered a request that was sent
  // at `sent_at` on a connection established at `connected_at`.
  std::vector<SurvivalAnswer> RecordResponse(uint64_t replica_key,
                                             TimePoint connected_at,
                                             TimePoint sent_at);
  // Ends the checks whose time is up.
  std::vector<SurvivalAnswer> Expire(uint64_t replica_key, TimePoint now);

  // Returns when BeginProbe() or Expire() has to be called next for the
  // replica; nullopt if there is no check for it.
  std::optional<TimePoint> NextStep(uint64_t replica_key) const;
  bool empty() const { return replicas_.empty(); }

 private:
  struct Check {
    TimePoint begun_at{};
    SurvivalProof proof = SurvivalProof::kSameProcess;
    // When a process under the id, perhaps a later one, answered a probe.
    std::optional<TimePoint> answered_at;
  };
  struct ReplicaState {
    std::map<uint64_t, Check> checks;  // by number
    std::optional<TimePoint> probe_sent_at;
    bool probe_in_progress = false;
    int failed_probes = 0;  // in a row
    int refusals = 0;       // in a row
    // Not before this time, after a probe that failed.
    std::optional<TimePoint> next_probe_at;
  };

  // Ends the checks of the replica for which `decide` returns a verdict.
  std::vector<SurvivalAnswer> EndChecks(
      uint64_t replica_key,
      const std::function<std::optional<SurvivalVerdict>(Check&)>& decide);
  // Returns true if an answer of a process under the id shows what the check
  // has to show.
  static bool IsProof(const Check& check, TimePoint connected_at) {
    return check.proof == SurvivalProof::kSameId ||
           connected_at < check.begun_at;
  }
  // Returns when the check ends if nothing more is learned.
  TimePoint EndOf(const Check& check) const {
    return check.answered_at ? *check.answered_at + registration_time_
                             : check.begun_at + time_limit_;
  }
  void EraseIfUnused(uint64_t replica_key);

  const Duration time_limit_;
  const Duration registration_time_;
  std::map<uint64_t, ReplicaState> replicas_;
  std::map<uint64_t, uint64_t> replica_of_check_;
  // Ends of the pauses in which replicas were probed, by key of the replica.
  std::map<uint64_t, TimePoint> probed_pauses_;
  uint64_t next_check_ = 1;
};

std::string_view NameOf(SurvivalVerdict verdict);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_SURVIVAL_CHECKS_H_
