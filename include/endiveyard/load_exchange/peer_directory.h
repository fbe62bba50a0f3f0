#ifndef ENDIVEYARD_LOAD_EXCHANGE_PEER_DIRECTORY_H_
#define ENDIVEYARD_LOAD_EXCHANGE_PEER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/load_exchange/peer_load_report.h"
#include "endiveyard/placement/replica_rate_limits.h"

namespace endiveyard {

// An instance of which no sign of life was seen for this long is not live. In a
// large fleet, news of live instances are several hops old: they reach all
// others of 370 within the longer time, even if a third of the datagrams is
// lost and reports are so large that each instance sends one in two seconds.
inline constexpr Duration kPeerTimeout = std::chrono::seconds(45);
inline constexpr Duration kPeerTimeoutOfLargeFleet = std::chrono::seconds(90);
// Older signs of life are not passed on.
inline constexpr Duration kMaxReportedAge = std::chrono::seconds(60);
// An instance that the registry has named counts, whether it is heard or not,
// until lists have left it out for this long. After an outage of the registry,
// all have written their records again by then.
inline constexpr Duration kRegisteredTimeout = std::chrono::seconds(45);
// Interval at which instances tell others which instances are live, and probe
// seeds that are not.
inline constexpr Duration kMemberInterval = std::chrono::seconds(1);
// Limit on the live instances in one report.
inline constexpr size_t kMaxMembersPerReport = 100;

// With up to this many live peers, every instance reports to every other. With
// more, the limit on bytes per second would make these reports too rare to be
// useful: instances report to those of their region, and one of them at a time
// reports the sum of the region to each other region.
inline constexpr size_t kMaxPeersForFullExchange = 16;

// Limit on the bytes per second that one instance sends to others: the limit on
// the control traffic of a node at the size that the system is built for.
inline constexpr double kMaxReportBytesPerSecond = 8000;

// IPv4 and UDP headers.
inline constexpr size_t kDatagramHeaderBytes = 28;

// Tracks the live instances and selects those to send reports to. Instances
// learn of each other from reports, and from the live instances that others
// report, with the time since the last sign of life, so that nobody keeps an
// instance alive by repeating what others said. No I/O.
class PeerDirectory {
 public:
  // `seeds` are addresses where other instances may run. Some may be stale.
  PeerDirectory(uint32_t own_address,
                uint16_t own_region,
                std::vector<uint32_t> seeds);

  // Records a report of `sender` and the live instances in it. Returns true if
  // the sender has started, or started again, and was not welcomed yet.
  bool RecordReport(const Member& sender,
                    uint64_t sequence,
                    const std::vector<Member>& members,
                    TimePoint now);
  // Records that the peer was sent what a new instance needs to know.
  void RecordWelcomed(uint32_t peer);
  // Records that this instance is leaving.
  void RecordOwnLeaving(TimePoint now);

  // Records the instances that run according to the registry. May include this
  // one.
  void RecordRegistered(const std::vector<uint32_t>& addresses, TimePoint now);

  // Records that others count this instance until then, by its record in the
  // registry.
  void RecordOwnRecord(TimePoint until);

  // Returns true if a sign of life of the instance was seen lately.
  bool IsLive(uint32_t address, TimePoint now) const;

  // Returns the live peers that exchange their own work with this instance.
  std::vector<uint32_t> Mates(TimePoint now) const;
  // Returns a live peer of each other region, in turn; none in a small fleet.
  std::vector<uint32_t> RegionRecipients(TimePoint now);
  // Returns the addresses to tell about live instances: some random live peers,
  // the seeds that are not live, and some registered instances that are not.
  std::vector<uint32_t> MemberRecipients(TimePoint now);
  // Returns live peers with the time since their last sign of life, at most
  // kMaxMembersPerReport of them, at random. Those that have just left or
  // returned come first.
  std::vector<Member> Members(TimePoint now);

  // Returns the live instances that are not leaving, in order of address,
  // including this one.
  std::vector<uint32_t> LiveInstances(TimePoint now) const;
  // Returns the number of live instances, including this one.
  size_t InstanceCount(TimePoint now) const;
  // Returns the number of instances that share what all have together: the live
  // ones and those that the registry has named, which may run where they are
  // not heard. nullopt before the registry has named this instance, since
  // instances that are heard need not be all there are.
  std::optional<size_t> SharingCount(TimePoint now) const;
  // Returns the addresses of the others that SharingCount() counts, in order.
  std::optional<std::vector<uint32_t>> OtherSharers(TimePoint now) const;

  // Returns until when the others count this instance: as its record says, or
  // longer while all that the registry has named are heard.
  TimePoint CountedUntil(TimePoint now) const;

  // Returns the time within which all others learn that an instance is back.
  Duration SpreadingTime(TimePoint now) const;

  // Returns the position of this instance among the live ones, in order of
  // address. Instances count as leaving once all have had time to learn of it.
  InstancePosition OwnPosition(TimePoint now) const;
  // The same among those that share what all have together, as far as they are
  // known.
  InstancePosition OwnSharingPosition(TimePoint now) const;

  // Return the time until the next report after one of `report_bytes` to
  // `recipients` instances. Together they keep kMaxReportBytesPerSecond.
  Duration WorkInterval(size_t recipients,
                        size_t report_bytes,
                        TimePoint now) const;
  static Duration RegionInterval(size_t recipients, size_t report_bytes);
  // Shorter while this instance still learns of others.
  Duration MemberReportInterval(size_t recipients,
                                size_t report_bytes,
                                TimePoint now) const;

 private:
  struct Peer {
    uint16_t region = 0;
    TimePoint last_alive{};
    std::optional<TimePoint> leaving_since;  // when that was learned
    TimePoint changed_at{};  // when it was last learned to leave or be back
    uint64_t sequence = 0;   // of its latest report
    bool welcomed = true;    // by this instance, or another one
  };

  std::vector<uint32_t> LivePeers(TimePoint now) const;
  // Returns the registered instances that are not live, in order.
  std::vector<uint32_t> RegisteredOnly(TimePoint now) const;
  // Returns the others that share what all have together, in order.
  std::vector<uint32_t> Sharers(TimePoint now) const;
  // Returns the own position among `others`, which are in order.
  InstancePosition PositionAmong(const std::vector<uint32_t>& others,
                                 TimePoint now) const;
  bool IsLive(const Peer& peer, TimePoint now) const;
  void RemoveOld(TimePoint now);

  const uint32_t own_address_;
  const uint16_t own_region_;
  const std::vector<uint32_t> seeds_;
  std::map<uint32_t, Peer> peers_;
  // Instances that the registry has named, and since when lists leave them out.
  std::map<uint32_t, std::optional<TimePoint>> registered_;
  bool is_sharing_known_ = false;
  TimePoint own_record_until_{};
  std::optional<TimePoint> own_leaving_since_;
  // Position in the lists of the members of other regions.
  size_t region_turn_ = 0;
  // When an instance that was not known before was last added.
  TimePoint last_added_{};
  // Selects the peers to tell, and those to tell about. Seeded by the own
  // address, so that instances choose differently.
  std::minstd_rand random_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_LOAD_EXCHANGE_PEER_DIRECTORY_H_
