#include "soak/replica_standin.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <thread>
#include <utility>

#include "soak/front_process.h"
#include "soak/stream_shape.h"

namespace endiveyard::soak {
namespace {

// A second copy arrives up to this much later, where the next response of the
// connection is expected.
constexpr int kMaxCopyDelayMs = 60;
constexpr int kMaxLateMs = 3000;
// Events that are missing before the first one of a stream.
constexpr int kSkippedEvents = 2;

constexpr std::array<std::string_view,
                     static_cast<size_t>(ReplicaFault::kCount)>
    kFaultNames = {"none",
                   "refuse",
                   "refuse_twice",
                   "refuse_twice_without_id",
                   "late_refusal_without_id",
                   "refuse_again_before_next",
                   "refuse_again_rejoined",
                   "reset_before_run",
                   "close_before_run",
                   "reset_after_run",
                   "close_after_run",
                   "cut_head",
                   "reset_in_head",
                   "cut_body",
                   "reset_in_body",
                   "answer_twice",
                   "answer_twice_late",
                   "answer_again_before_next",
                   "answer_again_rejoined",
                   "answer_again_cut",
                   "answer_again_cut_close",
                   "surplus_bytes",
                   "no_http",
                   "late",
                   "fail_500",
                   "fail_503",
                   "fail_429",
                   "endless_head",
                   "endless_body",
                   "endless_failure",
                   "wrong_event_id",
                   "unframed",
                   "unframed_reset",
                   "late_first_id",
                   "pause",
                   "crash_request",
                   "crash_part",
                   "rate_limit"};

std::string HeadOf(const std::string& id, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Response-Signature: sig-" + id + "\r\n" + framing +
         "\r\n";
}

std::string WithLength(const std::string& id,
                       const std::string& more,
                       const std::string& body) {
  return HeadOf(id, more + "Content-Length: " + std::to_string(body.size()) +
                        "\r\n") +
         body;
}

std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string Failure(const std::string& id, const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nEndiveyard-Request-Id: " + id +
         "\r\nContent-Length: 4\r\n\r\nfail";
}

std::string Refusal(const std::string& id) {
  return "HTTP/1.1 503 Service Unavailable\r\n" +
         (id.empty() ? "" : "Endiveyard-Request-Id: " + id + "\r\n") +
         "Endiveyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string Misdirected(const std::string& id) {
  return "HTTP/1.1 421 Misdirected Request\r\n" +
         (id.empty() ? "" : "Endiveyard-Request-Id: " + id + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

bool IsRefusal(ReplicaFault fault) {
  return fault >= ReplicaFault::kRefuse &&
         fault <= ReplicaFault::kRefuseAgainRejoined;
}

bool RunsToTheEnd(ReplicaFault fault) {
  return fault == ReplicaFault::kNone || fault == ReplicaFault::kAnswerTwice ||
         fault == ReplicaFault::kAnswerTwiceLate ||
         fault == ReplicaFault::kAnswerAgainBeforeNext ||
         fault == ReplicaFault::kAnswerAgainRejoined ||
         fault == ReplicaFault::kAnswerAgainCut ||
         fault == ReplicaFault::kAnswerAgainCutClose ||
         fault == ReplicaFault::kSurplusBytes ||
         fault == ReplicaFault::kUnframed || fault == ReplicaFault::kRateLimit;
}

}  // namespace

std::string_view NameOf(ReplicaFault fault) {
  return kFaultNames[static_cast<size_t>(fault)];
}

std::optional<ReplicaFault> FaultNamed(std::string_view name) {
  const auto* const it =
      std::find(kFaultNames.begin(), kFaultNames.end(), name);
  if (it == kFaultNames.end()) {
    return std::nullopt;
  }
  return static_cast<ReplicaFault>(it - kFaultNames.begin());
}

std::string HandleTable::Add(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string handle = "h" + std::to_string(next_++);
  requests_[handle] = request_id;
  return handle;
}

std::string HandleTable::Take(const std::string& handle) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = requests_.find(handle);
  if (it == requests_.end()) {
    return "";
  }
  std::string id = it->second;
  requests_.erase(it);
  return id;
}

ReplicaStandin::ReplicaStandin(const Options& options,
                               RunLedger* ledger,
                               HandleTable* handles)
    : options_(options),
      ledger_(ledger),
      handles_(handles),
      service_(options.service),
      stage_(options.stage),
      random_(options.seed) {
  for (size_t n = 0; n < options.views; ++n) {
    listeners_.push_back(std::make_unique<HttpListener>(
        options.ip, [this, n](HttpPeer& peer) { Serve(peer, n); }));
  }
}

void ReplicaStandin::Restart(const std::string& service,
                             const std::string& stage) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (limit_per_s_ > 0) {
    options_.crash_ledger->RecordLimitEnd(IdOf(incarnation_), NowMs());
  }
  ++incarnation_;
  service_ = service;
  stage_ = stage;
  call_times_ms_.clear();
  limit_per_s_ = 0;
}

std::string ReplicaStandin::id() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return IdOf(incarnation_);
}

