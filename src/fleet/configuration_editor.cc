#include "endiveyard/fleet/configuration_editor.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/base/digest.h"
#include "endiveyard/fleet/configuration_delta.h"

namespace endiveyard {
namespace {

constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(100);
constexpr size_t kMaxDescribedEdits = 16;

class EditorTransition {
 public:
  EditorTransition(const EditorOptions& options,
                   TimePoint now,
                   EditorState* state,
                   std::vector<EditorAction>* actions)
      : options_(options), now_(now), state_(*state), actions_(*actions) {}

  void operator()(const EditRequested& event) {
    if (state_.phase != EditorPhase::kIdle) {
      return;
    }
    state_.base = event.base;
    state_.edit.version = event.base_version + 1;
    state_.edit.edit_id = event.edit_id;
    state_.edit.author = event.author;
    state_.edit.delta = event.delta;
    state_.deadline = now_ + options_.deadline;
    if (event.edit_id.empty() || event.delta.size() > kMaxEditBytes) {
      Finish(EditOutcome::kInvalid,
             {event.edit_id.empty()
                  ? std::string("edit_id is empty; expected a unique id")
                  : absl::StrCat("the edit has ", event.delta.size(),
                                 " bytes; at most ", kMaxEditBytes,
                                 " are allowed")});
      return;
    }
    auto delta = ParseConfigurationDelta(event.delta);
    absl::Status status = delta.status();
    if (status.ok()) {
      status = ApplyDelta(event.base, *delta).status();
    }
    if (!status.ok()) {
      Finish(EditOutcome::kInvalid, {std::string(status.message())});
    } else if (delta->empty()) {
      Finish(EditOutcome::kInvalid, {"the edit contains no changes"});
    } else {
      StartPhase(EditorPhase::kCreating);
    }
  }

  void operator()(const CreateResponse& event) {
    if (!IsAwaiting(EditorPhase::kCreating)) {
      return;
    }
    switch (event.outcome) {
      case CreateOutcome::kOk:
        state_.may_be_written = true;
        StartPhase(EditorPhase::kCheckingTruncation);
        break;
      case CreateOutcome::kConflict:
        if (event.existing) {
          HandleExistingEntry(*event.existing);
        } else {
          // An earlier process may have written the entry for this same edit.
          state_.may_be_written = true;
          StartPhase(EditorPhase::kReadingBack);
        }
        break;
      case CreateOutcome::kUnknown:
        state_.may_be_written = true;
        StartPhase(EditorPhase::kReadingBack);
        break;
      case CreateOutcome::kUnavailable:
        ScheduleRetry();
        break;
    }
  }

  void operator()(const EntryResponse& event) {
    if (!IsAwaiting(EditorPhase::kReadingBack)) {
      return;
    }
    if (!event.reachable) {
      ScheduleRetry();
    } else if (event.entry) {
      HandleExistingEntry(*event.entry);
    } else {
      // The create call without a response may still arrive. Creating the same
      // entry again is safe: the later of the two calls finds an entry with
      // this edit's id.
      state_.phase = EditorPhase::kCreating;
      ScheduleRetry();
    }
  }

  void operator()(const TruncationResponse& event) {
    if (!IsAwaiting(EditorPhase::kCheckingTruncation)) {
      return;
    }
    if (!event.reachable) {
      ScheduleRetry();
    } else if (event.truncated_through < state_.edit.version) {
      if (state_.conflicting_edit) {
        StartPhase(EditorPhase::kReadingConflictingEdits);
      } else {
        Finish(EditOutcome::kAccepted, {});
      }
    } else {
      // The entry of this version was deleted and could be created again, so
      // the entry found does not show which edit became this version.
      Finish(
          EditOutcome::kUnknown,
          {absl::StrCat("the log was truncated through version ",
                        event.truncated_through, " while version ",
                        state_.edit.version,
                        " was being written; read the configuration again")});
    }
  }

  void operator()(const EntriesResponse& event) {
    if (!IsAwaiting(EditorPhase::kReadingConflictingEdits)) {
      return;
    }
    std::vector<ConfigurationEdit> conflicting_edits;
    for (const ConfigurationEdit& it : event.edits) {
      if (it.version >= state_.edit.version) {
        conflicting_edits.push_back(it);
      }
    }
    if (conflicting_edits.empty()) {
      conflicting_edits.push_back(*state_.conflicting_edit);
    }
    Finish(EditOutcome::kConflict,
           DescribeConflict(state_.base, state_.edit, conflicting_edits));
  }

  void operator()(const EditorTick& /*event*/) {
    if (state_.phase == EditorPhase::kIdle ||
        state_.phase == EditorPhase::kFinished) {
      return;
    }
    if (now_ >= state_.deadline) {
      FinishAtDeadline();
    } else if (state_.retry_pending && now_ >= state_.next_retry) {
      StartPhase(state_.phase);
    }
  }

 private:
  bool IsAwaiting(EditorPhase phase) const {
    return state_.phase == phase && !state_.retry_pending;
  }

  // `entry` already exists under the version of this edit.
  void HandleExistingEntry(const ConfigurationEdit& entry) {
    if (entry.edit_id == state_.edit.edit_id) {
      state_.may_be_written = true;
    } else {
      state_.conflicting_edit = entry;
    }
    StartPhase(state_.may_be_written ? EditorPhase::kCheckingTruncation
                                     : EditorPhase::kReadingConflictingEdits);
  }

