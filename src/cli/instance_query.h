#ifndef ENDIVEYARD_SRC_CLI_INSTANCE_QUERY_H_
#define ENDIVEYARD_SRC_CLI_INSTANCE_QUERY_H_

#include <string>

#include "absl/status/statusor.h"

namespace endiveyard {

// Sends a request to an instance and returns the body of a 200 response. Error:
// kTargetFailed with the status code and body of any other response,
// kNoCapacity if the instance cannot be reached.
absl::StatusOr<std::string> QueryInstance(const std::string& url,
                                          const std::string& method,
                                          const std::string& path,
                                          const std::string& caller_key,
                                          const std::string& body);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_CLI_INSTANCE_QUERY_H_
