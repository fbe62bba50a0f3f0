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

// Holders kept for each block; the newest replaces the oldest. A block that
// is held by more targets is found on a random candidate only by luck, which
// costs a recomputation but never a wrong answer.
inline constexpr size_t kHoldersPerBlock = 4;

// Newest first; unused places have slot UINT32_MAX.
using BlockHolders = std::array<PrefixHolder, kHoldersPerBlock>;

// Bounded map from block hash to the targets that hold the block, with the
// least recently used block evicted first. About 60 bytes per entry.
class PrefixView {
 public:
  // Precondition: 1 <= max_entries < UINT32_MAX.
  explicit PrefixView(size_t max_entries);

  // Adds a holder and makes the block the most recently used. O(1).
  void Add(uint64_t block, PrefixHolder holder);
  // Removes every epoch of the target from the block. O(1).
  void Remove(uint64_t block, uint32_t slot);
  // Returns the holders of the block, or nullptr; does not affect the order.
  const BlockHolders* Find(uint64_t block) const;

  size_t size() const { return nodes_.size() - free_.size(); }

 private:
  // Nodes refer to each other by index, which halves the size of a node
  // compared to pointers.
  struct Node {
    uint64_t block = 0;
    BlockHolders holders;
    uint32_t newer = kNone;
    uint32_t older = kNone;
    uint32_t chain = kNone;  // next node of the same bucket
  };
  static constexpr uint32_t kNone = UINT32_MAX;

  uint32_t FindNode(uint64_t block) const;
  uint32_t NewNode(uint64_t block);
  void Erase(uint32_t node);
  void Link(uint32_t node);
  void Unlink(uint32_t node);
  void Grow();
  uint32_t& Bucket(uint64_t block);

  size_t max_entries_;
  std::vector<Node> nodes_;
  std::vector<uint32_t> free_;
  std::vector<uint32_t> buckets_;  // size is a power of two
  uint32_t newest_ = kNone;
  uint32_t oldest_ = kNone;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ROUTING_PREFIX_VIEW_H_