  // Enters `phase` and starts its call.
  void StartPhase(EditorPhase phase) {
    state_.phase = phase;
    state_.retry_pending = false;
    switch (phase) {
      case EditorPhase::kCreating:
        actions_.push_back(CreateEntry{state_.edit});
        break;
      case EditorPhase::kReadingBack:
        actions_.push_back(ReadEntry{state_.edit.version});
        break;
      case EditorPhase::kCheckingTruncation:
        actions_.push_back(ReadTruncation{});
        break;
      case EditorPhase::kReadingConflictingEdits:
        actions_.push_back(ReadEntriesAfter{state_.edit.version - 1});
        break;
      case EditorPhase::kIdle:
      case EditorPhase::kFinished:
        break;
    }
  }

  void ScheduleRetry() {
    const uint32_t doublings = std::min<uint32_t>(state_.failures++, 10);
    const Duration bound = std::min(options_.max_retry_delay,
                                    kInitialRetryDelay * (1 << doublings));
    const uint64_t random_value =
        CombineDigests(options_.seed, state_.failures);
    state_.next_retry =
        now_ + Duration(static_cast<int64_t>(
                   random_value %
                   static_cast<uint64_t>(std::max<int64_t>(bound.count(), 1))));
    state_.retry_pending = true;
    if (state_.next_retry >= state_.deadline) {
      FinishAtDeadline();
    }
  }

  void FinishAtDeadline() {
    if (state_.phase == EditorPhase::kReadingConflictingEdits) {
      Finish(EditOutcome::kConflict,
             DescribeConflict(state_.base, state_.edit,
                              {*state_.conflicting_edit}));
      return;
    }
    // A create call without a response may still take effect.
    const bool open =
        state_.phase == EditorPhase::kCreating && !state_.retry_pending;
    if (state_.may_be_written || open) {
      Finish(EditOutcome::kUnknown,
             {absl::StrCat("edit ", state_.edit.edit_id,
                           " may have been written as version ",
                           state_.edit.version,
                           "; search the history for its id")});
    } else {
      Finish(EditOutcome::kUnavailable,
             {"object API unreachable until the deadline; the edit was not "
              "written"});
    }
  }

  void Finish(EditOutcome outcome, std::vector<std::string> lines) {
    state_.phase = EditorPhase::kFinished;
    state_.retry_pending = false;
    state_.result.outcome = outcome;
    state_.result.version =
        outcome == EditOutcome::kAccepted ? state_.edit.version : 0;
    state_.result.explanation = std::move(lines);
    actions_.push_back(state_.result);
  }

  const EditorOptions& options_;
  const TimePoint now_;
  EditorState& state_;
  std::vector<EditorAction>& actions_;
};

}  // namespace

void StepEditor(const EditorOptions& options,
                const EditorEvent& event,
                TimePoint now,
                EditorState* state,
                std::vector<EditorAction>* actions) {
  std::visit(EditorTransition(options, now, state, actions), event);
}

std::string_view EditOutcomeName(EditOutcome outcome) {
  switch (outcome) {
    case EditOutcome::kAccepted:
      return "accepted";
    case EditOutcome::kInvalid:
      return "invalid";
    case EditOutcome::kConflict:
      return "conflict";
    case EditOutcome::kUnavailable:
      return "unavailable";
    case EditOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ErrorKind ErrorKindOf(EditOutcome outcome) {
  switch (outcome) {
    case EditOutcome::kInvalid:
      return ErrorKind::kInvalidSettings;
    case EditOutcome::kConflict:
      return ErrorKind::kConflict;
    case EditOutcome::kUnavailable:
      return ErrorKind::kObjectApiUnavailable;
    case EditOutcome::kUnknown:
      return ErrorKind::kOutcomeUnknown;
    case EditOutcome::kAccepted:
      break;
  }
  return ErrorKind::kInternal;
}

std::vector<std::string> DescribeConflict(
    const FleetConfiguration& base,
    const ConfigurationEdit& edit,
    const std::vector<ConfigurationEdit>& conflicting_edits) {
  std::vector<std::string> lines;
  std::vector<std::string> changed;
  FleetConfiguration current = base;
  for (size_t i = 0; i < conflicting_edits.size(); ++i) {
    const ConfigurationEdit& it = conflicting_edits[i];
    if (i == kMaxDescribedEdits) {
      lines.push_back(
          absl::StrCat("and ", conflicting_edits.size() - i, " more versions"));
      break;
    }
    lines.push_back(absl::StrCat("version ", it.version, " by ", it.author,
                                 " (edit ", it.edit_id, "):"));
    const auto delta = ParseConfigurationDelta(it.delta);
    if (!delta.ok()) {
      lines.emplace_back("  the delta cannot be parsed");
      continue;
    }
    for (const std::string& line : DescribeDelta(current, *delta)) {
      lines.push_back("  " + line);
    }
    const std::vector<std::string> names = ChangedNames(*delta);
    changed.insert(changed.end(), names.begin(), names.end());
    auto applied = ApplyDelta(current, *delta);
    if (applied.ok()) {
      current = *std::move(applied);
    }
  }
  bool overlaps = false;
  const auto own = ParseConfigurationDelta(edit.delta);
  if (own.ok()) {
    for (const std::string& name : ChangedNames(*own)) {
      if (std::find(changed.begin(), changed.end(), name) != changed.end()) {
        lines.push_back("both edits change " + name);
        overlaps = true;
      }
    }
  }
  if (!overlaps) {
    lines.emplace_back("no entry is changed by both edits");
  }
  return lines;
}

}  // namespace endiveyard
