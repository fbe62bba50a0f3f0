#ifndef ENDIVEYARD_SRC_GATEWAY_COMPLETION_BODY_H_
#define ENDIVEYARD_SRC_GATEWAY_COMPLETION_BODY_H_

#include <cstdint>
#include <string>

#include "endiveyard/base/error_kind.h"

namespace endiveyard {

// Fields repeated in every body of the response to one completion request.
struct CompletionMetadata {
  std::string request_id;
  std::string model;
  int64_t created_s = 0;  // Unix time in seconds
  bool chat = false;
};

struct TokenUsage {
  int prompt_tokens = 0;
  int completion_tokens = 0;
};

// Formats a server-sent event with a part of the generated text.
std::string FormatTokenEvent(const CompletionMetadata& metadata,
                             const std::string& text);

// Formats the last event, with finish reason and usage, and the end marker
// "[DONE]".
std::string FormatFinalEvents(const CompletionMetadata& metadata,
                              const std::string& finish_reason,
                              const TokenUsage& usage);

// Formats an event that reports an error after part of the response was sent.
// No end marker follows, so the caller can tell that the stream is incomplete.
std::string FormatErrorEvent(ErrorKind kind, const std::string& detail);

// Formats the body of a response that is not streamed.
std::string FormatCompletion(const CompletionMetadata& metadata,
                             const std::string& text,
                             const std::string& finish_reason,
                             const TokenUsage& usage);

// Formats the body of an error response.
std::string FormatErrorBody(ErrorKind kind, const std::string& detail);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_COMPLETION_BODY_H_
