#ifndef ENDIVEYARD_SRC_RELAY_CALLER_MEMORY_H_
#define ENDIVEYARD_SRC_RELAY_CALLER_MEMORY_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Memory of one header field in a HeaderList, besides texts that are too long
// to be stored in the string itself.
inline constexpr size_t kHeaderFieldBytes = 64;
// The same while fields are being parsed, as the list grows by doubling.
inline constexpr size_t kParsedFieldBytes = 2 * kHeaderFieldBytes;
// Memory of a connection of a caller: its object, area for reads and socket.
inline constexpr size_t kConnectionBytes = 12 * 1024;
// Memory of a request in progress: the exchange, its call, and the buffer of
// the connection to the target.
inline constexpr size_t kExchangeBytes = 20 * 1024;

// What a connection of a caller is doing.
enum class CallerStage {
  kIdle,
  kReceiving,  // a request is incomplete
  kServing,    // a request is in progress
  kSending,    // the caller has yet to read what was sent
  kClosed,
};
inline constexpr size_t kCallerStages = 5;

// A connection of a caller that memory is counted for.
class CallerMemoryHolder {
 public:
  virtual ~CallerMemoryHolder() = default;
  // Counts anew what changes without an event: bytes that the caller has
  // acknowledged since they were sent.
  virtual void RefreshMemory() {}
};

// Counts the memory that callers make the process hold, and decides whom to
// refuse or close when it is too much. Knows no clock and no connections.
class CallerMemory {
 public:
  struct Entry {
    CallerMemoryHolder* holder = nullptr;
    CallerStage stage = CallerStage::kIdle;
    size_t bytes = 0;
    TimePoint progressed{};  // when it last sent or read
  };
  // Stays valid until Remove().
  using Handle = std::list<Entry>::iterator;

  explicit CallerMemory(size_t limit) : limit_(limit) {}

  Handle Add(CallerMemoryHolder* holder, TimePoint now);
  void Remove(Handle entry);
  void Update(Handle entry, CallerStage stage, size_t bytes);
  void RecordProgress(Handle entry, TimePoint now) { entry->progressed = now; }
  // Lets all holders count anew. O(connections).
  void Refresh();

  size_t limit() const { return limit_; }
  size_t total() const { return total_; }
  bool IsFull() const { return total_ > limit_; }
  // True while callers have to make do with less.
  bool IsScarce() const { return total_ > limit_ / 2; }

  // Returns true if a request that takes `bytes`, of which its connection holds
  // `held` already, may run. It may take half of what is free, so that large
  // requests alone never keep small ones from being served.
  bool Admits(size_t bytes, size_t held) const;

  // Returns the holders to close for the total to fall to `target`, in this
  // order: idle ones, the longest idle first; those that receive or send, the
  // ones first that hold most for longest without progress; and requests in
  // progress, the largest first, only if the total exceeds the limit otherwise
  // and `spares_serving` is false.
  std::vector<CallerMemoryHolder*> ChooseToClose(
      size_t target,
      TimePoint now,
      bool spares_serving = false) const;
  // The total to which it falls once the limit is exceeded. Closing many at
  // once keeps the choice, which looks at all connections, rare.
  size_t relief_target() const { return limit_ - limit_ / 8; }

  // Returns the holder to close for a new connection: the longest idle one,
  // else the one whose request has been incomplete for longest, else the one
  // that has not read for longest; nullptr if all have requests in progress.
  CallerMemoryHolder* ChooseForNewConnection(TimePoint now) const;

 private:
  std::list<Entry>& ListOf(CallerStage stage) {
    return entries_[static_cast<size_t>(stage)];
  }
  const std::list<Entry>& ListOf(CallerStage stage) const {
    return entries_[static_cast<size_t>(stage)];
  }

  // Connections that were idle for less than this are closed after those that
  // receive or send: where these take all places, the request of a connection
  // that was just accepted would never be read.
  static constexpr Duration kFreshTime = std::chrono::milliseconds(500);

  const size_t limit_;
  size_t total_ = 0;
  // By stage, in the order in which they entered it.
  std::list<Entry> entries_[kCallerStages];
};

// Counts requests in progress, each of which takes a connection to a target.
class OpenRequests {
 public:
  explicit OpenRequests(size_t limit) : limit_(limit) {}

  // Returns true if a further request of the route may run. Requests of one
  // route take at most 8/9 of the limit, so that a route whose replicas have
  // stopped to answer leaves room for the others. Requests that were pipelined
  // behind others take at most half of it: a connection that refills its place
  // at once would leave none to callers that send one request at a time.
  bool Admits(const std::string& route, bool pipelined) const;
  void Start(const std::string& route);
  void End(const std::string& route);

 private:
  const size_t limit_;
  size_t total_ = 0;
  std::map<std::string, size_t> by_route_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_CALLER_MEMORY_H_
