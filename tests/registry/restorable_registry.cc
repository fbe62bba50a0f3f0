#include "restorable_registry.h"

#include <utility>

namespace endiveyard {
namespace {

constexpr int64_t kMaxCallMs = 400;
constexpr Duration kWatchInterval = std::chrono::milliseconds(20);
constexpr size_t kItemsPerPage = 2;

}  // namespace

void SimulatedTime::RunUntil(TimePoint end) {
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto it = events_.begin();
    now_ = it->first;
    const std::function<void()> action = std::move(it->second);
    events_.erase(it);
    action();
  }
  now_ = end;
}

void RestorableRegistry::Change(RegistryObject object) {
  object.revision = ++state_.revision;
  state_.history.push_back(object);
  if (object.deleted) {
    state_.objects.erase(object.name);
  } else {
    state_.objects[object.name] = object;
  }
}

void RestorableRegistry::Put(const std::string& name, const std::string& spec) {
  const auto it = state_.objects.find(name);
  if (it == state_.objects.end() || it->second.spec != spec) {
    Change({name, spec, false, 0});
  }
}

void RestorableRegistry::Delete(const std::string& name) {
  if (state_.objects.count(name) > 0) {
    Change({name, "", true, 0});
  }
}

void RestorableRegistry::Restore() {
  state_ = copy_;
  ++era_;
}

Duration RestorableRegistry::RandomDelay(int64_t max_ms) {
  return std::chrono::milliseconds(random_() % static_cast<uint64_t>(max_ms) +
                                   1);
}

void RestorableRegistry::ListPage(
    const std::string& /*kind*/,
    const std::string& after,
    std::function<void(absl::StatusOr<RegistryPage>)> done) {
  time_->Schedule(
      RandomDelay(kMaxCallMs), [this, after, done = std::move(done)] {
        RegistryPage page;
        page.revision = state_.revision;
        page.era = era_;
        for (auto it = state_.objects.upper_bound(after);
             it != state_.objects.end(); ++it) {
          if (page.items.size() == kItemsPerPage) {
            page.has_more = true;
            break;
          }
          page.items.push_back(it->second);
        }
        time_->Schedule(RandomDelay(kMaxCallMs), [page, done] { done(page); });
      });
}

void RestorableRegistry::ContinueWatch(
    int64_t revision,
    TimePoint deadline,
    const std::function<void(absl::StatusOr<RegistryChanges>)>& done) {
  const auto answer = [&](absl::StatusOr<RegistryChanges> changes) {
    time_->Schedule(RandomDelay(kMaxCallMs),
                    [changes = std::move(changes), done] { done(changes); });
  };
  if (revision > state_.revision) {
    answer(absl::OutOfRangeError("gone"));
    return;
  }
  RegistryChanges changes;
  changes.revision = state_.revision;
  changes.era = era_;
  for (const RegistryObject& it : state_.history) {
    if (it.revision > revision) {
      changes.objects.push_back(it);
    }
  }
  if (!changes.objects.empty() || time_->now() >= deadline) {
    answer(std::move(changes));
    return;
  }
  const int64_t era = era_;
  time_->Schedule(kWatchInterval, [this, revision, deadline, done, era] {
    if (era != era_) {
      // The restore has cut the watch.
      done(absl::UnavailableError("cut"));
    } else {
      ContinueWatch(revision, deadline, done);
    }
  });
}

void RestorableRegistry::Watch(
    const std::string& /*kind*/,
    int64_t revision,
    Duration timeout,
    std::function<void(absl::StatusOr<RegistryChanges>)> done) {
  time_->Schedule(RandomDelay(kMaxCallMs),
                  [this, revision, timeout, done = std::move(done)] {
                    ContinueWatch(revision, time_->now() + timeout, done);
                  });
}

}  // namespace endiveyard
