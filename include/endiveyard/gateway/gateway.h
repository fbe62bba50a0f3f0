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

// Parts of the instance that the serving path hands work to. Called on the
// serving thread; must not block.
struct GatewayHooks {
  // Returns false when the intent was not accepted and never will be.
  std::function<bool(const CommitIntent&)> commit_intent;
  std::function<void(const RecordOutcome&)> record_outcome;
  std::function<void(const AnnounceToPeers&)> announce;
  // Each load report of a target; called on a pool thread.
  std::function<void(const std::string&, const TargetLoad&)> load_reported;
  // Text of GET /status; called on a pool thread.
  std::function<std::string()> status;
};

// Serves callers: HTTP listener, serving thread and clients of the targets.
class Gateway {
 public:
  // `logger` and `metrics` outlive the gateway.
  Gateway(const InstanceSettings& settings,
          const EventLogger* logger,
          Metrics* metrics,
          GatewayHooks hooks);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Listens to callers. Fails when the address is in use.
  absl::Status Open();

  // Puts a configuration in force for requests that arrive from now on.
  void ApplyConfiguration(uint64_t version, FleetConfiguration configuration);

  // Replaces the list of targets.
  void ApplyTargets(const std::vector<TargetInfo>& targets);

  // Refuses new requests with kNotReady and `reason` while not ready.
  void SetReady(bool ready, const std::string& reason);

  // Hands an event to the serving thread; waits for room in its ring.
  bool Post(ServingEvent event);

  // Calls `answer` on the serving thread with the number of attempts that run
  // on each target. Returns false when the instance is too busy.
  bool QueryInFlight(const std::vector<std::string>& targets,
                     std::function<void(std::vector<int>)> answer);

  size_t open_exchanges() const;

  // Refuses new work, waits up to `bound` for open requests, then closes the
  // listener. Returns the number of requests that were cut.
  size_t Shutdown(Duration bound);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_GATEWAY_GATEWAY_H_
