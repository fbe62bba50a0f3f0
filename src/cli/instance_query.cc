#include "cli/instance_query.h"

#include <cpprest/http_client.h>

#include <exception>

#include "endiveyard/base/error_kind.h"

namespace endiveyard {

absl::StatusOr<std::string> QueryInstance(const std::string& url,
                                          const std::string& method,
                                          const std::string& path,
                                          const std::string& caller_key,
                                          const std::string& body) {
  try {
    web::http::client::http_client client(url);
    web::http::http_request request(method);
    request.set_request_uri(path);
    if (!caller_key.empty()) {
      request.headers().add("Authorization", "Bearer " + caller_key);
    }
    if (!body.empty()) {
      request.set_body(body, "application/json");
    }
    const web::http::http_response response = client.request(request).get();
    const std::string text = response.extract_utf8string(true).get();
    if (response.status_code() != web::http::status_codes::OK) {
      return MakeError(ErrorKind::kTargetFailed,
                       std::to_string(response.status_code()) + " " + text);
    }
    return text;
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::kNoCapacity, error.what());
  }
}

}  // namespace endiveyard
