#ifndef ENDIVEYARD_SRC_GATEWAY_CLIENT_FAILURE_H_
#define ENDIVEYARD_SRC_GATEWAY_CLIENT_FAILURE_H_

#include <string>

#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

// Classifies the text of an exception thrown by a request on a connection that
// is not reused. Only a failure to connect proves that no byte was sent.
AttemptFailure ClassifyClientFailure(const std::string& error_text);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_CLIENT_FAILURE_H_
