#ifndef ENDIVEYARD_OBJECT_API_FAKE_OBJECT_API_H_
#define ENDIVEYARD_OBJECT_API_FAKE_OBJECT_API_H_

#include <array>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "endiveyard/object_api/fault_table.h"
#include "endiveyard/object_api/object_api.h"
#include "endiveyard/object_api/object_store.h"

namespace endiveyard {

// In-memory object API for tests. It has no threads and never blocks: the
// clock moves only through Advance() and slow calls, and a watch returns at
// once. A slow call advances the clock by its delay. If the delay exceeds the
// timeout, a read fails, and a write takes effect but returns
// kOutcomeUnknown.
class FakeObjectApi : public ObjectApi {
 public:
  explicit FakeObjectApi(TimePoint start = TimePoint{},
                         size_t history_limit = 10000);

  absl::StatusOr<std::optional<StoredObject>> Get(const std::string& key,
                                                  Duration timeout) override;
  absl::StatusOr<ObjectList> List(const std::string& prefix,
                                  Duration timeout) override;
  WriteResult PutIf(const std::string& key,
                    const std::string& value,
                    uint64_t if_version,
                    Duration timeout) override;
  WriteResult Delete(const std::string& key,
                     uint64_t if_version,
                     Duration timeout) override;
  absl::StatusOr<WatchResult> Watch(const std::string& prefix,
                                    uint64_t since,
                                    Duration wait) override;
  absl::StatusOr<InstanceList> ListInstances(Duration timeout) override;

  void AddFault(FaultRule rule);
  void ClearFaults();
  void SetInstances(InstanceList list);
  void TruncateHistory();
  void Advance(Duration step);
  TimePoint now() const;
  // Number of calls received, including those that failed; kAny counts all.
  uint64_t calls(ObjectCallKind call) const;
  // Number of writes to `key` that took effect.
  uint64_t writes(const std::string& key) const;

 private:
  // Counts a call and returns the fault that applies to it. Advances the clock
  // for a slow call.
  FaultRule RecordCall(ObjectCallKind call, const std::string& key);
  WriteResult Write(ObjectCallKind call,
                    const std::string& key,
                    Duration timeout,
                    const std::function<WriteResult()>& effect);

  mutable std::mutex mutex_;
  TimePoint now_;
  ObjectStore store_;
  FaultTable faults_;
  InstanceList instance_list_;
  std::array<uint64_t, 7> call_counts_{};
  std::map<std::string, uint64_t> write_counts_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_FAKE_OBJECT_API_H_
