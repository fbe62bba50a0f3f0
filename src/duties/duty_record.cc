#include "endiveyard/duties/duty_record.h"

#include <utility>
#include <vector>

#include <simdjson.h>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "endiveyard/telemetry/json_log.h"

namespace endiveyard {
namespace {

bool ParseCount(absl::string_view text, UsageReport* report) {
  const std::vector<absl::string_view> parts = absl::StrSplit(text, '\t');
  std::string customer;
  int64_t count = 0;
  if (parts.size() != 2 || !absl::CUnescape(parts[0], &customer) ||
      !absl::SimpleAtoi(parts[1], &count)) {
    return false;
  }
  report->counts[customer] = count;
  return true;
}

}  // namespace

std::string FormatDutyRecord(const DutyRecord& record) {
  std::string text = FormatShard(record.shard);
  absl::StrAppend(&text, "era=", record.era, "\naddress=", record.address,
                  "\nfirst_window=", record.first_window, "\n");
  if (record.usage) {
    absl::StrAppend(&text, "usage_window=", record.usage->window, "\n");
    for (const auto& [customer, count] : record.usage->counts) {
      // CEscape() leaves no tab and no line feed in the name.
      absl::StrAppend(&text, "usage_count=", absl::CEscape(customer), "\t",
                      count, "\n");
    }
  }
  return text;
}

bool ParseDutyRecord(std::string_view text, DutyRecord* record) {
  *record = {};
  if (!ParseShard(text, &record->shard)) {
    return false;
  }
  UsageReport usage;
  bool has_usage = false;
  for (const absl::string_view line :
       absl::StrSplit(absl::string_view(text.data(), text.size()), '\n',
                      absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> field =
        absl::StrSplit(line, absl::MaxSplits('=', 1));
    bool is_valid = true;
    if (field.first == "era") {
      is_valid = absl::SimpleAtoi(field.second, &record->era);
    } else if (field.first == "address") {
      is_valid = absl::SimpleAtoi(field.second, &record->address);
    } else if (field.first == "first_window") {
      is_valid = absl::SimpleAtoi(field.second, &record->first_window);
    } else if (field.first == "usage_window") {
      has_usage = true;
      is_valid = absl::SimpleAtoi(field.second, &usage.window);
    } else if (field.first == "usage_count") {
      is_valid = ParseCount(field.second, &usage);
    }
    if (!is_valid) {
      return false;
    }
  }
  if (has_usage) {
    record->usage = std::move(usage);
  }
  return true;
}

std::string EncodeTextObject(std::string_view text) {
  // JsonQuoted() keeps no control characters.
  return "{\"text\":" +
         JsonQuoted(
             absl::CEscape(absl::string_view(text.data(), text.size()))) +
         "}";
}

std::optional<std::string> DecodeTextObject(std::string_view json) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  std::string_view text;
  if (parser.parse(json.data(), json.size()).get(root) != simdjson::SUCCESS ||
      root["text"].get(text) != simdjson::SUCCESS) {
    return std::nullopt;
  }
  std::string unescaped;
  if (!absl::CUnescape(absl::string_view(text.data(), text.size()),
                       &unescaped)) {
    return std::nullopt;
  }
  return unescaped;
}

}  // namespace endiveyard
