#include "gateway/plain_service_client.h"

#include <cpprest/http_client.h>

#include <exception>
#include <map>
#include <mutex>
#include <utility>

#include "gateway/attempt_table.h"
#include "gateway/client_failure.h"
#include "gateway/closable_callback.h"

namespace endiveyard {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;

struct Attempt {
  StartAttempt start;
  std::shared_ptr<http_client> client;
  pplx::cancellation_token_source cancellation;
  int status = 0;
  std::string content_type;
};

// Whether the end of the body can be detected. A body with neither a length nor
// chunks ends when the connection closes, so a truncated one looks complete.
bool HasDelimitedBody(const http_response& response) {
  return response.headers().has("Content-Length") ||
         response.headers().has("Transfer-Encoding") ||
         response.status_code() == web::http::status_codes::NoContent ||
         response.status_code() == web::http::status_codes::NotModified;
}

http_request BuildRequest(const PlainServiceRequest& request) {
  http_request http(request.method);
  http.set_request_uri(request.path);
  if (!request.body.empty() || !request.content_type.empty()) {
    http.set_body(request.body, request.content_type.empty()
                                    ? "application/octet-stream"
                                    : request.content_type);
  }
  http.headers().add("X-Request-Id", request.request_id);
  http.headers().add("X-Deadline-Ms", std::to_string(request.remaining_ms));
  if (!request.idempotency_key.empty()) {
    http.headers().add("Idempotency-Key", request.idempotency_key);
  }
  return http;
}

}  // namespace

class PlainServiceClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(EventCallback on_event) : on_event_(std::move(on_event)) {}

  void Start(const PlainServiceRequest& request) {
    auto attempt = std::make_shared<Attempt>();
    attempt->start = request.start;
    attempt->client =
        request.start.dedicated_connection
            ? std::make_shared<http_client>("http://" + request.start.address)
            : PooledClient(request.start.address);
    attempts_.Add(request.start, attempt);
    auto self = shared_from_this();
    attempt->client
        ->request(BuildRequest(request), attempt->cancellation.get_token())
        .then([self, attempt](pplx::task<http_response> task) {
          try {
            self->HandleResponseHead(attempt, task.get());
          } catch (const std::exception& error) {
            self->FailAttempt(attempt, ClassifyClientFailure(error.what()),
                              error.what());
          }
        });
  }

  void Cancel(const CancelAttempt& action) {
    const auto attempt = attempts_.Remove(action.exchange, action.attempt);
    if (attempt != nullptr) {
      attempt->cancellation.cancel();
    }
  }

  void Stop() {
    on_event_.Close();
    attempts_.CancelAll();
  }

 private:
  std::shared_ptr<http_client> PooledClient(const std::string& address) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto& client = pooled_clients_[address];
    if (client == nullptr) {
      client = std::make_shared<http_client>("http://" + address);
    }
    return client;
  }

  void HandleResponseHead(const std::shared_ptr<Attempt>& attempt,
                          const http_response& response) {
    if (!HasDelimitedBody(response)) {
      FailAttempt(
          attempt, AttemptFailure::kMalformed,
          "the response has neither Content-Length nor Transfer-Encoding");
      return;
    }
    if (response.headers().content_length() > kMaxResponseBytes &&
        response.headers().has("Content-Length")) {
      FailAttempt(attempt, AttemptFailure::kMalformed,
                  "the response body is larger than 16 MiB");
      return;
    }
    attempt->status = response.status_code();
    attempt->content_type = response.headers().content_type();
    auto self = shared_from_this();
    // extract_vector() throws if the body is truncated.
    response.extract_vector().then(
        [self, attempt](pplx::task<std::vector<unsigned char>> task) {
          try {
            self->FinishAttempt(attempt, task.get());
          } catch (const std::exception& error) {
            self->FailAttempt(attempt, AttemptFailure::kConnectionLost,
                              error.what());
          }
        });
  }

  void FinishAttempt(const std::shared_ptr<Attempt>& attempt,
                     const std::vector<unsigned char>& body) {
    if (attempts_.Remove(attempt->start.exchange, attempt->start.attempt) ==
        nullptr) {
      return;
    }
    PlainAnswered answered;
    answered.exchange = attempt->start.exchange;
    answered.attempt = attempt->start.attempt;
    answered.status = attempt->status;
    answered.content_type = attempt->content_type;
    answered.body.assign(body.begin(), body.end());
    on_event_(answered);
  }

  void FailAttempt(const std::shared_ptr<Attempt>& attempt,
                   AttemptFailure failure,
                   const std::string& detail) {
    if (attempts_.Remove(attempt->start.exchange, attempt->start.attempt) ==
        nullptr) {
      return;
    }
    AttemptFailed failed = MakeAttemptFailed(attempt->start, failure, detail);
    on_event_(failed);
  }

  ClosableCallback<ServingEvent> on_event_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<http_client>> pooled_clients_;
  AttemptTable<Attempt> attempts_;
};

PlainServiceClient::PlainServiceClient(EventCallback on_event)
    : impl_(std::make_shared<Impl>(std::move(on_event))) {}
PlainServiceClient::~PlainServiceClient() {
  Stop();
}

void PlainServiceClient::Stop() {
  impl_->Stop();
}

void PlainServiceClient::Start(const PlainServiceRequest& request) {
  impl_->Start(request);
}

void PlainServiceClient::Cancel(const CancelAttempt& action) {
  impl_->Cancel(action);
}

}  // namespace endiveyard
