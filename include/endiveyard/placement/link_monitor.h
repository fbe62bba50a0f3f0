#ifndef ENDIVEYARD_PLACEMENT_LINK_MONITOR_H_
#define ENDIVEYARD_PLACEMENT_LINK_MONITOR_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Finds out whether this instance has lost its network links to all targets,
// from the attempts to connect to them.
//
// Failed attempts of requests only raise a suspicion: connections that are open
// serve the targets that work, so that new ones go to those that do not. A
// suspicion is decided by probes, which the owner sends to targets of all
// services that have not failed. One connection that is established, by a
// request or a probe, ends suspicion and loss.
//
// No I/O. Not thread-safe.
class LinkMonitor {
 public:
  enum class State {
    kConnected,
    kSuspected,  // to be decided by probes
    kLost,       // no target can be connected to; to be probed further
  };

  // Targets that a request failed to connect to, before probes are sent.
  static constexpr size_t kFailuresBeforeProbes = 2;
  // Probes that fail in a row before the links count as lost.
  static constexpr size_t kFailedProbesBeforeLoss = 3;

  // Records the attempt of a request to connect to a target, by its address.
  // Returns true if the state has changed.
  bool RecordConnect(std::string_view target, bool connected);
  // The same for a probe.
  bool RecordProbe(std::string_view target, bool connected, TimePoint now);
  // Records that a target has responded.
  void RecordResponse(TimePoint now);
  // Sets the number of targets. Fewer than the constants above are all there
  // can be.
  void set_target_count(size_t n) { target_count_ = n; }

  State state() const { return state_; }
  // When the links were lost; nullopt if they are not.
  std::optional<TimePoint> lost_since() const { return lost_since_; }
  // Returns false if requests should not be sent on open connections either: no
  // target has responded lately although the links count as lost.
  bool AreOpenConnectionsAlive(TimePoint now) const;
  // Returns true if no attempt since the last success has failed at `target`.
  bool IsUntried(std::string_view target) const;

 private:
  bool RecordSuccess();

  State state_ = State::kConnected;
  // Since the last connection that was established.
  std::set<std::string, std::less<>> failed_targets_;
  size_t failed_probes_ = 0;
  size_t target_count_ = 0;
  std::optional<TimePoint> lost_since_;
  std::optional<TimePoint> last_response_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_LINK_MONITOR_H_
