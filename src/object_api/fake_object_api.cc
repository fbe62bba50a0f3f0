#include "endiveyard/object_api/fake_object_api.h"

#include <utility>

namespace endiveyard {
namespace {

// Returns the status of a read to which `rule` applies.
absl::Status ReadStatus(const FaultRule& rule, Duration timeout) {
  switch (rule.fault) {
    case ObjectFault::kUnavailable:
      return absl::UnavailableError("object API: HTTP status 503");
    case ObjectFault::kResponseLostAfterEffect:
    case ObjectFault::kResponseLostBeforeEffect:
      return absl::UnavailableError("object API: connection closed");
    case ObjectFault::kRateLimited:
      return RateLimitedError(rule.retry_after);
    case ObjectFault::kSlow:
      return rule.delay > timeout
                 ? absl::UnavailableError(
                       "object API: no response within the timeout")
                 : absl::OkStatus();
    case ObjectFault::kNone:
    case ObjectFault::kWatchGap:
      break;
  }
  return absl::OkStatus();
}

}  // namespace

FakeObjectApi::FakeObjectApi(TimePoint start, size_t history_limit)
    : now_(start), store_(history_limit) {}

FaultRule FakeObjectApi::RecordCall(ObjectCallKind call,
                                    const std::string& key) {
  ++call_counts_[static_cast<size_t>(ObjectCallKind::kAny)];
  ++call_counts_[static_cast<size_t>(call)];
  FaultRule rule = faults_.NextFault(call, key);
  if (rule.fault == ObjectFault::kSlow) {
    now_ += rule.delay;
  }
  return rule;
}

absl::StatusOr<std::optional<StoredObject>> FakeObjectApi::Get(
    const std::string& key,
    Duration timeout) {
  std::lock_guard<std::mutex> lock(mutex_);
  const absl::Status status =
      ReadStatus(RecordCall(ObjectCallKind::kGet, key), timeout);
  if (!status.ok()) {
    return status;
  }
  const StoredObject* object = store_.Get(key);
  return object == nullptr ? std::nullopt : std::make_optional(*object);
}

absl::StatusOr<ObjectList> FakeObjectApi::List(const std::string& prefix,
                                               Duration timeout) {
  std::lock_guard<std::mutex> lock(mutex_);
  const absl::Status status =
      ReadStatus(RecordCall(ObjectCallKind::kList, prefix), timeout);
  if (!status.ok()) {
    return status;
  }
  return store_.List(prefix);
}

WriteResult FakeObjectApi::Write(ObjectCallKind call,
                                 const std::string& key,
                                 Duration timeout,
                                 const std::function<WriteResult()>& effect) {
  const FaultRule rule = RecordCall(call, key);
  WriteResult result;
  switch (rule.fault) {
    case ObjectFault::kUnavailable:
      result.outcome = WriteOutcome::kUnavailable;
      return result;
    case ObjectFault::kRateLimited:
      result.outcome = WriteOutcome::kRateLimited;
      result.retry_after = rule.retry_after;
      return result;
    case ObjectFault::kResponseLostBeforeEffect:
      result.outcome = WriteOutcome::kOutcomeUnknown;
      return result;
    default:
      break;
  }
  result = effect();
  if (result.outcome == WriteOutcome::kApplied) {
    ++write_counts_[key];
  }
  if (rule.fault == ObjectFault::kResponseLostAfterEffect ||
      (rule.fault == ObjectFault::kSlow && rule.delay > timeout)) {
    result = WriteResult();
    result.outcome = WriteOutcome::kOutcomeUnknown;
  }
  return result;
}

WriteResult FakeObjectApi::PutIf(const std::string& key,
                                 const std::string& value,
                                 uint64_t if_version,
                                 Duration timeout) {
  std::lock_guard<std::mutex> lock(mutex_);
  return Write(ObjectCallKind::kPut, key, timeout,
               [&] { return store_.PutIf(key, value, if_version); });
}

WriteResult FakeObjectApi::Delete(const std::string& key,
                                  uint64_t if_version,
                                  Duration timeout) {
  std::lock_guard<std::mutex> lock(mutex_);
  return Write(ObjectCallKind::kDelete, key, timeout,
               [&] { return store_.Delete(key, if_version); });
}

absl::StatusOr<WatchResult> FakeObjectApi::Watch(const std::string& prefix,
                                                 uint64_t since,
                                                 Duration wait) {
  std::lock_guard<std::mutex> lock(mutex_);
  const FaultRule rule = RecordCall(ObjectCallKind::kWatch, prefix);
  const absl::Status status = ReadStatus(rule, wait);
  if (!status.ok()) {
    return status;
  }
  if (rule.fault == ObjectFault::kWatchGap) {
    WatchResult result;
    result.revision = store_.revision();
    result.gap = true;
    return result;
  }
  return store_.EventsSince(prefix, since);
}

absl::StatusOr<InstanceList> FakeObjectApi::ListInstances(Duration timeout) {
  std::lock_guard<std::mutex> lock(mutex_);
  const absl::Status status =
      ReadStatus(RecordCall(ObjectCallKind::kInstances, ""), timeout);
  if (!status.ok()) {
    return status;
  }
  return instance_list_;
}

void FakeObjectApi::AddFault(FaultRule rule) {
  std::lock_guard<std::mutex> lock(mutex_);
  faults_.Add(std::move(rule));
}

void FakeObjectApi::ClearFaults() {
  std::lock_guard<std::mutex> lock(mutex_);
  faults_.Clear();
}

void FakeObjectApi::SetInstances(InstanceList list) {
  std::lock_guard<std::mutex> lock(mutex_);
  instance_list_ = std::move(list);
}

void FakeObjectApi::TruncateHistory() {
  std::lock_guard<std::mutex> lock(mutex_);
  store_.TruncateHistory();
}

void FakeObjectApi::Advance(Duration step) {
  std::lock_guard<std::mutex> lock(mutex_);
  now_ += step;
}

TimePoint FakeObjectApi::now() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return now_;
}

uint64_t FakeObjectApi::calls(ObjectCallKind call) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return call_counts_[static_cast<size_t>(call)];
}

uint64_t FakeObjectApi::writes(const std::string& key) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = write_counts_.find(key);
  return it == write_counts_.end() ? 0 : it->second;
}

}  // namespace endiveyard
