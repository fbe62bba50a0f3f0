#include "endiveyard/object_api/object_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"

namespace endiveyard {

const StoredObject* ObjectStore::Get(const std::string& key) const {
  const auto it = objects_.find(key);
  return it == objects_.end() ? nullptr : &it->second;
}

ObjectList ObjectStore::List(const std::string& prefix) const {
  ObjectList list;
  list.revision = revision_;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && absl::StartsWith(it->first, prefix); ++it) {
    list.items.push_back(it->second);
  }
  return list;
}

WriteResult ObjectStore::PutIf(const std::string& key,
                               const std::string& value,
                               uint64_t if_version) {
  WriteResult result;
  if (key.empty() || value.size() > kMaxObjectBytes) {
    result.outcome = WriteOutcome::kRejected;
    result.detail =
        key.empty() ? "empty key" : "value is larger than 1000000 bytes";
    return result;
  }
  const StoredObject* current = Get(key);
  const uint64_t version = current == nullptr ? 0 : current->version;
  if (version != if_version) {
    result.outcome = WriteOutcome::kConflict;
    result.version = version;
    return result;
  }
  // The version is the store revision, so an object that is deleted and created
  // again never gets one of its earlier versions.
  const StoredObject object{key, ++revision_, value};
  objects_[key] = object;
  AppendHistory({ObjectEventKind::kPut, revision_, object});
  result.outcome = WriteOutcome::kApplied;
  result.version = revision_;
  return result;
}

WriteResult ObjectStore::Delete(const std::string& key, uint64_t if_version) {
  WriteResult result;
  const StoredObject* current = Get(key);
  const uint64_t version = current == nullptr ? 0 : current->version;
  if (if_version == 0) {
    result.outcome = WriteOutcome::kRejected;
    result.detail = "if_version must not be 0";
    return result;
  }
  if (version != if_version) {
    result.outcome = WriteOutcome::kConflict;
    result.version = version;
    return result;
  }
  objects_.erase(key);
  AppendHistory({ObjectEventKind::kDelete, ++revision_, {key, revision_, ""}});
  result.outcome = WriteOutcome::kApplied;
  result.version = revision_;
  return result;
}

WatchResult ObjectStore::EventsSince(const std::string& prefix,
                                     uint64_t since) const {
  WatchResult result;
  result.revision = revision_;
  // A revision above the current one comes from a store that was replaced.
  if (since < truncated_through_ || since > revision_) {
    result.gap = true;
    return result;
  }
  const auto first = std::upper_bound(
      history_.begin(), history_.end(), since,
      [](uint64_t n, const ObjectEvent& it) { return n < it.revision; });
  std::copy_if(first, history_.end(), std::back_inserter(result.events),
               [&](const ObjectEvent& it) {
                 return absl::StartsWith(it.object.key, prefix);
               });
  return result;
}

void ObjectStore::TruncateHistory() {
  // The revision advances so that a watcher at the latest revision also gets
  // the gap.
  truncated_through_ = ++revision_;
  history_.clear();
}

void ObjectStore::AppendHistory(ObjectEvent event) {
  history_.push_back(std::move(event));
  if (history_.size() > history_limit_) {
    truncated_through_ = history_.front().revision;
    history_.pop_front();
  }
}

}  // namespace endiveyard
