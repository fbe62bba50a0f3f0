#ifndef ENDIVEYARD_AUTHORITY_SHARD_AUTHORITY_H_
#define ENDIVEYARD_AUTHORITY_SHARD_AUTHORITY_H_

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "endiveyard/authority/authority_records.h"
#include "endiveyard/authority/instance_lease.h"

namespace endiveyard {

// An instance in the list that the platform provides.
struct InstanceInfo {
  std::string id;
  // Empty if the platform does not distinguish process starts.
  std::string incarnation;
  std::string house;  // empty: may control any house
  bool leaving = false;

  friend bool operator==(const InstanceInfo& a, const InstanceInfo& b) {
    return std::tie(a.id, a.incarnation, a.house, a.leaving) ==
           std::tie(b.id, b.incarnation, b.house, b.leaving);
  }
};

struct AbsenceOptions {
  // Longest time until the list reflects a process exit.
  Duration max_list_lag = std::chrono::seconds(30);
  // Longest time between the send of an order and its arrival.
  Duration max_order_delay = std::chrono::seconds(10);
};

// Tracks since when processes are missing from the platform's instance list, by
// the local clock.
struct AbsenceTracker {
  std::map<std::string, TimePoint> absent_since;  // by ProcessKey()
  TimePoint read_at;                              // arrival of the latest list
};

// Records which processes of `watched` are missing from `list`.
// O(watched x list).
void ApplyInstanceList(const std::vector<InstanceInfo>& list,
                       const std::vector<ProcessIdentity>& watched,
                       TimePoint now,
                       AbsenceTracker* tracker);

// True when `process` has been missing from every list for at least the list
// lag plus the order delay, up to the latest list. None of its orders can then
// arrive any more.
bool ProvenAbsent(const AbsenceOptions& options,
                  const AbsenceTracker& tracker,
                  const ProcessIdentity& process);

// True when `shard` is owned under `lease`.
bool OwnsShard(const ShardRecord& shard, const LeaseState& lease);

// True when the shard is released, or the lease that it is owned under was
// revoked or replaced by one with a higher epoch. `owner_lease` is the current
// record of the owner's lease.
bool MayTakeShard(const ShardRecord& shard, const LeaseRecord& owner_lease);

// Returns the record with the holder of `lease` as owner and the fencing number
// incremented. An owner that did not release the shard becomes a former owner.
ShardRecord TakeShard(const ShardRecord& shard,
                      const LeaseState& lease,
                      std::string writer);

// Returns the record without an owner. Precondition: no order is open.
ShardRecord ReleaseShard(const ShardRecord& shard, std::string writer);

void RemoveFormerOwner(const ProcessIdentity& process, ShardRecord* shard);
bool IsFormerOwner(const ProcessIdentity& process, const ShardRecord& shard);

// True when the owner may send orders to a target. A target that does not check
// fencing numbers must not get any while orders of former owners may arrive.
bool MaySendOrders(const ShardRecord& shard, bool checks_fencing);

// Returns the open order for `target`, or nullptr. O(orders).
const OpenOrder* FindOrder(const ShardRecord& shard, std::string_view target);

// Adds an open order and returns its id, or an empty string if the target
// already has one.
std::string AddOrder(std::string_view target,
                     const TargetPlan& plan,
                     ShardRecord* shard);
void CloseOrder(std::string_view order_id, ShardRecord* shard);

// Next step to find out whether an order with unknown outcome took effect. The
// state of the target is conclusive only once the order can no longer arrive.
enum class ResolveStep {
  kWait,          // the order may still arrive
  kRaiseFencing,  // the shard still has the order's fencing number
  kSendFence,     // send the shard's fencing number to the target
  kReadState,     // the target's state is conclusive
};

// `confirmed_fencing` is the highest number that the target has confirmed to
// this process; `last_sent_at` is when this process last sent it an order (a
// later time is safe, too), or zero if it never did.
ResolveStep NextResolveStep(const AbsenceOptions& options,
                            const ShardRecord& shard,
                            const OpenOrder& order,
                            bool checks_fencing,
                            uint64_t confirmed_fencing,
                            TimePoint last_sent_at,
                            TimePoint now);

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTHORITY_SHARD_AUTHORITY_H_
