#include "endiveyard/placement/customer_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace endiveyard {
namespace {

// Longer than a burst takes to fill the queues, and short enough for a customer
// to regain its place soon after one.
constexpr Duration kHalfLife = std::chrono::seconds(5);
// A customer may ask for this multiple of the mean before it yields.
constexpr double kFairMultiple = 2;
// Every customer has to be served at least a quarter as often as all, so that
// at least a quarter of its requests keep their place.
constexpr double kMaxYielding = 0.75;
// With fewer recent requests, shares are chance.
constexpr double kMinRequests = 20;
// Customers that asked for less than this share of one request are forgotten.
constexpr double kMinCustomerRequests = 0.05;
// Limits the memory of what may be thousands of customers.
constexpr size_t kMaxCustomers = 4096;

double Decay(TimePoint since, TimePoint now) {
  return std::exp2(-std::chrono::duration<double>(now - since).count() /
                   std::chrono::duration<double>(kHalfLife).count());
}

}  // namespace

void CustomerShares::Record(const std::string& customer,
                            double cost,
                            TimePoint now) {
  if (demands_.size() >= kMaxCustomers && demands_.count(customer) == 0) {
    for (auto it = demands_.begin(); it != demands_.end();) {
      const bool is_old = it->second.requests * Decay(it->second.at, now) <
                          kMinCustomerRequests;
      it = is_old ? demands_.erase(it) : std::next(it);
    }
    if (demands_.size() >= kMaxCustomers) {
      return;
    }
  }
  Demand& demand = demands_[customer];
  const double decay = Decay(demand.at, now);
  demand.cost = demand.cost * decay + cost;
  demand.requests = demand.requests * decay + 1;
  demand.at = now;
}

bool CustomerShares::IsBeyondShare(const std::string& customer,
                                   double point,
                                   TimePoint now) const {
  const auto it = demands_.find(customer);
  if (it == demands_.end()) {
    return false;
  }
  double total = 0;
  double requests = 0;
  size_t active = 0;
  for (const auto& [name, demand] : demands_) {
    const double decay = Decay(demand.at, now);
    if (demand.requests * decay >= kMinCustomerRequests) {
      total += demand.cost * decay;
      requests += demand.requests * decay;
      ++active;
    }
  }
  if (requests < kMinRequests || active < 2) {
    return false;
  }
  const double share = kFairMultiple * total / static_cast<double>(active);
  const double own = it->second.cost * Decay(it->second.at, now);
  return own > share && point < std::min(kMaxYielding, 1 - share / own);
}

}  // namespace endiveyard
