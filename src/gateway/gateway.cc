#include "endiveyard/gateway/gateway.h"

#include <cpprest/http_listener.h>

#include <atomic>
#include <boost/asio/ssl.hpp>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "endiveyard/base/error_kind.h"
#include "endiveyard/base/timer_service.h"
#include "endiveyard/gateway/serving_thread.h"
#include "endiveyard/telemetry/log_event_numbers.h"
#include "gateway/callback_gate.h"
#include "gateway/caller_exchange.h"
#include "gateway/caller_request.h"
#include "gateway/engine_client.h"
#include "gateway/plain_service_client.h"
#include "gateway/target_poller.h"

namespace endiveyard {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

constexpr size_t kServingRingCapacity = 65536;
constexpr std::chrono::milliseconds kServingTick(10);
constexpr std::chrono::milliseconds kShutdownPoll(20);

struct AppliedConfiguration {
  uint64_t version = 0;
  FleetConfiguration fleet;
};

CallerRequestHead HeadOf(const http_request& http) {
  CallerRequestHead head;
  head.method = http.method();
  head.path = web::uri::decode(http.request_uri().path());
  head.query = http.request_uri().query();
  head.header_bytes = static_cast<int64_t>(
      head.method.size() + http.request_uri().to_string().size());
  for (const auto& [name, value] : http.headers()) {
    std::string lower = name;
    for (char& c : lower) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    head.headers[lower] = value;
    head.header_bytes += static_cast<int64_t>(name.size() + value.size());
  }
  return head;
}

http_listener_config ListenerConfig(const TlsFiles& tls) {
  http_listener_config config;
  if (tls.enabled()) {
    config.set_ssl_context_callback([tls](boost::asio::ssl::context& context) {
      context.set_options(boost::asio::ssl::context::default_workarounds |
                          boost::asio::ssl::context::no_sslv2 |
                          boost::asio::ssl::context::no_sslv3 |
                          boost::asio::ssl::context::no_tlsv1 |
                          boost::asio::ssl::context::no_tlsv1_1);
      context.use_certificate_chain_file(tls.certificate);
      context.use_private_key_file(tls.key, boost::asio::ssl::context::pem);
    });
  }
  return config;
}

ServingPolicy PolicyOf(const AppliedConfiguration& applied) {
  const FleetDefaults& defaults = applied.fleet.defaults();
  ServingPolicy policy;
  policy.version = applied.version;
  policy.queue_limit = static_cast<int>(defaults.queue_limit);
  policy.target_concurrency = static_cast<int>(defaults.target_concurrency);
  policy.stall_timeout = std::chrono::milliseconds(defaults.stall_ms);
  policy.drain_timeout = std::chrono::milliseconds(defaults.drain_ms);
  for (const HouseEntry& it : applied.fleet.houses()) {
    policy.house_weights[it.name] = it.weight;
  }
  for (const ClassEntry& it : applied.fleet.classes()) {
    policy.class_priorities[it.name] = static_cast<int>(it.priority);
  }
  return policy;
}

}  // namespace

class Gateway::Impl {
 public:
  Impl(const InstanceSettings& settings,
       const EventLogger* logger,
       Metrics* metrics,
       GatewayHooks hooks)
      : settings_(settings),
        logger_(logger),
        metrics_(metrics),
        hooks_(std::move(hooks)),
        engines_([this](ServingEvent event) { Post(std::move(event)); }),
        services_([this](ServingEvent event) { Post(std::move(event)); }),
        poller_([this](ServingEvent event) { TakePolled(std::move(event)); },
                [this](const std::string& target) {
                  Emit(kLogLoadReportFailed, target);
                }),
        serving_(CoreOptions(settings),
                 kServingRingCapacity,
                 [this](const ServingAction& action) {
                   std::visit([this](const auto& it) { Carry(it); }, action);
                 }),
        caller_gone_(
            std::make_shared<CallbackGate<ExchangeId>>([this](ExchangeId id) {
              Remove(id);
              Post(CallerDisconnected{id});
            })) {}

