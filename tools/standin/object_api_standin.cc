#include "standin/object_api_standin.h"

#include <cpprest/json.h>
#include <signal.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/object_api/instance_list_json.h"
#include "endiveyard/object_api/object_store.h"

namespace endiveyard {
namespace {

// Uses Boost.Beast instead of the http_listener of cpprestsdk: the listener
// always writes a status line, but a lost response must close the connection
// before sending any byte.
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using web::json::value;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

constexpr char kObjectsPath[] = "/v1/objects";
constexpr auto kMaxWatchWait = std::chrono::milliseconds(60000);
constexpr auto kIdleTimeout = std::chrono::seconds(90);
constexpr size_t kMaxBodyBytes = 4 * kMaxObjectBytes;

int HexDigitValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  c = static_cast<char>(c | 0x20);
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() &&
        HexDigitValue(text[i + 1]) >= 0 && HexDigitValue(text[i + 2]) >= 0) {
      out.push_back(static_cast<char>(HexDigitValue(text[i + 1]) * 16 +
                                      HexDigitValue(text[i + 2])));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

struct RequestTarget {
  std::string path;
  std::map<std::string, std::string> query;
};

RequestTarget ParseRequestTarget(std::string_view text) {
  RequestTarget target;
  const size_t question_mark = text.find('?');
  target.path = PercentDecode(text.substr(0, question_mark));
  if (question_mark == std::string_view::npos) {
    return target;
  }
  std::string_view rest = text.substr(question_mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      target.query[PercentDecode(pair.substr(0, equals))] =
          PercentDecode(pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return target;
}

std::optional<uint64_t> ParseNumberParameter(const RequestTarget& target,
                                             const std::string& name) {
  const auto it = target.query.find(name);
  if (it == target.query.end() || it->second.empty() ||
      it->second.size() > 18 ||
      !std::all_of(it->second.begin(), it->second.end(),
                   [](char c) { return c >= '0' && c <= '9'; })) {
    return std::nullopt;
  }
  return std::stoull(it->second);
}

value FormatObject(const StoredObject& object) {
  value out = value::object();
  out["key"] = value::string(object.key);
  out["version"] = value::number(object.version);
  out["value"] = value::string(object.value);
  return out;
}

std::string FormatVersion(uint64_t version) {
  return absl::StrCat("{\"version\":", version, "}");
}

std::string FormatWatch(const WatchResult& result) {
  std::vector<value> events;
  for (const ObjectEvent& it : result.events) {
    value event = FormatObject(it.object);
    event["type"] =
        value::string(it.kind == ObjectEventKind::kPut ? "put" : "delete");
    event["revision"] = value::number(it.revision);
    events.push_back(std::move(event));
  }
  value out = value::object();
  out["revision"] = value::number(result.revision);
  out["events"] = value::array(std::move(events));
  out["gap"] = value::boolean(result.gap);
  return out.serialize();
}

// Token bucket that admits `rate` calls per second, with bursts of up to `rate`
// calls. A rate of 0 means no limit.
class RateLimit {
 public:
  explicit RateLimit(int rate) : rate_(rate), tokens_(rate) {}

  bool Admit(std::chrono::steady_clock::time_point now) {
    if (rate_ == 0) {
      return true;
    }
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    tokens_ = std::min<double>(rate_, tokens_ + elapsed.count() * rate_);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  int rate_;
  double tokens_;
  std::chrono::steady_clock::time_point last_refill_ =
      std::chrono::steady_clock::now();
};

// The response to one request; `close_connection` closes the connection without
// a byte.
struct ApiResponse {
  int status = 200;
  std::string body;
  int retry_after_s = 0;
  bool close_connection = false;
};

using ResponseCallback = std::function<void(ApiResponse)>;

// A call of the object API decoded from an HTTP request.
struct ObjectCall {
  ObjectCallKind kind = ObjectCallKind::kAny;
  std::string key;
  std::string body;
  std::optional<uint64_t> if_version;
  uint64_t since = 0;
  std::chrono::milliseconds wait{0};
};

std::optional<ObjectCall> DecodeObjectCall(const HttpRequest& request,
                                           const RequestTarget& target) {
  ObjectCall call;
  const std::string objects = absl::StrCat(kObjectsPath, "/");
  const auto prefix = target.query.find("prefix");
  if (target.path == kObjectsPath && request.method() == http::verb::get &&
      prefix != target.query.end()) {
    call.kind = ObjectCallKind::kList;
    call.key = prefix->second;
    return call;
  }
  if (target.path == "/v1/watch" && request.method() == http::verb::get &&
      prefix != target.query.end()) {
    call.kind = ObjectCallKind::kWatch;
    call.key = prefix->second;
    call.since = ParseNumberParameter(target, "since").value_or(0);
    call.wait = std::min<std::chrono::milliseconds>(
        kMaxWatchWait,
        std::chrono::milliseconds(
            ParseNumberParameter(target, "timeout_ms").value_or(0)));
    return call;
  }
  if (target.path == "/v1/instances" && request.method() == http::verb::get) {
    call.kind = ObjectCallKind::kInstances;
    return call;
  }
  if (target.path.rfind(objects, 0) != 0) {
    return std::nullopt;
  }
  call.key = target.path.substr(objects.size());
  call.body = request.body();
  call.if_version = ParseNumberParameter(target, "if_version");
  switch (request.method()) {
    case http::verb::get:
      call.kind = ObjectCallKind::kGet;
      return call;
    case http::verb::put:
      call.kind = ObjectCallKind::kPut;
      return call;
    case http::verb::delete_:
      call.kind = ObjectCallKind::kDelete;
      return call;
    default:
      return std::nullopt;
  }
}

ApiResponse MakeWriteResponse(const WriteResult& result) {
  switch (result.outcome) {
    case WriteOutcome::kApplied:
      return {200, FormatVersion(result.version), 0, false};
    case WriteOutcome::kConflict:
      return {409, FormatVersion(result.version), 0, false};
    default: {
      value body = value::object();
      body["error"] = value::string(result.detail);
      return {400, body.serialize(), 0, false};
    }
  }
}

uint64_t NumberFieldOrZero(const value& object, const std::string& name) {
  return object.has_field(name) ? object.at(name).as_number().to_uint64() : 0;
}

// Parses one rule of POST /admin/faults. Throws web::json::json_exception.
FaultRule ParseFaultRule(const value& object) {
  FaultRule rule;
  if (!ParseObjectFault(object.at("fault").as_string(), &rule.fault)) {
    throw web::json::json_exception("unknown value of \"fault\"");
  }
  if (object.has_field("call") &&
      !ParseObjectCall(object.at("call").as_string(), &rule.call)) {
    throw web::json::json_exception("unknown value of \"call\"");
  }
  if (object.has_field("key_prefix")) {
    rule.key_prefix = object.at("key_prefix").as_string();
  }
  rule.skip = NumberFieldOrZero(object, "skip");
  rule.count = NumberFieldOrZero(object, "count");
  rule.delay = std::chrono::milliseconds(NumberFieldOrZero(object, "delay_ms"));
  rule.retry_after =
      std::chrono::milliseconds(NumberFieldOrZero(object, "retry_after_ms"));
  return rule;
}

}  // namespace

class ObjectApiStandin::Impl {
 public:
  ~Impl() { Stop(); }

  absl::Status Start(const Options& options) {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(options.address, ec);
    if (ec || !address.is_loopback()) {
      return absl::InvalidArgumentError(
          absl::StrCat("\"", options.address, "\" is not a loopback address"));
    }
    const tcp::endpoint endpoint(address, options.port);
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec) {
      acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
      acceptor_.bind(endpoint, ec);
    }
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return absl::UnavailableError(
          absl::StrCat("cannot listen on ", options.address, ":", options.port,
                       ": ", ec.message()));
    }
    port_ = acceptor_.local_endpoint().port();
    read_limit_ = RateLimit(options.reads_per_second);
    write_limit_ = RateLimit(options.writes_per_second);
    store_ = ObjectStore(options.history_limit);
    instance_list_json_ = FormatInstanceList(options.instances);
    Accept();
    thread_ = std::thread([this] { context_.run(); });
    return absl::OkStatus();
  }

  void Stop() {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
    boost::system::error_code ec;
    acceptor_.close(ec);
    pending_watches_.clear();
    // Sessions hold sockets and timers of context_, so close them before it is
    // destroyed.
    for (const auto& it : std::set<std::shared_ptr<Session>>(sessions_)) {
      it->Close();
    }
    sessions_.clear();
  }

  uint16_t port() const { return port_; }

  void AddFault(FaultRule rule) {
    std::lock_guard<std::mutex> lock(mutex_);
    faults_.Add(std::move(rule));
  }

  void ClearFaults() {
    std::lock_guard<std::mutex> lock(mutex_);
    faults_.Clear();
  }

  void SetInstances(const InstanceList& list) {
    std::lock_guard<std::mutex> lock(mutex_);
    instance_list_json_ = FormatInstanceList(list);
  }

  Stats stats() const {
    std::lock_guard<std::mutex> lock(mutex_);
    Stats stats = stats_;
    stats.revision = store_.revision();
    stats.objects = store_.size();
    stats.waiting_watches = pending_watches_.size();
    return stats;
  }

 private:
  // One connection. Handles its requests sequentially.
  class Session : public std::enable_shared_from_this<Session> {
   public:
    Session(tcp::socket socket, Impl* impl)
        : stream_(std::move(socket)), impl_(impl) {}

    void Read() {
      parser_.emplace();
      parser_->body_limit(kMaxBodyBytes);
      stream_.expires_after(kIdleTimeout);
      http::async_read(
          stream_, buffer_, *parser_,
          [self = shared_from_this()](beast::error_code ec, size_t /*bytes*/) {
            if (ec) {
              self->Close();
              return;
            }
            self->stream_.expires_never();
            self->impl_->HandleRequest(self->parser_->release(),
                                       [self](ApiResponse response) {
                                         self->Write(std::move(response));
                                       });
          });
    }

    void Close() {
      beast::error_code ec;
      stream_.socket().close(ec);
      impl_->sessions_.erase(shared_from_this());
    }

   private:
    void Write(ApiResponse response) {
      if (response.close_connection) {
        Close();
        return;
      }
      response_ = HttpResponse(static_cast<http::status>(response.status), 11);
      response_.set(http::field::content_type, "application/json");
      if (response.retry_after_s > 0) {
        response_.set(http::field::retry_after,
                      std::to_string(response.retry_after_s));
      }
      response_.body() = std::move(response.body);
      response_.keep_alive(keep_alive_);
      response_.prepare_payload();
      stream_.expires_after(kIdleTimeout);
      http::async_write(
          stream_, response_,
          [self = shared_from_this()](beast::error_code ec, size_t /*bytes*/) {
            if (ec) {
              self->Close();
              return;
            }
            self->Read();
          });
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    HttpResponse response_;
    bool keep_alive_ = true;
    Impl* impl_;
  };

  struct PendingWatch {
    std::string prefix;
    uint64_t since = 0;
    ResponseCallback send_response;
    std::unique_ptr<asio::steady_timer> timer;
  };

  void Accept() {
    acceptor_.async_accept([this](beast::error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      auto session = std::make_shared<Session>(std::move(socket), this);
      sessions_.insert(session);
      session->Read();
      Accept();
    });
  }

  void HandleRequest(const HttpRequest& request,
                     const ResponseCallback& send_response) {
    const RequestTarget target = ParseRequestTarget(
        std::string_view(request.target().data(), request.target().size()));
    if (target.path == "/v1/stats" || target.path.rfind("/admin/", 0) == 0) {
      send_response(HandleAdmin(request, target.path));
      return;
    }
    std::optional<ObjectCall> call = DecodeObjectCall(request, target);
    if (!call) {
      send_response({404, "{\"error\":\"no such path or method\"}", 0, false});
      return;
    }
    FaultRule rule;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++stats_.calls[std::string(ObjectCallName(call->kind))];
      const bool is_write = call->kind == ObjectCallKind::kPut ||
                            call->kind == ObjectCallKind::kDelete;
      if (!(is_write ? write_limit_ : read_limit_)
               .Admit(std::chrono::steady_clock::now())) {
        ++stats_.rate_limited;
        send_response({429, "{\"error\":\"rate limit exceeded\"}", 1, false});
        return;
      }
      rule = faults_.NextFault(call->kind, call->key);
    }
    if (rule.fault != ObjectFault::kSlow) {
      ExecuteCall(*call, rule, send_response);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, rule.delay);
    timer->async_wait([this, timer, call = std::move(*call),
                       send_response](beast::error_code ec) {
      if (!ec) {
        ExecuteCall(call, FaultRule(), send_response);
      }
    });
  }

  void ExecuteCall(const ObjectCall& call,
                   const FaultRule& rule,
                   const ResponseCallback& send_response) {
    switch (rule.fault) {
      case ObjectFault::kUnavailable:
        send_response({503, "{\"error\":\"unavailable\"}", 0, false});
        return;
      case ObjectFault::kRateLimited: {
        const auto s =
            std::chrono::ceil<std::chrono::seconds>(rule.retry_after);
        send_response({429, "{\"error\":\"rate limit exceeded\"}",
                       static_cast<int>(std::max<int64_t>(1, s.count())),
                       false});
        return;
      }
      case ObjectFault::kResponseLostBeforeEffect:
        send_response({0, "", 0, true});
        return;
      default:
        break;
    }
    if (call.kind == ObjectCallKind::kWatch) {
      StartWatch(call, rule, send_response);
      return;
    }
    ApiResponse response = ApplyCall(call);
    response.close_connection =
        rule.fault == ObjectFault::kResponseLostAfterEffect;
    send_response(std::move(response));
    CompleteReadyWatches();
  }

  ApiResponse ApplyCall(const ObjectCall& call) {
    std::lock_guard<std::mutex> lock(mutex_);
    switch (call.kind) {
      case ObjectCallKind::kGet: {
        const StoredObject* object = store_.Get(call.key);
        if (object == nullptr) {
          return {404, "{\"error\":\"not found\"}", 0, false};
        }
        return {200, FormatObject(*object).serialize(), 0, false};
      }
      case ObjectCallKind::kList: {
        const ObjectList list = store_.List(call.key);
        std::vector<value> items;
        items.reserve(list.items.size());
        for (const StoredObject& it : list.items) {
          items.push_back(FormatObject(it));
        }
        value body = value::object();
        body["revision"] = value::number(list.revision);
        body["items"] = value::array(std::move(items));
        return {200, body.serialize(), 0, false};
      }
      case ObjectCallKind::kPut:
      case ObjectCallKind::kDelete: {
        if (!call.if_version) {
          return {400, "{\"error\":\"if_version is required\"}", 0, false};
        }
        const WriteResult result =
            call.kind == ObjectCallKind::kPut
                ? store_.PutIf(call.key, call.body, *call.if_version)
                : store_.Delete(call.key, *call.if_version);
        stats_.applied += result.outcome == WriteOutcome::kApplied ? 1 : 0;
        return MakeWriteResponse(result);
      }
      default:
        return {200, instance_list_json_, 0, false};
    }
  }

  void StartWatch(const ObjectCall& call,
                  const FaultRule& rule,
                  const ResponseCallback& send_response) {
    WatchResult result;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      result = store_.EventsSince(call.key, call.since);
    }
    if (rule.fault == ObjectFault::kWatchGap) {
      result.gap = true;
      result.events.clear();
    }
    const bool close_connection =
        rule.fault == ObjectFault::kResponseLostAfterEffect;
    if (close_connection || result.gap || !result.events.empty() ||
        call.wait.count() == 0) {
      send_response({200, FormatWatch(result), 0, close_connection});
      return;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    const uint64_t id = ++last_watch_id_;
    PendingWatch& watch = pending_watches_[id];
    watch.prefix = call.key;
    watch.since = call.since;
    watch.send_response = send_response;
    watch.timer = std::make_unique<asio::steady_timer>(context_, call.wait);
    watch.timer->async_wait([this, id](beast::error_code ec) {
      if (!ec) {
        CompleteWatch(id);
      }
    });
  }

  // Responds to a watch. Does nothing if it is already complete: its timer may
  // have expired before it was cancelled.
  void CompleteWatch(uint64_t id) {
    WatchResult result;
    PendingWatch watch;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      const auto it = pending_watches_.find(id);
      if (it == pending_watches_.end()) {
        return;
      }
      watch = std::move(it->second);
      pending_watches_.erase(it);
      result = store_.EventsSince(watch.prefix, watch.since);
    }
    watch.send_response({200, FormatWatch(result), 0, false});
  }

  void CompleteReadyWatches() {
    std::vector<uint64_t> ready;
    for (const auto& it : pending_watches_) {
      const WatchResult result =
          store_.EventsSince(it.second.prefix, it.second.since);
      if (result.gap || !result.events.empty()) {
        ready.push_back(it.first);
      }
    }
    for (uint64_t id : ready) {
      CompleteWatch(id);
    }
  }

  ApiResponse HandleAdmin(const HttpRequest& request, const std::string& path) {
    try {
      if (path == "/v1/stats" && request.method() == http::verb::get) {
        return {200, FormatStats(), 0, false};
      }
      if (path == "/admin/instances" && request.method() == http::verb::put) {
        const auto list = ParseInstanceList(request.body());
        if (!list.ok()) {
          throw web::json::json_exception(std::string(list.status().message()));
        }
        SetInstances(*list);
        return {200, "{}", 0, false};
      }
      if (path == "/admin/faults" && request.method() == http::verb::post) {
        UpdateFaults(value::parse(request.body()));
        return {200, "{}", 0, false};
      }
    } catch (const web::json::json_exception& e) {
      value body = value::object();
      body["error"] = value::string(e.what());
      return {400, body.serialize(), 0, false};
    }
    return {404, "{\"error\":\"no such path or method\"}", 0, false};
  }

  // Body: {"clear": bool, "faults": [{fault, call, key_prefix, skip, count,
  // delay_ms, retry_after_ms}]}. Rules are appended to the existing ones.
  void UpdateFaults(const value& body) {
    if (!body.is_object()) {
      throw web::json::json_exception("expected a JSON object");
    }
    std::vector<FaultRule> rules;
    if (body.has_field("faults")) {
      for (const value& it : body.at("faults").as_array()) {
        rules.push_back(ParseFaultRule(it));
      }
    }
    if (body.has_field("clear") && body.at("clear").as_bool()) {
      ClearFaults();
    }
    for (FaultRule& it : rules) {
      AddFault(std::move(it));
    }
  }

  std::string FormatStats() const {
    const Stats stats = this->stats();
    value calls = value::object();
    for (const auto& it : stats.calls) {
      calls[it.first] = value::number(it.second);
    }
    value body = value::object();
    body["calls"] = calls;
    body["applied"] = value::number(stats.applied);
    body["rate_limited"] = value::number(stats.rate_limited);
    body["revision"] = value::number(stats.revision);
    body["objects"] = value::number(stats.objects);
    body["waiting_watches"] = value::number(stats.waiting_watches);
    return body.serialize();
  }

  // Declared first, so that it is destroyed after its sockets and timers.
  asio::io_context context_{1};
  tcp::acceptor acceptor_{context_};
  uint16_t port_ = 0;
  std::thread thread_;

  // Guards the state that the public methods read or modify.
  mutable std::mutex mutex_;
  ObjectStore store_;
  FaultTable faults_;
  Stats stats_;
  std::string instance_list_json_;
  RateLimit read_limit_{0};
  RateLimit write_limit_{0};
  std::map<uint64_t, PendingWatch> pending_watches_;
  uint64_t last_watch_id_ = 0;
  std::set<std::shared_ptr<Session>>
      sessions_;  // accessed by thread_ only, except in Stop()
};

ObjectApiStandin::ObjectApiStandin() : impl_(std::make_unique<Impl>()) {}
ObjectApiStandin::~ObjectApiStandin() = default;

absl::Status ObjectApiStandin::Start(const Options& options) {
  return impl_->Start(options);
}

void ObjectApiStandin::Stop() {
  impl_->Stop();
}

uint16_t ObjectApiStandin::port() const {
  return impl_->port();
}

void ObjectApiStandin::AddFault(FaultRule rule) {
  impl_->AddFault(std::move(rule));
}

void ObjectApiStandin::ClearFaults() {
  impl_->ClearFaults();
}

void ObjectApiStandin::SetInstances(const InstanceList& list) {
  impl_->SetInstances(list);
}

ObjectApiStandin::Stats ObjectApiStandin::stats() const {
  return impl_->stats();
}

int RunObjectApiStandin(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string listen;
  std::string instances;
  ObjectApiStandin::Options options;
  po::options_description description("Options of object-api");
  auto add = description.add_options();
  add("help", "print this text");
  add("listen", po::value(&listen)->default_value("127.0.0.1:7400"),
      "loopback address and port (ADDRESS:PORT)");
  add("instances", po::value(&instances),
      "JSON file with the list of targets and instances");
  add("reads-per-second", po::value(&options.reads_per_second),
      "rate limit (0: no limit)");
  add("writes-per-second", po::value(&options.writes_per_second),
      "rate limit (0: no limit)");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    const size_t colon = listen.rfind(':');
    if (colon == std::string::npos) {
      throw po::error("--listen: expected ADDRESS:PORT");
    }
    const int port = std::stoi(listen.substr(colon + 1));
    if (port < 0 || port > UINT16_MAX) {
      throw po::error("--listen: port must be between 0 and 65535");
    }
    options.address = listen.substr(0, colon);
    options.port = static_cast<uint16_t>(port);
  } catch (const std::exception& e) {
    std::cerr << "object-api: " << e.what() << "\n";
    return 2;
  }
  if (!instances.empty()) {
    std::ifstream file(instances);
    std::stringstream text;
    text << file.rdbuf();
    const auto list = ParseInstanceList(text.str());
    if (!file || !list.ok()) {
      std::cerr << "object-api: " << instances << ": "
                << (file ? list.status().ToString() : "cannot read the file")
                << "\n";
      return 2;
    }
    options.instances = *list;
  }
  // Blocked before the thread starts, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  ObjectApiStandin standin;
  const absl::Status status = standin.Start(options);
  if (!status.ok()) {
    std::cerr << "object-api: " << status.message() << "\n";
    return 1;
  }
  std::cout << "object-api listening on " << options.address << ":"
            << standin.port() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}

}  // namespace endiveyard
