#ifndef ENDIVEYARD_SRC_INSTANCE_INSTANCE_STATUS_H_
#define ENDIVEYARD_SRC_INSTANCE_INSTANCE_STATUS_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace endiveyard {

// Status of one instance, as shown by `endiveyard status`.
struct InstanceStatus {
  std::string instance;
  uint64_t configuration_version = 0;
  size_t live_peers = 0;
  bool holds_lease = false;
  size_t owned_shards = 0;
  size_t open_exchanges = 0;
};

// Formats the status as a JSON object.
std::string FormatInstanceStatus(const InstanceStatus& status);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_INSTANCE_STATUS_H_
