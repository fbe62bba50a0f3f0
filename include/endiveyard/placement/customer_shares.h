#ifndef ENDIVEYARD_PLACEMENT_CUSTOMER_SHARES_H_
#define ENDIVEYARD_PLACEMENT_CUSTOMER_SHARES_H_

#include <cstddef>
#include <map>
#include <string>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Decides which requests of a service go behind others of the same route while
// requests compete for too few replicas: those of customers that ask for more
// than their share. What a customer asks for within its share keeps its place,
// so that the burst of one customer does not make the others wait. Knows the
// requests of one instance; customers reach all instances.
class CustomerShares {
 public:
  // Records a request with its cost, in any unit.
  void Record(const std::string& customer, double cost, TimePoint now);

  // Returns true if a request of the customer goes behind others. `point` is
  // uniform in [0, 1) and belongs to the request.
  bool IsBeyondShare(const std::string& customer,
                     double point,
                     TimePoint now) const;

  size_t size() const { return demands_.size(); }

 private:
  struct Demand {
    double cost = 0;  // decays since `at`
    double requests = 0;
    TimePoint at{};
  };

  std::map<std::string, Demand> demands_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_CUSTOMER_SHARES_H_
