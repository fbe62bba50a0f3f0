#ifndef ENDIVEYARD_SRC_RELAY_REQUEST_TARGET_H_
#define ENDIVEYARD_SRC_RELAY_REQUEST_TARGET_H_

#include <optional>
#include <string_view>

namespace endiveyard {

// Parts of the target of a request line (RFC 9112, section 3.2).
struct RequestTarget {
  // Host, with the port if there is one. Set for the absolute form, in which it
  // takes the place of the Host header.
  std::optional<std::string_view> authority;
  std::string_view path_and_query;
};

// Splits the absolute form "http://HOST/PATH". Other forms are returned as they
// are. Returns nullopt for an absolute form without a host, or with userinfo.
std::optional<RequestTarget> ParseRequestTarget(std::string_view target);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_REQUEST_TARGET_H_