  // Callbacks of the HTTP library may still be under way.
  ~Impl() {
    timers_.Stop();
    if (listener_ != nullptr) {
      listener_->close().wait();
    }
    serving_.Stop();
    caller_gone_->Close();
    poller_.Stop();
    services_.Stop();
    engines_.Stop();
  }

  absl::Status Open() {
    const bool tls = settings_.caller_tls().enabled();
    const std::string url = std::string(tls ? "https://" : "http://") +
                            settings_.caller_endpoint().ToString();
    try {
      listener_ = std::make_unique<http_listener>(
          web::uri(url), ListenerConfig(settings_.caller_tls()));
      listener_->support([this](http_request http) { Receive(http); });
      listener_->open().wait();
    } catch (const std::exception& error) {
      listener_.reset();  // a listener that is not open cannot be closed
      return MakeError(
          ErrorKind::kInvalidSettings,
          "callers.listen: cannot listen on " + url + ": " + error.what());
    }
    timers_.Subscribe(kServingTick,
                      [this](TimePoint) { serving_.TryPost(Tick{}); });
    timers_.Subscribe(settings_.load_poll_interval(),
                      [this](TimePoint) { poller_.Poll(); });
    return absl::OkStatus();
  }

  void ApplyConfiguration(uint64_t version, FleetConfiguration fleet) {
    auto applied = std::make_shared<AppliedConfiguration>(
        AppliedConfiguration{version, std::move(fleet)});
    {
      std::lock_guard<std::mutex> lock(mutex_);
      configuration_ = applied;
    }
    metrics_->SetConfigurationVersion(static_cast<double>(version));
    Post(PolicyChanged{
        std::make_shared<const ServingPolicy>(PolicyOf(*applied))});
  }

  void ApplyTargets(const std::vector<TargetInfo>& targets) {
    poller_.SetTargets(targets);
    Post(TargetListReceived{targets});
    poller_.Poll();
  }

  void SetReady(bool ready, const std::string& reason) {
    std::lock_guard<std::mutex> lock(mutex_);
    ready_ = ready;
    not_ready_reason_ = reason;
  }

  bool Post(ServingEvent event) { return serving_.Post(std::move(event)); }

  bool QueryInFlight(const std::vector<std::string>& targets,
                     std::function<void(std::vector<int>)> answer) {
    return serving_.TryRun([targets, answer = std::move(answer)](
                               const ServingCore& core, TimePoint) {
      std::vector<int> counts;
      counts.reserve(targets.size());
      for (const std::string& it : targets) {
        counts.push_back(core.InFlight(it));
      }
      answer(std::move(counts));
    });
  }

