#include "endiveyard/object_api/http_object_api.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "endiveyard/object_api/instance_list_json.h"

namespace endiveyard {
namespace {

using web::json::value;

constexpr char kObjectsPath[] = "/v1/objects";

// Time allowed for the response of a watch to arrive after its wait.
constexpr Duration kWatchResponseMargin = std::chrono::seconds(2);

// Result of one HTTP request.
struct HttpResult {
  bool connected = true;  // false: no connection was established
  int status = 0;         // 0: no complete response
  Duration retry_after{0};
  std::string body;
  std::string error;
};

bool FailedToConnect(const web::http::http_exception& e) {
  // The error code is not sufficient: an established connection can also report
  // host_unreachable. cpprestsdk uses this message text only while connecting.
  // If a later version changes the text, the outcome is reported as unknown,
  // which is safe.
  return std::string(e.what()).rfind("Failed to connect to any resolved", 0) ==
         0;
}

HttpResult MakeHttpResult(const pplx::task<std::string>& body,
                          const web::http::http_response& response) {
  HttpResult http_result;
  http_result.body = body.get();
  http_result.status = response.status_code();
  std::string retry_after;
  int64_t seconds = 0;
  if (response.headers().match("Retry-After", retry_after) &&
      absl::SimpleAtoi(retry_after, &seconds)) {
    http_result.retry_after =
        std::chrono::seconds(std::max<int64_t>(0, seconds));
  }
  return http_result;
}

std::string MakeErrorText(const HttpResult& http_result) {
  return absl::StrCat("object API: ",
                      http_result.status != 0
                          ? absl::StrCat("HTTP status ", http_result.status)
                          : http_result.error);
}

// Returns the error of a read without a usable response.
absl::Status ReadError(const HttpResult& http_result) {
  if (http_result.status == 429) {
    return RateLimitedError(http_result.retry_after);
  }
  if (http_result.status == 0 || http_result.status >= 500) {
    return absl::UnavailableError(MakeErrorText(http_result));
  }
  return absl::InternalError(MakeErrorText(http_result));
}

WriteResult MakeWriteResult(const HttpResult& http_result) {
  WriteResult result;
  result.detail = MakeErrorText(http_result);
  switch (http_result.status) {
    case 0:
      result.outcome = http_result.connected ? WriteOutcome::kOutcomeUnknown
                                             : WriteOutcome::kUnavailable;
      return result;
    case 200:
    case 409:
      result.outcome = http_result.status == 200 ? WriteOutcome::kApplied
                                                 : WriteOutcome::kConflict;
      try {
        result.version = value::parse(http_result.body)
                             .at("version")
                             .as_number()
                             .to_uint64();
        result.detail.clear();
      } catch (const web::json::json_exception& e) {
        result.outcome = WriteOutcome::kOutcomeUnknown;
        result.detail =
            absl::StrCat("object API: malformed response: ", e.what());
      }
      return result;
    case 429:
      result.outcome = WriteOutcome::kRateLimited;
      result.retry_after = http_result.retry_after;
      return result;
    case 503:
      result.outcome = WriteOutcome::kUnavailable;
      return result;
    default:
      // Other 5xx codes can come from a proxy that lost the response.
      result.outcome = http_result.status >= 500 ? WriteOutcome::kOutcomeUnknown
                                                 : WriteOutcome::kRejected;
      return result;
  }
}

StoredObject ParseObject(const value& object) {
  return {object.at("key").as_string(),
          object.at("version").as_number().to_uint64(),
          object.at("value").as_string()};
}

// Parses the body of a 200 response with `parse`, which may throw
// json_exception. Other responses are errors.
template <typename T, typename Parse>
absl::StatusOr<T> ParseResponse(const HttpResult& http_result, Parse parse) {
  if (http_result.status != 200) {
    return ReadError(http_result);
  }
  try {
    return parse(value::parse(http_result.body));
  } catch (const web::json::json_exception& e) {
    return absl::InternalError(
        absl::StrCat("object API: malformed response: ", e.what()));
  }
}

}  // namespace

class HttpObjectApi::Impl {
 public:
  explicit Impl(const std::string& address)
      : base_uri_(absl::StrCat("http://", address)) {}

