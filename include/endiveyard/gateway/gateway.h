#ifndef ENDIVEYARD_GATEWAY_GATEWAY_H_
#define ENDIVEYARD_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "endiveyard/fleet/fleet_configuration.h"
#include "endiveyard/serving/serving_messages.h"
#include "endiveyard/settings/instance_settings.h"
#include "endiveyard/telemetry/log_event.h"
#include "endiveyard/telemetry/metrics.h"

namespace endiveyard {

// Functions of the rest of the instance that the gateway calls. They run on the
// serving thread unless noted otherwise and must not block.
struct GatewayHooks {
  // Returns false if the intent was not accepted and will not be committed.
  std::function<bool(const CommitIntent&)> commit_intent;
  std::function<void(const RecordOutcome&)> record_outcome;
  std::function<void(const AnnounceToPeers&)> announce;
  // Receives every load report of a target. Called on a pool thread.
  std::function<void(const std::string&, const TargetLoad&)> load_reported;
  // Returns the body of GET /status. Called on a pool thread.
  std::function<std::string()> status;
};

// Carries HTTP requests between callers, the serving core and the targets. Owns
// the HTTP listener, the serving thread and the clients of the targets.
class Gateway {
 public:
  // Precondition: `logger` and `metrics` outlive the gateway.
  Gateway(const InstanceSettings& settings,
          const EventLogger* logger,
          Metrics* metrics,
          GatewayHooks hooks);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Starts listening for callers. Error: kInvalidSettings when the address
  // cannot be opened, for example because it is in use.
  absl::Status Listen();

  // Applies a configuration to requests that arrive from now on.
  void ApplyConfiguration(uint64_t version, FleetConfiguration configuration);

  // Replaces the list of targets.
  void ApplyTargets(const std::vector<TargetInfo>& targets);

  // While `ready` is false, new requests are rejected with kNotReady and
  // `reason`.
  void SetReady(bool ready, const std::string& reason);

  // Queues an event for the serving thread, waiting while the queue is full.
  // Returns false when the thread has stopped.
  bool Post(ServingEvent event);

  // Calls `callback` on the serving thread with the number of attempts in
  // flight on each target, in the order of `targets`. Returns false, without a
  // call, when the queue of the serving thread is full or the thread has
  // stopped.
  bool QueryInFlight(const std::vector<std::string>& targets,
                     std::function<void(std::vector<int>)> callback);

  // Number of accepted requests whose response has not ended.
  size_t open_exchanges() const;

  // Rejects new requests, waits up to `bound` for open ones to finish, then
  // closes the listener. Returns the number of requests that were aborted.
  size_t Shutdown(Duration bound);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_GATEWAY_GATEWAY_H_
