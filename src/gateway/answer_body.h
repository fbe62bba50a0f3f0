#ifndef ENDIVEYARD_SRC_GATEWAY_ANSWER_BODY_H_
#define ENDIVEYARD_SRC_GATEWAY_ANSWER_BODY_H_

#include <cstdint>
#include <string>

#include "endiveyard/base/error_kind.h"

namespace endiveyard {

// What every body of one model answer repeats.
struct AnswerIdentity {
  std::string request_id;
  std::string model;
  int64_t created_s = 0;  // Unix time in seconds
  bool chat = false;
};

struct AnswerUsage {
  int prompt_tokens = 0;
  int completion_tokens = 0;
};

// Server-sent event with a part of the answer's text.
std::string TokensEvent(const AnswerIdentity& identity,
                        const std::string& text);

// Last event, with finish reason and usage, and the end marker.
std::string FinishEvents(const AnswerIdentity& identity,
                         const std::string& finish_reason,
                         const AnswerUsage& usage);

// Event that reports an error after part of the answer was delivered. No end
// marker follows, so the stream is not whole.
std::string ErrorEvent(ErrorKind kind, const std::string& detail);

// Body of an answer that is not streamed.
std::string WholeAnswer(const AnswerIdentity& identity,
                        const std::string& text,
                        const std::string& finish_reason,
                        const AnswerUsage& usage);

// Body of an error answer.
std::string ErrorBody(ErrorKind kind, const std::string& detail);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_ANSWER_BODY_H_
