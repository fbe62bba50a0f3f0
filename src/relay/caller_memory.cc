#include "relay/caller_memory.h"

#include <algorithm>
#include <chrono>

namespace endiveyard {
namespace {

// A request takes at most the free memory divided by this.
constexpr size_t kFreeDivisor = 2;
// Requests of one route are at most this many times those that are free.
constexpr size_t kRouteFactor = 8;

// Memory held, times the milliseconds since the last progress.
double WeightOf(const CallerMemory::Entry& entry, TimePoint now) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      now - entry.progressed)
                      .count();
  return static_cast<double>(entry.bytes) *
         static_cast<double>(std::max<int64_t>(ms, 1));
}

}  // namespace

CallerMemory::Handle CallerMemory::Add(CallerMemoryHolder* holder,
                                       TimePoint now) {
  std::list<Entry>& idle = ListOf(CallerStage::kIdle);
  idle.push_back({holder, CallerStage::kIdle, kConnectionBytes, now});
  total_ += kConnectionBytes;
  return std::prev(idle.end());
}

void CallerMemory::Remove(Handle entry) {
  total_ -= entry->bytes;
  ListOf(entry->stage).erase(entry);
}

void CallerMemory::Update(Handle entry, CallerStage stage, size_t bytes) {
  total_ = total_ - entry->bytes + bytes;
  entry->bytes = bytes;
  if (entry->stage != stage) {
    std::list<Entry>& to = ListOf(stage);
    to.splice(to.end(), ListOf(entry->stage), entry);
    entry->stage = stage;
  }
}

void CallerMemory::Refresh() {
  std::vector<CallerMemoryHolder*> holders;
  for (const std::list<Entry>& stage : entries_) {
    for (const Entry& it : stage) {
      holders.push_back(it.holder);
    }
  }
  for (CallerMemoryHolder* it : holders) {
    it->RefreshMemory();
  }
}

bool CallerMemory::Admits(size_t bytes, size_t held) const {
  const size_t others = total_ - std::min(held, total_);
  return others < limit_ && bytes <= (limit_ - others) / kFreeDivisor;
}

std::vector<CallerMemoryHolder*> CallerMemory::ChooseToClose(
    size_t target,
    TimePoint now,
    bool spares_serving) const {
  std::vector<CallerMemoryHolder*> chosen;
  size_t left = total_;
  const auto choose = [&](const Entry& entry) {
    left -= std::min(left, entry.bytes);
    chosen.push_back(entry.holder);
  };
  const std::list<Entry>& idle = ListOf(CallerStage::kIdle);
  auto next_idle = idle.begin();
  for (; next_idle != idle.end() && left > target &&
         now - next_idle->progressed >= kFreshTime;
       ++next_idle) {
    choose(*next_idle);
  }
  std::vector<std::pair<double, const Entry*>> ranked;
  const auto choose_ranked = [&](size_t until) {
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& it : ranked) {
      if (left <= until) {
        break;
      }
      choose(*it.second);
    }
    ranked.clear();
  };
  if (left > target) {
    for (const CallerStage stage :
         {CallerStage::kReceiving, CallerStage::kSending}) {
      for (const Entry& it : ListOf(stage)) {
        ranked.emplace_back(WeightOf(it, now), &it);
      }
    }
    choose_ranked(target);
  }
  for (; next_idle != idle.end() && left > target; ++next_idle) {
    choose(*next_idle);
  }
  if (left > limit_ && !spares_serving) {
    for (const Entry& it : ListOf(CallerStage::kServing)) {
      ranked.emplace_back(static_cast<double>(it.bytes), &it);
    }
    choose_ranked(limit_);
  }
  return chosen;
}

CallerMemoryHolder* CallerMemory::ChooseForNewConnection(TimePoint now) const {
  const std::list<Entry>& idle = ListOf(CallerStage::kIdle);
  if (!idle.empty() && now - idle.front().progressed >= kFreshTime) {
    return idle.front().holder;
  }
  for (const CallerStage stage :
       {CallerStage::kReceiving, CallerStage::kSending, CallerStage::kIdle}) {
    if (!ListOf(stage).empty()) {
      return ListOf(stage).front().holder;
    }
  }
  return nullptr;
}

bool OpenRequests::Admits(const std::string& route, bool pipelined) const {
  if (total_ >= (pipelined ? limit_ / 2 : limit_)) {
    return false;
  }
  const auto it = by_route_.find(route);
  return it == by_route_.end() || it->second < kRouteFactor * (limit_ - total_);
}

void OpenRequests::Start(const std::string& route) {
  ++total_;
  ++by_route_[route];
}

void OpenRequests::End(const std::string& route) {
  --total_;
  const auto it = by_route_.find(route);
  if (--it->second == 0) {
    by_route_.erase(it);
  }
}

}  // namespace endiveyard
