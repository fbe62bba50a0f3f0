#include "standin/engine_standin.h"

#include <cpprest/http_listener.h>
#include <cpprest/json.h>
#include <cpprest/producerconsumerstream.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "endiveyard/base/digest.h"
#include "endiveyard/base/time_point.h"
#include "standin/process_standin.h"

namespace endiveyard {
namespace {

using concurrency::streams::producer_consumer_buffer;
using web::http::http_request;
using web::http::http_response;
using web::http::methods;
using web::http::status_codes;
using web::json::value;

constexpr int kBytesPerToken = 4;
constexpr size_t kMaxCacheEvents = 4096;

// A completion that the engine is running.
struct Sequence {
  std::string event_id;
  std::string prompt;
  bool chat = false;
  bool streamed = true;
  bool prefill_only = false;
  int next_index = 0;
  int end_index = 0;
  int tokens_sent = 0;  // in this attempt, not counting resumed tokens
  TimePoint prefill_done_at;
  producer_consumer_buffer<uint8_t> stream_buffer;
  http_request request;  // when not streamed, replied to at the end
  std::string full_text;
};

std::string ExtractPrompt(const value& body) {
  if (body.has_field("prompt")) {
    return body.at("prompt").as_string();
  }
  std::string prompt;
  for (const value& it : body.at("messages").as_array()) {
    prompt +=
        it.at("role").as_string() + ": " + it.at("content").as_string() + "\n";
  }
  return prompt;
}

value MakeChoice(bool chat,
                 const std::string& text,
                 const char* finish_reason) {
  value choice = value::object();
  if (chat) {
    choice["delta"] = value::object({{"content", value::string(text)}});
  } else {
    choice["text"] = value::string(text);
  }
  choice["index"] = value::number(0);
  if (finish_reason != nullptr) {
    choice["finish_reason"] = value::string(finish_reason);
  }
  return choice;
}

std::vector<uint64_t> BlockHashes(const std::string& prompt) {
  constexpr size_t kBlockBytes = 1024;
  std::vector<uint64_t> hashes;
  uint64_t chained_hash = 0;
  for (size_t end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    const std::string_view block(prompt.data() + end - kBlockBytes,
                                 kBlockBytes);
    chained_hash = CombineDigests(chained_hash, Digest64(block));
    hashes.push_back(chained_hash);
  }
  return hashes;
}

}  // namespace

class EngineStandin::Impl {
 public:
  explicit Impl(EngineOptions options)
      : options_(std::move(options)),
        role_(options_.role),
        model_(options_.model),
        listener_("http://" + options_.listen) {
    listener_.support([this](http_request request) { HandleRequest(request); });
    listener_.open().wait();
    generator_thread_ = std::thread([this] { GenerateTokens(); });
  }

  ~Impl() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    state_changed_.notify_one();
    generator_thread_.join();
    AbortAll();
    listener_.close().wait();
  }

  void SetFaults(const EngineFaults& faults) {
    std::lock_guard<std::mutex> lock(mutex_);
    faults_ = faults;
  }