std::string ReplicaStandin::IdOf(int incarnation) const {
  return "i-" + options_.ip.substr(options_.ip.rfind('.') + 1) + "-" +
         std::to_string(incarnation);
}

std::string ReplicaStandin::service() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return service_;
}

std::string ReplicaStandin::stage() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stage_;
}

std::string ReplicaStandin::VersionOf(const std::string& ip, int incarnation) {
  constexpr int kVersions = 2;
  const int number = std::atoi(ip.c_str() + ip.rfind('.') + 1) + incarnation;
  return "v" + std::to_string(1 + number % kVersions);
}

std::vector<std::string> ReplicaStandin::Specs(const std::string& state) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool is_engine = !stage_.empty();
  const int number =
      std::atoi(options_.ip.c_str() + options_.ip.rfind('.') + 1);
  std::vector<std::string> specs;
  for (const auto& it : listeners_) {
    specs.push_back(
        R"({"service":")" + service_ + R"(","address":")" + options_.ip + ":" +
        std::to_string(it->port()) + R"(","zone":")" + ZoneOf(number) +
        R"(","version":")" + VersionOf(options_.ip, incarnation_) +
        R"(","slots":)" + (is_engine ? "64" : "6") + R"(,"state":")" + state +
        R"(","cold_remaining_ms":0)" +
        (is_engine
             ? R"(,"stage":")" + stage_ +
                   R"(","models":[{"name":"m","version":1,"adapters":[]}])"
             : "") +
        R"(,"sequence":1,"born":)" +
        std::to_string(1790000000000 + incarnation_) + "}");
  }
  return specs;
}

int ReplicaStandin::DrawNumber(int max) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::uniform_int_distribution<int>(0, max)(random_);
}

ReplicaFault ReplicaStandin::DrawFault() {
  constexpr int kRange = 1000000;
  if (!faulty_ || options_.faults.empty() ||
      DrawNumber(kRange) >= options_.fault_rate * kRange) {
    return ReplicaFault::kNone;
  }
  const int last = static_cast<int>(options_.faults.size()) - 1;
  return options_.faults[static_cast<size_t>(DrawNumber(last))];
}

void ReplicaStandin::Serve(HttpPeer& peer, size_t view) {
  Connection connection{peer, view, "", false};
  const int idle_ms = 1 + DrawNumber(options_.max_idle_ms);
  while (true) {
    const HttpMessage request = peer.Read(idle_ms);
    if (!request.complete || has_crashed_) {
      return;
    }
    if (!peer.Send(std::exchange(connection.copy, "")) || connection.closes ||
        !Handle(connection, request)) {
      return;
    }
  }
}

void ReplicaStandin::KeepCopy(Connection& connection,
                              const std::string& answer,
                              ReplicaFault fault) {
  connection.closes = fault == ReplicaFault::kAnswerAgainCutClose;
  connection.copy = answer;
  if (connection.closes || fault == ReplicaFault::kAnswerAgainCut) {
    const int last = static_cast<int>(answer.size()) - 1;
    connection.copy.resize(static_cast<size_t>(DrawNumber(last)));
  }
}

bool ReplicaStandin::Work(HttpPeer& peer, int max_ms) {
  return !peer.WaitForEnd(DrawNumber(max_ms));
}

ReplicaCall ReplicaStandin::CallOf(const Arrival& arrival) {
  return {arrival.id, arrival.replica, arrival.process, arrival.read_only,
          NowMs()};
}

