#ifndef ENDIVEYARD_LOAD_EXCHANGE_LOAD_EXCHANGE_H_
#define ENDIVEYARD_LOAD_EXCHANGE_LOAD_EXCHANGE_H_

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "endiveyard/placement/placer.h"

namespace endiveyard {

struct LoadExchangeOptions {
  std::string ip;
  std::string region;
  uint16_t port = 0;               // the same at all instances
  std::vector<std::string> seeds;  // IP addresses
};

// Tells the other instances by UDP what this one has at the replicas and which
// prompt parts it knows in their caches, and collects their reports. A lost or
// forged report distorts estimates only. Single-threaded.
class LoadExchange {
 public:
  // `placer` is asked before each report and told of each one received.
  LoadExchange(boost::asio::io_context& io,
               LoadExchangeOptions options,
               Placer* placer);
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
