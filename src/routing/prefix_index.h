#ifndef ENDIVEYARD_ROUTING_PREFIX_INDEX_H_
#define ENDIVEYARD_ROUTING_PREFIX_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace endiveyard {

// Identifies a target whose cache holds a block. All entries of a target are
// invalidated by incrementing its epoch; holders with an older epoch are
// ignored.
struct PrefixHolder {
  uint32_t slot = UINT32_MAX;
  uint32_t epoch = 0;

  friend bool operator==(PrefixHolder a, PrefixHolder b) {
    return a.slot == b.slot && a.epoch == b.epoch;
  }
};

// Holders of one block, in no particular order. Valid until the index changes.
class HolderSpan {
 public:
  HolderSpan() = default;
  HolderSpan(const PrefixHolder* first, size_t size)
      : first_(first), size_(size) {}

  const PrefixHolder* begin() const { return first_; }
  const PrefixHolder* end() const { return first_ + size_; }
  const PrefixHolder& operator[](size_t i) const { return first_[i]; }
  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  // O(log size).
  bool Contains(PrefixHolder holder) const;

 private:
  const PrefixHolder* first_ = nullptr;
  size_t size_ = 0;
};

// Bounded hash map from block hash to the targets that hold the block. Evicts
// the least recently added block. Uses about 60 bytes per entry, plus 8 bytes
// per holder in entries with more than kInlineHolders.
class PrefixIndex {
 public:
  // Number of holders stored in the entry itself. Entries with more holders
  // store all of them in a sorted overflow list.
  static constexpr size_t kInlineHolders = 4;
  // Maximum number of holders of one block. An instance tracks about 800
  // targets.
  static constexpr size_t kMaxHolders = 1024;

  // Precondition: 1 <= max_entries < UINT32_MAX.
  explicit PrefixIndex(size_t max_entries);

  // Adds a holder and makes the block the most recently used. O(1) for an
  // entry with inline holders or a known holder, else O(holders). Replaces
  // the oldest inline holder once all overflow lists together hold max_entries.
  void Add(uint64_t block_hash, PrefixHolder holder);
  // Removes the target in `slot` from the holders of the block, whatever its
  // epoch. O(holders).
  void Remove(uint64_t block_hash, uint32_t slot);
  // Returns the holders of the block. Does not affect the eviction order. O(1).
  HolderSpan Find(uint64_t block_hash) const;

  size_t size() const { return nodes_.size() - free_nodes_.size(); }

 private:
  // Nodes refer to each other by 32-bit index instead of by pointer, which
  // halves the size of the links.
  struct Node {
    uint64_t block_hash = 0;
    // Most recently added first; unused elements have slot UINT32_MAX.
    std::array<PrefixHolder, kInlineHolders> holders;
    uint32_t newer = kNone;
    uint32_t older = kNone;
    uint32_t next_in_bucket = kNone;
    // Index in overflow_lists_ once `holders` has been too small.
    uint32_t overflow_list = kNone;
  };
  static constexpr uint32_t kNone = UINT32_MAX;

  uint32_t FindNode(uint64_t block_hash) const;
  uint32_t CreateNode(uint64_t block_hash);
  void Erase(uint32_t node);
  void AppendToLru(uint32_t node);
  void RemoveFromLru(uint32_t node);
  void DoubleBuckets();
  void AddInline(Node& node, PrefixHolder holder);
  void AddToOverflowList(Node& node, PrefixHolder holder);
  void MoveToOverflowList(Node& node);
  uint32_t& Bucket(uint64_t block_hash);

  size_t max_entries_;
  std::vector<Node> nodes_;
  std::vector<uint32_t> free_nodes_;
  std::vector<std::vector<PrefixHolder>> overflow_lists_;  // sorted by slot
  std::vector<uint32_t> free_overflow_lists_;
  size_t overflow_holders_ = 0;
  std::vector<uint32_t> buckets_;  // size is a power of two
  uint32_t newest_ = kNone;
  uint32_t oldest_ = kNone;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ROUTING_PREFIX_INDEX_H_