void ReplicaStandin::Crash() {
  constexpr int kMinAwayMs = 2500;
  constexpr int kMaxAwayMs = 5000;
  if (has_crashed_.exchange(true)) {
    return;
  }
  for (const auto& it : listeners_) {
    it->Refuse();
  }
  for (const auto& it : listeners_) {
    it->ResetConnections();
  }
  const int away_ms = kMinAwayMs + DrawNumber(kMaxAwayMs - kMinAwayMs);
  std::thread([this, away_ms] {
    SleepMs(away_ms);
    options_.restart();
    has_crashed_ = false;
    for (const auto& it : listeners_) {
      it->Heal();
    }
  }).detach();
}

std::optional<std::pair<CrashCause, std::string>> ReplicaStandin::CauseOf(
    const HttpMessage& request) {
  if (request.Target().find(kCrashingTarget) != std::string::npos) {
    return std::pair(CrashCause::kRequest, request.Target());
  }
  if (request.Header("Endiveyard-Prompt-Prefix").find(kCrashingPart) !=
      std::string::npos) {
    return std::pair(CrashCause::kPart, std::string(kCrashingPart));
  }
  return std::nullopt;
}

void ReplicaStandin::RecordForCrashLedger(const HttpMessage& request,
                                          const Arrival& arrival) {
  if (options_.crash_ledger == nullptr) {
    return;
  }
  const ReplicaCall call = CallOf(arrival);
  if (const auto cause = CauseOf(request)) {
    options_.crash_ledger->RecordCall(cause->first, cause->second, call);
  }
  options_.crash_ledger->RecordCall(call);
  const std::lock_guard<std::mutex> lock(mutex_);
  call_times_ms_.push_back(call.at_ms);
  if (limit_per_s_ > 0 && call.at_ms >= limit_end_ms_) {
    limit_per_s_ = 0;
    options_.crash_ledger->RecordLimitEnd(arrival.replica, call.at_ms);
  }
}

bool ReplicaStandin::CrashesBy(HttpPeer& peer, const HttpMessage& request) {
  const auto cause = CauseOf(request);
  if (!cause || options_.crash_ledger == nullptr) {
    return false;
  }
  if (has_crashed_) {
    return true;
  }
  if (cause->first == CrashCause::kPart) {
    peer.Send(HeadOf(request.Header("Endiveyard-Request-Id"),
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n"));
  }
  options_.crash_ledger->RecordCrash(cause->first, cause->second, NowMs());
  Crash();
  return true;
}

void ReplicaStandin::BeginLimit() {
  constexpr int64_t kLimitMs = 12000;
  constexpr int64_t kMeasuredMs = 4000;
  constexpr double kMsPerS = 1000;
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t now_ms = NowMs();
  // One limit in each incarnation.
  if (limit_end_ms_ > 0 && limit_incarnation_ == incarnation_) {
    return;
  }
  const auto calls =
      std::count_if(call_times_ms_.begin(), call_times_ms_.end(),
                    [&](int64_t it) { return it > now_ms - kMeasuredMs; });
  limit_per_s_ =
      std::max(1.0, static_cast<double>(calls) / 2 * kMsPerS / kMeasuredMs);
  limit_end_ms_ = now_ms + kLimitMs;
  limit_incarnation_ = incarnation_;
}

std::string ReplicaStandin::LimitHeader() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (limit_per_s_ == 0) {
    return "";
  }
  return "Server-Limit: " + std::to_string(limit_per_s_) + "\r\n";
}

void ReplicaStandin::RecordLimitTold(size_t view) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (limit_per_s_ > 0) {
    options_.crash_ledger->RecordLimit(
        IdOf(incarnation_), options_.process_of(view), limit_per_s_, NowMs());
  }
}

