#ifndef ENDIVEYARD_ROUTING_PREFIX_VIEW_H_
#define ENDIVEYARD_ROUTING_PREFIX_VIEW_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace endiveyard {

// A target's cache at one time. Dropping all that is known about a target
// means raising its epoch; holders with an older epoch are ignored.
struct PrefixHolder {
  uint32_t slot = UINT32_MAX;
  uint32_t epoch = 0;

  friend bool operator==(PrefixHolder a, PrefixHolder b) {
    return a.slot == b.slot && a.epoch == b.epoch;
  }
};

// Holders of one block, in no particular order. Valid until the view changes.
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

// Bounded map from block hash to the targets that hold the block, with the
// least recently used block evicted first. About 60 bytes per entry, and 8
// for each holder above kInlineHolders.
class PrefixView {
 public:
  // Holders kept inside an entry. Further ones move to a sorted list.
  static constexpr size_t kInlineHolders = 4;
  // Most holders of one block. An instance follows about 800 targets.
  static constexpr size_t kMaxHolders = 1024;

  // Precondition: 1 <= max_entries < UINT32_MAX.
  explicit PrefixView(size_t max_entries);

  // Adds a holder and makes the block the most recently used. O(1) for an
  // entry with inline holders or a known holder, else O(holders). Replaces
  // the oldest inline holder once all lists together hold max_entries.
  void Add(uint64_t block, PrefixHolder holder);
  // Removes every epoch of the target from the block. O(holders).
  void Remove(uint64_t block, uint32_t slot);
  // Returns the holders of the block; does not affect the order. O(1).
  HolderSpan Find(uint64_t block) const;

  size_t size() const { return nodes_.size() - free_.size(); }

 private:
  // Nodes refer to each other by index, which halves the size of a node
  // compared to pointers.
  struct Node {
    uint64_t block = 0;
    // Newest first; unused places have slot UINT32_MAX.
    std::array<PrefixHolder, kInlineHolders> holders;
    uint32_t newer = kNone;
    uint32_t older = kNone;
    uint32_t chain = kNone;  // next node of the same bucket
    uint32_t list = kNone;   // index in lists_, once the array was too small
  };
  static constexpr uint32_t kNone = UINT32_MAX;

  uint32_t FindNode(uint64_t block) const;
  uint32_t NewNode(uint64_t block);
  void Erase(uint32_t node);
  void Link(uint32_t node);
  void Unlink(uint32_t node);
  void Grow();
  void AddInline(Node& node, PrefixHolder holder);
  void AddToList(Node& node, PrefixHolder holder);
  void MoveToList(Node& node);
  uint32_t& Bucket(uint64_t block);

  size_t max_entries_;
  std::vector<Node> nodes_;
  std::vector<uint32_t> free_;
  std::vector<std::vector<PrefixHolder>> lists_;  // sorted by slot
  std::vector<uint32_t> free_lists_;
  size_t listed_holders_ = 0;
  std::vector<uint32_t> buckets_;  // size is a power of two
  uint32_t newest_ = kNone;
  uint32_t oldest_ = kNone;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ROUTING_PREFIX_VIEW_H_
