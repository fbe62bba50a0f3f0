#include "routing/prefix_index.h"

#include <algorithm>

namespace endiveyard {

namespace {

constexpr size_t kInitialBuckets = 64;

bool SlotLess(PrefixHolder a, PrefixHolder b) {
  return a.slot < b.slot;
}

}  // namespace

bool HolderSpan::Contains(PrefixHolder holder) const {
  if (size_ <= PrefixIndex::kInlineHolders) {
    return std::find(begin(), end(), holder) != end();
  }
  const PrefixHolder* it = std::lower_bound(begin(), end(), holder, SlotLess);
  return it != end() && *it == holder;
}

PrefixIndex::PrefixIndex(size_t max_entries)
    : max_entries_(std::max<size_t>(1, max_entries)),
      buckets_(kInitialBuckets, kNone) {}

void PrefixIndex::Add(uint64_t block_hash, PrefixHolder holder) {
  uint32_t node = FindNode(block_hash);
  if (node == kNone) {
    node = CreateNode(block_hash);
  } else {
    RemoveFromLru(node);
  }
  AppendToLru(node);
  Node& entry = nodes_[node];
  const bool full = entry.holders.back().slot != UINT32_MAX;
  const bool known =
      std::any_of(entry.holders.begin(), entry.holders.end(),
                  [&](PrefixHolder it) { return it.slot == holder.slot; });
  if (entry.overflow_list == kNone && full && !known &&
      overflow_holders_ + kInlineHolders < max_entries_) {
    MoveToOverflowList(entry);
  }
  if (entry.overflow_list == kNone) {
    AddInline(entry, holder);
  } else {
    AddToOverflowList(entry, holder);
  }
}

void PrefixIndex::Remove(uint64_t block_hash, uint32_t slot) {
  const uint32_t node = FindNode(block_hash);
  if (node == kNone) {
    return;
  }
  Node& entry = nodes_[node];
  const auto is_target = [slot](PrefixHolder it) { return it.slot == slot; };
  bool empty = false;
  if (entry.overflow_list != kNone) {
    std::vector<PrefixHolder>& overflow_list =
        overflow_lists_[entry.overflow_list];
    const auto end =
        std::remove_if(overflow_list.begin(), overflow_list.end(), is_target);
    overflow_holders_ -= overflow_list.end() - end;
    overflow_list.erase(end, overflow_list.end());
    empty = overflow_list.empty();
  } else {
    const auto end =
        std::remove_if(entry.holders.begin(), entry.holders.end(), is_target);
    std::fill(end, entry.holders.end(), PrefixHolder());
    empty = entry.holders.front().slot == UINT32_MAX;
  }
  if (empty) {
    Erase(node);
  }
}

HolderSpan PrefixIndex::Find(uint64_t block_hash) const {
  const uint32_t node = FindNode(block_hash);
  if (node == kNone) {
    return {};
  }
  const Node& entry = nodes_[node];
  if (entry.overflow_list != kNone) {
    return {overflow_lists_[entry.overflow_list].data(),
            overflow_lists_[entry.overflow_list].size()};
  }
  size_t size = 0;
  while (size < entry.holders.size() &&
         entry.holders[size].slot != UINT32_MAX) {
    ++size;
  }
  return {entry.holders.data(), size};
}

// Inserts the holder at the front. Overwrites the entry of the same target or
// the first unused element if there is one, otherwise the oldest holder.
void PrefixIndex::AddInline(Node& node, PrefixHolder holder) {
  auto& holders = node.holders;
  size_t last = 0;
  while (last + 1 < holders.size() && holders[last].slot != holder.slot &&
         holders[last].slot != UINT32_MAX) {
    ++last;
  }
  std::copy_backward(holders.begin(), holders.begin() + last,
                     holders.begin() + last + 1);
  holders[0] = holder;
}

void PrefixIndex::AddToOverflowList(Node& node, PrefixHolder holder) {
  std::vector<PrefixHolder>& overflow_list =
      overflow_lists_[node.overflow_list];
  const auto it = std::lower_bound(overflow_list.begin(), overflow_list.end(),
                                   holder, SlotLess);
  if (it != overflow_list.end() && it->slot == holder.slot) {
    *it = holder;
  } else if (overflow_list.size() < kMaxHolders &&
             overflow_holders_ < max_entries_) {
    overflow_list.insert(it, holder);
    ++overflow_holders_;
  }
}

void PrefixIndex::MoveToOverflowList(Node& node) {
  if (free_overflow_lists_.empty()) {
    free_overflow_lists_.push_back(
        static_cast<uint32_t>(overflow_lists_.size()));
    overflow_lists_.emplace_back();
  }
  node.overflow_list = free_overflow_lists_.back();
  free_overflow_lists_.pop_back();
  overflow_lists_[node.overflow_list].assign(node.holders.begin(),
                                             node.holders.end());
  std::sort(overflow_lists_[node.overflow_list].begin(),
            overflow_lists_[node.overflow_list].end(), SlotLess);
  overflow_holders_ += node.holders.size();
}

uint32_t PrefixIndex::FindNode(uint64_t block_hash) const {
  uint32_t node = buckets_[block_hash & (buckets_.size() - 1)];
  while (node != kNone && nodes_[node].block_hash != block_hash) {
    node = nodes_[node].next_in_bucket;
  }
  return node;
}

uint32_t PrefixIndex::CreateNode(uint64_t block_hash) {
  if (size() >= max_entries_) {
    Erase(oldest_);
  }
  uint32_t node = 0;
  if (free_nodes_.empty()) {
    if (nodes_.size() >= buckets_.size()) {
      DoubleBuckets();
    }
    node = static_cast<uint32_t>(nodes_.size());
    nodes_.emplace_back();
  } else {
    node = free_nodes_.back();
    free_nodes_.pop_back();
    nodes_[node] = Node();
  }
  nodes_[node].block_hash = block_hash;
  uint32_t& bucket = Bucket(block_hash);
  nodes_[node].next_in_bucket = bucket;
  bucket = node;
  return node;
}

void PrefixIndex::Erase(uint32_t node) {
  RemoveFromLru(node);
  uint32_t* it = &Bucket(nodes_[node].block_hash);
  while (*it != node) {
    it = &nodes_[*it].next_in_bucket;
  }
  *it = nodes_[node].next_in_bucket;
  const uint32_t overflow_list = nodes_[node].overflow_list;
  if (overflow_list != kNone) {
    overflow_holders_ -= overflow_lists_[overflow_list].size();
    overflow_lists_[overflow_list] = std::vector<PrefixHolder>();
    free_overflow_lists_.push_back(overflow_list);
  }
  free_nodes_.push_back(node);
}

void PrefixIndex::AppendToLru(uint32_t node) {
  nodes_[node].older = newest_;
  nodes_[node].newer = kNone;
  if (newest_ != kNone) {
    nodes_[newest_].newer = node;
  }
  newest_ = node;
  if (oldest_ == kNone) {
    oldest_ = node;
  }
}

void PrefixIndex::RemoveFromLru(uint32_t node) {
  const uint32_t newer = nodes_[node].newer;
  const uint32_t older = nodes_[node].older;
  (newer == kNone ? newest_ : nodes_[newer].older) = older;
  (older == kNone ? oldest_ : nodes_[older].newer) = newer;
}

void PrefixIndex::DoubleBuckets() {
  buckets_.assign(buckets_.size() * 2, kNone);
  nodes_.reserve(std::min(buckets_.size(), max_entries_));
  for (uint32_t i = 0; i < nodes_.size(); ++i) {
    uint32_t& bucket = Bucket(nodes_[i].block_hash);
    nodes_[i].next_in_bucket = bucket;
    bucket = i;
  }
}

uint32_t& PrefixIndex::Bucket(uint64_t block_hash) {
  return buckets_[block_hash & (buckets_.size() - 1)];
}

}  // namespace endiveyard
