#include "front/stream_record.h"

#include <charconv>
#include <map>
#include <optional>

#include <simdjson.h>

#include "absl/strings/str_cat.h"

namespace endiveyard {
namespace {

constexpr size_t kDigits = 16;
constexpr int kBase = 16;

std::string Encode(uint64_t value) {
  return absl::StrCat(absl::Hex(value, absl::kZeroPad16));
}

std::optional<uint64_t> Decode(std::string_view digits) {
  uint64_t value = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, value, kBase);
  return digits.size() == kDigits && parsed.ec == std::errc() &&
                 parsed.ptr == end
             ? std::optional(value)
             : std::nullopt;
}

}  // namespace

std::string EncodeStreamRecord(const std::vector<StreamReport>& streams) {
  std::map<uint64_t, std::string> by_version;
  for (const StreamReport& it : streams) {
    by_version[it.version] += Encode(it.stream);
  }
  std::string text = "{\"streams\":{";
  for (const auto& [version, keys] : by_version) {
    text += text.back() == '{' ? "" : ",";
    text += "\"" + Encode(version) + "\":\"" + keys + "\"";
  }
  return text + "}}";
}

std::vector<StreamReport> DecodeStreamRecord(std::string_view text) {
  std::vector<StreamReport> streams;
  simdjson::dom::parser parser;
  simdjson::dom::object by_version;
  if (parser.parse(text.data(), text.size())["streams"].get(by_version) !=
      simdjson::SUCCESS) {
    return streams;
  }
  for (const auto& [name, json] : by_version) {
    const auto version = Decode(name);
    std::string_view keys;
    if (!version || json.get(keys) != simdjson::SUCCESS) {
      continue;
    }
    for (; keys.size() >= kDigits && streams.size() < 2 * kMaxRecordedStreams;
         keys.remove_prefix(kDigits)) {
      if (const auto stream = Decode(keys.substr(0, kDigits))) {
        streams.push_back({*stream, *version});
      }
    }
  }
  return streams;
}

}  // namespace endiveyard