  EngineStats stats() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return stats_;
  }

 private:
  void HandleRequest(http_request request) {
    const std::string path = request.request_uri().path();
    const std::string& method = request.method();
    if (method == methods::GET && path == "/v1/load") {
      request.reply(status_codes::OK, FormatLoad());
    } else if (method == methods::GET && path == "/v1/cache_events") {
      request.reply(status_codes::OK, FormatCacheEvents(request));
    } else if (method == methods::GET && path == "/admin/stats") {
      request.reply(status_codes::OK, FormatStats());
    } else if (method == methods::POST) {
      request.extract_json().then([this, request,
                                   path](pplx::task<value> task) mutable {
        try {
          HandlePost(request, path, task.get());
        } catch (const std::exception& error) {
          request.reply(status_codes::BadRequest, std::string(error.what()));
        }
      });
    } else {
      request.reply(status_codes::NotFound);
    }
  }

  void HandlePost(http_request& request,
                  const std::string& path,
                  const value& body) {
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
      StartCompletion(request, body, path == "/v1/chat/completions");
    } else if (path == "/v1/cancel") {
      CancelSequence(body.at("id").as_string());
      request.reply(status_codes::OK, value::object());
    } else if (path == "/v1/orders") {
      ApplyOrder(request, body);
    } else if (path == "/admin/faults") {
      SetFaults(ParseFaults(body));
      request.reply(status_codes::OK, value::object());
    } else {
      request.reply(status_codes::NotFound);
    }
  }

  static EngineFaults ParseFaults(const value& body) {
    const auto count = [&](const char* name) {
      return body.has_field(name) ? body.at(name).as_integer() : -1;
    };
    const auto flag = [&](const char* name) {
      return body.has_field(name) && body.at(name).as_bool();
    };
    EngineFaults faults;
    faults.crash_after_tokens = count("crash_after_tokens");
    faults.stall_after_tokens = count("stall_after_tokens");
    faults.truncate_after_tokens = count("truncate_after_tokens");
    faults.jump_after_tokens = count("jump_after_tokens");
    faults.repeat_after_tokens = count("repeat_after_tokens");
    faults.wrong_id = flag("wrong_id");
    faults.refuse = flag("refuse");
    if (body.has_field("crash_on")) {
      faults.crash_on = body.at("crash_on").as_string();
    }
    return faults;
  }

  void StartCompletion(http_request& request, const value& body, bool chat) {
    auto sequence = std::make_shared<Sequence>();
    sequence->prompt = ExtractPrompt(body);
    sequence->chat = chat;
    sequence->request = request;
    sequence->streamed =
        body.has_field("stream") && body.at("stream").as_bool();
    const int max_tokens =
        body.has_field("max_tokens") ? body.at("max_tokens").as_integer() : 16;
    // Only instances send a request id. Other callers get a local one, because
    // each event id must be unique.
    std::string request_id = "local" + std::to_string(++local_request_count_);
    std::string attempt = "1";
    if (body.has_field("endiveyard")) {
      const value& extension = body.at("endiveyard");
      request_id = extension.at("request_id").as_string();
      attempt = std::to_string(extension.at("attempt").as_integer());
      if (extension.has_field("resume")) {
        sequence->next_index =
            static_cast<int>(extension.at("resume").as_array().size());
      }
      sequence->prefill_only = extension.has_field("export_kv") &&
                               extension.at("export_kv").as_bool();
    }
    sequence->event_id = request_id + "/" + attempt;
    sequence->end_index =
        sequence->prefill_only ? sequence->next_index + 1 : max_tokens;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (faults_.refuse || BootClock::now() < change_done_at_) {
        request.reply(
            status_codes::ServiceUnavailable,
            value::parse(R"({"error":{"kind":"leaving","run":"not_run"}})"));
        return;
      }
      ++stats_.started;
      if (!faults_.crash_on.empty() &&
          sequence->prompt.find(faults_.crash_on) != std::string::npos) {
        crash_requested_ = true;
      }
      sequence->prefill_done_at =
          BootClock::now() + PrefillTime(sequence->prompt);
      sequences_.push_back(sequence);
    }
    state_changed_.notify_one();
    if (sequence->streamed) {
      ReplyStreamed(request, sequence);
    }
  }

  void ReplyStreamed(http_request& request,
                     const std::shared_ptr<Sequence>& sequence) {
    http_response response(status_codes::OK);
    response.headers().set_content_type("text/event-stream");
    response.set_body(sequence->stream_buffer.create_istream(),
                      "text/event-stream");
    request.reply(response).then([this, sequence](pplx::task<void> task) {
      try {
        task.get();
      } catch (const std::exception&) {
        CancelSequence(sequence->event_id);
      }
    });
  }

  // Returns the time to prefill the part of the prompt that is not cached, and
  // adds the blocks of the prompt to the cache. Requires mutex_.
  Duration PrefillTime(const std::string& prompt) {
    size_t cached_blocks = 0;
    for (const uint64_t hash : BlockHashes(prompt)) {
      if (cached_blocks_.count(hash) != 0) {
        ++cached_blocks;
        continue;
      }
      cached_blocks_[hash] = true;
      cache_events_.push_back(hash);
      if (cache_events_.size() > kMaxCacheEvents) {
        cache_events_.erase(cache_events_.begin());
        ++first_cache_event_sequence_;
      }
    }
    const double tokens =
        static_cast<double>(prompt.size() - cached_blocks * 1024) /
        kBytesPerToken;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        tokens / options_.prefill_tokens_per_second));
  }

  void CancelSequence(const std::string& event_id) {
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto it = sequences_.begin(); it != sequences_.end(); ++it) {
      if ((*it)->event_id == event_id) {
        ++stats_.cancelled;
        (*it)->stream_buffer.close(std::ios_base::out);
        sequences_.erase(it);
        return;
      }
    }
  }

  void ApplyOrder(http_request& request, const value& body) {
    const uint64_t fencing = body.at("fencing").as_number().to_uint64();
    std::lock_guard<std::mutex> lock(mutex_);
    if (options_.checks_fencing && fencing < stats_.highest_fencing) {
      ++stats_.orders_refused;
      request.reply(status_codes::Conflict,
                    value::parse(R"({"error":{"kind":"stale_fencing"}})"));
      return;
    }
    stats_.highest_fencing = std::max(stats_.highest_fencing, fencing);
    ++stats_.orders_applied;
    if (body.at("kind").as_string() == "fence") {
      request.reply(status_codes::OK, value::object());
      return;
    }
    if (body.has_field("role")) {
      ParseRole(body.at("role").as_string(), &role_);
    }
    if (body.has_field("model")) {
      model_ = body.at("model").as_string();
    }
    if (body.has_field("version")) {
      version_ = body.at("version").as_string();
    }
    // Applying an order aborts all running sequences; callers are expected to
    // drain the engine first.
    AbortAllLocked();
    change_done_at_ =
        BootClock::now() + std::chrono::milliseconds(options_.change_ms);
    cached_blocks_.clear();
    request.reply(status_codes::OK, value::object());
  }

  value FormatLoad() {
    std::lock_guard<std::mutex> lock(mutex_);
    int64_t queued = 0;
    for (const auto& it : sequences_) {
      if (it->prefill_done_at > BootClock::now()) {
        queued += static_cast<int64_t>(it->prompt.size()) / kBytesPerToken;
      }
    }
    value load = value::object();
    load["role"] = value::string(std::string(RoleName(role_)));
    load["model"] = value::string(model_);
    load["adapters"] = value::array();
    load["version"] = value::string(version_);
    load["queued_prefill_tokens"] = value::number(queued);
    load["running_sequences"] =
        value::number(static_cast<int64_t>(sequences_.size()));
    load["free_cache_blocks"] = value::number(100000);
    load["sequence"] = value::number(++load_sequence_);
    load["changing"] = value::boolean(BootClock::now() < change_done_at_);
    return load;
  }

  value FormatCacheEvents(const http_request& request) {
    const auto query = web::uri::split_query(request.request_uri().query());
    const auto since = query.find("since");
    const uint64_t first =
        since == query.end() ? 0 : std::stoull(since->second);
    std::lock_guard<std::mutex> lock(mutex_);
    const uint64_t start = std::max(first, first_cache_event_sequence_);
    std::vector<value> stored;
    for (uint64_t n = start;
         n < first_cache_event_sequence_ + cache_events_.size(); ++n) {
      // Sent as a string because JSON numbers lose precision above 2^53.
      stored.push_back(value::string(
          std::to_string(cache_events_[n - first_cache_event_sequence_])));
    }
    value events = value::object();
    events["sequence"] = value::number(start);
    events["stored"] = value::array(stored);
    events["evicted"] = value::array();
    return events;
  }

  value FormatStats() {
    std::lock_guard<std::mutex> lock(mutex_);
    value stats = value::object();
    stats["started"] = value::number(stats_.started);
    stats["finished"] = value::number(stats_.finished);
    stats["cancelled"] = value::number(stats_.cancelled);
    stats["aborted"] = value::number(stats_.aborted);
    stats["orders_applied"] = value::number(stats_.orders_applied);
    stats["orders_refused"] = value::number(stats_.orders_refused);
    stats["highest_fencing"] = value::number(stats_.highest_fencing);
    return stats;
  }

  // Thread function. Emits one event per prefilled sequence in each token
  // interval.
  void GenerateTokens() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
      if (crash_requested_) {
        CrashLocked();
      }
      const TimePoint now = BootClock::now();
      std::vector<std::shared_ptr<Sequence>> running;
      for (const auto& it : sequences_) {
        if (it->prefill_done_at > now || EmitTokens(*it)) {
          running.push_back(it);
        }
      }
      sequences_ = std::move(running);
      if (sequences_.empty()) {
        state_changed_.wait(lock,
                            [&] { return stopping_ || !sequences_.empty(); });
      } else {
        state_changed_.wait_for(
            lock, std::chrono::milliseconds(options_.token_interval_ms),
            [&] { return stopping_; });
      }
    }
  }

  // Emits the next event of the sequence. Returns false if the sequence has
  // ended. Requires mutex_.
  bool EmitTokens(Sequence& sequence) {
    if (sequence.tokens_sent == faults_.stall_after_tokens) {
      return true;
    }
    if (sequence.tokens_sent == faults_.crash_after_tokens) {
      crash_requested_ = true;
      return true;
    }
    if (sequence.tokens_sent == faults_.truncate_after_tokens) {
      sequence.stream_buffer.close(std::ios_base::out);
      return false;
    }
    if (sequence.tokens_sent == faults_.jump_after_tokens) {
      ++sequence.next_index;
    }
    const int n = std::min(options_.tokens_per_event,
                           sequence.end_index - sequence.next_index);
    std::string text;
    value tokens = value::array();
    for (int i = 0; i < n; ++i) {
      const std::string token =
          TokenText(sequence.prompt, sequence.next_index + i);
      text += token;
      tokens[i] = value::string(token);
    }
    if (n > 0) {
      WriteEvent(sequence, text, tokens, nullptr);
      if (sequence.tokens_sent == faults_.repeat_after_tokens) {
        WriteEvent(sequence, text, tokens, nullptr);
      }
    }
    sequence.next_index += n;
    sequence.tokens_sent += n;
    if (sequence.next_index < sequence.end_index) {
      return true;
    }
    FinishSequence(sequence);
    return false;
  }

  void FinishSequence(Sequence& sequence) {
    ++stats_.finished;
    WriteEvent(sequence, "", value::array(), "length");
    if (sequence.streamed) {
      WriteBytes(sequence, "data: [DONE]\n\n");
      sequence.stream_buffer.close(std::ios_base::out);
      return;
    }
    value answer = value::object();
    answer["id"] = value::string(sequence.event_id);
    answer["choices"] =
        value::array({MakeChoice(sequence.chat, sequence.full_text, "length")});
    sequence.request.reply(status_codes::OK, answer);
  }

  void WriteEvent(Sequence& sequence,
                  const std::string& text,
                  const value& tokens,
                  const char* finish_reason) {
    sequence.full_text += text;
    if (!sequence.streamed) {
      return;
    }
    value event = value::object();
    event["id"] = value::string(faults_.wrong_id ? std::string("x0/0")
                                                 : sequence.event_id);
    event["index"] = value::number(sequence.next_index);
    event["choices"] =
        value::array({MakeChoice(sequence.chat, text, finish_reason)});
    event["tokens"] = tokens;
    if (finish_reason != nullptr) {
      event["usage"] = value::object(
          {{"prompt_tokens",
            value::number(static_cast<int64_t>(sequence.prompt.size()) /
                          kBytesPerToken)}});
      if (sequence.prefill_only) {
        event["kv_handle"] = value::string("kv-" + sequence.event_id);
      }
    }
    WriteBytes(sequence, "data: " + event.serialize() + "\n\n");
  }

  // Does not wait for the returned tasks: putn_nocopy() has copied the bytes
  // when it returns, and the tasks need a pool thread although all of them may
  // be blocked on mutex_.
  static void WriteBytes(Sequence& sequence, const std::string& text) {
    sequence.stream_buffer.putn_nocopy(
        reinterpret_cast<const uint8_t*>(text.data()), text.size());
    sequence.stream_buffer.sync();
  }

  void CrashLocked() {
    if (options_.exit_on_crash) {
      _exit(1);
    }
    crash_requested_ = false;
    AbortAllLocked();
  }

  void AbortAll() {
    std::lock_guard<std::mutex> lock(mutex_);
    AbortAllLocked();
  }

  void AbortAllLocked() {
    for (const auto& it : sequences_) {
      ++stats_.aborted;
      it->stream_buffer.close(
          std::ios_base::out,
          std::make_exception_ptr(std::runtime_error("aborted")));
      if (!it->streamed) {
        it->request.reply(status_codes::InternalError);
      }
    }
    sequences_.clear();
  }

  const EngineOptions options_;
  std::atomic<uint64_t> local_request_count_{0};
  mutable std::mutex mutex_;
  std::condition_variable state_changed_;
  bool stopping_ = false;
  bool crash_requested_ = false;
  Role role_;
  std::string model_;
  std::string version_ = "1";
  EngineFaults faults_;
  EngineStats stats_;
  TimePoint change_done_at_;
  uint64_t load_sequence_ = 0;
  std::map<uint64_t, bool> cached_blocks_;
  std::vector<uint64_t> cache_events_;
  uint64_t first_cache_event_sequence_ = 0;
  std::vector<std::shared_ptr<Sequence>> sequences_;
  web::http::experimental::listener::http_listener listener_;
  std::thread generator_thread_;
};

