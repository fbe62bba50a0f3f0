#include "gateway/client_failure.h"

namespace endiveyard {

AttemptFailure ClassifyClientFailure(const std::string& what) {
  // Texts of cpprestsdk 2.10 before anything is written to the connection.
  if (what.find("Failed to connect") != std::string::npos ||
      what.find("Error resolving address") != std::string::npos) {
    return AttemptFailure::kConnectFailed;
  }
  return AttemptFailure::kConnectionLost;
}

}  // namespace endiveyard
