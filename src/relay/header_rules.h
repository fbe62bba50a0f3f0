#ifndef ENDIVEYARD_SRC_RELAY_HEADER_RULES_H_
#define ENDIVEYARD_SRC_RELAY_HEADER_RULES_H_

#include <optional>
#include <string>
#include <string_view>

#include "endiveyard/base/time_point.h"
#include "endiveyard/relay/wire_protocol.h"

namespace endiveyard {

// Compares header names or values without regard to ASCII case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Returns the value of the first field with this name.
std::optional<std::string_view> FindHeader(const HeaderList& headers,
                                           std::string_view name);

// Returns the headers without the hop-by-hop ones: the standard ones, those
// that Connection lists, and those that frame the body.
HeaderList WithoutHopByHopHeaders(const HeaderList& headers);

// Appends a header line, with its line end, to the head of a message.
void AppendHeader(std::string* head,
                  std::string_view name,
                  std::string_view value);

// True when a request with this method has a Content-Length even if its body is
// empty.
bool MethodHasBody(std::string_view method);

// Returns the `timeout` parameter of the Keep-Alive header.
std::optional<Duration> KeepAliveTimeout(const HeaderList& headers);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_HEADER_RULES_H_
