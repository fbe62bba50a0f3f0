#ifndef ENDIVEYARD_LOAD_EXCHANGE_LOAD_EXCHANGE_H_
#define ENDIVEYARD_LOAD_EXCHANGE_LOAD_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "endiveyard/load_exchange/load_report.h"

namespace endiveyard {

struct LoadExchangeOptions {
  std::string ip;
  std::string region;
  uint16_t port = 0;               // the same at all instances
  std::vector<std::string> seeds;  // IP addresses
};

// Tells the other instances by UDP what this one has at the replicas, and
// collects their reports. A lost or forged report distorts estimates only.
// Single-threaded.
class LoadExchange {
 public:
  // `own_work` is asked before each report.
  LoadExchange(boost::asio::io_context& io,
               LoadExchangeOptions options,
               std::function<std::vector<ReplicaWork>()> own_work,
               PeerLoads* peer_loads);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  absl::Status Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_LOAD_EXCHANGE_LOAD_EXCHANGE_H_
