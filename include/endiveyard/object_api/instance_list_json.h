#ifndef ENDIVEYARD_OBJECT_API_INSTANCE_LIST_JSON_H_
#define ENDIVEYARD_OBJECT_API_INSTANCE_LIST_JSON_H_

#include <string>

#include "absl/status/statusor.h"
#include "endiveyard/object_api/object_api.h"

namespace endiveyard {

// Formats the response body of GET /v1/instances.
std::string FormatInstanceList(const InstanceList& list);

// Parses the response body of GET /v1/instances. Absent fields keep their
// defaults. Returns kInvalidArgument for a field of the wrong type, a missing
// id, or an unknown kind or state. O(n).
absl::StatusOr<InstanceList> ParseInstanceList(const std::string& json);

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_INSTANCE_LIST_JSON_H_
