#ifndef ENDIVEYARD_FLEET_CONFIGURATION_EDIT_H_
#define ENDIVEYARD_FLEET_CONFIGURATION_EDIT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "absl/status/statusor.h"
#include "endiveyard/fleet/fleet_configuration.h"

namespace endiveyard {

// Maximum size of the text of one edit's delta.
inline constexpr size_t kMaxEditBytes = 64 << 10;

// Entry of the configuration log: the change that turns version - 1 into
// `version`.
struct ConfigurationEdit : ComparableByFields<ConfigurationEdit> {
  uint64_t version = 0;
  std::string edit_id;  // unique; lets a writer recognize its own entry
  std::string author;
  std::string delta;  // text of a ConfigurationDelta

  auto Fields() const { return std::tie(version, edit_id, author, delta); }
};

// Complete configuration at `version`.
struct ConfigurationSnapshot : ComparableByFields<ConfigurationSnapshot> {
  uint64_t version = 0;
  std::string text;

  auto Fields() const { return std::tie(version, text); }
};

// Convert an edit to and from the value of a log object. Decoding a malformed
// value fails with kInvalidSettings.
std::string EncodeEdit(const ConfigurationEdit& edit);
absl::StatusOr<ConfigurationEdit> DecodeEdit(std::string_view value);

}  // namespace endiveyard

#endif  // ENDIVEYARD_FLEET_CONFIGURATION_EDIT_H_
