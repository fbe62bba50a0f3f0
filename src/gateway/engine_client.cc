#include "gateway/engine_client.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>

#include <exception>
#include <utility>
#include <vector>

#include "gateway/attempt_table.h"
#include "gateway/client_failure.h"
#include "gateway/closable_callback.h"
#include "gateway/engine_event.h"
#include "gateway/sse_parser.h"

namespace endiveyard {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::methods;
using web::http::status_codes;
using web::http::client::http_client;
using web::http::client::http_client_config;
using web::json::value;

constexpr std::chrono::seconds kCancelTimeout(1);

std::string EventId(ExchangeId exchange, int attempt) {
  return "x" + std::to_string(exchange) + "/" + std::to_string(attempt);
}

std::string BuildRequestBody(const EngineRequest& request) {
  const StartAttempt& start = request.start;
  value body = value::parse(request.body);
  body["stream"] = value::boolean(true);
  value extension = value::object();
  extension["request_id"] = value::string("x" + std::to_string(start.exchange));
  extension["attempt"] = value::number(start.attempt);
  extension["priority"] = value::number(request.priority);
  extension["deadline_ms"] = value::number(request.remaining_ms);
  if (!start.resume.empty()) {
    std::vector<value> tokens;
    tokens.reserve(start.resume.size());
    for (const std::string& it : start.resume) {
      tokens.push_back(value::string(it));
    }
    extension["resume"] = value::array(std::move(tokens));
  }
  if (start.prefill_only) {
    extension["export_kv"] = value::boolean(true);
  }
  if (!start.import_kv.empty()) {
    value import = value::object();
    import["handle"] = value::string(start.import_kv);
    import["address"] = value::string(start.import_from);
    extension["import_kv"] = import;
  }
  body["endiveyard"] = extension;
  return body.serialize();
}

struct Attempt {
  StartAttempt start;
  std::string event_id;  // id that the engine's events must have
  std::unique_ptr<http_client> client;
  pplx::cancellation_token_source cancellation;
  concurrency::streams::streambuf<uint8_t> buf;
  SseParser parser;
  bool end_marker_received = false;
  AttemptCompleted completed;
};

}  // namespace

class EngineClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(EventCallback on_event) : on_event_(std::move(on_event)) {}

  void Start(const EngineRequest& request) {
    auto attempt = std::make_shared<Attempt>();
    attempt->start = request.start;
    attempt->event_id = EventId(request.start.exchange, request.start.attempt);
    attempt->completed.exchange = request.start.exchange;
    attempt->completed.attempt = request.start.attempt;
    attempt->client =
        std::make_unique<http_client>("http://" + request.start.address);
    attempts_.Add(request.start, attempt);
    http_request http(methods::POST);
    http.set_request_uri(request.chat ? "/v1/chat/completions"
                                      : "/v1/completions");
    http.set_body(BuildRequestBody(request), "application/json");
    auto self = shared_from_this();
    attempt->client->request(http, attempt->cancellation.get_token())
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
    std::shared_ptr<Attempt> attempt =
        attempts_.Remove(action.exchange, action.attempt);
    if (attempt != nullptr) {
      attempt->cancellation.cancel();
    }
    http_client_config config;
    config.set_timeout(kCancelTimeout);
    auto client =
        std::make_shared<http_client>("http://" + action.address, config);
    value body = value::object();
    body["id"] = value::string(EventId(action.exchange, action.attempt));
    client->request(methods::POST, "/v1/cancel", body)
        .then([client](pplx::task<http_response> task) {
          try {
            task.get();
          } catch (const std::exception&) {
            // Ignored: the engine also notices the closed connection.
          }
        });
  }

  void Stop() {
    on_event_.Close();
    attempts_.CancelAll();
  }

 private:
  void HandleResponseHead(const std::shared_ptr<Attempt>& attempt,
                          const http_response& response) {
    const int status = response.status_code();
    if (status == status_codes::OK) {
      attempt->buf = response.body().streambuf();
      ReadNextBytes(attempt);
      return;
    }
    auto self = shared_from_this();
    response.extract_utf8string(true).then(
        [self, attempt, status](pplx::task<std::string> task) {
          std::string text;
          try {
            text = task.get();
          } catch (const std::exception& error) {
            text = error.what();
          }
          const bool refused = text.find("\"not_run\"") != std::string::npos;
          const bool leaving = text.find("\"leaving\"") != std::string::npos;
          self->FailAttempt(
              attempt,
              refused ? AttemptFailure::kTargetRefused
                      : AttemptFailure::kTargetError,
              "the engine responded with status " + std::to_string(status),
              leaving);
        });
  }

  // Waits for one byte, then processes all buffered bytes, so that events that
  // have already arrived are handled as one batch.
  void ReadNextBytes(const std::shared_ptr<Attempt>& attempt) {
    auto self = shared_from_this();
    attempt->buf.getc().then([self, attempt](pplx::task<int> task) {
      try {
        if (task.get() ==
            concurrency::streams::streambuf<uint8_t>::traits::eof()) {
          self->HandleStreamEnd(attempt);
          return;
        }
        if (self->ProcessBufferedBytes(attempt)) {
          self->ReadNextBytes(attempt);
        }
      } catch (const std::exception& error) {
        self->FailAttempt(attempt, AttemptFailure::kConnectionLost,
                          error.what());
      }
    });
  }

  // Reads directly from the buffer: another asynchronous read would schedule
  // two tasks on the thread pool for each event. Returns false once the attempt
  // has ended.
  bool ProcessBufferedBytes(const std::shared_ptr<Attempt>& attempt) {
    uint8_t* data = nullptr;
    size_t n = 0;
    while (attempt->buf.acquire(data, n) && n > 0) {
      const bool more = ProcessBytes(
          attempt, std::string_view(reinterpret_cast<const char*>(data), n));
      attempt->buf.release(data, n);
      if (!more) {
        return false;
      }
    }
    return true;
  }

  // Returns false once the attempt has ended.
  bool ProcessBytes(const std::shared_ptr<Attempt>& attempt,
                    std::string_view bytes) {
    std::vector<std::string> payloads;
    if (!attempt->parser.Feed(bytes, &payloads)) {
      FailAttempt(attempt, AttemptFailure::kMalformed,
                  "the engine sent an event longer than 1 MiB");
      return false;
    }
    TokensReceived batch;
    for (const std::string& it : payloads) {
      EngineEvent event;
      if (!ParseEngineEvent(it, &event)) {
        FailAttempt(attempt, AttemptFailure::kMalformed,
                    "the engine sent an event that cannot be parsed");
        return false;
      }
      if (event.done) {
        attempt->end_marker_received = true;
        continue;
      }
      AppendTokens(*attempt, event, &batch);
      // A finish event of another request must not end this attempt.
      if (!event.finish_reason.empty() && event.id == attempt->event_id) {
        attempt->completed.finish_reason = event.finish_reason;
        attempt->completed.prompt_tokens = event.prompt_tokens;
        attempt->completed.kv_handle = event.kv_handle;
      }
    }
    ReportTokens(&batch);
    if (attempt->end_marker_received) {
      HandleStreamEnd(attempt);
      return false;
    }
    return true;
  }

  // Merges events with the same id and contiguous indexes into one batch.
  void AppendTokens(const Attempt& attempt,
                    const EngineEvent& event,
                    TokensReceived* batch) {
    if (event.tokens.empty()) {
      return;
    }
    const bool contiguous =
        !batch->tokens.empty() && batch->event_id == event.id &&
        batch->index + static_cast<int>(batch->tokens.size()) == event.index;
    if (!contiguous) {
      ReportTokens(batch);
      batch->exchange = attempt.start.exchange;
      batch->attempt = attempt.start.attempt;
      batch->event_id = event.id;
      batch->index = event.index;
    }
    batch->tokens.insert(batch->tokens.end(), event.tokens.begin(),
                         event.tokens.end());
  }

  void ReportTokens(TokensReceived* batch) {
    if (!batch->tokens.empty()) {
      on_event_(*batch);
      batch->tokens.clear();
    }
  }

  void HandleStreamEnd(const std::shared_ptr<Attempt>& attempt) {
    if (!attempt->end_marker_received) {
      FailAttempt(attempt, AttemptFailure::kConnectionLost,
                  "the engine's stream ended without the end marker [DONE]");
      return;
    }
    if (attempt->completed.finish_reason.empty()) {
      FailAttempt(attempt, AttemptFailure::kMalformed,
                  "the engine's stream ended without a finish reason");
      return;
    }
    if (attempts_.Remove(attempt->start.exchange, attempt->start.attempt) !=
        nullptr) {
      on_event_(attempt->completed);
    }
  }

  void FailAttempt(const std::shared_ptr<Attempt>& attempt,
                   AttemptFailure failure,
                   const std::string& detail,
                   bool leaving = false) {
    if (attempts_.Remove(attempt->start.exchange, attempt->start.attempt) ==
        nullptr) {
      return;
    }
    AttemptFailed failed = MakeAttemptFailed(attempt->start, failure, detail);
    failed.target_leaving = leaving;
    // Closes the connection, since the rest of the stream is not usable.
    attempt->cancellation.cancel();
    on_event_(failed);
  }

  ClosableCallback<ServingEvent> on_event_;
  AttemptTable<Attempt> attempts_;
};

EngineClient::EngineClient(EventCallback on_event)
    : impl_(std::make_shared<Impl>(std::move(on_event))) {}
EngineClient::~EngineClient() {
  Stop();
}

void EngineClient::Stop() {
  impl_->Stop();
}

void EngineClient::Start(const EngineRequest& request) {
  impl_->Start(request);
}

void EngineClient::Cancel(const CancelAttempt& action) {
  impl_->Cancel(action);
}

}  // namespace endiveyard