bool ReplicaStandin::Handle(Connection& connection,
                            const HttpMessage& request) {
  HttpPeer& peer = connection.peer;
  Run run;
  run.id = request.Header("Endiveyard-Request-Id");
  if (request.start_line.compare(0, 7, "DELETE ") == 0) {
    return peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  std::string service;
  std::string stage;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    service = service_;
    run.version = VersionOf(options_.ip, incarnation_);
    stage = stage_;
  }
  run.replica = this->id();
  const bool is_probe = request.start_line.rfind("GET /healthz ", 0) == 0 ||
                        request.start_line.rfind("GET /report ", 0) == 0;
  if (is_probe && request.Header("Endiveyard-Expect-Instance") == run.replica) {
    return peer.Send("HTTP/1.1 200 OK\r\nEndiveyard-Replica-Id: " +
                     run.replica + "\r\nContent-Length: 0\r\n\r\n");
  }
  const bool prefills = request.Header("Endiveyard-Stage") == "prefill";
  Arrival arrival;
  arrival.id = run.id;
  const std::string wanted_service =
      run.id.empty() ? service : ServiceOf(KindOf(request.Target()));
  arrival.service = wanted_service;
  arrival.replica = run.replica;
  arrival.read_only = prefills;
  arrival.process =
      options_.process_of ? options_.process_of(connection.view) : "";
  if (const std::string left = request.Header("Endiveyard-Deadline-Ms");
      !left.empty()) {
    arrival.time_left_ms = std::atoll(left.c_str());
  }
  RecordForCrashLedger(request, arrival);
  if (request.Header("Endiveyard-Expect-Instance") != run.replica ||
      (!stage.empty() && prefills != (stage == "prefill"))) {
    ledger_->RecordArrival(arrival);
    return Refuse(connection, Misdirected(run.id), Misdirected(""),
                  DrawFault());
  }
  if (wanted_service != service) {
    ledger_->RecordViolation("ROUTE, request " + run.id + " for " +
                             wanted_service + " is accepted by " + service);
  }
  if (prefills) {
    return Prefill(connection, request, arrival);
  }
  ledger_->RecordArrival(arrival);
  const ReplicaFault fault = DrawFault();
  if (fault == ReplicaFault::kRateLimit) {
    BeginLimit();
  }
  if (fault == ReplicaFault::kPause) {
    return AskForPause(connection, arrival);
  }
  if (IsRefusal(fault)) {
    return Refuse(connection, Refusal(run.id), Refusal(""), fault);
  }
  if (fault == ReplicaFault::kResetBeforeRun) {
    peer.Reset();
    return false;
  }
  if (fault == ReplicaFault::kCloseBeforeRun) {
    return false;
  }
  const std::string source = request.Header("Endiveyard-Kv-Source");
  if (!source.empty()) {
    const std::string owner =
        handles_->Take(source.substr(source.find('/') + 1));
    if (owner.empty()) {
      return peer.Send(Refusal(run.id));
    }
    if (owner != run.id) {
      ledger_->RecordViolation("MIXED, request " + run.id +
                               " goes on from the handle of " + owner);
    }
  }
  run.kind = KindOf(request.Target());
  run.counts_tokens = options_.versions_by_tokens.count(run.version) > 0;
  // Nothing follows an event that the stream does not have.
  run.begun_after =
      EventNumberOf(run.id, std::atoll(request.Header("Last-Event-Id").c_str()),
                    run.counts_tokens)
          .value_or(ShapeOf(run.id).events);
  run.sound = RunsToTheEnd(fault) && !CauseOf(request);
  if (options_.describe_caller) {
    run.caller = options_.describe_caller(connection.view);
  }
  run = ledger_->RecordRun(run);
  const bool keeps =
      Work(peer, options_.max_work_ms) && !CrashesBy(peer, request) &&
      (IsStream(run.kind) ? AnswerStream(connection, request, run, fault)
                          : Answer(connection, request, fault));
  ledger_->RecordRunEnd(run.number);
  if (keeps) {
    RecordLimitTold(connection.view);
  }
  return keeps;
}

bool ReplicaStandin::Refuse(Connection& connection,
                            const std::string& refusal,
                            const std::string& without_id,
                            ReplicaFault fault) {
  HttpPeer& peer = connection.peer;
  switch (fault) {
    case ReplicaFault::kRefuseTwice:
    case ReplicaFault::kLateRefusalWithoutId:
      peer.Send(refusal);
      SleepMs(DrawNumber(kMaxCopyDelayMs));
      return peer.Send(fault == ReplicaFault::kRefuseTwice ? refusal
                                                           : without_id);
    case ReplicaFault::kRefuseTwiceWithoutId:
      return peer.Send(refusal + without_id);
    case ReplicaFault::kRefuseAgainRejoined:
      Rejoin();
      [[fallthrough]];
    case ReplicaFault::kRefuseAgainBeforeNext:
      connection.copy = refusal;
      [[fallthrough]];
    default:
      return peer.Send(refusal);
  }
}

