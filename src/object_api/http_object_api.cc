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

// Time beyond the wait of a watch for its answer to arrive.
constexpr Duration kWatchMargin = std::chrono::seconds(2);

// What became of one HTTP call.
struct Exchange {
  bool sent = true;  // false: no connection was established
  int status = 0;    // 0: no complete answer
  Duration retry_after{0};
  std::string body;
  std::string error;
};

bool NeverConnected(const web::http::http_exception& e) {
  // The code alone is not proof: an established connection can also report
  // host_unreachable. The text comes from the connect step of cpprestsdk; a
  // changed text only makes the outcome unknown.
  return std::string(e.what()).rfind("Failed to connect to any resolved", 0) ==
         0;
}

Exchange Describe(const pplx::task<std::string>& body,
                  const web::http::http_response& response) {
  Exchange exchange;
  exchange.body = body.get();
  exchange.status = response.status_code();
  std::string retry_after;
  int64_t seconds = 0;
  if (response.headers().match("Retry-After", retry_after) &&
      absl::SimpleAtoi(retry_after, &seconds)) {
    exchange.retry_after = std::chrono::seconds(std::max<int64_t>(0, seconds));
  }
  return exchange;
}

std::string ErrorText(const Exchange& exchange) {
  return absl::StrCat("object API: ", exchange.status != 0
                                          ? absl::StrCat(exchange.status)
                                          : exchange.error);
}

// Returns the error of a read that has no usable answer.
absl::Status ReadError(const Exchange& exchange) {
  if (exchange.status == 429) {
    return RateLimitedError(exchange.retry_after);
  }
  if (exchange.status == 0 || exchange.status >= 500) {
    return absl::UnavailableError(ErrorText(exchange));
  }
  return absl::InternalError(ErrorText(exchange));
}

WriteResult DescribeWrite(const Exchange& exchange) {
  WriteResult result;
  result.detail = ErrorText(exchange);
  switch (exchange.status) {
    case 0:
      result.outcome = exchange.sent ? WriteOutcome::kOutcomeUnknown
                                     : WriteOutcome::kUnavailable;
      return result;
    case 200:
    case 409:
      result.outcome = exchange.status == 200 ? WriteOutcome::kApplied
                                              : WriteOutcome::kConflict;
      try {
        result.version =
            value::parse(exchange.body).at("version").as_number().to_uint64();
        result.detail.clear();
      } catch (const web::json::json_exception& e) {
        result.outcome = WriteOutcome::kOutcomeUnknown;
        result.detail =
            absl::StrCat("object API: malformed answer: ", e.what());
      }
      return result;
    case 429:
      result.outcome = WriteOutcome::kRateLimited;
      result.retry_after = exchange.retry_after;
      return result;
    case 503:
      result.outcome = WriteOutcome::kUnavailable;
      return result;
    default:
      // Other 5xx can come from a relay that lost the answer.
      result.outcome = exchange.status >= 500 ? WriteOutcome::kOutcomeUnknown
                                              : WriteOutcome::kRejected;
      return result;
  }
}

StoredObject ParseObject(const value& object) {
  return {object.at("key").as_string(),
          object.at("version").as_number().to_uint64(),
          object.at("value").as_string()};
}

// Parses the body of a 200 answer with `parse`, which may throw.
template <typename T, typename Parse>
absl::StatusOr<T> ParseAnswer(const Exchange& exchange, Parse parse) {
  if (exchange.status != 200) {
    return ReadError(exchange);
  }
  try {
    return parse(value::parse(exchange.body));
  } catch (const web::json::json_exception& e) {
    return absl::InternalError(
        absl::StrCat("object API: malformed answer: ", e.what()));
  }
}

}  // namespace

class HttpObjectApi::Impl {
 public:
  explicit Impl(const std::string& address)
      : base_(absl::StrCat("http://", address)) {}

