#include "gateway/caller_exchange.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace endiveyard {
namespace {

using web::http::http_response;

CompletionMetadata MakeCompletionMetadata(const ServingRequest& request) {
  CompletionMetadata metadata;
  metadata.request_id = request.request_id;
  metadata.model = request.model;
  metadata.created_s = std::chrono::duration_cast<std::chrono::seconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  metadata.chat = request.kind == RequestKind::kChat;
  return metadata;
}

}  // namespace

CallerExchange::CallerExchange(const web::http::http_request& http,
                               ServingRequest request,
                               OpenResponseCount open_responses,
                               std::function<void()> on_disconnect)
    : http_request_(http),
      request_(std::move(request)),
      open_responses_(std::move(open_responses)),
      on_disconnect_(std::move(on_disconnect)),
      metadata_(MakeCompletionMetadata(request_)) {}

void CallerExchange::SendTokens(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& it : tokens) {
    text += it;
  }
  if (!request_.stream) {
    collected_text_ += text;
    return;
  }
  WriteToStream(FormatTokenEvent(metadata_, text));
}

void CallerExchange::SendCompletion(const FinishCompletion& action) {
  const TokenUsage usage{action.prompt_tokens, action.completion_tokens};
  if (request_.stream) {
    WriteToStream(FormatFinalEvents(metadata_, action.finish_reason, usage));
    stream_buf_.close(std::ios_base::out);
    return;
  }
  http_response response(web::http::status_codes::OK);
  response.set_body(
      FormatCompletion(metadata_, collected_text_, action.finish_reason, usage),
      "application/json");
  SendResponse(response);
}

void CallerExchange::SendPlainResponse(const FinishPlain& action) {
  http_response response(static_cast<web::http::status_code>(action.status));
  if (!action.body.empty() || !action.content_type.empty()) {
    response.set_body(action.body, action.content_type);
  }
  SendResponse(response);
}

void CallerExchange::SendError(ErrorKind kind,
                               const std::string& detail,
                               Duration retry_after) {
  if (headers_sent_) {
    WriteToStream(FormatErrorEvent(kind, detail));
    // The missing end marker indicates to the caller that the stream is
    // incomplete.
    stream_buf_.close(std::ios_base::out);
    return;
  }
  http_response response(
      static_cast<web::http::status_code>(ErrorResponseFor(kind).http_status));
  response.set_body(FormatErrorBody(kind, detail), "application/json");
  if (retry_after > Duration::zero()) {
    constexpr int64_t kMicrosPerSecond = 1000000;
    const int64_t seconds =
        (retry_after.count() + kMicrosPerSecond - 1) / kMicrosPerSecond;
    response.headers().add("Retry-After", std::to_string(seconds));
  }
  SendResponse(response);
}

void CallerExchange::WriteToStream(const std::string& text) {
  if (!headers_sent_) {
    http_response response(web::http::status_codes::OK);
    response.set_body(stream_buf_.create_istream(), "text/event-stream");
    response.headers().add("Cache-Control", "no-cache");
    SendResponse(response);
  }
  // alloc() and commit() run synchronously; putn() would schedule tasks on the
  // thread pool.
  uint8_t* block = stream_buf_.alloc(text.size());
  if (block == nullptr) {
    return;  // the caller has disconnected
  }
  std::copy(text.begin(), text.end(), block);
  stream_buf_.commit(text.size());
  stream_buf_.sync();
}

void CallerExchange::SendResponse(http_response response) {
  headers_sent_ = true;
  response.headers().add("X-Request-Id", request_.request_id);
  ++*open_responses_;
  http_request_.reply(response).then(
      [on_disconnect = on_disconnect_,
       open = open_responses_](pplx::task<void> task) {
        try {
          task.get();
        } catch (const std::exception&) {
          on_disconnect();
        }
        --*open;
      });
}

}  // namespace endiveyard
