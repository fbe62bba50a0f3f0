#include "endiveyard/object_api/log_calls.h"

#include <utility>

namespace endiveyard {
namespace {

TruncationEvent RunCall(ObjectApi* api,
                        const ReadTruncationObject& call,
                        Duration timeout) {
  const auto object = api->Get(call.key, timeout);
  TruncationObjectRead event;
  event.ok = object.ok();
  if (object.ok() && object->has_value()) {
    event.version = (*object)->version;
    event.value = (*object)->value;
  }
  return event;
}

TruncationEvent RunCall(ObjectApi* api,
                        const WriteTruncationObject& call,
                        Duration timeout) {
  const WriteResult result =
      api->PutIf(call.key, call.value, call.if_version, timeout);
  return TruncationObjectWritten{result.outcome == WriteOutcome::kApplied,
                                 result.version};
}

TruncationEvent RunCall(ObjectApi* api,
                        const ListLogEntries& call,
                        Duration timeout) {
  const auto list = api->List(call.prefix, timeout);
  LogEntriesListed event;
  event.ok = list.ok();
  if (list.ok()) {
    for (const StoredObject& it : list->items) {
      event.versions.emplace_back(it.key, it.version);
    }
  }
  return event;
}

TruncationEvent RunCall(ObjectApi* api,
                        const DeleteLogEntry& call,
                        Duration timeout) {
  const WriteResult result = api->Delete(call.key, call.version, timeout);
  // A conflict with version 0 means that another instance deleted the entry.
  return LogEntryDeleted{
      result.outcome == WriteOutcome::kApplied ||
      (result.outcome == WriteOutcome::kConflict && result.version == 0)};
}

TruncationEvent RunCall(ObjectApi* /*api*/,
                        const TruncationEnded& /*call*/,
                        Duration /*timeout*/) {
  return TruncationStarted{};  // unreachable: see the precondition of
                               // RunTruncationCall()
}

}  // namespace

LogEntryCreateDone RunLogCall(ObjectApi* api,
                              const CreateLogEntry& call,
                              Duration timeout) {
  const WriteResult result = api->PutIf(call.key, call.value, 0, timeout);
  switch (result.outcome) {
    case WriteOutcome::kApplied:
      return {LogEntryCreateResult::kCreated};
    case WriteOutcome::kConflict:
      return {LogEntryCreateResult::kExists};
    case WriteOutcome::kUnavailable:
    case WriteOutcome::kRateLimited:
      return {LogEntryCreateResult::kNotWritten, result.retry_after};
    case WriteOutcome::kRejected:
      return {LogEntryCreateResult::kInvalid};
    case WriteOutcome::kOutcomeUnknown:
      break;
  }
  return {LogEntryCreateResult::kUnknown};
}

LogEntriesRead RunLogCall(ObjectApi* api,
                          const ReadLogEntries& call,
                          Duration timeout) {
  auto list = api->List(call.prefix, timeout);
  LogEntriesRead event;
  event.ok = list.ok();
  if (list.ok()) {
    for (StoredObject& it : list->items) {
      event.items.push_back({std::move(it.key), std::move(it.value)});
    }
  }
  return event;
}

LogTruncationPointRead RunLogCall(ObjectApi* api,
                                  const ReadLogTruncationPoint& call,
                                  Duration timeout) {
  const auto object = api->Get(call.key, timeout);
  if (!object.ok()) {
    return {};
  }
  LogTruncationPoint point;
  if (object->has_value() &&
      !ParseLogTruncationPoint((*object)->value, &point)) {
    return {};
  }
  return {true, point.truncated_through};
}

TruncationEvent RunTruncationCall(ObjectApi* api,
                                  const TruncationAction& call,
                                  Duration timeout) {
  return std::visit([&](const auto& it) { return RunCall(api, it, timeout); },
                    call);
}

bool RunTruncation(ObjectApi* api,
                   const std::string& log,
                   uint64_t through,
                   Duration timeout) {
  TruncationState state;
  state.log = log;
  state.through = through;
  TruncationAction action = StepTruncation(&state, TruncationStarted{});
  while (std::get_if<TruncationEnded>(&action) == nullptr) {
    action = StepTruncation(&state, RunTruncationCall(api, action, timeout));
  }
  return std::get<TruncationEnded>(action).ok;
}

}  // namespace endiveyard
