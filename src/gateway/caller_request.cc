#include "gateway/caller_request.h"

#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "endiveyard/base/error_kind.h"

namespace endiveyard {
namespace {

constexpr int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr int64_t kMaxOutputTokens = 1 << 20;
constexpr int kMaxPriority = 9;
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr size_t kMaxRequestIdBytes = 128;

absl::Status BadRequest(std::string_view reason) {
  return MakeError(ErrorKind::kBadRequest, reason);
}

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > 0x20 && c < 0x7f; });
}

absl::Status ParseHeaders(const CallerRequestHead& head,
                          const FleetConfiguration& configuration,
                          TimePoint now,
                          ServingRequest* request) {
  request->received = now;
  int64_t deadline_ms =
      configuration
          .Lookup("default_deadline_ms",
                  {request->house, request->caller_class, request->service, {}})
          .integer();
  if (const std::string text = head.GetHeader("x-deadline-ms"); !text.empty()) {
    const auto value = ParseInteger(text);
    if (!value || *value < 1 || *value > kMaxDeadlineMs) {
      return BadRequest(
          "X-Deadline-Ms is not an integer between 1 and 86400000");
    }
    deadline_ms = *value;
  }
  request->deadline = now + std::chrono::milliseconds(deadline_ms);
  if (const std::string text = head.GetHeader("x-priority"); !text.empty()) {
    const auto value = ParseInteger(text);
    if (!value || *value < 0 || *value > kMaxPriority) {
      return BadRequest("X-Priority is not an integer between 0 and 9");
    }
    request->priority = static_cast<int>(*value);
  }
  request->idempotency_key = head.GetHeader("idempotency-key");
  if (request->idempotency_key.size() > kMaxIdempotencyKeyBytes ||
      !IsVisibleAscii(request->idempotency_key)) {
    return BadRequest(
        "Idempotency-Key is not 1 to 256 visible ASCII characters");
  }
  return absl::OkStatus();
}

absl::Status ParsePrompt(const simdjson::dom::element& root,
                         ServingRequest* request) {
  std::string_view text;
  if (request->kind == RequestKind::kCompletion) {
    if (root["prompt"].get(text) != simdjson::SUCCESS) {
      return BadRequest("the field prompt is missing or not a string");
    }
    request->prompt = std::string(text);
    return absl::OkStatus();
  }
  simdjson::dom::array messages;
  if (root["messages"].get(messages) != simdjson::SUCCESS ||
      messages.begin() == messages.end()) {
    return BadRequest("the field messages is missing or not a non-empty array");
  }
  for (const simdjson::dom::element it : messages) {
    std::string_view role;
    if (it["role"].get(role) != simdjson::SUCCESS ||
        it["content"].get(text) != simdjson::SUCCESS) {
      return BadRequest(
          "an element of messages does not have both role and content as "
          "strings");
    }
    request->prompt.append(role).append(": ").append(text).append("\n");
  }
  return absl::OkStatus();
}

// Reads an optional field. Leaves `*value` unchanged if the field is missing or
// null; returns false if the field has another type.
template <typename T>
bool ReadOptional(const simdjson::dom::element& root,
                  std::string_view name,
                  T* value) {
  simdjson::dom::element element;
  if (root[name].get(element) != simdjson::SUCCESS || element.is_null()) {
    return true;
  }
  return element.get(*value) == simdjson::SUCCESS;
}

absl::Status ParseCompletionBody(const FleetConfiguration& configuration,
                                 ServingRequest* request) {
  thread_local simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (parser.parse(request->body).get(root) != simdjson::SUCCESS ||
      !root.is_object()) {
    return BadRequest("the body is not a valid JSON object");
  }
  std::string_view model;
  if (root["model"].get(model) != simdjson::SUCCESS || model.empty()) {
    return BadRequest("the field model is missing or not a non-empty string");
  }
  request->model = std::string(model);
  int64_t max_tokens = request->max_tokens;
  std::string_view adapter;
  if (!ReadOptional(root, "max_tokens", &max_tokens) || max_tokens < 1 ||
      max_tokens > kMaxOutputTokens) {
    return BadRequest(
        "the field max_tokens is not an integer between 1 and 1048576");
  }
  if (!ReadOptional(root, "stream", &request->stream)) {
    return BadRequest("the field stream is not a boolean");
  }
  if (!ReadOptional(root, "temperature", &request->temperature)) {
    return BadRequest("the field temperature is not a number");
  }
  if (!ReadOptional(root, "adapter", &adapter)) {
    return BadRequest("the field adapter is not a string");
  }
  request->adapter = std::string(adapter);
  request->max_tokens = static_cast<int>(max_tokens);
  const ServiceEntry* service =
      configuration.FindModelService(request->house, request->model);
  if (service == nullptr) {
    return MakeError(ErrorKind::kUnknownService,
                     "model '" + request->model + "'");
  }
  request->service = service->name;
  return ParsePrompt(root, request);
}

