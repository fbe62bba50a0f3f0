#ifndef ENDIVEYARD_BASE_BOUNDED_RING_H_
#define ENDIVEYARD_BASE_BOUNDED_RING_H_

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace endiveyard {

// Thread-safe FIFO queue of fixed capacity on a ring buffer, for any number of
// producers and one consumer. All operations are O(1) apart from waiting.
template <typename T>
class BoundedRing {
 public:
  // Precondition: `capacity` is at least 1.
  explicit BoundedRing(size_t capacity) : slots_(capacity) {}
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Appends `item`; returns false when the ring is full or closed.
  bool TryPush(T item) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (closed_ || count_ == slots_.size()) {
        return false;
      }
      Append(std::move(item));
    }
    readable_.notify_one();
    return true;
  }

  // Appends `item`, waiting while the ring is full; returns false when the ring
  // is closed.
  bool Push(T item) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      writable_.wait(lock, [&] { return closed_ || count_ < slots_.size(); });
      if (closed_) {
        return false;
      }
      Append(std::move(item));
    }
    readable_.notify_one();
    return true;
  }

  // Waits for an item; returns nullopt once the ring is closed and empty.
  std::optional<T> Pop() {
    std::optional<T> item;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      readable_.wait(lock, [&] { return closed_ || count_ > 0; });
      if (count_ == 0) {
        return std::nullopt;
      }
      item.emplace(std::move(*slots_[head_]));
      slots_[head_].reset();
      head_ = (head_ + 1) % slots_.size();
      --count_;
    }
    writable_.notify_one();
    return item;
  }

  // Rejects further items; Pop() still returns the remaining ones.
  void Close() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      closed_ = true;
    }
    readable_.notify_all();
    writable_.notify_all();
  }

  size_t size() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return count_;
  }

 private:
  void Append(T item) {
    slots_[(head_ + count_) % slots_.size()].emplace(std::move(item));
    ++count_;
  }

  mutable std::mutex mutex_;
  std::condition_variable readable_;
  std::condition_variable writable_;
  std::vector<std::optional<T>> slots_;
  size_t head_ = 0;
  size_t count_ = 0;
  bool closed_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_BASE_BOUNDED_RING_H_
