#ifndef ENDIVEYARD_OBJECT_API_OBJECT_STORE_H_
#define ENDIVEYARD_OBJECT_API_OBJECT_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "endiveyard/object_api/object_api.h"

namespace endiveyard {

// Objects with versions and a bounded history, in memory. Serves the fake
// and the stand-in; not thread-safe.
class ObjectStore {
 public:
  explicit ObjectStore(size_t history_limit = 10000)
      : history_limit_(history_limit) {}

  // Returns nullptr when there is no such object. O(log n).
  const StoredObject* Get(const std::string& key) const;
  // O(log n + items).
  ObjectList List(const std::string& prefix) const;
  // O(log n).
  WriteResult PutIf(const std::string& key,
                    const std::string& value,
                    uint64_t if_version);
  WriteResult Delete(const std::string& key, uint64_t if_version);
  // Returns what changed after `since`, without waiting. O(history).
  WatchResult EventsSince(const std::string& prefix, uint64_t since) const;
  // Forgets the history, so that every older watch reports a gap.
  void DropHistory();

  uint64_t revision() const { return revision_; }
  size_t size() const { return objects_.size(); }

 private:
  void Remember(ObjectEvent event);

  size_t history_limit_;
  uint64_t revision_ = 0;
  uint64_t oldest_ = 0;  // history is complete after this revision
  std::map<std::string, StoredObject> objects_;
  std::deque<ObjectEvent> history_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_OBJECT_STORE_H_
