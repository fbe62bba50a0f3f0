#include "relay/forwarded_request.h"

#include <charconv>
#include <map>
#include <tuple>

#include "absl/strings/escaping.h"

namespace endiveyard {
namespace {

constexpr std::string_view kTimeLeft = "left_us";
constexpr std::string_view kWaited = "waited_us";
constexpr std::string_view kDeliveredCalls = "calls";
constexpr std::string_view kPossibleRuns = "runs";
constexpr std::string_view kCounted = "counted";
constexpr std::string_view kLastEventId = "after";
constexpr std::string_view kStreamVersion = "version";

// Limits on what another instance may state.
constexpr int64_t kMaxMicros = 86'400'000'000;  // a day
constexpr int64_t kMaxCalls = 1000;
constexpr size_t kMaxVersionBytes = 256;

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

bool ForwardedRequest::operator==(const ForwardedRequest& other) const {
  const auto tie = [](const ForwardedRequest& it) {
    return std::tie(it.time_left, it.waited, it.delivered_calls,
                    it.possible_runs, it.counted, it.last_event_id,
                    it.stream_version);
  };
  return tie(*this) == tie(other);
}

std::string EncodeForwardedRequest(const ForwardedRequest& request) {
  std::string text;
  const auto add = [&text](std::string_view name, const std::string& value) {
    if (!text.empty()) {
      text += ';';
    }
    text.append(name).append("=").append(value);
  };
  add(kTimeLeft, std::to_string(request.time_left.count()));
  add(kWaited, std::to_string(request.waited.count()));
  add(kDeliveredCalls, std::to_string(request.delivered_calls));
  add(kPossibleRuns, std::to_string(request.possible_runs));
  add(kCounted, request.counted ? "1" : "0");
  if (request.last_event_id) {
    add(kLastEventId, std::to_string(*request.last_event_id));
  }
  if (request.stream_version) {
    add(kStreamVersion, EncodeVersion(*request.stream_version));
  }
  return text;
}

std::optional<ForwardedRequest> DecodeForwardedRequest(std::string_view text) {
  std::map<std::string_view, std::string_view> fields;
  while (!text.empty()) {
    const size_t end = text.find(';');
    const std::string_view field = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
    const size_t equals = field.find('=');
    if (equals == std::string_view::npos ||
        !fields.emplace(field.substr(0, equals), field.substr(equals + 1))
             .second) {
      return std::nullopt;
    }
  }
  const auto number = [&fields](std::string_view name,
                                int64_t max) -> std::optional<int64_t> {
    const auto it = fields.find(name);
    const auto value =
        it == fields.end() ? std::nullopt : ParseInteger(it->second);
    return value && *value >= 0 && *value <= max ? value : std::nullopt;
  };
  const auto time_left = number(kTimeLeft, kMaxMicros);
  const auto waited = number(kWaited, kMaxMicros);
  const auto calls = number(kDeliveredCalls, kMaxCalls);
  const auto runs = number(kPossibleRuns, kMaxCalls);
  const auto counted = number(kCounted, 1);
  if (!time_left || !waited || !calls || !runs || !counted || *runs > *calls) {
    return std::nullopt;
  }
  ForwardedRequest request;
  request.time_left = Duration(*time_left);
  request.waited = Duration(*waited);
  request.delivered_calls = static_cast<int>(*calls);
  request.possible_runs = static_cast<int>(*runs);
  request.counted = *counted == 1;
  if (const auto it = fields.find(kLastEventId); it != fields.end()) {
    request.last_event_id = ParseInteger(it->second);
    if (!request.last_event_id) {
      return std::nullopt;
    }
  }
  if (const auto it = fields.find(kStreamVersion); it != fields.end()) {
    request.stream_version = DecodeVersion(it->second);
    if (!request.stream_version) {
      return std::nullopt;
    }
  }
  return request;
}

std::string EncodeVersion(std::string_view version) {
  return absl::BytesToHexString(
      absl::string_view(version.data(), version.size()));
}

std::optional<std::string> DecodeVersion(std::string_view text) {
  const auto is_hex_digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  if (text.size() % 2 != 0 || text.size() > 2 * kMaxVersionBytes) {
    return std::nullopt;
  }
  for (const char it : text) {
    if (!is_hex_digit(it)) {
      return std::nullopt;
    }
  }
  return absl::HexStringToBytes(absl::string_view(text.data(), text.size()));
}

}  // namespace endiveyard
