#include "endiveyard/instance/configuration_store.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <string>
#include <thread>
#include <utility>

#include "endiveyard/base/error_kind.h"

namespace endiveyard {
namespace {

constexpr char kLogPrefix[] = "config/log/";
constexpr char kSnapshotPrefix[] = "config/snapshot/";
constexpr char kTruncationKey[] = "config/truncated";
constexpr std::chrono::milliseconds kEditorTickInterval(50);

// Pads the number to a fixed width, so that keys sort in the order of numbers.
std::string NumberedKey(const char* prefix, uint64_t n) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%020" PRIu64, n);
  return std::string(prefix) + buf;
}

uint64_t ParseNumber(std::string_view text) {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

}  // namespace

ConfigurationStore::ConfigurationStore(ObjectApi* api, Duration timeout)
    : api_(api), timeout_(timeout) {}

absl::StatusOr<uint64_t> ConfigurationStore::TruncationMark() {
  const auto mark = api_->Get(kTruncationKey, timeout_);
  if (!mark.ok()) {
    return mark.status();
  }
  return mark->has_value() ? ParseNumber((*mark)->value) : 0;
}

absl::StatusOr<LogRead> ConfigurationStore::ReadAfter(uint64_t after) {
  LogRead read;
  for (uint64_t n = after + 1;; ++n) {
    const EntryResponse answer = ReadEntry(n);
    if (!answer.reachable) {
      return MakeError(ErrorKind::kObjectApiUnavailable,
                       "cannot read an entry of config/log/");
    }
    if (!answer.entry) {
      break;
    }
    read.edits.push_back(*answer.entry);
  }
  const auto mark = TruncationMark();
  if (!mark.ok()) {
    return mark.status();
  }
  read.truncated_through = *mark;
  if (read.truncated_through <= after) {
    return read;
  }
  const auto snapshots = api_->List(kSnapshotPrefix, timeout_);
  if (!snapshots.ok()) {
    return snapshots.status();
  }
  if (snapshots->items.empty()) {
    return MakeError(ErrorKind::kInternal,
                     "the configuration log is truncated, but there is no "
                     "snapshot under config/snapshot/");
  }
  const StoredObject& newest = snapshots->items.back();
  ConfigurationSnapshot snapshot;
  snapshot.version = ParseNumber(
      std::string_view(newest.key).substr(sizeof(kSnapshotPrefix) - 1));
  snapshot.text = newest.value;
  // If the entry `after` + 1 has been deleted, the loop above found no entries.
  // Reads those that follow the snapshot.
  if (read.edits.empty()) {
    for (uint64_t n = snapshot.version + 1;; ++n) {
      const EntryResponse answer = ReadEntry(n);
      if (!answer.reachable) {
        return MakeError(ErrorKind::kObjectApiUnavailable,
                         "cannot read an entry of config/log/");
      }
      if (!answer.entry) {
        break;
      }
      read.edits.push_back(*answer.entry);
    }
    const auto later_mark = TruncationMark();
    if (!later_mark.ok()) {
      return later_mark.status();
    }
    read.truncated_through = *later_mark;
  }
  read.snapshot = std::move(snapshot);
  return read;
}

absl::StatusOr<ReplicaState> ConfigurationStore::ReadAll(TimePoint now) {
  ReplicaState state;
  std::vector<ReplicaAction> actions;
  const ReplicaOptions options;
  StepReplica(options, ReplicaStarted{}, now, &state, &actions);
  auto read = ReadAfter(0);
  if (!read.ok()) {
    return read.status();
  }
  StepReplica(options, *read, now, &state, &actions);
  return state;
}

CreateResponse ConfigurationStore::Create(const ConfigurationEdit& edit) {
  CreateResponse answer;
  const std::string key = NumberedKey(kLogPrefix, edit.version);
  const WriteResult result =
      api_->PutIf(key, EncodeEdit(edit), /*if_version=*/0, timeout_);
  switch (result.outcome) {
    case WriteOutcome::kApplied:
      answer.outcome = CreateOutcome::kOk;
      break;
    case WriteOutcome::kConflict: {
      answer.outcome = CreateOutcome::kConflict;
      answer.existing = ReadEntry(edit.version).entry;
      if (!answer.existing) {
        answer.outcome = CreateOutcome::kUnknown;
      }
      break;
    }
    case WriteOutcome::kUnavailable:
    case WriteOutcome::kRateLimited:
    case WriteOutcome::kRejected:
      answer.outcome = CreateOutcome::kUnavailable;
      break;
    case WriteOutcome::kOutcomeUnknown:
      answer.outcome = CreateOutcome::kUnknown;
      break;
  }
  return answer;
}

EntryResponse ConfigurationStore::ReadEntry(uint64_t version) {
  EntryResponse answer;
  const auto object = api_->Get(NumberedKey(kLogPrefix, version), timeout_);
  if (!object.ok()) {
    return answer;
  }
  answer.reachable = true;
  if (object->has_value()) {
    const auto edit = DecodeEdit((*object)->value);
    if (edit.ok()) {
      answer.entry = *edit;
    }
  }
  return answer;
}

TruncationResponse ConfigurationStore::ReadTruncation() {
  const auto mark = TruncationMark();
  TruncationResponse answer;
  answer.reachable = mark.ok();
  answer.truncated_through = mark.ok() ? *mark : 0;
  return answer;
}

bool ConfigurationStore::WriteSnapshot(const ConfigurationSnapshot& snapshot) {
  const WriteResult result =
      api_->PutIf(NumberedKey(kSnapshotPrefix, snapshot.version), snapshot.text,
                  /*if_version=*/0, timeout_);
  return result.outcome == WriteOutcome::kApplied ||
         result.outcome == WriteOutcome::kConflict;
}

void ConfigurationStore::Truncate(uint64_t through) {
  const auto mark = api_->Get(kTruncationKey, timeout_);
  if (!mark.ok()) {
    return;
  }
  const uint64_t version = mark->has_value() ? (*mark)->version : 0;
  const uint64_t current = mark->has_value() ? ParseNumber((*mark)->value) : 0;
  if (current < through &&
      api_->PutIf(kTruncationKey, std::to_string(through), version, timeout_)
              .outcome != WriteOutcome::kApplied) {
    return;
  }
  for (const char* prefix : {kLogPrefix, kSnapshotPrefix}) {
    const auto list = api_->List(prefix, timeout_);
    if (!list.ok()) {
      return;
    }
    for (const StoredObject& it : list->items) {
      const std::string_view number =
          std::string_view(it.key).substr(std::string_view(prefix).size());
      if (ParseNumber(number) > through) {
        break;
      }
      if (api_->Delete(it.key, it.version, timeout_).outcome !=
          WriteOutcome::kApplied) {
        return;
      }
    }
  }
}

EditFinished ConfigurationStore::Edit(const EditRequested& request,
                                      const EditorOptions& options) {
  EditorState state;
  std::vector<EditorAction> actions;
  StepEditor(options, request, BootClock::now(), &state, &actions);
  while (true) {
    if (actions.empty()) {
      std::this_thread::sleep_for(kEditorTickInterval);
      StepEditor(options, EditorTick{}, BootClock::now(), &state, &actions);
      continue;
    }
    const std::vector<EditorAction> pending = std::exchange(actions, {});
    for (const EditorAction& it : pending) {
      if (const auto* finished = std::get_if<EditFinished>(&it)) {
        return *finished;
      }
      EditorEvent event = EditorTick{};
      if (const auto* create = std::get_if<CreateEntry>(&it)) {
        event = Create(create->edit);
      } else if (const auto* entry = std::get_if<struct ReadEntry>(&it)) {
        event = ReadEntry(entry->version);
      } else if (std::holds_alternative<struct ReadTruncation>(it)) {
        event = ReadTruncation();
      } else if (const auto* after = std::get_if<ReadEntriesAfter>(&it)) {
        const auto read = ReadAfter(after->version);
        EntriesResponse answer;
        answer.reachable = read.ok();
        if (read.ok()) {
          answer.edits = read->edits;
        }
        event = answer;
      }
      StepEditor(options, event, BootClock::now(), &state, &actions);
    }
  }
}

}  // namespace endiveyard