  size_t open_exchanges() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return exchanges_.size();
  }

  size_t Shutdown(Duration bound) {
    shutting_down_ = true;
    Post(ShutdownStarted{});
    const TimePoint give_up_at = BootClock::now() + bound;
    while (open_exchanges() > 0 && BootClock::now() < give_up_at) {
      std::this_thread::sleep_for(kShutdownPoll);
    }
    const size_t cut = open_exchanges();
    // An exchange ends before the last bytes of its answer are written.
    while (*open_replies_ > 0 && BootClock::now() < give_up_at) {
      std::this_thread::sleep_for(kShutdownPoll);
    }
    timers_.Stop();
    if (listener_ != nullptr) {
      listener_->close().wait();
    }
    serving_.Stop();
    return cut;
  }

 private:
  static ServingCoreOptions CoreOptions(const InstanceSettings& settings) {
    ServingCoreOptions options;
    options.instance_id = settings.id();
    options.region = settings.region();
    options.failure_domain = settings.failure_domain();
    options.seed = std::hash<std::string>()(settings.id());
    return options;
  }

  void TakePolled(ServingEvent event) {
    if (const auto* report = std::get_if<LoadReported>(&event);
        report != nullptr && hooks_.load_reported) {
      hooks_.load_reported(report->target, report->load);
    }
    Post(std::move(event));
  }

  void Emit(int number, const std::string& detail) {
    logger_->Log(number, detail);
    metrics_->CountEvent(number);
  }

  std::shared_ptr<const AppliedConfiguration> configuration() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return configuration_;
  }

  // Empty when new work is taken.
  std::string NotReadyReason() const {
    std::lock_guard<std::mutex> lock(mutex_);
    if (configuration_ == nullptr) {
      return "no configuration is known yet";
    }
    return ready_ ? std::string() : not_ready_reason_;
  }

  // Receipt of requests, on pool threads.

  void Receive(http_request http) {
    const CallerRequestHead head = HeadOf(http);
    if (ReceiveAdministrative(http, head)) {
      return;
    }
    const std::string request_id = RequestIdOf(
        head, settings_.id() + "-" + std::to_string(++next_request_number_));
    if (shutting_down_) {
      Refuse(http, request_id, MakeError(ErrorKind::kShuttingDown, ""));
      return;
    }
    if (const std::string reason = NotReadyReason(); !reason.empty()) {
      Refuse(http, request_id, MakeError(ErrorKind::kNotReady, reason));
      return;
    }
    const auto applied = configuration();
    const auto length = CheckRequestHead(
        head, {settings_.max_body_bytes(), settings_.max_header_bytes()});
    if (!length.ok()) {
      Refuse(http, request_id, length.status());
      return;
    }
    const auto caller = Authenticate(head, applied->fleet);
    if (!caller.ok()) {
      Refuse(http, request_id, caller.status());
      return;
    }
    const TimePoint now = BootClock::now();
    http.extract_vector().then(
        [this, http, head, applied, now, request_id, caller = *caller,
         length =
             *length](pplx::task<std::vector<unsigned char>> task) mutable {
          std::string body;
          try {
            const std::vector<unsigned char> bytes = task.get();
            body.assign(bytes.begin(), bytes.end());
          } catch (const std::exception& error) {
            Refuse(http, request_id,
                   MakeError(ErrorKind::kBadRequest, "the body is incomplete"));
            return;
          }
          if (static_cast<int64_t>(body.size()) != length) {
            Refuse(http, request_id,
                   MakeError(ErrorKind::kBadRequest, "the body is incomplete"));
            return;
          }
          auto request = ParseCallerRequest(head, std::move(body), *caller,
                                            applied->fleet, now);
          if (!request.ok()) {
            Refuse(http, request_id, request.status());
            return;
          }
          request->request_id = request_id;
          Admit(http, std::move(*request));
        });
  }

  // Returns true when the path is one of the instance's own.
  bool ReceiveAdministrative(http_request& http,
                             const CallerRequestHead& head) {
    if (head.path == "/healthz") {
      http.reply(web::http::status_codes::OK, "ok\n");
    } else if (head.path == "/readyz") {
      const std::string reason =
          shutting_down_ ? "shutting down" : NotReadyReason();
      http.reply(reason.empty() ? web::http::status_codes::OK
                                : web::http::status_codes::ServiceUnavailable,
                 reason.empty() ? "ready\n" : reason + "\n");
    } else if (head.path == "/metrics") {
      metrics_->SetOpenExchanges(static_cast<double>(open_exchanges()));
      http.reply(web::http::status_codes::OK, metrics_->Serialize(),
                 "text/plain; version=0.0.4");
    } else if (head.path == "/status") {
      http.reply(web::http::status_codes::OK,
                 hooks_.status ? hooks_.status() : std::string("{}"),
                 "application/json");
    } else if (head.path == "/explain") {
      Explain(http, head);
    } else {
      return false;
    }
    return true;
  }

  // The body is that of a completion; nothing is sent to a target.
  void Explain(http_request& http, CallerRequestHead head) {
    const auto applied = configuration();
    if (applied == nullptr) {
      http.reply(web::http::status_codes::ServiceUnavailable);
      return;
    }
    const auto caller = Authenticate(head, applied->fleet);
    if (!caller.ok()) {
      Refuse(http, "explain", caller.status());
      return;
    }
    head.path = "/v1/completions";
    http.extract_utf8string(true).then(
        [this, http, head, applied,
         caller = *caller](pplx::task<std::string> task) mutable {
          std::string body;
          try {
            body = task.get();
          } catch (const std::exception&) {
            Refuse(http, "explain", MakeError(ErrorKind::kBadRequest, ""));
            return;
          }
          const auto request = ParseCallerRequest(
              head, std::move(body), *caller, applied->fleet, BootClock::now());
          if (!request.ok()) {
            Refuse(http, "explain", request.status());
            return;
          }
          const bool posted = serving_.TryRun([http, request = *request](
                                                  const ServingCore& core,
                                                  TimePoint now) {
            http.reply(web::http::status_codes::OK, core.Explain(request, now));
          });
          if (!posted) {
            Refuse(http, "explain", MakeError(ErrorKind::kOverloaded, ""));
          }
        });
  }

  void Refuse(http_request& http,
              const std::string& request_id,
              const absl::Status& status) {
    const ErrorKind kind = KindOf(status);
    std::string message(status.message());
    const std::string prefix =
        std::string(ErrorResponseFor(kind).message) + ": ";
    message = message.rfind(prefix, 0) == 0 ? message.substr(prefix.size())
                                            : std::string();
    ServingRequest request;
    request.request_id = request_id;
    CallerExchange(http, request, open_replies_, [] {
    }).RefuseRequest(kind, message, Duration::zero());
    metrics_->ObserveRequest("", "", std::string(ErrorResponseFor(kind).name),
                             Duration(-1), Duration(-1), Duration(-1));
  }

  void Admit(http_request& http, ServingRequest request) {
    const ExchangeId id = ++next_exchange_;
    auto exchange = std::make_shared<CallerExchange>(
        http, request, open_replies_,
        [gate = caller_gone_, id] { (*gate)(id); });
    {
      std::lock_guard<std::mutex> lock(mutex_);
      exchanges_[id] = exchange;
    }
    const std::string request_id = request.request_id;
    if (!serving_.TryPost(RequestArrived{id, std::move(request)})) {
      Remove(id);
      Refuse(http, request_id, MakeError(ErrorKind::kOverloaded, ""));
    }
  }

  // Actions, on the serving thread.

  std::shared_ptr<CallerExchange> Find(ExchangeId id) const {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = exchanges_.find(id);
    return it == exchanges_.end() ? nullptr : it->second;
  }

  std::shared_ptr<CallerExchange> Remove(ExchangeId id) {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) {
      return nullptr;
    }
    auto exchange = it->second;
    exchanges_.erase(it);
    return exchange;
  }

  void Carry(const StartAttempt& action) {
    const auto exchange = Find(action.exchange);
    if (exchange == nullptr) {
      return;
    }
    const ServingRequest& request = exchange->request();
    const int64_t remaining_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline -
                                                              BootClock::now())
            .count();
    if (request.kind == RequestKind::kPlain) {
      services_.Start({action, request.method, request.path,
                       request.content_type, request.body, request.request_id,
                       request.idempotency_key, remaining_ms});
    } else {
      engines_.Start({action, request.kind == RequestKind::kChat, request.body,
                      request.priority, remaining_ms});
    }
  }

  void Carry(const CancelAttempt& action) {
    const auto exchange = Find(action.exchange);
    if (exchange != nullptr &&
        exchange->request().kind == RequestKind::kPlain) {
      services_.Cancel(action);
    } else {
      engines_.Cancel(action);
    }
  }

  void Carry(const DeliverTokens& action) {
    if (const auto exchange = Find(action.exchange)) {
      exchange->Deliver(action.tokens);
    }
  }

  void Carry(const FinishCompletion& action) {
    if (const auto exchange = Remove(action.exchange)) {
      exchange->FinishModel(action);
    }
  }

  void Carry(const FinishPlain& action) {
    if (const auto exchange = Remove(action.exchange)) {
      exchange->FinishPlainService(action);
    }
  }

  void Carry(const endiveyard::FinishError& action) {
    if (const auto exchange = Remove(action.exchange)) {
      Emit(kLogRequestRefused,
           exchange->request().request_id + " " +
               std::string(ErrorResponseFor(action.kind).name) + " " +
               action.detail);
      exchange->RefuseRequest(action.kind, action.detail, action.retry_after);
    }
  }

  void Carry(const CommitIntent& action) {
    if (hooks_.commit_intent && hooks_.commit_intent(action)) {
      return;
    }
    IntentResolved resolved;
    resolved.exchange = action.exchange;
    resolved.state = IntentState::kUnavailable;
    // Does not wait, since this is the thread that empties the ring. If the
    // ring is full, the request ends at its deadline.
    serving_.TryPost(resolved);
  }

  void Carry(const RecordOutcome& action) {
    if (hooks_.record_outcome) {
      hooks_.record_outcome(action);
    }
  }

  void Carry(const AnnounceToPeers& action) {
    if (hooks_.announce) {
      hooks_.announce(action);
    }
  }

  void Carry(const ObserveRequest& action) {
    metrics_->ObserveRequest(action.house, action.caller_class, action.outcome,
                             action.queued, action.first_token, action.total);
  }

  void Carry(const ObserveTokenGap& action) {
    metrics_->ObserveTokenGap(action.house, action.caller_class, action.gap);
  }

  void Carry(const EmitLogEvent& action) { Emit(action.number, action.detail); }

  const InstanceSettings settings_;
  const EventLogger* const logger_;
  Metrics* const metrics_;
  const GatewayHooks hooks_;
  mutable std::mutex mutex_;
  std::shared_ptr<const AppliedConfiguration> configuration_;
  bool ready_ = true;
  std::string not_ready_reason_;
  std::map<ExchangeId, std::shared_ptr<CallerExchange>> exchanges_;
  std::atomic<bool> shutting_down_{false};
  std::atomic<ExchangeId> next_exchange_{0};
  std::atomic<uint64_t> next_request_number_{0};
  EngineClient engines_;
  PlainServiceClient services_;
  TargetPoller poller_;
  const OpenReplies open_replies_ = std::make_shared<std::atomic<int>>(0);
  ServingThread serving_;
  const std::shared_ptr<CallbackGate<ExchangeId>> caller_gone_;
  TimerService timers_;
  std::unique_ptr<http_listener> listener_;
};

