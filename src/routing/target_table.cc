#include "routing/target_table.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {

namespace {

// Maximum number of leaving targets remembered while they are not listed. The
// next list clears them.
constexpr size_t kMaxLeavingUnlisted = 4096;

// Model in the pool key of targets without a load report; not a valid model
// name.
constexpr std::string_view kUnreportedModel = "\x01unreported";

uint64_t PoolKey(std::string_view house,
                 std::string_view service,
                 std::string_view model,
                 std::string_view adapter,
                 Role role) {
  uint64_t key = Digest64(house, static_cast<uint64_t>(role));
  key = CombineDigests(key, Digest64(service));
  key = CombineDigests(key, Digest64(model));
  return CombineDigests(key, Digest64(adapter));
}

}  // namespace

uint64_t CacheSalt(std::string_view house, std::string_view service) {
  return CombineDigests(Digest64(house), Digest64(service));
}

TargetTable::TargetTable(double prefill_seconds_per_token)
    : initial_prefill_seconds_per_token_(prefill_seconds_per_token) {}

Target* TargetTable::Find(std::string_view id) {
  const auto it = slot_by_id_.find(std::string(id));
  return it == slot_by_id_.end() ? nullptr : &targets_[it->second];
}

const Target* TargetTable::Find(std::string_view id) const {
  const auto it = slot_by_id_.find(std::string(id));
  return it == slot_by_id_.end() ? nullptr : &targets_[it->second];
}

void TargetTable::ApplyTargetList(const std::vector<TargetInfo>& targets) {
  std::vector<bool> seen(targets_.size());
  std::vector<std::string> leaving = std::move(leaving_unlisted_);
  leaving_unlisted_.clear();
  for (const TargetInfo& info : targets) {
    Target* found = Find(info.id);
    Target& target = found != nullptr ? *found : Create(info.id);
    if (target.slot < seen.size()) {
      seen[target.slot] = true;
    }
    const bool changed = !target.listed || target.info != info;
    if (target.info.address != info.address) {
      ++target.cache_epoch;  // another process has this id now
    }
    target.listed = true;
    target.leaving =
        target.leaving || info.state == ListedState::kLeaving ||
        std::find(leaving.begin(), leaving.end(), info.id) != leaving.end();
    if (changed) {
      target.info = info;
      target.cache_salt = CacheSalt(info.house, info.service);
      UpdatePools(target);
    }
    UpdateAvailability(target);
  }
  for (uint32_t i = 0; i < seen.size(); ++i) {
    Target& target = targets_[i];
    if (!seen[i] && target.listed) {
      target.listed = false;
      target.leaving = false;
      ++target.cache_epoch;
      RemoveFromPools(target);
      UpdateAvailability(target);
      RemoveIfUnused(target);
    }
  }
}

void TargetTable::MarkLeaving(std::string_view id) {
  Target* target = Find(id);
  if (target != nullptr && target->listed) {
    target->leaving = true;
    UpdateAvailability(*target);
  } else if (leaving_unlisted_.size() < kMaxLeavingUnlisted) {
    leaving_unlisted_.emplace_back(id);
  }
}

void TargetTable::UpdatePools(Target& target) {
  RemoveFromPools(target);
  const auto& adapters = target.load.adapters;
  AddToPool(target, "", "");
  for (const std::string& it : adapters) {
    AddToPool(target, "", it);
  }
  if (!target.has_report) {
    AddToPool(target, kUnreportedModel, "");
  } else if (!target.load.model.empty()) {
    AddToPool(target, target.load.model, "");
    for (const std::string& it : adapters) {
      AddToPool(target, target.load.model, it);
    }
  }
}

void TargetTable::UpdateAvailability(Target& target) {
  const bool available =
      target.listed && !target.leaving && !target.draining && !target.lost &&
      static_cast<int>(target.in_flight.size()) < target.concurrency_limit;
  if (available == target.available) {
    return;
  }
  target.available = available;
  for (const Target::Membership& it : target.memberships) {
    TargetPool& pool = *it.pool;
    if (available) {
      SwapMembers(pool, it.position, pool.available_count++);
    } else {
      SwapMembers(pool, it.position, --pool.available_count);
    }
  }
}

void TargetTable::RemoveIfUnused(Target& target) {
  if (target.listed || !target.in_flight.empty()) {
    return;
  }
  slot_by_id_.erase(target.info.id);
  free_slots_.push_back(target.slot);
}

const TargetTable::Pools* TargetTable::FindPools(const RouteRequest& request,
                                                 Role role,
                                                 bool unreported) const {
  const auto it = pools_by_key_.find(PoolKey(
      request.house, request.service,
      unreported ? kUnreportedModel : std::string_view(request.model),
      unreported ? std::string_view() : std::string_view(request.adapter),
      role));
  return it == pools_by_key_.end() ? nullptr : &it->second;
}

Target& TargetTable::Create(std::string_view id) {
  uint32_t slot = static_cast<uint32_t>(targets_.size());
  uint32_t epoch = 0;
  if (free_slots_.empty()) {
    targets_.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
    // Prefix index entries of the previous target in this slot must stay
    // invalid.
    epoch = targets_[slot].cache_epoch + 1;
    targets_[slot] = Target();
  }
  Target& target = targets_[slot];
  target.slot = slot;
  target.cache_epoch = epoch;
  target.prefill_seconds_per_token = initial_prefill_seconds_per_token_;
  slot_by_id_.emplace(std::string(id), slot);
  return target;
}

void TargetTable::AddToPool(Target& target,
                            std::string_view model,
                            std::string_view adapter) {
  Pools& pools = pools_by_key_[PoolKey(target.info.house, target.info.service,
                                       model, adapter, target.load.role)];
  auto it = std::find_if(pools.begin(), pools.end(), [&](const auto& b) {
    return b->region == target.info.region;
  });
  if (it == pools.end()) {
    it = pools.insert(it, std::make_unique<TargetPool>());
    (*it)->region = target.info.region;
  }
  TargetPool& pool = **it;
  const auto membership = static_cast<uint32_t>(target.memberships.size());
  const auto position = static_cast<uint32_t>(pool.members.size());
  pool.members.push_back({target.slot, membership});
  target.memberships.push_back({&pool, position});
  if (target.available) {
    SwapMembers(pool, position, pool.available_count++);
  }
}

void TargetTable::RemoveFromPools(Target& target) {
  for (const Target::Membership& it : target.memberships) {
    TargetPool& pool = *it.pool;
    size_t position = it.position;
    if (target.available) {
      SwapMembers(pool, position, --pool.available_count);
      position = pool.available_count;
    }
    SwapMembers(pool, position, pool.members.size() - 1);
    pool.members.pop_back();
  }
  target.memberships.clear();
}

void TargetTable::SwapMembers(TargetPool& pool, size_t a, size_t b) {
  std::swap(pool.members[a], pool.members[b]);
  for (size_t i : {a, b}) {
    const TargetPool::Member& member = pool.members[i];
    targets_[member.slot].memberships[member.membership].position =
        static_cast<uint32_t>(i);
  }
}

}  // namespace endiveyard
