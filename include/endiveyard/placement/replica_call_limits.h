#ifndef ENDIVEYARD_PLACEMENT_REPLICA_CALL_LIMITS_H_
#define ENDIVEYARD_PLACEMENT_REPLICA_CALL_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/replica_load.h"
#include "endiveyard/placement/replica_pace_report.h"
#include "endiveyard/placement/replica_rate_limits.h"
#include "endiveyard/placement/replica_view.h"

namespace endiveyard {

// Limits on what is kept.
inline constexpr size_t kMaxCallLimits = 16384;
inline constexpr size_t kMaxCallLimitEvents = 256;
// A limit starts at this share of the slots, at least at kMinInitialLimit.
inline constexpr double kInitialShareOfSlots = 0.25;
inline constexpr double kMinInitialLimit = 2;
// No replica has a limit for longer, so that one that stays slow is used as
// much as its costs allow.
inline constexpr Duration kMaxLimitedTime = std::chrono::seconds(30);
// A replica that is first seen this long ago is not new any more.
inline constexpr Duration kNewReplicaTime = std::chrono::seconds(10);

// What this instance knows about the state of a replica.
struct ReplicaSigns {
  bool in_backoff = false;
  // Latest relative duration that the replica stated, if it is fresh.
  std::optional<double> momentary_duration;
  // Lasting relative duration, if enough values are known.
  std::optional<double> lasting_duration;
  // Relative duration that follows from all of them, see
  // ReplicaPaces::RelativeDuration().
  std::optional<double> expected_duration;
  // Measured waits relative to those at other replicas; only where the replica
  // states no durations.
  std::optional<double> slowness;
  // Known calls in flight there, from all instances.
  double calls = 0;
  // Factor of the limit where several replicas of the service have one: the
  // square of the replicas for each one without a limit. The calls that would
  // flood a single replica are divided among them, and there are fewer others
  // to take the calls instead.
  double limit_factor = 1;
};

// Something to log about the limit of a replica.
struct CallLimitEvent {
  enum class Kind { kStarted, kEnded, kShrank, kBypassed };
  Kind kind = Kind::kStarted;
  std::string replica_id;
  std::string_view reason;
  double limit = 0;  // calls of all instances
};

// Limits on the calls that all instances together have in flight at replicas
// that have just started or recovered. A limit starts small, doubles with each
// round of answers that are as fast as expected, is halved after refusals,
// timeouts and slow answers, and ends above the slots of the replica. Each
// instance takes an equal share. Below one call, the instances that may send
// follow from their positions and a hash of the replica, so that no instance
// has to ask another one.
//
// Instances tell each other the limits. Limits are whole numbers; one half more
// in a report says that the limit shrank. Of recent reports that say so, the
// lowest counts, else the highest. Only replicas that Allowance() was called
// for are tracked. Not thread-safe.
class ReplicaCallLimits {
 public:
  // Sets which share of each limit is that of this instance.
  void set_instance(const InstancePosition& position) {
    instance_ = {position.index, position.count, {}, false};
  }
  // Records the registered replicas of a complete list. Those of the first call
  // are not new.
  void RecordReplicas(const ReplicaView& view, TimePoint now);

  // Returns how many calls this instance may have in flight at the replica, or
  // nullopt if there is no limit. Starts a limit if the replica is new or has
  // recovered.
  std::optional<int> Allowance(const Replica& replica,
                               const ReplicaSigns& signs,
                               TimePoint now);

  // Records that the first output of a call that was sent at `sent_at` took
  // `ratio` times as long as expected.
  void RecordAnswer(uint64_t replica_key,
                    double ratio,
                    TimePoint sent_at,
                    TimePoint now);
  // Records that a call was given up.
  void RecordTimeout(uint64_t replica_key, TimePoint sent_at, TimePoint now);
  // Records the result of a call.
  void RecordCallEnded(uint64_t replica_key,
                       CallResult result,
                       TimePoint sent_at,
                       TimePoint now);
  // Records that a request is placed at the replica beyond its limit, because
  // no other one can serve it.
  void RecordBypass(uint64_t replica_key, TimePoint now);

