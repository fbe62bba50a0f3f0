#include "endiveyard/fleet/configuration_edit.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "endiveyard/base/error_kind.h"

namespace endiveyard {
namespace {

constexpr size_t kMaxHeaderValueBytes = 256;

// Parses the line "<name> <value>\n" at the start of `rest` and removes it.
// Returns false if `rest` starts with anything else.
bool ParseHeaderLine(std::string_view name,
                     std::string_view* rest,
                     std::string_view* value) {
  const size_t end = rest->find('\n');
  if (end == std::string_view::npos || end <= name.size() ||
      rest->substr(0, name.size()) != name || (*rest)[name.size()] != ' ') {
    return false;
  }
  *value = rest->substr(name.size() + 1, end - name.size() - 1);
  rest->remove_prefix(end + 1);
  return true;
}

// Truncates `field` and replaces line breaks, so that it fits on one line.
std::string ToHeaderValue(std::string_view field) {
  std::string line(field.substr(0, kMaxHeaderValueBytes));
  std::replace(line.begin(), line.end(), '\n', ' ');
  return line;
}

}  // namespace

std::string EncodeEdit(const ConfigurationEdit& edit) {
  std::string value = "version ";
  value += std::to_string(edit.version);
  value += "\nedit ";
  value += ToHeaderValue(edit.edit_id);
  value += "\nauthor ";
  value += ToHeaderValue(edit.author);
  value += "\n\n";
  return value + edit.delta;
}

absl::StatusOr<ConfigurationEdit> DecodeEdit(std::string_view value) {
  ConfigurationEdit edit;
  std::string_view rest = value;
  std::string_view version;
  std::string_view edit_id;
  std::string_view author;
  if (value.size() > kMaxEditBytes + 1024 ||
      !ParseHeaderLine("version", &rest, &version) ||
      !ParseHeaderLine("edit", &rest, &edit_id) ||
      !ParseHeaderLine("author", &rest, &author) || rest.empty() ||
      rest.front() != '\n') {
    return MakeError(
        ErrorKind::kInvalidSettings,
        "malformed or oversized configuration log entry: expected the "
        "lines \"version\", \"edit\" and \"author\" and an empty line before "
        "the delta");
  }
  const auto parsed = std::from_chars(
      version.data(), version.data() + version.size(), edit.version);
  if (parsed.ec != std::errc() ||
      parsed.ptr != version.data() + version.size()) {
    return MakeError(
        ErrorKind::kInvalidSettings,
        "malformed configuration log entry: the value of \"version\" "
        "is not an unsigned integer");
  }
  edit.edit_id = edit_id;
  edit.author = author;
  edit.delta = rest.substr(1);
  return edit;
}

}  // namespace endiveyard
