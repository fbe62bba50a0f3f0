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

// Thread that keeps this instance's copy of the fleet configuration. It makes
// its own calls to the object API, since they block.
class ConfigurationThread {
 public:
  using Applied = std::function<void(uint64_t, const FleetConfiguration&)>;
  using Accepting = std::function<void(bool, const std::string&)>;

  // The callbacks run on the configuration thread.
  ConfigurationThread(ConfigurationStore store,
                      ReplicaOptions options,
                      const EventLogger* logger,
                      Applied applied,
                      Accepting accepting);
  ~ConfigurationThread();

  void Start();
  void Stop();

  // Returns false when the ring is full; later events make up for it.
  bool TryPost(ReplicaEvent event);

  uint64_t version() const;
  std::vector<ConfigurationEdit> EditsSince(uint64_t version,
                                            size_t limit) const;
  // Snapshot of the applied configuration, for a peer that starts.
  ConfigurationSnapshot Snapshot() const;
  bool wants_peer_snapshot() const;

 private:
  void Run();
  void Handle(const ReplicaEvent& event);
  void Carry(const ReadLog& action);
  void Carry(const ConfigurationApplied& action);
  void Carry(const AcceptingChanged& action);
  void Carry(const WriteSnapshot& action);
  void Carry(const TruncateLog& action);
  void Carry(const EntrySkipped& action);

  ConfigurationStore store_;
  const ReplicaOptions options_;
  const EventLogger* const logger_;
  const Applied applied_;
  const Accepting accepting_;
  mutable std::mutex mutex_;
  ReplicaState state_;
  bool object_api_up_ = true;
  BoundedRing<ReplicaEvent> ring_;
  std::thread thread_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_CONFIGURATION_THREAD_H_
