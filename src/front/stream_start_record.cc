#include "front/stream_start_record.h"

#include <algorithm>
#include <cstdlib>

#include <simdjson.h>

#include "endiveyard/telemetry/json_log.h"

namespace endiveyard {
namespace {

using simdjson::SUCCESS;
using simdjson::dom::element;

constexpr size_t kMaxEntries = kMaxStreamGroups * kMaxKnownFirstIds;
// Longer names are not recorded.
constexpr size_t kMaxNameBytes = 256;

int64_t InMillis(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

size_t LongestName(const StreamGroup& group) {
  return std::max(
      {group.service.size(), group.version.size(), group.route.size()});
}

bool DecodeName(const element& json, const char* field, std::string* name) {
  std::string_view text;
  if (json[field].get(text) != SUCCESS || text.size() > kMaxNameBytes) {
    return false;
  }
  *name = text;
  return true;
}

}  // namespace

std::string EncodeStreamStarts(const RecordedStreamStarts& starts) {
  std::string text = "{\"starts\":[";
  for (const auto& [start, confirmed_ms] : starts) {
    text += text.back() == '[' ? "" : ",";
    text += "{\"service\":" + JsonQuoted(start.group.service) +
            ",\"version\":" + JsonQuoted(start.group.version) +
            ",\"route\":" + JsonQuoted(start.group.route) +
            ",\"first_id\":" + std::to_string(start.first_id) +
            ",\"confirmed_ms\":" + std::to_string(confirmed_ms) + "}";
  }
  return text + "]}";
}

RecordedStreamStarts DecodeStreamStarts(std::string_view text) {
  RecordedStreamStarts starts;
  simdjson::dom::parser parser;
  simdjson::dom::array entries;
  if (parser.parse(text.data(), text.size())["starts"].get(entries) !=
      SUCCESS) {
    return starts;
  }
  for (const element it : entries) {
    StreamStart start;
    int64_t confirmed_ms = 0;
    if (starts.size() < kMaxEntries &&
        DecodeName(it, "service", &start.group.service) &&
        DecodeName(it, "version", &start.group.version) &&
        DecodeName(it, "route", &start.group.route) &&
        it["first_id"].get(start.first_id) == SUCCESS && start.first_id >= 0 &&
        it["confirmed_ms"].get(confirmed_ms) == SUCCESS && confirmed_ms >= 0) {
      starts[start] = confirmed_ms;
    }
  }
  return starts;
}

RecordedStreamStarts MergeStreamStarts(const RecordedStreamStarts& recorded,
                                       const std::vector<StreamStart>& learned,
                                       int64_t unix_ms) {
  const int64_t confirmation_ms = InMillis(kStreamStartConfirmationInterval);
  RecordedStreamStarts merged;
  for (const auto& [start, confirmed_ms] : recorded) {
    if (unix_ms - confirmed_ms < InMillis(kRecordedStreamStartLifetime)) {
      merged[start] = confirmed_ms;
    }
  }
  for (const StreamStart& it : learned) {
    if (LongestName(it.group) > kMaxNameBytes) {
      continue;
    }
    const auto known = merged.find(it);
    if (known != merged.end()) {
      // The time of day may be behind that of the instance that wrote it.
      if (unix_ms - known->second >= confirmation_ms) {
        known->second = unix_ms;
      }
      continue;
    }
    if (merged.size() >= kMaxEntries) {
      // Times far in the future are as wrong as old ones.
      const auto age_of = [unix_ms](const auto& entry) {
        return std::abs(unix_ms - entry.second);
      };
      const auto oldest = std::max_element(
          merged.begin(), merged.end(),
          [&](const auto& a, const auto& b) { return age_of(a) < age_of(b); });
      if (age_of(*oldest) < confirmation_ms) {
        continue;  // all are in use
      }
      merged.erase(oldest);
    }
    merged[it] = unix_ms;
  }
  return merged;
}

}  // namespace endiveyard