Gateway::Gateway(const InstanceSettings& settings,
                 const EventLogger* logger,
                 Metrics* metrics,
                 GatewayHooks hooks)
    : impl_(
          std::make_unique<Impl>(settings, logger, metrics, std::move(hooks))) {
}
Gateway::~Gateway() = default;

absl::Status Gateway::Open() {
  return impl_->Open();
}

void Gateway::ApplyConfiguration(uint64_t version,
                                 FleetConfiguration configuration) {
  impl_->ApplyConfiguration(version, std::move(configuration));
}

void Gateway::ApplyTargets(const std::vector<TargetInfo>& targets) {
  impl_->ApplyTargets(targets);
}

void Gateway::SetReady(bool ready, const std::string& reason) {
  impl_->SetReady(ready, reason);
}

bool Gateway::Post(ServingEvent event) {
  return impl_->Post(std::move(event));
}

bool Gateway::QueryInFlight(const std::vector<std::string>& targets,
                            std::function<void(std::vector<int>)> answer) {
  return impl_->QueryInFlight(targets, std::move(answer));
}

size_t Gateway::open_exchanges() const {
  return impl_->open_exchanges();
}

size_t Gateway::Shutdown(Duration bound) {
  return impl_->Shutdown(bound);
}

}  // namespace endiveyard
