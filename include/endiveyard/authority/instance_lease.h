#ifndef ENDIVEYARD_AUTHORITY_INSTANCE_LEASE_H_
#define ENDIVEYARD_AUTHORITY_INSTANCE_LEASE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/authority/authority_records.h"
#include "endiveyard/authority/cached_object.h"

namespace endiveyard {

struct LeaseOptions {
  Duration term = std::chrono::seconds(15);
  Duration renew_interval = std::chrono::seconds(5);
  // Covers the difference in rate between the clocks of the holder and the
  // observer over one term.
  Duration clock_drift_margin = std::chrono::seconds(5);
  // A longer gap between two reads restarts the observation of a lease: during
  // an outage of the object API no holder can renew.
  Duration max_read_gap = std::chrono::seconds(10);
};

// The lease of this instance, as held by the current process.
struct LeaseState {
  std::string instance;
  std::string incarnation;
  uint64_t seed = 0;
  CachedObject object;
  LeaseRecord record;  // as last read or written
  bool held = false;
  TimePoint expires;  // local clock; one term after the send of the last write
  TimePoint renew_at;
  uint64_t writes = 0;  // makes LeaseRecord::writer unique
};

std::string LeaseKey(std::string_view instance);

LeaseState MakeLease(std::string_view instance,
                     std::string_view incarnation,
                     uint64_t seed);

// True while the term, counted from the send of the last write that took
// effect, has not expired and no other writer has been seen. O(1).
bool HoldsLease(const LeaseState& lease, TimePoint now);

// Ends an expired lease, and starts the next read or write if one is due. After
// expiry the record is read before the lease is renewed or acquired. O(1).
void TickLease(const LeaseOptions& options,
               TimePoint now,
               uint64_t* next_call,
               LeaseState* lease,
               std::vector<ObjectCall>* calls);

// Applies the result of a call for this lease; ignores other results.
void ApplyLeaseResult(const LeaseOptions& options,
                      const ObjectResult& result,
                      TimePoint now,
                      LeaseState* lease);

// Lease of another instance, as read by an instance that may take over.
struct ObservedLease {
  CachedObject object;
  LeaseRecord record;
  bool valid = false;  // `record` holds the lease that was read last
};

// Applies the result of a call for this lease; ignores other results.
ObjectUpdateKind ApplyObservedLeaseResult(const LeaseOptions& options,
                                          const ObjectResult& result,
                                          TimePoint now,
                                          uint64_t seed,
                                          ObservedLease* lease);

// True when the lease has not changed for the term plus the clock drift margin
// by the observer's clock, counted from the arrival of the first read.
bool MayRevoke(const LeaseOptions& options,
               const ObservedLease& lease,
               TimePoint now);

// Returns `record` marked as revoked.
LeaseRecord RevokedLease(const LeaseRecord& record, std::string writer);

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTHORITY_INSTANCE_LEASE_H_
