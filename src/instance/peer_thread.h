#ifndef ENDIVEYARD_SRC_INSTANCE_PEER_THREAD_H_
#define ENDIVEYARD_SRC_INSTANCE_PEER_THREAD_H_

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/status/status.h"
#include "endiveyard/base/bounded_ring.h"
#include "endiveyard/membership/drain_state.h"
#include "endiveyard/membership/membership_state.h"
#include "endiveyard/object_api/object_api.h"
#include "endiveyard/peer/peer_client.h"
#include "endiveyard/peer/peer_server.h"
#include "endiveyard/settings/instance_settings.h"
#include "endiveyard/telemetry/log_event.h"
#include "instance/configuration_thread.h"

namespace endiveyard {

// Functions of the rest of the instance that the peer thread calls. They run on
// the peer thread.
struct PeerHooks {
  // A peer reported that the target is leaving.
  std::function<void(const std::string& target)> leaving;
  // A peer reported the fingerprint of a request that crashes targets.
  std::function<void(uint64_t fingerprint)> crash_fingerprint;
  // A target started or stopped draining, at this instance or a live peer.
  std::function<void(const std::string& target, bool draining)> draining;
  // No live instance has requests in flight on a target that this instance
  // drains.
  std::function<void(const std::string& target)> drained;
  // Whether this instance is now one of those that watch the configuration log.
  std::function<void(bool watcher)> watcher;
  // Gets the number of attempts that this instance has in flight on each
  // target, in the order of `targets`. Calls `callback` on any thread, or not
  // at all if the serving thread is overloaded.
  std::function<void(std::vector<std::string> targets,
                     std::function<void(std::vector<int>)> callback)>
      in_flight;
};

// Thread that owns the membership state. Exchanges digests with peers at every
// tick.
class PeerThread {
 public:
  PeerThread(const InstanceSettings& settings,
             uint64_t seed,
             ConfigurationThread* configuration,
             const EventLogger* logger,
             PeerHooks hooks);
  ~PeerThread();

  // Fails if the peer address is in use or a TLS file cannot be read.
  absl::Status Start();
  void Stop();

  // Starts a round of exchanges. To be called every second.
  void Tick();
  // Replaces the list of peers.
  void ApplyInstances(const InstanceList& list);
  // Adds the target or the fingerprint to the digests for peers.
  void AnnounceLeavingTarget(const std::string& target);
  void AnnounceCrashFingerprint(uint64_t fingerprint);
  // Sets whether this instance drains the target.
  void SetDraining(const std::string& target, bool draining);

  size_t live_peers() const { return live_peers_; }

 private:
  using Task = std::function<void()>;

  void Run();
  void RunExchangeRound();
  PeerDigest MakeDigest(const std::string& peer);
  void HandleDigest(const PeerDigest& digest);
  void UpdateDraining();

  const MembershipOptions options_;
  const TimePoint started_;
  ConfigurationThread* const configuration_;
  const EventLogger* const logger_;
  const PeerHooks hooks_;
  MembershipState state_;
  DrainState drain_;
  std::set<std::string> announced_draining_;
  bool watcher_ = true;
  std::atomic<size_t> live_peers_{0};
  uint64_t logged_rejections_ = 0;
  BoundedRing<Task> ring_;
  PeerServer server_;
  PeerClient client_;
  std::thread thread_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_PEER_THREAD_H_
