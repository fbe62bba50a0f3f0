#ifndef ENDIVEYARD_AUTHORITY_AUTHORITY_RECORDS_H_
#define ENDIVEYARD_AUTHORITY_AUTHORITY_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "endiveyard/base/target.h"

namespace endiveyard {

// Value of `leases/<instance>`: the lease that an instance needs to own shards.
struct LeaseRecord {
  std::string instance;
  std::string incarnation;  // differs for every process start
  uint64_t epoch = 0;       // incremented each time the lease is acquired
  bool revoked = false;
  std::string writer;  // unique to each write, also in the records below
};

// Identifies one process start of an instance.
struct ProcessIdentity {
  std::string instance;
  std::string incarnation;

  friend bool operator==(const ProcessIdentity& a, const ProcessIdentity& b) {
    return std::tie(a.instance, a.incarnation) ==
           std::tie(b.instance, b.incarnation);
  }
};

// Desired role, model and version of a target.
struct TargetPlan {
  Role role = Role::kMixed;
  std::string model;
  std::vector<std::string> adapters;
  std::string version;

  friend bool operator==(const TargetPlan& a, const TargetPlan& b) {
    return std::tie(a.role, a.model, a.adapters, a.version) ==
           std::tie(b.role, b.model, b.adapters, b.version);
  }
  friend bool operator!=(const TargetPlan& a, const TargetPlan& b) {
    return !(a == b);
  }
};

// An order that may be in flight or applied, but is not yet confirmed. It is
// written to the shard record before it is sent.
struct OpenOrder {
  std::string order_id;
  std::string target;
  uint64_t fencing = 0;  // fencing number that it carries
  TargetPlan plan;
};

// Value of `shards/<shard>`.
struct ShardRecord {
  std::string owner;  // empty: the shard is released
  std::string incarnation;
  uint64_t epoch = 0;  // of the owner's lease
  uint64_t fencing = 0;
  uint64_t next_order = 1;
  // Former owners whose orders may still reach targets that do not check
  // fencing numbers.
  std::vector<ProcessIdentity> former_owners;
  std::vector<OpenOrder> orders;  // open orders; at most one per target
  std::string writer;
};

// Value of `capacity/<house>/<service>/<region>`: targets whose role was
// changed, and targets that are out of service for a change.
struct CapacityRecord {
  struct Entry {
    bool out = false;
    Role role = Role::kMixed;  // role when the target last served
  };
  std::map<std::string, Entry> targets;
  std::string writer;
};

// Value of `weight_store/slot`: counts the loads from the weight store, one
// write per load.
struct WeightSlotRecord {
  uint64_t loads = 0;
  std::string writer;
};

// Text form: one `key=value` line per field. Parsing returns false for
// malformed text and ignores unknown keys. O(size).
std::string FormatLease(const LeaseRecord& record);
bool ParseLease(std::string_view text, LeaseRecord* record);
std::string FormatShard(const ShardRecord& record);
bool ParseShard(std::string_view text, ShardRecord* record);
std::string FormatCapacity(const CapacityRecord& record);
bool ParseCapacity(std::string_view text, CapacityRecord* record);
std::string FormatWeightSlot(const WeightSlotRecord& record);
bool ParseWeightSlot(std::string_view text, WeightSlotRecord* record);

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTHORITY_AUTHORITY_RECORDS_H_
