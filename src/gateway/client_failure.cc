#include "gateway/client_failure.h"

namespace endiveyard {

AttemptFailure ClassifyClientFailure(const std::string& error_text) {
  // cpprestsdk 2.10 throws these texts only before it writes to the connection.
  if (error_text.find("Failed to connect") != std::string::npos ||
      error_text.find("Error resolving address") != std::string::npos) {
    return AttemptFailure::kConnectFailed;
  }
  return AttemptFailure::kConnectionLost;
}

}  // namespace endiveyard
