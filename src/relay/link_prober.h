#ifndef ENDIVEYARD_SRC_RELAY_LINK_PROBER_H_
#define ENDIVEYARD_SRC_RELAY_LINK_PROBER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "endiveyard/placement/link_monitor.h"
#include "endiveyard/relay/relay.h"

namespace endiveyard {

// Connects to some targets, and closes these connections, while the links of
// this instance are in doubt or lost.
class LinkProber : public std::enable_shared_from_this<LinkProber> {
 public:
  // `on_changed` is called when a probe has changed the state of `monitor`.
  LinkProber(boost::asio::io_context& io,
             const RoutingState& routing_state,
             Duration connect_timeout,
             LinkMonitor* monitor,
             std::function<void()> on_changed);

  // Starts a round of probes unless one is in progress.
  void Start();
  void Stop();

 private:
  struct Probe;

  // Returns the targets of a round: one of each service in turn, those that
  // have not failed first.
  std::vector<std::string> ChooseTargets() const;
  void Connect(const std::string& address);
  void Finish(const std::shared_ptr<Probe>& probe, bool connected);
  void FinishRound();

  boost::asio::io_context& io_;
  const RoutingState& routing_state_;
  const Duration connect_timeout_;
  LinkMonitor& monitor_;
  const std::function<void()> on_changed_;
  boost::asio::steady_timer pause_timer_;
  size_t open_probes_ = 0;
  bool round_in_progress_ = false;
  bool stopped_ = false;
  uint64_t round_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_LINK_PROBER_H_
