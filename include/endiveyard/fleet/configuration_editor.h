#ifndef ENDIVEYARD_FLEET_CONFIGURATION_EDITOR_H_
#define ENDIVEYARD_FLEET_CONFIGURATION_EDITOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "endiveyard/base/error_kind.h"
#include "endiveyard/base/time_point.h"
#include "endiveyard/fleet/configuration_edit.h"
#include "endiveyard/fleet/fleet_configuration.h"

namespace endiveyard {

struct EditorOptions {
  uint64_t seed = 1;
  Duration deadline = std::chrono::seconds(30);
  Duration max_retry_delay = std::chrono::seconds(2);
};

// Input events.

struct EditRequested {
  uint64_t base_version = 0;  // version that the edit is based on
  FleetConfiguration base;
  std::string edit_id;
  std::string author;
  std::string delta;
};
enum class CreateOutcome {
  kOk,
  kConflict,     // the version is already written, as `existing`
  kUnknown,      // the call may have taken effect or may still do so
  kUnavailable,  // the call did not and will not take effect
};
struct CreateResponse {
  CreateOutcome outcome = CreateOutcome::kUnknown;
  std::optional<ConfigurationEdit> existing;
};
// Responses to reads; `reachable` is false if the object API did not respond.
struct EntryResponse {
  bool reachable = false;
  std::optional<ConfigurationEdit> entry;  // nullopt: the entry does not exist
};
struct TruncationResponse {
  bool reachable = false;
  uint64_t truncated_through = 0;
};
struct EntriesResponse {
  bool reachable = false;
  std::vector<ConfigurationEdit> edits;
};
struct EditorTick {};

using EditorEvent = std::variant<EditRequested,
                                 CreateResponse,
                                 EntryResponse,
                                 TruncationResponse,
                                 EntriesResponse,
                                 EditorTick>;

enum class EditOutcome {
  kAccepted,
  kInvalid,      // rejected before any write
  kConflict,     // another edit took the version; this one has no effect
  kUnavailable,  // not written; this one has no effect
  kUnknown,      // may have taken effect: search the history for the edit id
};

// Output actions. Each of the first four is followed by one response event.

struct CreateEntry {
  ConfigurationEdit edit;
};
struct ReadEntry {
  uint64_t version = 0;
};
struct ReadTruncation {};
struct ReadEntriesAfter {
  uint64_t version = 0;
};
struct EditFinished {
  EditOutcome outcome = EditOutcome::kUnknown;
  uint64_t version = 0;                  // kAccepted: the new version
  std::vector<std::string> explanation;  // lines shown to the operator
};

using EditorAction = std::variant<CreateEntry,
                                  ReadEntry,
                                  ReadTruncation,
                                  ReadEntriesAfter,
                                  EditFinished>;

enum class EditorPhase {
  kIdle,
  kCreating,
  kReadingBack,
  kCheckingTruncation,
  kReadingConflictingEdits,
  kFinished,
};

// State of one edit, from the request to its outcome.
struct EditorState {
  EditorPhase phase = EditorPhase::kIdle;
  FleetConfiguration base;
  ConfigurationEdit edit;
  std::optional<ConfigurationEdit> conflicting_edit;
  bool may_be_written = false;  // a create call may have taken effect
  bool retry_pending = false;  // no call is open; the next starts at next_retry
  TimePoint next_retry;
  TimePoint deadline;
  uint32_t failures = 0;
  EditFinished result;
};

// Applies `event` at `now` and appends the actions to `actions`.
// Ignores a response that does not belong to the current phase.
void StepEditor(const EditorOptions& options,
                const EditorEvent& event,
                TimePoint now,
                EditorState* state,
                std::vector<EditorAction>* actions);

std::string_view EditOutcomeName(EditOutcome outcome);

// Error kind reported to the operator. Precondition: `outcome` is not
// kAccepted.
ErrorKind ErrorKindOf(EditOutcome outcome);

// Describes what `conflicting_edits` changed since `base`, and which entries
// and keys are changed both by them and by `edit`.
std::vector<std::string> DescribeConflict(
    const FleetConfiguration& base,
    const ConfigurationEdit& edit,
    const std::vector<ConfigurationEdit>& conflicting_edits);

}  // namespace endiveyard

#endif  // ENDIVEYARD_FLEET_CONFIGURATION_EDITOR_H_
