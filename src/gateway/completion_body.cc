#include "gateway/completion_body.h"

#include <cpprest/json.h>

namespace endiveyard {
namespace {

using web::json::value;

value MakeCompletionBody(const CompletionMetadata& metadata,
                         const char* object) {
  value body = value::object();
  body["id"] = value::string(metadata.request_id);
  body["object"] = value::string(object);
  body["created"] = value::number(metadata.created_s);
  body["model"] = value::string(metadata.model);
  return body;
}

const char* ChunkObjectName(const CompletionMetadata& metadata) {
  return metadata.chat ? "chat.completion.chunk" : "text_completion";
}

value MakeChunkChoice(const CompletionMetadata& metadata,
                      const std::string& text) {
  value choice = value::object();
  choice["index"] = value::number(0);
  if (metadata.chat) {
    choice["delta"] = value::object({{"content", value::string(text)}});
  } else {
    choice["text"] = value::string(text);
  }
  choice["finish_reason"] = value::null();
  return choice;
}

value MakeUsage(const TokenUsage& usage) {
  value body = value::object();
  body["prompt_tokens"] = value::number(usage.prompt_tokens);
  body["completion_tokens"] = value::number(usage.completion_tokens);
  body["total_tokens"] =
      value::number(usage.prompt_tokens + usage.completion_tokens);
  return body;
}

std::string FormatEvent(const value& body) {
  return "data: " + body.serialize() + "\n\n";
}

value MakeErrorBody(ErrorKind kind, const std::string& detail) {
  const ErrorResponse& answer = ErrorResponseFor(kind);
  std::string message(answer.message);
  if (!detail.empty()) {
    message += ": " + detail;
  }
  value error = value::object();
  error["kind"] = value::string(std::string(answer.name));
  error["message"] = value::string(message);
  error["run"] = value::string(std::string(RunStateName(answer.run)));
  error["retry"] = value::string(std::string(RetryAdviceName(answer.retry)));
  value body = value::object();
  body["error"] = error;
  return body;
}

}  // namespace

std::string FormatTokenEvent(const CompletionMetadata& metadata,
                             const std::string& text) {
  value body = MakeCompletionBody(metadata, ChunkObjectName(metadata));
  body["choices"] = value::array({MakeChunkChoice(metadata, text)});
  return FormatEvent(body);
}

std::string FormatFinalEvents(const CompletionMetadata& metadata,
                              const std::string& finish_reason,
                              const TokenUsage& usage) {
  value body = MakeCompletionBody(metadata, ChunkObjectName(metadata));
  value choice = MakeChunkChoice(metadata, "");
  choice["finish_reason"] = value::string(finish_reason);
  body["choices"] = value::array({choice});
  body["usage"] = MakeUsage(usage);
  return FormatEvent(body) + "data: [DONE]\n\n";
}

std::string FormatErrorEvent(ErrorKind kind, const std::string& detail) {
  return FormatEvent(MakeErrorBody(kind, detail));
}

std::string FormatCompletion(const CompletionMetadata& metadata,
                             const std::string& text,
                             const std::string& finish_reason,
                             const TokenUsage& usage) {
  value body = MakeCompletionBody(
      metadata, metadata.chat ? "chat.completion" : "text_completion");
  value choice = value::object();
  choice["index"] = value::number(0);
  if (metadata.chat) {
    value message = value::object();
    message["role"] = value::string("assistant");
    message["content"] = value::string(text);
    choice["message"] = message;
  } else {
    choice["text"] = value::string(text);
  }
  choice["finish_reason"] = value::string(finish_reason);
  body["choices"] = value::array({choice});
  body["usage"] = MakeUsage(usage);
  return body.serialize();
}

std::string FormatErrorBody(ErrorKind kind, const std::string& detail) {
  return MakeErrorBody(kind, detail).serialize();
}

}  // namespace endiveyard
