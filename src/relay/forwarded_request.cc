#include "relay/forwarded_request.h"

#include <algorithm>
#include <charconv>
#include <limits>
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
constexpr std::string_view kPrefilled = "prefilled";
constexpr std::string_view kMapVersion = "map";
constexpr std::string_view kService = "service";
constexpr std::string_view kLastEventId = "after";
constexpr std::string_view kVersion = "version";
constexpr std::string_view kReplica = "replica";

// Limits on what another instance may state.
constexpr int64_t kMaxMicros = 86'400'000'000;  // a day
constexpr int64_t kMaxCalls = 1000;
constexpr int64_t kMaxMapVersion = std::numeric_limits<int64_t>::max();
constexpr size_t kMaxTextBytes = 256;

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Names and versions are text without any restriction, so they are sent in
// hexadecimal.
std::string EncodeText(std::string_view text) {
  return absl::BytesToHexString(absl::string_view(text.data(), text.size()));
}

std::optional<std::string> DecodeText(std::string_view text) {
  const auto is_hex_digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  if (text.size() % 2 != 0 || text.size() > 2 * kMaxTextBytes ||
      !std::all_of(text.begin(), text.end(), is_hex_digit)) {
    return std::nullopt;
  }
  return absl::HexStringToBytes(absl::string_view(text.data(), text.size()));
}

// Fields in the form "name=value;name=value".
class FieldWriter {
 public:
  void Add(std::string_view name, std::string_view value) {
    if (!text_.empty()) {
      text_ += ';';
    }
    text_.append(name).append("=").append(value);
  }
  void Add(std::string_view name, int64_t value) {
    Add(name, std::string_view(std::to_string(value)));
  }

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

class FieldReader {
 public:
  explicit FieldReader(std::string_view text) {
    while (!text.empty()) {
      const size_t end = text.find(';');
      const std::string_view field = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view()
                                           : text.substr(end + 1);
      const size_t equals = field.find('=');
      is_valid_ =
          is_valid_ && equals != std::string_view::npos &&
          fields_.emplace(field.substr(0, equals), field.substr(equals + 1))
              .second;
    }
  }

  // False once a field was malformed or missing.
  bool is_valid() const { return is_valid_; }
  bool Has(std::string_view name) const { return fields_.count(name) > 0; }

  int64_t Number(std::string_view name, int64_t min, int64_t max) {
    const auto it = fields_.find(name);
    const auto value =
        it == fields_.end() ? std::nullopt : ParseInteger(it->second);
    is_valid_ = is_valid_ && value && *value >= min && *value <= max;
    return value.value_or(0);
  }
  std::string Text(std::string_view name) {
    const auto it = fields_.find(name);
    const auto value =
        it == fields_.end() ? std::nullopt : DecodeText(it->second);
    is_valid_ = is_valid_ && value;
    return value.value_or("");
  }

 private:
  std::map<std::string_view, std::string_view> fields_;
  bool is_valid_ = true;
};

}  // namespace

bool ForwardedRequest::operator==(const ForwardedRequest& other) const {
  const auto tie = [](const ForwardedRequest& it) {
    return std::tie(it.time_left, it.waited, it.delivered_calls,
                    it.possible_runs, it.counted, it.prefilled, it.map_version,
                    it.last_event_id, it.stream_version, it.service,
                    it.excluded_replica);
  };
  return tie(*this) == tie(other);
}

bool ForwardedResponse::operator==(const ForwardedResponse& other) const {
  return delivered_calls == other.delivered_calls &&
         possible_runs == other.possible_runs &&
         replica_id == other.replica_id && version == other.version;
}

std::string EncodeForwardedRequest(const ForwardedRequest& request) {
  FieldWriter fields;
  fields.Add(kTimeLeft, request.time_left.count());
  fields.Add(kWaited, request.waited.count());
  fields.Add(kDeliveredCalls, request.delivered_calls);
  fields.Add(kPossibleRuns, request.possible_runs);
  fields.Add(kCounted, request.counted ? 1 : 0);
  fields.Add(kPrefilled, request.prefilled ? 1 : 0);
  fields.Add(kMapVersion, request.map_version);
  if (request.last_event_id) {
    fields.Add(kLastEventId, *request.last_event_id);
  }
  if (request.stream_version) {
    fields.Add(kVersion, EncodeText(*request.stream_version));
  }
  if (request.service) {
    fields.Add(kService, EncodeText(*request.service));
  }
  if (!request.excluded_replica.empty()) {
    fields.Add(kReplica, EncodeText(request.excluded_replica));
  }
  return fields.text();
}

std::optional<ForwardedRequest> DecodeForwardedRequest(std::string_view text) {
  FieldReader fields(text);
  ForwardedRequest request;
  request.time_left = Duration(fields.Number(kTimeLeft, 0, kMaxMicros));
  request.waited = Duration(fields.Number(kWaited, 0, kMaxMicros));
  request.delivered_calls =
      static_cast<int>(fields.Number(kDeliveredCalls, 0, kMaxCalls));
  request.possible_runs = static_cast<int>(
      fields.Number(kPossibleRuns, 0, request.delivered_calls));
  request.counted = fields.Number(kCounted, 0, 1) == 1;
  request.prefilled = fields.Number(kPrefilled, 0, 1) == 1;
  request.map_version = fields.Number(kMapVersion, 0, kMaxMapVersion);
  if (fields.Has(kLastEventId)) {
    request.last_event_id =
        fields.Number(kLastEventId, std::numeric_limits<int64_t>::min(),
                      std::numeric_limits<int64_t>::max());
  }
  if (fields.Has(kVersion)) {
    request.stream_version = fields.Text(kVersion);
  }
  if (fields.Has(kService)) {
    request.service = fields.Text(kService);
  }
  if (fields.Has(kReplica)) {
    request.excluded_replica = fields.Text(kReplica);
  }
  return fields.is_valid() ? std::optional(request) : std::nullopt;
}

std::string EncodeForwardedResponse(const ForwardedResponse& response) {
  FieldWriter fields;
  fields.Add(kDeliveredCalls, response.delivered_calls);
  fields.Add(kPossibleRuns, response.possible_runs);
  fields.Add(kReplica, EncodeText(response.replica_id));
  fields.Add(kVersion, EncodeText(response.version));
  return fields.text();
}

std::optional<ForwardedResponse> DecodeForwardedResponse(
    std::string_view text) {
  FieldReader fields(text);
  ForwardedResponse response;
  response.delivered_calls =
      static_cast<int>(fields.Number(kDeliveredCalls, 0, kMaxCalls));
  response.possible_runs = static_cast<int>(
      fields.Number(kPossibleRuns, 0, response.delivered_calls));
  response.replica_id = fields.Text(kReplica);
  response.version = fields.Text(kVersion);
  return fields.is_valid() ? std::optional(response) : std::nullopt;
}

}  // namespace endiveyard
