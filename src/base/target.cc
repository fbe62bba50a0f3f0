#include "endiveyard/base/target.h"

namespace endiveyard {

std::string_view RoleName(Role role) {
  switch (role) {
    case Role::kMixed:
      return "mixed";
    case Role::kPrefill:
      return "prefill";
    case Role::kDecode:
      return "decode";
  }
  return "mixed";
}

bool ParseRole(std::string_view name, Role* role) {
  for (Role it : {Role::kMixed, Role::kPrefill, Role::kDecode}) {
    if (RoleName(it) == name) {
      *role = it;
      return true;
    }
  }
  return false;
}

}  // namespace endiveyard
