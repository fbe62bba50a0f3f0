#ifndef ENDIVEYARD_PLACEMENT_TARGET_AVAILABILITY_H_
#define ENDIVEYARD_PLACEMENT_TARGET_AVAILABILITY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/replica_view.h"

namespace endiveyard {

// Limits on what is kept and believed.
inline constexpr size_t kMaxUnavailableTargets = 16384;
inline constexpr Duration kMaxTargetPause = std::chrono::minutes(5);
// A target that leaves ends well within this time.
inline constexpr Duration kLeavingLifetime = std::chrono::minutes(10);
// Instances resume calls to a target within this time after its pause, so that
// they do not do so at the same moment.
inline constexpr Duration kResumeSpread = std::chrono::seconds(1);

// That a target is leaving, in reports to other instances.
struct LeavingReport {
  uint64_t target_key = 0;  // see EngineKey()
  Duration age{};           // since it said so

  bool operator==(const LeavingReport& other) const {
    return target_key == other.target_key && age == other.age;
  }
};

// What targets have said in their responses about whether they take new work.
// Targets are identified by the key of one incarnation, see EngineKey(), and
// what one says has no effect on others. An incarnation that leaves does so for
// good. Instances tell each other which targets are leaving; a pause is between
// one instance and the target. Not thread-safe.
class TargetAvailability {
 public:
  // Records that the target is leaving. Returns true if that was not known.
  bool RecordLeaving(uint64_t target_key, TimePoint now);
  // Records that the target wants no work from this instance for `pause`.
  // Returns true if that prolongs its pause. A shorter one does not end it.
  bool RecordPause(uint64_t target_key, Duration pause, TimePoint now);

  // Returns true if the target has told this instance that it is leaving.
  bool IsLeaving(uint64_t target_key, TimePoint now) const;
  // Returns the time until the target takes work again, 0 for now. Does not
  // include that it is leaving.
  Duration PauseOf(uint64_t target_key, TimePoint now) const;
  // Returns true if new work may be sent to the target.
  bool TakesWork(uint64_t target_key, TimePoint now) const;

  // Returns those of `replicas` that take work now, in the same order. If some
  // do not because of a pause, sets `shortest_pause` to the shortest one.
  // Replicas that are leaving according to other instances only are left out
  // unless they are the majority, since reports are not authenticated.
  std::vector<const Replica*> Select(
      const std::vector<const Replica*>& replicas,
      TimePoint now,
      std::optional<Duration>* shortest_pause) const;

  // Applies the report of another instance. `relay` makes what is new part of
  // the own reports.
  void ApplyReport(const LeavingReport& report, TimePoint now, bool relay);
  // Returns what was learned recently, each fact several times, since reports
  // may be lost; at most `max` entries.
  std::vector<LeavingReport> TakeNews(size_t max, TimePoint now);
  // Returns up to `max` of the targets that are leaving, in turn.
  std::vector<LeavingReport> Digest(size_t max, TimePoint now);

  // Determines when this instance resumes calls after a pause. Differs between
  // instances.
  void set_seed(uint64_t seed) { seed_ = seed; }

 private:
  struct State {
    std::optional<TimePoint> leaving_since;
    // The target itself has told this instance.
    bool heard_from_target = false;
    int reports_left = 0;
    TimePoint paused_until{};
  };

  static bool IsLeaving(const State& state, TimePoint now);
  static LeavingReport ReportOf(uint64_t target_key,
                                const State& state,
                                TimePoint now);

  // Returns the state to change, or nullptr if too many are kept.
  State* StateOf(uint64_t target_key, TimePoint now);

  uint64_t seed_ = 0;
  std::unordered_map<uint64_t, State> states_;
  TimePoint next_removal_{};
  size_t digest_offset_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_TARGET_AVAILABILITY_H_