absl::Status ParsePlainRequest(const CallerRequestHead& head,
                               const FleetConfiguration& configuration,
                               ServingRequest* request) {
  const PlainRoute route =
      configuration.FindPlainRoute(request->house, head.method, head.path);
  if (route.rule == nullptr) {
    return MakeError(route.path_exists ? ErrorKind::kMethodNotAllowed
                                       : ErrorKind::kUnknownService,
                     head.method + " " + head.path);
  }
  request->kind = RequestKind::kPlain;
  request->service = route.service->name;
  request->idempotent = route.rule->idempotent;
  request->method = head.method;
  request->path = head.query.empty() ? head.path : head.path + "?" + head.query;
  request->content_type = head.GetHeader("content-type");
  return absl::OkStatus();
}

}  // namespace

std::string CallerRequestHead::GetHeader(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

absl::StatusOr<int64_t> CheckRequestHead(const CallerRequestHead& head,
                                         const CallerRequestLimits& limits) {
  if (head.header_bytes > limits.max_header_bytes) {
    return MakeError(ErrorKind::kHeadersTooLarge, "");
  }
  // The listener treats a malformed chunk header as the end of the body, so a
  // chunked request could be run with a truncated body.
  if (!head.GetHeader("transfer-encoding").empty()) {
    return MakeError(ErrorKind::kLengthRequired,
                     "got a Transfer-Encoding header, which is not supported");
  }
  const std::string text = head.GetHeader("content-length");
  if (text.empty()) {
    if (head.method == "POST" || head.method == "PUT" ||
        head.method == "PATCH") {
      return MakeError(ErrorKind::kLengthRequired, "");
    }
    return 0;
  }
  const auto length = ParseInteger(text);
  if (!length || *length < 0) {
    return BadRequest("Content-Length is not a non-negative integer");
  }
  if (*length > limits.max_body_bytes) {
    return MakeError(
        ErrorKind::kBodyTooLarge,
        "the maximum is " + std::to_string(limits.max_body_bytes) + " bytes");
  }
  return *length;
}

absl::StatusOr<const CallerEntry*> Authenticate(
    const CallerRequestHead& head,
    const FleetConfiguration& configuration) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header = head.GetHeader("authorization");
  if (header.rfind(kScheme, 0) != 0) {
    return MakeError(ErrorKind::kUnauthorized,
                     "expected a header 'Authorization: Bearer KEY'");
  }
  const CallerEntry* caller =
      configuration.FindCaller(header.substr(kScheme.size()));
  if (caller == nullptr) {
    return MakeError(ErrorKind::kUnauthorized, "");
  }
  return caller;
}

absl::StatusOr<ServingRequest> ParseCallerRequest(
    const CallerRequestHead& head,
    std::string body,
    const CallerEntry& caller,
    const FleetConfiguration& configuration,
    TimePoint now) {
  ServingRequest request;
  request.house = caller.house;
  request.caller_class = caller.caller_class;
  request.body = std::move(body);
  absl::Status status;
  if (head.path == "/v1/completions" || head.path == "/v1/chat/completions") {
    if (head.method != "POST") {
      return MakeError(ErrorKind::kMethodNotAllowed, head.method);
    }
    request.kind = head.path == "/v1/completions" ? RequestKind::kCompletion
                                                  : RequestKind::kChat;
    status = ParseCompletionBody(configuration, &request);
  } else {
    status = ParsePlainRequest(head, configuration, &request);
  }
  if (!status.ok()) {
    return status;
  }
  status = ParseHeaders(head, configuration, now, &request);
  if (!status.ok()) {
    return status;
  }
  return request;
}

std::string ChooseRequestId(const CallerRequestHead& head,
                            const std::string& fallback) {
  const std::string id = head.GetHeader("x-request-id");
  const bool valid =
      !id.empty() && id.size() <= kMaxRequestIdBytes && IsVisibleAscii(id);
  return valid ? id : fallback;
}

}  // namespace endiveyard
