#ifndef ENDIVEYARD_OBJECT_API_OBJECT_STORE_H_
#define ENDIVEYARD_OBJECT_API_OBJECT_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "endiveyard/object_api/object_api.h"

namespace endiveyard {

// In-memory store of versioned objects with a bounded change history. Back end
// of FakeObjectApi and ObjectApiStandin. Not thread-safe.
class ObjectStore {
 public:
  explicit ObjectStore(size_t history_limit = 10000)
      : history_limit_(history_limit) {}

  // Returns nullptr if the object does not exist. O(log n).
  const StoredObject* Get(const std::string& key) const;
  // O(log n + items).
  ObjectList List(const std::string& prefix) const;
  // O(log n).
  WriteResult PutIf(const std::string& key,
                    const std::string& value,
                    uint64_t if_version);
  WriteResult Delete(const std::string& key, uint64_t if_version);
  // Returns the changes after `since` without waiting. O(history).
  WatchResult EventsSince(const std::string& prefix, uint64_t since) const;
  // Discards the history, so that a watch from any earlier revision reports a
  // gap.
  void TruncateHistory();

  uint64_t revision() const { return revision_; }
  size_t size() const { return objects_.size(); }

 private:
  void AppendHistory(ObjectEvent event);

  size_t history_limit_;
  uint64_t revision_ = 0;
  uint64_t truncated_through_ = 0;  // history is complete after this revision
  std::map<std::string, StoredObject> objects_;
  std::deque<ObjectEvent> history_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_OBJECT_STORE_H_
