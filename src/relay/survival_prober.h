#ifndef ENDIVEYARD_SRC_RELAY_SURVIVAL_PROBER_H_
#define ENDIVEYARD_SRC_RELAY_SURVIVAL_PROBER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "endiveyard/placement/link_monitor.h"
#include "endiveyard/placement/placer.h"
#include "endiveyard/placement/survival_checks.h"
#include "endiveyard/relay/target_call.h"
#include "endiveyard/relay/wire_protocol.h"

namespace endiveyard {

// Finds out whether replicas outlived the connections that they have closed,
// from their answers to other requests and from probes.
class SurvivalProber : public std::enable_shared_from_this<SurvivalProber> {
 public:
  // Called once, in an iteration of the event loop of its own.
  using Handler = std::function<void(SurvivalVerdict verdict)>;

  // `placer` holds what replicas state about the requests that they take;
  // probes keep to it, and record what their answers state.
  SurvivalProber(boost::asio::io_context& io,
                 const WireProtocol& protocol,
                 const LinkMonitor& links,
                 TargetClient* client,
                 Placer* placer,
                 SurvivalChecks checks);

  // Begins a check, see SurvivalChecks. `path` is the probe path of the
  // service. Returns the number of the check.
  uint64_t Begin(const Replica& replica,
                 const std::string& path,
                 SurvivalProof proof,
                 Handler handler);
  // Drops a check, whose handler is not called.
  void Drop(uint64_t check);
  // The replica has answered a request that was sent at `sent_at` on a
  // connection established at `connected_at`.
  void RecordResponse(const Replica& replica,
                      TimePoint connected_at,
                      TimePoint sent_at);

  // The following two keep a connection ready for the next probe, for replicas
  // whose answers to probes do not state their process: if it was open before
  // a response ended, its answer shows that the process outlived that.

  // A response that ends with its connection has begun.
  void RecordUnframedHead(const Replica& replica);
  // A request was sent. Its response may end before a connection that is opened
  // at its head is established.
  void RecordRequest(const Replica& replica);

  void Stop();

 private:
  struct Probe;
  // Kept for a while for a replica whose responses end with their connections.
  struct Reserve {
    explicit Reserve(boost::asio::io_context& io) : expiry(io) {}

    std::unique_ptr<ReservedConnection> connection;
    boost::asio::steady_timer expiry;
  };

  void Advance(const std::shared_ptr<Probe>& probe);
  void Send(const std::shared_ptr<Probe>& probe);
  // Records what the answer states about the requests that the replica takes.
  void RecordStatements(const Probe& probe);
  void Finish(const std::shared_ptr<Probe>& probe,
              SurvivalProbeOutcome outcome);
  void Deliver(const std::vector<SurvivalAnswer>& answers);
  void OpenIfClosed(const Replica& replica, Reserve* reserve);

  boost::asio::io_context& io_;
  const WireProtocol& protocol_;
  const LinkMonitor& links_;
  TargetClient& client_;
  Placer& placer_;
  SurvivalChecks checks_;
  std::map<uint64_t, std::shared_ptr<Probe>> probes_;  // by key of the replica
  std::map<uint64_t, Reserve> reserves_;               // by key of the replica
  std::map<uint64_t, Handler> handlers_;               // by number of the check
  bool stopped_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_SURVIVAL_PROBER_H_
