#include "cli/load_generator.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>

#include <algorithm>
#include <condition_variable>
#include <exception>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "absl/random/distributions.h"

namespace endiveyard {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;
using web::json::value;

constexpr std::string_view kEndOfStream = "data: [DONE]";

// State of one open request.
struct Call {
  LoadSample sample;
  TimePoint sent;
  TimePoint last_event;
  bool stream = false;
  bool complete = false;
  // Last bytes received, to find kEndOfStream also where it spans two reads.
  std::string last_bytes;
  concurrency::streams::streambuf<uint8_t> buf;
  std::vector<uint8_t> bytes;
};

std::string ParseErrorKind(const std::string& text, int status) {
  try {
    return value::parse(text).at("error").at("kind").as_string();
  } catch (const std::exception&) {
    return "status_" + std::to_string(status);
  }
}

class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadOptions& options)
      : options_(options), random_(options.seed) {
    http_client_config config;
    config.set_timeout(std::chrono::milliseconds(options.deadline_ms));
    client_ = std::make_unique<http_client>(options.url, config);
    for (const LoadClass& it : options.classes) {
      class_shares_.push_back(it.share);
    }
  }

  std::vector<LoadSample> Run() {
    const TimePoint end = BootClock::now() + options_.duration;
    if (options_.concurrency > 0) {
      RunClosedLoop(end);
    } else {
      RunOpenLoop(end);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    const auto max_wait_ms = options_.deadline_ms + 5000;
    request_finished_.wait_for(lock, std::chrono::milliseconds(max_wait_ms),
                               [&] { return open_requests_ == 0; });
    return samples_;
  }

 private:
  void RunOpenLoop(TimePoint end) {
    TimePoint next_arrival = BootClock::now();
    for (int64_t n = 0; n < options_.max_requests && next_arrival < end; ++n) {
      std::this_thread::sleep_for(next_arrival - BootClock::now());
      SendRequest();
      next_arrival +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              absl::Exponential<double>(random_, options_.rate)));
    }
  }

  void RunClosedLoop(TimePoint end) {
    for (int64_t n = 0; n < options_.max_requests && BootClock::now() < end;
         ++n) {
      {
        std::unique_lock<std::mutex> lock(mutex_);
        const bool ready = request_finished_.wait_for(
            lock, std::chrono::milliseconds(options_.deadline_ms),
            [&] { return open_requests_ < options_.concurrency; });
        if (!ready) {
          return;  // the server has stopped responding
        }
      }
      SendRequest();
    }
  }

  http_request MakeRequest() {
    http_request request(options_.method);
    request.set_request_uri(options_.path);
    if (!options_.caller_key.empty()) {
      request.headers().add("Authorization", "Bearer " + options_.caller_key);
    }
    request.headers().add("X-Deadline-Ms",
                          std::to_string(options_.deadline_ms));
    if (options_.method == "POST") {
      std::discrete_distribution<size_t> pick(class_shares_.begin(),
                                              class_shares_.end());
      const LoadClass& load_class = options_.classes[pick(random_)];
      const int prefix =
          absl::Uniform<int>(random_, 0, std::max(1, options_.shared_prefixes));
      std::string prompt = "prefix " + std::to_string(prefix) + " ";
      prompt.resize(static_cast<size_t>(load_class.prompt_bytes), 'a');
      value body = value::object();
      body["model"] = value::string(options_.model);
      body["prompt"] = value::string(prompt);
      body["max_tokens"] = value::number(load_class.output_tokens);
      body["stream"] = value::boolean(options_.stream);
      request.set_body(body.serialize(), "application/json");
    }
    return request;
  }

  void SendRequest() {
    auto call = std::make_shared<Call>();
    call->stream = options_.stream && options_.method == "POST";
    const http_request request = MakeRequest();
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++open_requests_;
    }
    call->sent = BootClock::now();
    client_->request(request).then(
        [this, call](pplx::task<http_response> task) {
          try {
            HandleResponseHeaders(call, task.get());
          } catch (const std::exception&) {
            Finish(call, "unreachable");
          }
        });
  }

  void HandleResponseHeaders(const std::shared_ptr<Call>& call,
                             const http_response& response) {
    const int status = response.status_code();
    if (status >= 300 || !call->stream) {
      response.extract_utf8string(true).then(
          [this, call, status](pplx::task<std::string> task) {
            try {
              const std::string text = task.get();
              call->sample.bytes = static_cast<int64_t>(text.size());
              Finish(call, status < 300 ? "ok" : ParseErrorKind(text, status));
            } catch (const std::exception&) {
              Finish(call, "incomplete");
            }
          });
      return;
    }
    call->buf = response.body().streambuf();
    ReadNext(call);
  }

  void ReadNext(const std::shared_ptr<Call>& call) {
    call->buf.getc().then([this, call](pplx::task<int> task) {
      try {
        if (task.get() ==
            concurrency::streams::streambuf<uint8_t>::traits::eof()) {
          Finish(call, call->complete ? "ok" : "incomplete");
          return;
        }
        call->bytes.resize(std::max<size_t>(call->buf.in_avail(), 1));
        call->buf.getn(call->bytes.data(), call->bytes.size())
            .then([this, call](pplx::task<size_t> read) {
              try {
                RecordBytes(*call, read.get());
                ReadNext(call);
              } catch (const std::exception&) {
                Finish(call, "incomplete");
              }
            });
      } catch (const std::exception&) {
        Finish(call, "incomplete");
      }
    });
  }

  static void RecordBytes(Call& call, size_t n) {
    const TimePoint now = BootClock::now();
    LoadSample& sample = call.sample;
    if (sample.token_events == 0) {
      sample.first_token = now - call.sent;
    } else {
      sample.largest_gap = std::max(sample.largest_gap, now - call.last_event);
    }
    call.last_event = now;
    ++sample.token_events;
    sample.bytes += static_cast<int64_t>(n);
    call.last_bytes.append(reinterpret_cast<const char*>(call.bytes.data()), n);
    call.complete = call.last_bytes.find(kEndOfStream) != std::string::npos;
    if (call.last_bytes.size() > 2 * kEndOfStream.size() && !call.complete) {
      call.last_bytes.erase(0,
                            call.last_bytes.size() - 2 * kEndOfStream.size());
    }
  }

  void Finish(const std::shared_ptr<Call>& call, const std::string& outcome) {
    call->sample.outcome = outcome;
    call->sample.total = BootClock::now() - call->sent;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      samples_.push_back(call->sample);
      --open_requests_;
    }
    request_finished_.notify_all();
  }

  const LoadOptions options_;
  std::mt19937_64 random_;
  std::vector<double> class_shares_;
  std::unique_ptr<http_client> client_;
  std::mutex mutex_;
  std::condition_variable request_finished_;
  int open_requests_ = 0;
  std::vector<LoadSample> samples_;
};

}  // namespace

std::vector<LoadSample> GenerateLoad(const LoadOptions& options) {
  // Shared, since responses may arrive after their deadline.
  auto generator = std::make_shared<LoadGenerator>(options);
  return generator->Run();
}

}  // namespace endiveyard
