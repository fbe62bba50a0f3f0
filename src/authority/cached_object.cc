#include "endiveyard/authority/cached_object.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

constexpr Duration kInitialRetryWait = std::chrono::milliseconds(250);
constexpr int kMaxWaitDoublings = 6;

ObjectUpdate ScheduleRetry(TimePoint now, uint64_t seed, CachedObject* object) {
  ++object->failures;
  const Duration ceiling = std::min(
      kMaxRetryWait,
      kInitialRetryWait * (1 << std::min(object->failures, kMaxWaitDoublings)));
  const uint64_t draw =
      CombineDigests(Digest64(object->key, seed),
                     static_cast<uint64_t>(object->failures)) %
      static_cast<uint64_t>(ceiling.count());
  object->retry_at = now + Duration(static_cast<int64_t>(draw) + 1);
  return {ObjectUpdateKind::kFailed, {}};
}

ObjectUpdate ApplyWriteResult(const ObjectResult& result,
                              TimePoint now,
                              uint64_t seed,
                              CachedObject* object) {
  switch (result.outcome) {
    case ObjectOutcome::kOk: {
      CachedObject::Write write = std::move(object->unresolved.back());
      object->unresolved.clear();
      object->failures = 0;
      object->version = result.version;
      object->value = std::move(write.value);
      object->read_at = now;
      object->first_seen = now;
      return {ObjectUpdateKind::kWritten, write.sent_at};
    }
    case ObjectOutcome::kConflict:
      object->unresolved.pop_back();
      object->failures = 0;
      object->known = false;
      return {ObjectUpdateKind::kWriteConflict, {}};
    case ObjectOutcome::kUnknown:
      object->known = false;
      return ScheduleRetry(now, seed, object);
    case ObjectOutcome::kUnavailable:
      object->unresolved.pop_back();
      return ScheduleRetry(now, seed, object);
  }
  return {};
}

}  // namespace

bool CanStartCall(const CachedObject& object, TimePoint now) {
  return object.pending_call == 0 && now >= object.retry_at;
}

ObjectCall StartRead(uint64_t id, CachedObject* object) {
  object->pending_call = id;
  object->pending_is_write = false;
  ObjectCall call;
  call.id = id;
  call.key = object->key;
  return call;
}

ObjectCall StartWrite(uint64_t id,
                      std::string value,
                      TimePoint now,
                      CachedObject* object) {
  object->pending_call = id;
  object->pending_is_write = true;
  object->unresolved.push_back({object->version, value, now});
  ObjectCall call;
  call.id = id;
  call.write = true;
  call.key = object->key;
  call.if_version = object->version;
  call.value = std::move(value);
  return call;
}

ObjectUpdate ApplyObjectResult(const ObjectResult& result,
                               TimePoint now,
                               uint64_t seed,
                               CachedObject* object) {
  if (object->pending_call == 0 || result.id != object->pending_call) {
    return {};
  }
  object->pending_call = 0;
  if (object->pending_is_write) {
    return ApplyWriteResult(result, now, seed, object);
  }
  if (result.outcome != ObjectOutcome::kOk) {
    return ScheduleRetry(now, seed, object);
  }
  object->failures = 0;
  if (!object->known || result.version != object->version) {
    // The same version read again after a lost result keeps `first_seen`.
    if (result.version != object->version ||
        object->first_seen == TimePoint()) {
      object->first_seen = now;
    }
    object->known = true;
    object->version = result.version;
    object->value = result.value;
  }
  object->read_at = now;
  ObjectUpdate update{ObjectUpdateKind::kRead, {}};
  for (const CachedObject::Write& it : object->unresolved) {
    if (it.value == object->value) {
      update = {ObjectUpdateKind::kWritten, it.sent_at};
    }
  }
  // A write conditional on an older version can no longer take effect; one
  // conditional on the version just read still can.
  object->unresolved.erase(
      std::remove_if(object->unresolved.begin(), object->unresolved.end(),
                     [&](const CachedObject::Write& it) {
                       return it.if_version < object->version;
                     }),
      object->unresolved.end());
  return update;
}

}  // namespace endiveyard