  // Sends one request on a connection of its own and waits for the answer.
  Exchange Call(const web::http::method& method,
                const std::string& path_and_query,
                const std::string& body,
                Duration timeout) const {
    // Shared with the tasks, which may outlive a call that timed out.
    struct State {
      std::promise<Exchange> promise;
      pplx::cancellation_token_source cancellation;
    };
    auto state = std::make_shared<State>();
    std::future<Exchange> done = state->promise.get_future();
    web::http::client::http_client_config config;
    // Bounds only the silence between two reads; the wait below bounds the
    // whole call.
    config.set_timeout(std::max<Duration>(timeout, std::chrono::seconds(1)));
    try {
      web::http::client::http_client client(base_, config);
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
                  return Describe(text, response);
                });
          })
          .then([state](const pplx::task<Exchange>& task) {
            Exchange exchange;
            try {
              exchange = task.get();
            } catch (const web::http::http_exception& e) {
              exchange.sent = !NeverConnected(e);
              exchange.error = e.what();
            } catch (const std::exception& e) {
              exchange.error = e.what();
            }
            state->promise.set_value(std::move(exchange));
          });
    } catch (const std::exception& e) {
      // Thrown before the request was started, for a malformed address.
      Exchange exchange;
      exchange.sent = false;
      exchange.error = e.what();
      return exchange;
    }
    if (done.wait_for(timeout) != std::future_status::ready) {
      state->cancellation.cancel();
      Exchange exchange;
      exchange.error = "no answer in time";
      return exchange;
    }
    return done.get();
  }

  static std::string ObjectPath(const std::string& key) {
    return absl::StrCat(kObjectsPath, "/", web::uri::encode_data_string(key));
  }

 private:
  web::uri base_;
};

HttpObjectApi::HttpObjectApi(const std::string& address)
    : impl_(std::make_unique<Impl>(address)) {}
HttpObjectApi::~HttpObjectApi() = default;

absl::StatusOr<std::optional<StoredObject>> HttpObjectApi::Get(
    const std::string& key,
    Duration timeout) {
  const Exchange exchange =
      impl_->Call(web::http::methods::GET, Impl::ObjectPath(key), "", timeout);
  if (exchange.status == 404) {
    return std::optional<StoredObject>();
  }
  return ParseAnswer<std::optional<StoredObject>>(
      exchange,
      [](const value& body) { return std::make_optional(ParseObject(body)); });
}

absl::StatusOr<ObjectList> HttpObjectApi::List(const std::string& prefix,
                                               Duration timeout) {
  const Exchange exchange = impl_->Call(
      web::http::methods::GET,
      absl::StrCat(kObjectsPath,
                   "?prefix=", web::uri::encode_data_string(prefix)),
      "", timeout);
  return ParseAnswer<ObjectList>(exchange, [](const value& body) {
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
  return DescribeWrite(impl_->Call(
      web::http::methods::PUT,
      absl::StrCat(Impl::ObjectPath(key), "?if_version=", if_version), value,
      timeout));
}

WriteResult HttpObjectApi::Delete(const std::string& key,
                                  uint64_t if_version,
                                  Duration timeout) {
  return DescribeWrite(impl_->Call(
      web::http::methods::DEL,
      absl::StrCat(Impl::ObjectPath(key), "?if_version=", if_version), "",
      timeout));
}

absl::StatusOr<WatchResult> HttpObjectApi::Watch(const std::string& prefix,
                                                 uint64_t since,
                                                 Duration wait) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const Exchange exchange = impl_->Call(
      web::http::methods::GET,
      absl::StrCat("/v1/watch?prefix=", web::uri::encode_data_string(prefix),
                   "&since=", since, "&timeout_ms=", wait_ms),
      "", wait + kWatchMargin);
  return ParseAnswer<WatchResult>(exchange, [](const value& body) {
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
  const Exchange exchange =
      impl_->Call(web::http::methods::GET, "/v1/instances", "", timeout);
  if (exchange.status != 200) {
    return ReadError(exchange);
  }
  absl::StatusOr<InstanceList> list = ParseInstanceList(exchange.body);
  if (!list.ok()) {
    return absl::InternalError(list.status().message());
  }
  return list;
}

}  // namespace endiveyard
