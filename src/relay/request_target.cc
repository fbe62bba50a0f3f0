#include "relay/request_target.h"

#include "relay/header_rules.h"

namespace endiveyard {

std::optional<RequestTarget> ParseRequestTarget(std::string_view target) {
  constexpr std::string_view kSeparator = "://";
  const size_t scheme_end = target.find(kSeparator);
  const std::string_view scheme = target.substr(0, scheme_end);
  if (scheme_end == std::string_view::npos ||
      !(EqualsIgnoreCase(scheme, "http") ||
        EqualsIgnoreCase(scheme, "https"))) {
    return RequestTarget{std::nullopt, target};
  }
  const std::string_view rest = target.substr(scheme_end + kSeparator.size());
  const size_t authority_end = rest.find_first_of("/?");
  const std::string_view authority = rest.substr(0, authority_end);
  if (authority.empty() || authority.find('@') != std::string_view::npos) {
    return std::nullopt;
  }
  return RequestTarget{authority, authority_end == std::string_view::npos
                                      ? std::string_view()
                                      : rest.substr(authority_end)};
}

}  // namespace endiveyard