  // Applies the report of another instance. `relay` makes what is new part of
  // the own reports.
  void ApplyReport(const ReplicaPaceReport& report, TimePoint now, bool relay);
  // Returns what was learned recently, each fact several times, since reports
  // may be lost; at most `max` entries, the latest first.
  std::vector<ReplicaPaceReport> TakeNews(size_t max, TimePoint now);
  // Returns up to `max` of the recent changes, the latest first.
  std::vector<ReplicaPaceReport> Digest(size_t max, TimePoint now) const;

  // Returns the limit of the replica on the calls of all instances.
  std::optional<double> LimitOf(uint64_t replica_key) const;
  // Returns the number of replicas with a limit.
  size_t LimitedCount(TimePoint now) const;
  // Returns the events since the last call; the latest ones if they were too
  // many.
  std::vector<CallLimitEvent> TakeEvents();

  // Removes the state of replicas that are not among `replica_keys`, which have
  // to be sorted.
  void Retain(const std::vector<uint64_t>& replica_keys);

 private:
  // Before all times that are compared with it.
  static constexpr TimePoint kNever = TimePoint{} - std::chrono::hours(24);
  struct Track {
    std::string replica_id;
    double slots = 0;  // 0: not known yet
    std::optional<double> limit;
    TimePoint started_at{};
    TimePoint ended_at = kNever;
    // When the limit last changed, here or at the instance that told of it.
    TimePoint changed_at = kNever;
    bool shrank = false;
    TimePoint shrank_at = kNever;
    // Limit when the present round of answers began, and when that was. The
    // limit at most doubles in a round.
    double round_limit = 0;
    TimePoint round_at{};
    double lowest_ratio = 0;  // of the answers since the start; 0: none
    TimePoint last_answer_at = kNever;
    TimePoint last_good_at = kNever;
    int reports_left = 0;
    TimePoint bypassed_at = kNever;
    // Signs of a replica that cannot take much, until it has recovered.
    int refusals_in_row = 0;
    int fast_in_row = 0;
    bool was_in_backoff = false;
    bool was_slow_by_waits = false;
    std::optional<TimePoint> slow_since;  // by the stated durations
    TimePoint last_slow_at = kNever;
    double slow_level = 0;
  };
  struct Known {
    TimePoint first_seen{};
    TimePoint last_seen{};
    bool is_new = false;
  };

  Track* FindTrack(uint64_t replica_key);
  // Returns nullptr if too many are kept.
  Track* MakeTrack(uint64_t replica_key);
  // Updates the signs, and returns why the replica counts as recovered; empty
  // if it does not.
  std::string_view UpdateSigns(const ReplicaSigns& signs,
                               TimePoint now,
                               Track* track) const;
  void Start(std::string_view reason,
             double limit,
             bool shrank,
             TimePoint changed_at,
             TimePoint now,
             Track* track);
  void End(std::string_view reason, TimePoint now, Track* track);
  void Grow(TimePoint sent_at, TimePoint now, Track* track);
  void Shrink(std::string_view reason,
              TimePoint sent_at,
              TimePoint now,
              Track* track);
  // Returns the number above which the limit ends.
  double EndAbove(const Track& track) const;
  int ShareOf(uint64_t replica_key, double limit) const;
  void AddEvent(CallLimitEvent::Kind kind,
                std::string_view reason,
                double limit,
                const Track& track);

  std::unordered_map<uint64_t, Track> tracks_;
  std::unordered_map<uint64_t, Known> known_;
  bool has_first_list_ = false;
  InstancePosition instance_;
  std::vector<CallLimitEvent> events_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_REPLICA_CALL_LIMITS_H_
