#ifndef ENDIVEYARD_OBJECT_API_INSTANCE_LIST_JSON_H_
#define ENDIVEYARD_OBJECT_API_INSTANCE_LIST_JSON_H_

#include <string>

#include "absl/status/statusor.h"
#include "endiveyard/object_api/object_api.h"

namespace endiveyard {

// Writes the body of GET /v1/instances.
std::string FormatInstanceList(const InstanceList& list);

// Reads that body. Fields that are absent keep their default; a wrong type,
// a missing id or an unknown kind or state is an error. O(n).
absl::StatusOr<InstanceList> ParseInstanceList(const std::string& json);

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_INSTANCE_LIST_JSON_H_
