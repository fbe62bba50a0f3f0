#include "endiveyard/authority/instance_lease.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace endiveyard {
namespace {

bool HeldByThisProcess(const LeaseState& lease) {
  return lease.object.version != 0 && !lease.record.revoked &&
         lease.record.incarnation == lease.incarnation;
}

}  // namespace

std::string LeaseKey(std::string_view instance) {
  return "leases/" + std::string(instance);
}

LeaseState MakeLease(std::string_view instance,
                     std::string_view incarnation,
                     uint64_t seed) {
  LeaseState lease;
  lease.instance = std::string(instance);
  lease.incarnation = std::string(incarnation);
  lease.seed = seed;
  lease.object.key = LeaseKey(instance);
  return lease;
}

bool HoldsLease(const LeaseState& lease, TimePoint now) {
  return lease.held && now < lease.expires;
}

void TickLease(const LeaseOptions& options,
               TimePoint now,
               uint64_t* next_call,
               LeaseState* lease,
               std::vector<ObjectCall>* calls) {
  if (lease->held && now >= lease->expires) {
    lease->held = false;
    lease->object.known = false;
  }
  if (!CanStartCall(lease->object, now)) {
    return;
  }
  if (!lease->object.known) {
    calls->push_back(StartRead((*next_call)++, &lease->object));
    return;
  }
  LeaseRecord next;
  next.instance = lease->instance;
  next.incarnation = lease->incarnation;
  if (HeldByThisProcess(*lease)) {
    if (lease->held && now < lease->renew_at) {
      return;
    }
    next.epoch = lease->record.epoch;
  } else if (lease->object.version == 0 || lease->record.revoked ||
             now - lease->object.first_seen >=
                 options.term + options.clock_drift_margin) {
    next.epoch = lease->record.epoch + 1;
  } else {
    // Another process of this instance may still run; wait until its term has
    // passed.
    if (now - lease->object.read_at >= options.renew_interval) {
      calls->push_back(StartRead((*next_call)++, &lease->object));
    }
    return;
  }
  next.writer = absl::StrCat(lease->incarnation, ".", ++lease->writes);
  calls->push_back(
      StartWrite((*next_call)++, FormatLease(next), now, &lease->object));
}

void ApplyLeaseResult(const LeaseOptions& options,
                      const ObjectResult& result,
                      TimePoint now,
                      LeaseState* lease) {
  const ObjectUpdate update =
      ApplyObjectResult(result, now, lease->seed, &lease->object);
  switch (update.kind) {
    case ObjectUpdateKind::kNone:
    case ObjectUpdateKind::kFailed:
      return;
    case ObjectUpdateKind::kWriteConflict:
      // Either another instance revoked the lease, or an earlier write of this
      // process took effect although its result was lost. No order is sent
      // until the record has been read.
      lease->held = false;
      return;
    case ObjectUpdateKind::kRead:
    case ObjectUpdateKind::kWritten:
      break;
  }
  if (!ParseLease(lease->object.value, &lease->record)) {
    lease->record = {};
  }
  if (!HeldByThisProcess(*lease)) {
    lease->held = false;
  } else if (update.kind == ObjectUpdateKind::kWritten) {
    lease->held = true;
    lease->expires = update.sent_at + options.term;
    lease->renew_at = update.sent_at + options.renew_interval;
  }
}

ObjectUpdateKind ApplyObservedLeaseResult(const LeaseOptions& options,
                                          const ObjectResult& result,
                                          TimePoint now,
                                          uint64_t seed,
                                          ObservedLease* lease) {
  const TimePoint last_read = lease->object.read_at;
  const ObjectUpdateKind kind =
      ApplyObjectResult(result, now, seed, &lease->object).kind;
  if (kind == ObjectUpdateKind::kRead || kind == ObjectUpdateKind::kWritten) {
    lease->valid = ParseLease(lease->object.value, &lease->record);
    if (now - last_read > options.max_read_gap) {
      lease->object.first_seen = now;
    }
  }
  return kind;
}

bool MayRevoke(const LeaseOptions& options,
               const ObservedLease& lease,
               TimePoint now) {
  return lease.valid && lease.object.known && !lease.record.revoked &&
         now - lease.object.first_seen >=
             options.term + options.clock_drift_margin;
}

LeaseRecord RevokedLease(const LeaseRecord& record, std::string writer) {
  LeaseRecord revoked = record;
  revoked.revoked = true;
  revoked.writer = std::move(writer);
  return revoked;
}

}  // namespace endiveyard
