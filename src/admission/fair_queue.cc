#include "endiveyard/admission/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace endiveyard {
namespace {

QueueOrder OrderOf(const QueuedRequest& request) {
  return {request.class_priority, request.priority, request.sequence};
}

// Returns the first request in QueueOrder of the house's unblocked flows, or
// nullptr.
const QueuedRequest* Head(const FairHouse& house) {
  const QueuedRequest* best = nullptr;
  for (const auto& [name, flow] : house.flows) {
    if (flow.blocked || flow.waiting.empty()) {
      continue;
    }
    const QueuedRequest& it = flow.waiting.begin()->second;
    if (best == nullptr || OrderOf(it) < OrderOf(*best)) {
      best = &it;
    }
  }
  return best;
}

const FairFlow* FindFlow(const FairQueue& queue,
                         const std::string& house,
                         const std::string& flow) {
  const auto house_it = queue.houses.find(house);
  if (house_it == queue.houses.end()) {
    return nullptr;
  }
  const auto it = house_it->second.flows.find(flow);
  return it == house_it->second.flows.end() ? nullptr : &it->second;
}

// Makes the first house whose deficit covers the cost of its head request the
// current one and returns that request. If there is none, returns nullptr and
// sets `rounds` to the number of rounds until there is one, or to infinity if
// all flows are empty or blocked.
const QueuedRequest* FirstWithinDeficit(FairQueue* queue, double* rounds) {
  *rounds = std::numeric_limits<double>::infinity();
  auto it = queue->houses.lower_bound(queue->current_house);
  for (size_t n = 0; n < queue->houses.size(); ++n, ++it) {
    if (it == queue->houses.end()) {
      it = queue->houses.begin();
    }
    const QueuedRequest* head = Head(it->second);
    if (head == nullptr) {
      continue;
    }
    const double shortfall =
        static_cast<double>(head->cost) - it->second.deficit;
    if (shortfall <= 0) {
      queue->current_house = it->first;
      return head;
    }
    *rounds = std::min(
        *rounds, std::ceil(shortfall / (kDeficitQuantum * it->second.weight)));
  }
  return nullptr;
}

void AdjustCount(FairHouse* house, const std::string& caller_class, int n) {
  const auto it = house->counted_per_class.try_emplace(caller_class, 0).first;
  it->second += n;
  if (it->second <= 0) {
    house->counted_per_class.erase(it);
  }
}

// Removes the flow if it is empty, and resets the deficit of a house that has
// no flow left, so that an idle house accumulates no credit.
void RemoveFlowIfEmpty(FairHouse* house, const std::string& flow) {
  const auto it = house->flows.find(flow);
  if (it != house->flows.end() && it->second.waiting.empty()) {
    house->flows.erase(it);
  }
  if (house->flows.empty()) {
    house->deficit = 0;
  }
}

}  // namespace

bool HasCapacity(const FairQueue& queue,
                 const std::string& house,
                 const std::string& caller_class,
                 int limit) {
  const auto it = queue.houses.find(house);
  if (it == queue.houses.end()) {
    return limit > 0;
  }
  const auto n = it->second.counted_per_class.find(caller_class);
  return (n == it->second.counted_per_class.end() ? 0 : n->second) < limit;
}

void AdjustReservation(FairQueue* queue,
                       const std::string& house,
                       const std::string& caller_class,
                       int change) {
  AdjustCount(&queue->houses[house], caller_class, change);
}

QueueOrder Enqueue(FairQueue* queue, QueuedRequest request) {
  request.sequence = queue->next_sequence++;
  FairHouse& house = queue->houses[request.house];
  if (request.counted) {
    AdjustCount(&house, request.caller_class, 1);
  }
  const QueueOrder order = OrderOf(request);
  std::map<QueueOrder, QueuedRequest>& waiting =
      house.flows[request.flow].waiting;
  waiting.emplace(order, std::move(request));
  ++queue->size;
  return order;
}

bool Remove(FairQueue* queue,
            const std::string& house,
            const std::string& flow,
            const QueueOrder& order) {
  const auto house_it = queue->houses.find(house);
  if (house_it == queue->houses.end()) {
    return false;
  }
  const auto flow_it = house_it->second.flows.find(flow);
  if (flow_it == house_it->second.flows.end()) {
    return false;
  }
  const auto it = flow_it->second.waiting.find(order);
  if (it == flow_it->second.waiting.end()) {
    return false;
  }
  if (it->second.counted) {
    AdjustCount(&house_it->second, it->second.caller_class, -1);
  }
  flow_it->second.waiting.erase(it);
  --queue->size;
  RemoveFlowIfEmpty(&house_it->second, flow);
  return true;
}

const QueuedRequest* NextCandidate(FairQueue* queue) {
  if (queue->size == 0) {
    return nullptr;
  }
  double rounds = 0;
  const QueuedRequest* next = FirstWithinDeficit(queue, &rounds);
  if (next == nullptr && std::isfinite(rounds)) {
    // No house can be served before the last of these rounds, so the deficits
    // of all of them are added in one step instead of one pass per round.
    for (auto& [name, house] : queue->houses) {
      if (Head(house) != nullptr) {
        house.deficit += rounds * kDeficitQuantum * house.weight;
      }
    }
    next = FirstWithinDeficit(queue, &rounds);
  }
  return next;
}

void Dequeue(FairQueue* queue, const QueuedRequest& candidate) {
  FairHouse& house = queue->houses[candidate.house];
  house.deficit -= static_cast<double>(candidate.cost);
  const std::string name = candidate.house;
  const std::string flow = candidate.flow;
  const QueueOrder order = OrderOf(candidate);
  Remove(queue, name, flow, order);
}

void Block(FairQueue* queue, const QueuedRequest& candidate) {
  queue->houses[candidate.house].flows[candidate.flow].blocked = true;
}

void Unblock(FairQueue* queue,
             const std::string& house,
             std::string_view prefix) {
  const auto house_it = queue->houses.find(house);
  if (house_it == queue->houses.end()) {
    return;
  }
  auto& flows = house_it->second.flows;
  for (auto it = flows.lower_bound(std::string(prefix));
       it != flows.end() && it->first.compare(0, prefix.size(), prefix) == 0;
       ++it) {
    it->second.blocked = false;
  }
}

void UnblockAll(FairQueue* queue) {
  for (auto& [name, house] : queue->houses) {
    for (auto& [flow_name, flow] : house.flows) {
      flow.blocked = false;
    }
  }
}

void SetWeight(FairQueue* queue, const std::string& house, double weight) {
  // A house with weight 0 would never be served.
  queue->houses[house].weight = std::max(weight, 0.01);
}

size_t CountWaiting(const FairQueue& queue,
                    const std::string& house,
                    const std::string& flow) {
  const FairFlow* found = FindFlow(queue, house, flow);
  return found == nullptr ? 0 : found->waiting.size();
}

size_t CountAhead(const FairQueue& queue,
                  const std::string& house,
                  const std::string& flow,
                  int class_priority,
                  int priority) {
  const FairFlow* found = FindFlow(queue, house, flow);
  if (found == nullptr) {
    return 0;
  }
  const auto end = found->waiting.lower_bound(
      {class_priority, priority, std::numeric_limits<uint64_t>::max()});
  return static_cast<size_t>(std::distance(found->waiting.begin(), end));
}

}  // namespace endiveyard
