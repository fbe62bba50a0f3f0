#ifndef ENDIVEYARD_ADMISSION_FAIR_QUEUE_H_
#define ENDIVEYARD_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Deficit added to a house per round and unit of weight, in tokens. It is small
// compared with the cost of a typical request, so that the shares match the
// weights after a few requests.
inline constexpr double kDeficitQuantum = 256;

// Position in a flow: higher class priority first, then higher request
// priority, then arrival order.
struct QueueOrder {
  int class_priority = 0;
  int priority = 0;
  uint64_t sequence = 0;

  friend bool operator<(const QueueOrder& a, const QueueOrder& b) {
    return std::tie(b.class_priority, b.priority, a.sequence) <
           std::tie(a.class_priority, a.priority, b.sequence);
  }
};

struct QueuedRequest {
  uint64_t id = 0;
  std::string house;
  std::string flow;
  std::string caller_class;
  int class_priority = 0;
  int priority = 5;
  int64_t cost = 1;       // in tokens; at least 1
  bool counted = true;    // false: exempt from the limit per house and class
  uint64_t sequence = 0;  // set by Enqueue()
};

// Queued requests of one house that compete for the same targets.
struct FairFlow {
  std::map<QueueOrder, QueuedRequest> waiting;
  bool blocked = false;  // skipped until Unblock() or UnblockAll()
};

struct FairHouse {
  double weight = 1;
  double deficit = 0;
  std::map<std::string, FairFlow> flows;
  std::map<std::string, int> counted_per_class;  // queued and reserved
};

// Bounded queues for each house and class. Houses share the capacity by weight
// (deficit round robin on cost); requests of one house are ordered by
// QueueOrder.
struct FairQueue {
  std::map<std::string, FairHouse> houses;
  std::string current_house;  // next one to be served in the round
  size_t size = 0;
  uint64_t next_sequence = 1;
};

// Returns true if fewer than `limit` requests of `house` and `caller_class` are
// queued or reserved.
bool HasCapacity(const FairQueue& queue,
                 const std::string& house,
                 const std::string& caller_class,
                 int limit);

// Counts a request that waits outside the queue (until its intent is stored)
// towards the limit; `change` is +1 or -1.
void AdjustReservation(FairQueue* queue,
                       const std::string& house,
                       const std::string& caller_class,
                       int change);

// Adds `request` and returns its position. Precondition: HasCapacity() returned
// true if the request is counted. O(log n).
QueueOrder Enqueue(FairQueue* queue, QueuedRequest request);

// Removes a queued request; returns false if it is not in the queue. O(log n).
bool Remove(FairQueue* queue,
            const std::string& house,
            const std::string& flow,
            const QueueOrder& order);

// Returns the request to dispatch next from the flows that are not blocked, or
// nullptr. It stays queued until Dequeue(); Block() skips its flow. O(houses +
// flows).
const QueuedRequest* NextCandidate(FairQueue* queue);

// Removes the candidate and deducts its cost from the deficit of its house.
void Dequeue(FairQueue* queue, const QueuedRequest& candidate);

// Skips the flow of `candidate` until it is unblocked.
void Block(FairQueue* queue, const QueuedRequest& candidate);

// Unblocks the flows of `house` whose names start with `prefix`.
void Unblock(FairQueue* queue,
             const std::string& house,
             std::string_view prefix);
void UnblockAll(FairQueue* queue);

void SetWeight(FairQueue* queue, const std::string& house, double weight);

// Returns the number of requests queued in the flow. O(log n).
size_t CountWaiting(const FairQueue& queue,
                    const std::string& house,
                    const std::string& flow);

// Returns the number of queued requests of the flow that a new request with
// these priorities would wait behind. O(n).
size_t CountAhead(const FairQueue& queue,
                  const std::string& house,
                  const std::string& flow,
                  int class_priority,
                  int priority);

}  // namespace endiveyard

#endif  // ENDIVEYARD_ADMISSION_FAIR_QUEUE_H_
