#ifndef ENDIVEYARD_DUTIES_USAGE_COUNTS_H_
#define ENDIVEYARD_DUTIES_USAGE_COUNTS_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Requests of one tenant that began to run in a window at one instance.
struct TenantUsage {
  uint64_t tenant_key = 0;  // digest of the name of the tenant
  uint32_t requests = 0;

  bool operator==(const TenantUsage& other) const {
    return std::tie(tenant_key, requests) ==
           std::tie(other.tenant_key, other.requests);
  }
};

// Window k begins k times the length of a window after the start of 1970.
struct WindowUsage {
  int64_t window = 0;
  std::vector<TenantUsage> tenants;

  bool operator==(const WindowUsage& other) const {
    return std::tie(window, tenants) == std::tie(other.window, other.tenants);
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
