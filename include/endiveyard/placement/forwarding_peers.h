#ifndef ENDIVEYARD_PLACEMENT_FORWARDING_PEERS_H_
#define ENDIVEYARD_PLACEMENT_FORWARDING_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// What an instance says in its reports about forwarded requests.
struct ForwardingState {
  // It has its links to targets, listens for forwarded requests and is not
  // shutting down.
  bool takes_requests = false;
  uint16_t region = 0;  // digest of the region name
  // It is shutting down and takes requests that no other instance takes, if
  // they end before it does.
  bool takes_last_requests = false;
};

// The other instances, as possible receivers of requests that this one cannot
// send to any target itself. Only what an instance says about itself counts,
// and only for a short time: one that is out of reach has to drop out.
//
// No I/O. Not thread-safe.
class ForwardingPeers {
 public:
  // In a large fleet, instances of other regions report every few seconds.
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(3000);

  // Records a report of the instance at `address` (IPv4).
  void RecordReport(uint32_t address,
                    const ForwardingState& state,
                    TimePoint now);
  // Returns true if the instance has reported within the last minute.
  bool IsKnown(uint32_t address, TimePoint now) const;
  // Returns the instance to forward a request to: of those that take requests,
  // or else of those that take the last ones, the one with the fewest open ones
  // from here, with a preference for the region `own_region`. `tie_breaker`
  // spreads instances that choose alike.
  std::optional<uint32_t> Choose(uint16_t own_region,
                                 const std::set<uint32_t>& excluded,
                                 uint64_t tie_breaker,
                                 TimePoint now) const;
  // Records that the instance did not take a request. It gets none until its
  // next report.
  void RecordNotTaken(uint32_t address);
  // Returns true if reports of the instance are missing, by the intervals of
  // the last ones.
  bool IsOverdue(uint32_t address, TimePoint now) const;
  // Record the beginning and the end of a request that was forwarded.
  void RecordSent(uint32_t address);
  void RecordEnded(uint32_t address);

 private:
  struct Peer {
    ForwardingState state;
    TimePoint heard_at{};
    Duration interval{};  // between the last two reports
    int open_requests = 0;
  };

  std::map<uint32_t, Peer> peers_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_FORWARDING_PEERS_H_