bool ReplicaStandin::AskForPause(Connection& connection,
                                 const Arrival& arrival) {
  constexpr int64_t kPauseS = 2;
  constexpr int64_t kMsPerS = 1000;
  const std::string refusal = Refusal(arrival.id);
  const size_t head_end = refusal.find("Content-Length");
  const bool is_sent = connection.peer.Send(
      refusal.substr(0, head_end) + "Retry-After: " + std::to_string(kPauseS) +
      "\r\n" + refusal.substr(head_end));
  ledger_->RecordPause(arrival.replica, arrival.process, kPauseS * kMsPerS);
  return is_sent;
}

void ReplicaStandin::Rejoin() {
  // Callers know the new registration when the answer arrives.
  constexpr int kNoticeMs = 20;
  options_.rejoin();
  SleepMs(kNoticeMs);
}

bool ReplicaStandin::Prefill(Connection& connection,
                             const HttpMessage& request,
                             Arrival arrival) {
  HttpPeer& peer = connection.peer;
  const std::string id = request.Header("Endiveyard-Request-Id");
  const ReplicaFault fault = DrawFault();
  arrival.accepted =
      fault == ReplicaFault::kNone ||
      (fault > ReplicaFault::kCloseBeforeRun && fault != ReplicaFault::kPause);
  ledger_->RecordArrival(arrival);
  if (fault == ReplicaFault::kRateLimit) {
    BeginLimit();
  }
  if (fault == ReplicaFault::kPause) {
    return AskForPause(connection, arrival);
  }
  if (IsRefusal(fault)) {
    return Refuse(connection, Refusal(id), Refusal(""), fault);
  }
  switch (fault) {
    case ReplicaFault::kResetBeforeRun:
    case ReplicaFault::kResetAfterRun:
      peer.Reset();
      return false;
    case ReplicaFault::kCloseBeforeRun:
    case ReplicaFault::kCloseAfterRun:
      return false;
    default:
      break;
  }
  if (!Work(peer, options_.max_work_ms)) {
    return false;
  }
  const std::string body = R"({"kv_handle":")" + handles_->Add(id) +
                           R"(","tokens":6000,"version":1})";
  const std::string answer = "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
                             "\r\n" + LimitHeader() +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
  switch (fault) {
    case ReplicaFault::kCutHead:
    case ReplicaFault::kCutBody:
      peer.Send(answer.substr(0, static_cast<size_t>(DrawNumber(
                                     static_cast<int>(answer.size()) - 1))));
      return false;
    case ReplicaFault::kAnswerTwiceLate:
      peer.Send(answer);
      SleepMs(DrawNumber(kMaxCopyDelayMs));
      return peer.Send(answer);
    case ReplicaFault::kAnswerAgainRejoined:
      Rejoin();
      [[fallthrough]];
    case ReplicaFault::kAnswerAgainBeforeNext:
    case ReplicaFault::kAnswerAgainCut:
    case ReplicaFault::kAnswerAgainCutClose:
      KeepCopy(connection, answer, fault);
      [[fallthrough]];
    default:
      break;
  }
  if (!peer.Send(answer)) {
    return false;
  }
  RecordLimitTold(connection.view);
  return true;
}

void ReplicaStandin::SendWithoutEnd(HttpPeer& peer, const std::string& head) {
  constexpr size_t kPieceBytes = 16384;
  // Above every bound, so that a caller that keeps all of it is noticed.
  constexpr size_t kMaxBytes = 64 << 20;
  bool open = peer.Send(head);
  for (size_t n = 0; open && n < kMaxBytes; n += kPieceBytes) {
    open = peer.Send(std::string(kPieceBytes, 'x'));
  }
}

