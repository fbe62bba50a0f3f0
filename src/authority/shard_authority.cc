#include "endiveyard/authority/shard_authority.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace endiveyard {
namespace {

// Key of AbsenceTracker::absent_since.
std::string ProcessKey(const ProcessIdentity& process) {
  return process.instance + "/" + process.incarnation;
}

bool RefersTo(const InstanceInfo& info, const ProcessIdentity& process) {
  return info.id == process.instance &&
         (info.incarnation.empty() || info.incarnation == process.incarnation);
}

}  // namespace

void ApplyInstanceList(const std::vector<InstanceInfo>& list,
                       const std::vector<ProcessIdentity>& watched,
                       TimePoint now,
                       AbsenceTracker* tracker) {
  std::map<std::string, TimePoint> absent;
  for (const ProcessIdentity& process : watched) {
    if (std::any_of(list.begin(), list.end(), [&](const InstanceInfo& it) {
          return RefersTo(it, process);
        })) {
      continue;
    }
    const std::string key = ProcessKey(process);
    const auto it = tracker->absent_since.find(key);
    absent[key] = it == tracker->absent_since.end() ? now : it->second;
  }
  tracker->absent_since = std::move(absent);
  tracker->read_at = now;
}

bool ProvenAbsent(const AbsenceOptions& options,
                  const AbsenceTracker& tracker,
                  const ProcessIdentity& process) {
  const auto it = tracker.absent_since.find(ProcessKey(process));
  return it != tracker.absent_since.end() &&
         tracker.read_at - it->second >=
             options.max_list_lag + options.max_order_delay;
}

bool OwnsShard(const ShardRecord& shard, const LeaseState& lease) {
  return shard.owner == lease.instance &&
         shard.incarnation == lease.incarnation &&
         shard.epoch == lease.record.epoch;
}

bool MayTakeShard(const ShardRecord& shard, const LeaseRecord& owner_lease) {
  if (shard.owner.empty()) {
    return true;
  }
  return owner_lease.instance == shard.owner &&
         (owner_lease.revoked || owner_lease.epoch > shard.epoch);
}

ShardRecord TakeShard(const ShardRecord& shard,
                      const LeaseState& lease,
                      std::string writer) {
  ShardRecord next = shard;
  const ProcessIdentity previous = {shard.owner, shard.incarnation};
  const ProcessIdentity self = {lease.instance, lease.incarnation};
  if (!previous.instance.empty() && !IsFormerOwner(previous, next)) {
    next.former_owners.push_back(previous);
  }
  // The new owner tracks its own orders in flight itself.
  RemoveFormerOwner(self, &next);
  next.owner = lease.instance;
  next.incarnation = lease.incarnation;
  next.epoch = lease.record.epoch;
  ++next.fencing;
  next.writer = std::move(writer);
  return next;
}

ShardRecord ReleaseShard(const ShardRecord& shard, std::string writer) {
  ShardRecord next = shard;
  next.owner.clear();
  next.incarnation.clear();
  next.epoch = 0;
  next.writer = std::move(writer);
  return next;
}

void RemoveFormerOwner(const ProcessIdentity& process, ShardRecord* shard) {
  shard->former_owners.erase(std::remove(shard->former_owners.begin(),
                                         shard->former_owners.end(), process),
                             shard->former_owners.end());
}

bool IsFormerOwner(const ProcessIdentity& process, const ShardRecord& shard) {
  return std::find(shard.former_owners.begin(), shard.former_owners.end(),
                   process) != shard.former_owners.end();
}

bool MaySendOrders(const ShardRecord& shard, bool checks_fencing) {
  return checks_fencing || shard.former_owners.empty();
}

const OpenOrder* FindOrder(const ShardRecord& shard, std::string_view target) {
  for (const OpenOrder& it : shard.orders) {
    if (it.target == target) {
      return &it;
    }
  }
  return nullptr;
}

std::string AddOrder(std::string_view target,
                     const TargetPlan& plan,
                     ShardRecord* shard) {
  if (FindOrder(*shard, target) != nullptr) {
    return "";
  }
  OpenOrder order;
  order.order_id = absl::StrCat(shard->fencing, "-", shard->next_order++);
  order.target = std::string(target);
  order.fencing = shard->fencing;
  order.plan = plan;
  shard->orders.push_back(order);
  return order.order_id;
}

void CloseOrder(std::string_view order_id, ShardRecord* shard) {
  shard->orders.erase(std::remove_if(shard->orders.begin(), shard->orders.end(),
                                     [&](const OpenOrder& it) {
                                       return it.order_id == order_id;
                                     }),
                      shard->orders.end());
}

ResolveStep NextResolveStep(const AbsenceOptions& options,
                            const ShardRecord& shard,
                            const OpenOrder& order,
                            bool checks_fencing,
                            uint64_t confirmed_fencing,
                            TimePoint last_sent_at,
                            TimePoint now) {
  if (checks_fencing) {
    if (shard.fencing <= order.fencing) {
      return ResolveStep::kRaiseFencing;
    }
    return confirmed_fencing < shard.fencing ? ResolveStep::kSendFence
                                             : ResolveStep::kReadState;
  }
  if (!MaySendOrders(shard, checks_fencing) ||
      (last_sent_at != TimePoint() &&
       now - last_sent_at < options.max_order_delay)) {
    return ResolveStep::kWait;
  }
  return ResolveStep::kReadState;
}

}  // namespace endiveyard
