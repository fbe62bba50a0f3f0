#include "endiveyard/object_log/log_truncation.h"

#include <algorithm>

namespace endiveyard {
namespace {

TruncationAction WriteTruncationPoint(const TruncationState& state) {
  return WriteTruncationObject{LogTruncationPointKey(state.log),
                               FormatLogTruncationPoint(state.point),
                               state.version};
}

// Deletes the next entry of the page, or records the page as deleted if none is
// left.
TruncationAction DeleteNextEntry(TruncationState* state) {
  if (!state->entries_to_delete.empty()) {
    return DeleteLogEntry{state->entries_to_delete.front().first,
                          state->entries_to_delete.front().second};
  }
  // The last number that shares the key prefix of the page.
  const uint64_t next = state->point.deleted_through + 1;
  const uint64_t page_end = next - next % kLogPageEntries + kLogPageEntries - 1;
  state->point.deleted_through =
      std::min(page_end, state->point.truncated_through);
  state->page_pending = false;
  return WriteTruncationPoint(*state);
}

TruncationAction Handle(TruncationState* state, const TruncationStarted&) {
  return ReadTruncationObject{LogTruncationPointKey(state->log)};
}

TruncationAction Handle(TruncationState* state,
                        const TruncationObjectWritten& event);

TruncationAction Handle(TruncationState* state,
                        const TruncationObjectRead& event) {
  if (!event.ok || (event.version != 0 &&
                    !ParseLogTruncationPoint(event.value, &state->point))) {
    return TruncationEnded{false};
  }
  state->version = event.version;
  state->page_pending = true;
  if (state->point.truncated_through < state->through) {
    state->point.truncated_through = state->through;
    return WriteTruncationPoint(*state);
  }
  return Handle(state, TruncationObjectWritten{true, event.version});
}

TruncationAction Handle(TruncationState* state,
                        const TruncationObjectWritten& event) {
  if (!event.ok) {
    return TruncationEnded{false};
  }
  state->version = event.version;
  if (!state->page_pending ||
      state->point.deleted_through >= state->point.truncated_through) {
    return TruncationEnded{true};
  }
  return ListLogEntries{
      LogPagePrefix(state->log, state->point.deleted_through + 1)};
}

TruncationAction Handle(TruncationState* state, const LogEntriesListed& event) {
  if (!event.ok) {
    return TruncationEnded{false};
  }
  state->entries_to_delete = event.versions;
  state->entries_to_delete.erase(
      std::remove_if(
          state->entries_to_delete.begin(), state->entries_to_delete.end(),
          [&](const auto& it) {
            return LogEntryNumber(it.first) > state->point.truncated_through;
          }),
      state->entries_to_delete.end());
  return DeleteNextEntry(state);
}

TruncationAction Handle(TruncationState* state, const LogEntryDeleted& event) {
  if (!event.ok) {
    return TruncationEnded{false};
  }
  state->entries_to_delete.pop_front();
  return DeleteNextEntry(state);
}

}  // namespace

TruncationAction StepTruncation(TruncationState* state,
                                const TruncationEvent& event) {
  return std::visit([&](const auto& it) { return Handle(state, it); }, event);
}

}  // namespace endiveyard
