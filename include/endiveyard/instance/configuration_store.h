#ifndef ENDIVEYARD_INSTANCE_CONFIGURATION_STORE_H_
#define ENDIVEYARD_INSTANCE_CONFIGURATION_STORE_H_

#include <cstdint>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "endiveyard/fleet/configuration_edit.h"
#include "endiveyard/fleet/configuration_editor.h"
#include "endiveyard/fleet/configuration_replica.h"
#include "endiveyard/object_api/object_api.h"

namespace endiveyard {

// Reads and writes the fleet configuration in the object API: the log entries
// config/log/<n>, the snapshots config/snapshot/<n> and the truncation mark
// config/truncated, up to whose number entries and snapshots may be deleted.
// Each call to the object API blocks for up to `timeout`.
class ConfigurationStore {
 public:
  // Precondition: `api` outlives the store.
  ConfigurationStore(ObjectApi* api, Duration timeout);

  // Reads the entries above `after`, then the truncation mark, then, if the
  // mark is above `after`, the newest snapshot. Makes one call for each entry,
  // and a few more for the rest. Errors: kObjectApiUnavailable, kInternal.
  absl::StatusOr<LogRead> ReadAfter(uint64_t after);

  // Reads the log from its start and returns the resulting state.
  absl::StatusOr<ReplicaState> ReadAll(TimePoint now);

  // Creates the log entry of `edit`. If the number is taken, reads the existing
  // entry with a second call.
  CreateResponse Create(const ConfigurationEdit& edit);
  // These make one call each.
  EntryResponse ReadEntry(uint64_t version);
  TruncationResponse ReadTruncation();

  // Returns false if the object API did not confirm that the snapshot exists.
  bool WriteSnapshot(const ConfigurationSnapshot& snapshot);

  // Raises the truncation mark to `through`, then deletes the entries and
  // snapshots numbered up to `through`. Stops at the first failure; the next
  // truncation deletes what is left.
  void Truncate(uint64_t through);

  // Runs one edit until it has an outcome, waiting between retries.
  EditFinished Edit(const EditRequested& request, const EditorOptions& options);

 private:
  absl::StatusOr<uint64_t> TruncationMark();

  ObjectApi* const api_;
  const Duration timeout_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_INSTANCE_CONFIGURATION_STORE_H_
