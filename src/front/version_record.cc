#include "front/version_record.h"

#include <algorithm>

#include <simdjson.h>

#include "endiveyard/telemetry/json_log.h"

namespace endiveyard {
namespace {

using simdjson::SUCCESS;
using simdjson::dom::element;

// Limits on what is read. A release replaces the replicas of one service in
// steps, with two or three versions at a time.
constexpr size_t kMaxServices = 1024;
constexpr size_t kMaxPeriods = 256;
constexpr size_t kMaxVersions = 64;
constexpr int64_t kMaxReplicas = 1000000;

constexpr int64_t kMicrosPerMilli = 1000;

bool DecodeCounts(const element& json, VersionCounts* counts) {
  simdjson::dom::object versions;
  if (json["versions"].get(versions) != SUCCESS ||
      versions.size() > kMaxVersions) {
    return false;
  }
  for (const auto& [version, extremes] : versions) {
    simdjson::dom::array numbers;
    int64_t least = 0;
    int64_t most = 0;
    if (extremes.get(numbers) != SUCCESS || numbers.size() != 2 ||
        numbers.at(0).get(least) != SUCCESS ||
        numbers.at(1).get(most) != SUCCESS || least < 0 || most < least ||
        most > kMaxReplicas) {
      return false;
    }
    (*counts)[std::string(version)] = {static_cast<int>(least),
                                       static_cast<int>(most)};
  }
  return true;
}

bool DecodePeriods(const element& json,
                   TimePoint now,
                   int64_t unix_ms,
                   std::vector<VersionPeriod>* periods) {
  simdjson::dom::array entries;
  if (json.get(entries) != SUCCESS || entries.size() > kMaxPeriods) {
    return false;
  }
  for (const element it : entries) {
    int64_t since_ms = 0;
    VersionPeriod period;
    if (it["since_ms"].get(since_ms) != SUCCESS ||
        !DecodeCounts(it, &period.counts)) {
      return false;
    }
    // At least one minute of the range of the type is left.
    constexpr int64_t kMaxAgeMs = int64_t{24} * 3600 * 1000;
    const int64_t age_ms = std::clamp<int64_t>(
        unix_ms - std::clamp<int64_t>(since_ms, 0, unix_ms), 0, kMaxAgeMs);
    period.since = std::min(
        now, now - Duration(age_ms * kMicrosPerMilli) + kMaxClockDifference);
    if (!periods->empty() && period.since < periods->back().since) {
      return false;
    }
    periods->push_back(std::move(period));
  }
  return true;
}

const VersionCounts* LastCounts(const VersionPeriods& periods,
                                const std::string& service) {
  const auto it = periods.find(service);
  return it == periods.end() || it->second.empty() ? nullptr
                                                   : &it->second.back().counts;
}

}  // namespace

std::string EncodeVersionRecord(const VersionPeriods& periods,
                                TimePoint now,
                                int64_t unix_ms,
                                int64_t era) {
  std::string text =
      (era == 0 ? std::string("{") : "{\"era\":" + std::to_string(era) + ",") +
      "\"services\":{";
  for (const auto& [service, entries] : periods) {
    text += text.back() == '{' ? "" : ",";
    text += JsonQuoted(service) + ":[";
    for (const VersionPeriod& period : entries) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - period.since);
      text += text.back() == '[' ? "" : ",";
      text += "{\"since_ms\":" + std::to_string(unix_ms - age.count()) +
              ",\"versions\":{";
      for (const auto& [version, count] : period.counts) {
        text += text.back() == '{' ? "" : ",";
        text += JsonQuoted(version) + ":[" + std::to_string(count.least) + "," +
                std::to_string(count.most) + "]";
      }
      text += "}}";
    }
    text += "]";
  }
  return text + "}}";
}

VersionPeriods DecodeVersionRecord(std::string_view text,
                                   TimePoint now,
                                   int64_t unix_ms) {
  VersionPeriods periods;
  simdjson::dom::parser parser;
  simdjson::dom::object services;
  if (parser.parse(text.data(), text.size())["services"].get(services) !=
          SUCCESS ||
      services.size() > kMaxServices) {
    return periods;
  }
  for (const auto& [service, json] : services) {
    std::vector<VersionPeriod> decoded;
    if (DecodePeriods(json, now, unix_ms, &decoded)) {
      periods[std::string(service)] = std::move(decoded);
    }
  }
  return periods;
}

int64_t DecodeVersionRecordEra(std::string_view text) {
  simdjson::dom::parser parser;
  int64_t era = 0;
  return parser.parse(text.data(), text.size())["era"].get(era) == SUCCESS ? era
                                                                           : 0;
}

bool NeedsRecording(const VersionPeriods& recorded,
                    const VersionPeriods& current) {
  return std::any_of(
      current.begin(), current.end(), [&recorded](const auto& entry) {
        const VersionCounts& now_in_force = entry.second.back().counts;
        const VersionCounts* last = LastCounts(recorded, entry.first);
        if (last == nullptr) {
          return !now_in_force.empty();
        }
        const bool same_single_version =
            last->size() == 1 && now_in_force.size() == 1 &&
            last->begin()->first == now_in_force.begin()->first;
        return !same_single_version && !(*last == now_in_force);
      });
}

}  // namespace endiveyard
