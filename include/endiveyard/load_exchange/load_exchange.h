#ifndef ENDIVEYARD_LOAD_EXCHANGE_LOAD_EXCHANGE_H_
#define ENDIVEYARD_LOAD_EXCHANGE_LOAD_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "endiveyard/load_exchange/peer_load_report.h"
#include "endiveyard/placement/crash_suspects.h"
#include "endiveyard/placement/forwarding_peers.h"
#include "endiveyard/placement/placer.h"
#include "endiveyard/placement/stream_versions.h"

namespace endiveyard {

struct LoadExchangeOptions {
  std::string ip;
  std::string region;
  uint16_t port = 0;                  // the same on all instances
  std::vector<std::string> seed_ips;  // where other instances may run
};

// What other parts of the instance add to reports and read from them.
struct LoadReportHooks {
  // Adds to a report that is about to be sent.
  std::function<void(PeerLoadReport* report, TimePoint now)> fill;
  // Takes in a valid report of another instance.
  std::function<void(const PeerLoadReport& report, TimePoint now)> apply;
};

// Exchanges reports with the other instances over UDP: the work that instances
// have on each replica, the prompt parts that they found in the caches of
// engines, the measured speed of engines, crashes of replicas, and which
// instances are live. A lost report only makes estimates less accurate, and
// crashes are reported several times. Single-threaded.
class LoadExchange {
 public:
  // `placer`, `crash_suspects` and `stream_versions` provide the contents of
  // each report and take in each one received. `forwarding_peers` learns from
  // them which instances take requests.
  LoadExchange(boost::asio::io_context& io,
               LoadExchangeOptions options,
               Placer* placer,
               CrashSuspects* crash_suspects,
               StreamVersions* stream_versions,
               ForwardingPeers* forwarding_peers);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  // Adds hooks, which run for all reports from now on. What they refer to has
  // to outlive the exchange.
  void AddHooks(LoadReportHooks hooks);
  // Sends a report of scope kMembers at once to one instance. `content` holds
  // only what the hooks do not fill in. Reports of work are delayed by its
  // bytes, so that the limit is kept on average.
  void SendDirect(uint32_t address, PeerLoadReport content);

  // Sends a report with nothing but what all reports state and the hooks fill
  // in.
  void SendHeader(const std::vector<uint32_t>& addresses);

  // Opens the UDP port and starts sending and receiving. Errors: kUnavailable.
  absl::Status Start();

  // Returns the number of live instances, including this one.
  size_t InstanceCount() const;
  // Returns the addresses (IPv4) of the live instances that are not leaving, in
  // order, including this one.
  std::vector<uint32_t> LiveInstances() const;
  // Returns the own address (IPv4).
  uint32_t own_address() const;
  // Returns the position of this instance among them.
  InstancePosition Position() const;
  // Records the instances that run according to the registry. They share what
  // all have together, whether they are heard or not.
  void RecordRegistered(const std::vector<std::string>& ips);
  // Records that others count this instance by its record for `left` more.
  void RecordOwnRecord(Duration left);
  // Returns until when all others count this instance, as far as it knows.
  TimePoint CountedUntil() const;
  // Returns true if the instance at this address is live, or is this one.
  bool Hears(const std::string& ip) const;
  // Returns what instances that do not hear this one have to know: evidence of
  // requests that crash replicas. As text; empty if there is none. Sets
  // `fingerprint`, which differs between reports that tell something else.
  std::string ReportForUnheard(uint64_t* fingerprint);
  // Applies what an instance returned from ReportForUnheard() `age` ago. It may
  // be this one, before it was started again.
  void ApplyReportOfUnheard(const std::string& text, Duration age);
  // Returns the number of instances that share it, including this one; nullopt
  // before the registry has named this one.
  std::optional<size_t> SharingCount() const;
  // Tells the others that this instance takes no more requests from callers, so
  // that they use its shares of what all instances have together.
  void SetLeaving();
  // Tells the others whether this instance can read the registry.
  void SetRegistryLost(bool is_lost);
  // Tells the others whether this instance takes requests that they forward.
  void SetTakesRequests(bool takes_requests);
  // The same of requests that no other instance takes.
  void SetTakesLastRequests(bool takes_last_requests);
  // Returns the digest of the own region, as in reports.
  uint16_t region() const;
  // Returns true if all others, those that the registry has named included,
  // have told lately that they cannot read the registry. False before the
  // registry has named this one.
  bool IsRegistryLostByAll() const;
  // Returns the number of datagrams that were no valid report.
  uint64_t rejected_datagrams() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_LOAD_EXCHANGE_LOAD_EXCHANGE_H_
