#ifndef ENDIVEYARD_SRC_GATEWAY_CLIENT_FAILURE_H_
#define ENDIVEYARD_SRC_GATEWAY_CLIENT_FAILURE_H_

#include <string>

#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

// Classifies an exception text of a request on a connection of its own: only
// a failed connect proves that no byte was sent.
AttemptFailure ClassifyClientFailure(const std::string& what);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_CLIENT_FAILURE_H_