bool ReplicaStandin::Answer(Connection& connection,
                            const HttpMessage& request,
                            ReplicaFault fault) {
  HttpPeer& peer = connection.peer;
  const std::string id = request.Header("Endiveyard-Request-Id");
  const std::string body = BodyOf(id);
  const std::string answer = WithLength(id, LimitHeader(), body);
  const size_t head_size = answer.size() - body.size();
  const auto cut_at = [this](size_t begin, size_t end) {
    return begin +
           static_cast<size_t>(DrawNumber(static_cast<int>(end - begin) - 1));
  };
  switch (fault) {
    case ReplicaFault::kResetAfterRun:
      peer.Reset();
      return false;
    case ReplicaFault::kCloseAfterRun:
      return false;
    case ReplicaFault::kCutHead:
    case ReplicaFault::kResetInHead:
      peer.Send(answer.substr(0, cut_at(0, head_size)));
      fault == ReplicaFault::kCutHead ? peer.Close() : peer.Reset();
      return false;
    case ReplicaFault::kCutBody:
    case ReplicaFault::kResetInBody:
      peer.Send(answer.substr(0, cut_at(head_size, answer.size())));
      fault == ReplicaFault::kCutBody ? peer.Close() : peer.Reset();
      return false;
    case ReplicaFault::kAnswerTwice:
      return peer.Send(answer + answer);
    case ReplicaFault::kAnswerTwiceLate:
      peer.Send(answer);
      SleepMs(DrawNumber(kMaxCopyDelayMs));
      return peer.Send(answer);
    case ReplicaFault::kAnswerAgainRejoined:
      Rejoin();
      [[fallthrough]];
    case ReplicaFault::kAnswerAgainBeforeNext:
    case ReplicaFault::kAnswerAgainCut:
    case ReplicaFault::kAnswerAgainCutClose:
      KeepCopy(connection, answer, fault);
      return peer.Send(answer);
    case ReplicaFault::kSurplusBytes:
      return peer.Send(answer + "HTTP/1.1 200 OK\r\n");
    case ReplicaFault::kNoHttp:
      return peer.Send("this is no answer\r\n\r\n");
    case ReplicaFault::kLate:
      return Work(peer, kMaxLateMs) && peer.Send(answer);
    case ReplicaFault::kFail500:
      return peer.Send(Failure(id, "500 Internal Server Error"));
    case ReplicaFault::kFail503:
      return peer.Send(Failure(id, "503 Service Unavailable"));
    case ReplicaFault::kFail429:
      return peer.Send(Failure(id, "429 Too Many Requests"));
    case ReplicaFault::kEndlessHead:
      SendWithoutEnd(peer, "HTTP/1.1 200 OK\r\nX-Long: ");
      return false;
    case ReplicaFault::kEndlessBody:
      SendWithoutEnd(
          peer, "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id + "\r\n\r\n");
      return false;
    case ReplicaFault::kEndlessFailure:
      SendWithoutEnd(peer,
                     "HTTP/1.1 500 Internal Server Error\r\n"
                     "Endiveyard-Request-Id: " +
                         id + "\r\n\r\n");
      return false;
    case ReplicaFault::kUnframed:
      peer.Send(HeadOf(id, "") + body);
      return false;
    case ReplicaFault::kUnframedReset:
      peer.Send(HeadOf(id, "") + body.substr(0, cut_at(0, body.size())));
      peer.Reset();
      return false;
    default:
      return peer.Send(answer);
  }
}

bool ReplicaStandin::AnswerStream(Connection& connection,
                                  const HttpMessage& request,
                                  const Run& run,
                                  ReplicaFault fault) {
  HttpPeer& peer = connection.peer;
  const std::string& id = run.id;
  const bool unframed =
      fault == ReplicaFault::kUnframed || fault == ReplicaFault::kUnframedReset;
  const std::string type =
      LimitHeader() + "Content-Type: text/event-stream\r\n";
  const std::string head =
      HeadOf(id, unframed ? type : type + "Transfer-Encoding: chunked\r\n");
  switch (fault) {
    case ReplicaFault::kNone:
    case ReplicaFault::kLate:
    case ReplicaFault::kAnswerTwice:
    case ReplicaFault::kAnswerTwiceLate:
    case ReplicaFault::kAnswerAgainBeforeNext:
    case ReplicaFault::kAnswerAgainRejoined:
    case ReplicaFault::kAnswerAgainCut:
    case ReplicaFault::kAnswerAgainCutClose:
    case ReplicaFault::kSurplusBytes:
    case ReplicaFault::kWrongEventId:
    case ReplicaFault::kCutBody:
    case ReplicaFault::kResetInBody:
    case ReplicaFault::kUnframed:
    case ReplicaFault::kUnframedReset:
    case ReplicaFault::kLateFirstId:
    case ReplicaFault::kRateLimit:
      break;
    case ReplicaFault::kCutHead:
    case ReplicaFault::kResetInHead:
      peer.Send(head.substr(0, static_cast<size_t>(DrawNumber(
                                   static_cast<int>(head.size()) - 1))));
      fault == ReplicaFault::kCutHead ? peer.Close() : peer.Reset();
      return false;
    case ReplicaFault::kEndlessBody:
      SendWithoutEnd(peer, HeadOf(id, type));
      return false;
    default:
      return Answer(connection, request, fault);
  }
  const StreamShape shape = ShapeOf(id);
  const int special = DrawNumber(shape.events);
  std::string sent;
  // Where tokens are counted, a first event may have several, so that no id is
  // late.
  const bool skips = fault == ReplicaFault::kLateFirstId &&
                     run.begun_after == 0 && !run.counts_tokens;
  const int skipped = std::min(kSkippedEvents, shape.events - 1);
  for (int n = run.begun_after + (skips ? skipped : 0) + 1; n <= shape.events;
       ++n) {
    const bool stalls = fault == ReplicaFault::kLate && n == special;
    if (!Work(peer, stalls ? kMaxLateMs : shape.max_interval_ms)) {
      return false;
    }
    if (n == shape.pause_before_event && peer.WaitForEnd(shape.pause_ms)) {
      return false;
    }
    std::string event = EventOf(n, run);
    // For a wrong first id, see kLateFirstId. Where tokens are counted, the
    // next id shows that one is too high.
    if (n == special && n > 1 && fault == ReplicaFault::kWrongEventId &&
        !(run.counts_tokens && n == shape.events)) {
      constexpr int64_t kTooManyTokens = 1000;
      const int64_t id = EventIdOf(run.id, n, run.counts_tokens);
      const int64_t before = EventIdOf(run.id, n - 1, run.counts_tokens);
      const std::string ids[] = {
          "id: " +
              std::to_string(id + (run.counts_tokens ? kTooManyTokens : 3)),
          "id: " + std::to_string(before), "id: x"};
      event.replace(0, event.find('\n'), ids[DrawNumber(std::size(ids) - 1)]);
    }
    const std::string bytes = unframed ? event : Chunk(event);
    const bool breaks_off =
        n >= special && (fault == ReplicaFault::kCutBody ||
                         fault == ReplicaFault::kResetInBody ||
                         fault == ReplicaFault::kUnframedReset);
    if (!peer.Send((sent.empty() ? head : "") +
                   (breaks_off ? bytes.substr(0, bytes.size() / 2) : bytes))) {
      return false;
    }
    sent += bytes;
    if (breaks_off) {
      fault == ReplicaFault::kCutBody ? peer.Close() : peer.Reset();
      return false;
    }
  }
  if (sent.empty()) {
    peer.Send(head);
  }
  if (unframed) {
    return false;
  }
  const std::string end = Chunk("");
  if (fault == ReplicaFault::kAnswerTwiceLate) {
    peer.Send(end);
    SleepMs(DrawNumber(kMaxCopyDelayMs));
    return peer.Send(head + sent + end);
  }
  if (fault == ReplicaFault::kAnswerAgainRejoined) {
    Rejoin();
  }
  if (fault == ReplicaFault::kAnswerAgainRejoined ||
      fault == ReplicaFault::kAnswerAgainBeforeNext ||
      fault == ReplicaFault::kAnswerAgainCut ||
      fault == ReplicaFault::kAnswerAgainCutClose) {
    KeepCopy(connection, head + sent + end, fault);
    return peer.Send(end);
  }
  if (fault == ReplicaFault::kAnswerTwice) {
    return peer.Send(end + head + sent + end);
  }
  return peer.Send(fault == ReplicaFault::kSurplusBytes ? end + "x" : end);
}

}  // namespace endiveyard::soak
