#ifndef ENDIVEYARD_SRC_INSTANCE_CONFIGURATION_THREAD_H_
#define ENDIVEYARD_SRC_INSTANCE_CONFIGURATION_THREAD_H_

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "endiveyard/base/bounded_ring.h"
#include "endiveyard/fleet/configuration_replica.h"
#include "endiveyard/instance/configuration_store.h"
#include "endiveyard/telemetry/log_event.h"

namespace endiveyard {

// Thread that owns this instance's copy of the fleet configuration. Makes its
// blocking calls to the object API itself.
class ConfigurationThread {
 public:
  using AppliedCallback =
      std::function<void(uint64_t, const FleetConfiguration&)>;
  using AcceptingCallback = std::function<void(bool, const std::string&)>;

  // `on_applied` gets each version that is applied, `on_accepting_changed`
  // whether the instance may accept new requests and, if not, why. Both run on
  // the configuration thread. Precondition: `logger` outlives this object.
  ConfigurationThread(ConfigurationStore store,
                      ReplicaOptions options,
                      const EventLogger* logger,
                      AppliedCallback on_applied,
                      AcceptingCallback on_accepting_changed);
  ~ConfigurationThread();

  void Start();
  void Stop();

  // Returns false when the event ring is full or closed. A dropped event
  // needs no retry, since later ones have the same effect.
  bool TryPost(ReplicaEvent event);

  // Version of the applied configuration.
  uint64_t version() const;
  // Returns up to `limit` applied edits above `version`.
  std::vector<ConfigurationEdit> EditsSince(uint64_t version,
                                            size_t limit) const;
  // Returns a snapshot of the applied configuration, for a peer that starts.
  ConfigurationSnapshot TakeSnapshotForPeer() const;
  // Whether this instance needs a snapshot from a peer.
  bool wants_peer_snapshot() const;

 private:
  void Run();
  void HandleEvent(const ReplicaEvent& event);
  void Execute(const ReadLog& action);
  void Execute(const ConfigurationApplied& action);
  void Execute(const AcceptingChanged& action);
  void Execute(const WriteSnapshot& action);
  void Execute(const TruncateLog& action);
  void Execute(const EntrySkipped& action);

  ConfigurationStore store_;
  const ReplicaOptions options_;
  const EventLogger* const logger_;
  const AppliedCallback on_applied_;
  const AcceptingCallback on_accepting_changed_;
  mutable std::mutex mutex_;
  ReplicaState state_;
  bool object_api_available_ = true;
  BoundedRing<ReplicaEvent> ring_;
  std::thread thread_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_CONFIGURATION_THREAD_H_