EngineStandin::EngineStandin(EngineOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
EngineStandin::~EngineStandin() = default;

void EngineStandin::SetFaults(const EngineFaults& faults) {
  impl_->SetFaults(faults);
}

EngineStats EngineStandin::stats() const {
  return impl_->stats();
}

std::string EngineStandin::TokenText(const std::string& prompt, int index) {
  constexpr uint64_t kVocabulary = 9973;
  const uint64_t digest = CombineDigests(Digest64(prompt), index);
  return " t" + std::to_string(index) + "-" +
         std::to_string(digest % kVocabulary);
}

int RunEngineStandin(int argc, char** argv) {
  namespace po = boost::program_options;
  EngineOptions options;
  std::string role = "mixed";
  po::options_description description("standin engine");
  description.add_options()("help", "print this text")(
      "listen", po::value(&options.listen), "IP:PORT")(
      "model", po::value(&options.model), "name of the served model")(
      "role", po::value(&role), "mixed, prefill or decode")(
      "checks-fencing", po::value(&options.checks_fencing),
      "refuse orders with a fencing number below the highest received")(
      "token-ms", po::value(&options.token_interval_ms),
      "milliseconds between events")("tokens-per-event",
                                     po::value(&options.tokens_per_event),
                                     "tokens in one event")(
      "prefill-rate", po::value(&options.prefill_tokens_per_second),
      "prompt tokens per second")("change-ms", po::value(&options.change_ms),
                                  "milliseconds to apply an order")(
      "exit-on-crash", po::bool_switch(&options.exit_on_crash),
      "exit the process on a crash fault");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (values.count("help") != 0) {
    std::cout << description;
    return 0;
  }
  if (!ParseRole(role, &options.role)) {
    std::cerr << "unknown role '" << role
              << "', expected mixed, prefill or decode\n";
    return 2;
  }
  BlockStopSignals();
  EngineStandin engine(options);
  WaitForStopSignal();
  return 0;
}

}  // namespace endiveyard
