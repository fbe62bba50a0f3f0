#ifndef ENDIVEYARD_DUTIES_USAGE_COUNTS_H_
#define ENDIVEYARD_DUTIES_USAGE_COUNTS_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Requests of one customer that began to run in a window at one instance.
struct CustomerUsage {
  uint64_t customer_key = 0;  // digest of the name of the customer
  uint32_t requests = 0;

  bool operator==(const CustomerUsage& other) const {
    return std::tie(customer_key, requests) ==
           std::tie(other.customer_key, other.requests);
  }
};

// Window k begins k times the length of a window after the start of 1970.
struct WindowUsage {
  int64_t window = 0;
  std::vector<CustomerUsage> customers;

  bool operator==(const WindowUsage& other) const {
    return std::tie(window, customers) ==
           std::tie(other.window, other.customers);
  }
};

// The instance that holds the duties, as told by any instance.
struct DutyHolderReport {
  uint32_t address = 0;  // IPv4; 0 if none is known
  uint64_t fencing_token = 0;
  Duration age{};  // since the holder said so

  bool operator==(const DutyHolderReport& other) const {
    return std::tie(address, fencing_token, age) ==
           std::tie(other.address, other.fencing_token, other.age);
  }
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_USAGE_COUNTS_H_
