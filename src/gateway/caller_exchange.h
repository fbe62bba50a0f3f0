#ifndef ENDIVEYARD_SRC_GATEWAY_CALLER_EXCHANGE_H_
#define ENDIVEYARD_SRC_GATEWAY_CALLER_EXCHANGE_H_

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endiveyard/serving/serving_messages.h"
#include "gateway/completion_body.h"

namespace endiveyard {

// Shared counter of the responses that are being written to callers.
using OpenResponseCount = std::shared_ptr<std::atomic<int>>;

// Writes the response to one request to its caller. Once the request has been
// posted to the serving thread, only that thread uses this object.
class CallerExchange {
 public:
  // `on_disconnect` is called from a pool thread when the caller's connection
  // breaks before the response is written.
  CallerExchange(const web::http::http_request& http,
                 ServingRequest request,
                 OpenResponseCount open_responses,
                 std::function<void()> on_disconnect);

  const ServingRequest& request() const { return request_; }

  // Sends generated tokens to the caller if the response is streamed, otherwise
  // collects them. The first call sends the headers of a stream.
  void SendTokens(const std::vector<std::string>& tokens);

  // Each of these ends the response.
  void SendCompletion(const FinishCompletion& action);
  void SendPlainResponse(const FinishPlain& action);
  void SendError(ErrorKind kind,
                 const std::string& detail,
                 Duration retry_after);

 private:
  void WriteToStream(const std::string& text);
  void SendResponse(web::http::http_response response);

  web::http::http_request http_request_;
  const ServingRequest request_;
  const OpenResponseCount open_responses_;
  const std::function<void()> on_disconnect_;
  const CompletionMetadata metadata_;
  concurrency::streams::producer_consumer_buffer<uint8_t> stream_buf_;
  std::string collected_text_;  // used when the response is not streamed
  bool headers_sent_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_CALLER_EXCHANGE_H_