  // Sends one request on a new connection and waits for the response.
  HttpResult Send(const web::http::method& method,
                  const std::string& path_and_query,
                  const std::string& body,
                  Duration timeout) const {
    // Shared with the tasks, which may outlive a request that timed out.
    struct State {
      std::promise<HttpResult> promise;
      pplx::cancellation_token_source cancellation;
    };
    auto state = std::make_shared<State>();
    std::future<HttpResult> response_ready = state->promise.get_future();
    web::http::client::http_client_config config;
    // Limits only the time between two reads; wait_for() below limits the whole
    // call.
    config.set_timeout(std::max<Duration>(timeout, std::chrono::seconds(1)));
    try {
      web::http::client::http_client client(base_uri_, config);
      web::http::http_request request(method);
      request.set_request_uri(web::uri(path_and_query));
      request.headers().add("Connection", "close");
      if (method == web::http::methods::PUT) {
        request.set_body(body, "application/octet-stream");
      }
      client.request(request, state->cancellation.get_token())
          .then([](const web::http::http_response& response) {
            return response.extract_string(true).then(
                [response](const pplx::task<std::string>& text) {
                  return MakeHttpResult(text, response);
                });
          })
          .then([state](const pplx::task<HttpResult>& task) {
            HttpResult http_result;
            try {
              http_result = task.get();
            } catch (const web::http::http_exception& e) {
              http_result.connected = !FailedToConnect(e);
              http_result.error = e.what();
            } catch (const std::exception& e) {
              http_result.error = e.what();
            }
            state->promise.set_value(std::move(http_result));
          });
    } catch (const std::exception& e) {
      // A malformed address throws before the request starts.
      HttpResult http_result;
      http_result.connected = false;
      http_result.error = e.what();
      return http_result;
    }
    if (response_ready.wait_for(timeout) != std::future_status::ready) {
      state->cancellation.cancel();
      HttpResult http_result;
      http_result.error = "no response within the timeout";
      return http_result;
    }
    return response_ready.get();
  }

  static std::string ObjectPath(const std::string& key) {
    return absl::StrCat(kObjectsPath, "/", web::uri::encode_data_string(key));
  }

 private:
  web::uri base_uri_;
};

HttpObjectApi::HttpObjectApi(const std::string& address)
    : impl_(std::make_unique<Impl>(address)) {}
HttpObjectApi::~HttpObjectApi() = default;

absl::StatusOr<std::optional<StoredObject>> HttpObjectApi::Get(
    const std::string& key,
    Duration timeout) {
  const HttpResult http_result =
      impl_->Send(web::http::methods::GET, Impl::ObjectPath(key), "", timeout);
  if (http_result.status == 404) {
    return std::optional<StoredObject>();
  }
  return ParseResponse<std::optional<StoredObject>>(
      http_result,
      [](const value& body) { return std::make_optional(ParseObject(body)); });
}

absl::StatusOr<ObjectList> HttpObjectApi::List(const std::string& prefix,
                                               Duration timeout) {
  const HttpResult http_result = impl_->Send(
      web::http::methods::GET,
      absl::StrCat(kObjectsPath,
                   "?prefix=", web::uri::encode_data_string(prefix)),
      "", timeout);
  return ParseResponse<ObjectList>(http_result, [](const value& body) {
    ObjectList list;
    list.revision = body.at("revision").as_number().to_uint64();
    for (const value& it : body.at("items").as_array()) {
      list.items.push_back(ParseObject(it));
    }
    return list;
  });
}

WriteResult HttpObjectApi::PutIf(const std::string& key,
                                 const std::string& value,
                                 uint64_t if_version,
                                 Duration timeout) {
  return MakeWriteResult(impl_->Send(
      web::http::methods::PUT,
      absl::StrCat(Impl::ObjectPath(key), "?if_version=", if_version), value,
      timeout));
}

WriteResult HttpObjectApi::Delete(const std::string& key,
                                  uint64_t if_version,
                                  Duration timeout) {
  return MakeWriteResult(impl_->Send(
      web::http::methods::DEL,
      absl::StrCat(Impl::ObjectPath(key), "?if_version=", if_version), "",
      timeout));
}

absl::StatusOr<WatchResult> HttpObjectApi::Watch(const std::string& prefix,
                                                 uint64_t since,
                                                 Duration wait) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const HttpResult http_result = impl_->Send(
      web::http::methods::GET,
      absl::StrCat("/v1/watch?prefix=", web::uri::encode_data_string(prefix),
                   "&since=", since, "&timeout_ms=", wait_ms),
      "", wait + kWatchResponseMargin);
  return ParseResponse<WatchResult>(http_result, [](const value& body) {
    WatchResult result;
    result.revision = body.at("revision").as_number().to_uint64();
    result.gap = body.at("gap").as_bool();
    for (const value& it : body.at("events").as_array()) {
      ObjectEvent event;
      event.kind = it.at("type").as_string() == "delete"
                       ? ObjectEventKind::kDelete
                       : ObjectEventKind::kPut;
      event.revision = it.at("revision").as_number().to_uint64();
      event.object = ParseObject(it);
      result.events.push_back(std::move(event));
    }
    return result;
  });
}

absl::StatusOr<InstanceList> HttpObjectApi::ListInstances(Duration timeout) {
  const HttpResult http_result =
      impl_->Send(web::http::methods::GET, "/v1/instances", "", timeout);
  if (http_result.status != 200) {
    return ReadError(http_result);
  }
  absl::StatusOr<InstanceList> list = ParseInstanceList(http_result.body);
  if (!list.ok()) {
    return absl::InternalError(list.status().message());
  }
  return list;
}

}  // namespace endiveyard
