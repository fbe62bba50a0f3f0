#include "routing/prefix_view.h"

#include <algorithm>

namespace endiveyard {

namespace {

constexpr size_t kInitialBuckets = 64;

bool IsEmpty(const BlockHolders& holders) {
  return std::all_of(holders.begin(), holders.end(),
                     [](PrefixHolder it) { return it.slot == UINT32_MAX; });
}

}  // namespace

PrefixView::PrefixView(size_t max_entries)
    : max_entries_(std::max<size_t>(1, max_entries)),
      buckets_(kInitialBuckets, kNone) {}

void PrefixView::Add(uint64_t block, PrefixHolder holder) {
  uint32_t node = FindNode(block);
  if (node == kNone) {
    node = NewNode(block);
  } else {
    Unlink(node);
  }
  Link(node);
  // Moves the holder to the front; an older epoch of the same target, or else
  // the last place, is overwritten.
  BlockHolders& holders = nodes_[node].holders;
  size_t last = 0;
  while (last + 1 < holders.size() && holders[last].slot != holder.slot &&
         holders[last].slot != UINT32_MAX) {
    ++last;
  }
  std::copy_backward(holders.begin(), holders.begin() + last,
                     holders.begin() + last + 1);
  holders[0] = holder;
}

void PrefixView::Remove(uint64_t block, uint32_t slot) {
  const uint32_t node = FindNode(block);
  if (node == kNone) {
    return;
  }
  BlockHolders& holders = nodes_[node].holders;
  const auto end =
      std::remove_if(holders.begin(), holders.end(),
                     [slot](PrefixHolder it) { return it.slot == slot; });
  std::fill(end, holders.end(), PrefixHolder());
  if (IsEmpty(holders)) {
    Erase(node);
  }
}

const BlockHolders* PrefixView::Find(uint64_t block) const {
  const uint32_t node = FindNode(block);
  return node == kNone ? nullptr : &nodes_[node].holders;
}

uint32_t PrefixView::FindNode(uint64_t block) const {
  uint32_t node = buckets_[block & (buckets_.size() - 1)];
  while (node != kNone && nodes_[node].block != block) {
    node = nodes_[node].chain;
  }
  return node;
}

uint32_t PrefixView::NewNode(uint64_t block) {
  if (size() >= max_entries_) {
    Erase(oldest_);
  }
  uint32_t node = 0;
  if (free_.empty()) {
    if (nodes_.size() >= buckets_.size()) {
      Grow();
    }
    node = static_cast<uint32_t>(nodes_.size());
    nodes_.emplace_back();
  } else {
    node = free_.back();
    free_.pop_back();
    nodes_[node] = Node();
  }
  nodes_[node].block = block;
  uint32_t& bucket = Bucket(block);
  nodes_[node].chain = bucket;
  bucket = node;
  return node;
}

void PrefixView::Erase(uint32_t node) {
  Unlink(node);
  uint32_t* it = &Bucket(nodes_[node].block);
  while (*it != node) {
    it = &nodes_[*it].chain;
  }
  *it = nodes_[node].chain;
  free_.push_back(node);
}

void PrefixView::Link(uint32_t node) {
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

void PrefixView::Unlink(uint32_t node) {
  const uint32_t newer = nodes_[node].newer;
  const uint32_t older = nodes_[node].older;
  (newer == kNone ? newest_ : nodes_[newer].older) = older;
  (older == kNone ? oldest_ : nodes_[older].newer) = newer;
}

void PrefixView::Grow() {
  buckets_.assign(buckets_.size() * 2, kNone);
  nodes_.reserve(std::min(buckets_.size(), max_entries_));
  for (uint32_t i = 0; i < nodes_.size(); ++i) {
    uint32_t& bucket = Bucket(nodes_[i].block);
    nodes_[i].chain = bucket;
    bucket = i;
  }
}

uint32_t& PrefixView::Bucket(uint64_t block) {
  return buckets_[block & (buckets_.size() - 1)];
}

}  // namespace endiveyard
