#include "endiveyard/front/front_instance.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "endiveyard/base/digest.h"
#include "endiveyard/duties/duty_holder.h"
#include "endiveyard/duties/duty_holder_view.h"
#include "endiveyard/load_exchange/load_exchange.h"
#include "endiveyard/placement/registry_confirmation.h"
#include "endiveyard/placement/service_map_currency.h"
#include "endiveyard/placement/service_map_selector.h"
#include "endiveyard/registry/registry_era.h"
#include "endiveyard/registry/registry_mirror.h"
#include "endiveyard/relay/admin_listener.h"
#include "endiveyard/relay/relay.h"
#include "endiveyard/telemetry/json_log.h"
#include "endiveyard/telemetry/log_event_numbers.h"
#include "endiveyard/telemetry/metrics.h"
#include "front/instance_recorder.h"
#include "front/peer_knowledge.h"
#include "front/replica_scaler.h"
#include "front/standstill_check.h"
#include "front/stream_recorder.h"
#include "front/stream_start_recorder.h"
#include "front/usage_duty.h"
#include "front/version_recorder.h"
#include "platform/http_duty_client.h"
#include "platform/http_registry_client.h"
#include "platform/object_decoding.h"
#include "platform/platform_wire_protocol.h"
#include "platform/wire_names.h"

namespace endiveyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Interval at which the log is flushed and expired replicas are removed.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(250);
// Time after the timeout of a watch within which its answer is handled.
constexpr Duration kConfirmationMargin = std::chrono::milliseconds(1000);
// While several software versions serve, the view of the replicas is confirmed
// after this part of the time within which changes have to be applied, so that
// calls that hang are noticed within that time.
constexpr int kConfirmationDivisor = 2;
// The registry removes an entry after this many heartbeats of silence, and its
// removal is known after the margin.
constexpr int kHeartbeatsPerEntry = 3;
constexpr Duration kEntryRemovalMargin = std::chrono::milliseconds(1000);
// Time after the heartbeat of a replica until its entry is known here.
constexpr Duration kRegistrationMargin = std::chrono::milliseconds(300);
// Interval of the log lines that count datagrams which are no load report.
constexpr Duration kRejectedDatagramsLogInterval = std::chrono::seconds(10);
constexpr Duration kEvidenceLeftOutLogInterval = std::chrono::seconds(10);
// Time between SIGTERM and closing the listener and idle connections. The
// platform probes readiness every second and stops sending callers to an
// instance after two failed probes.
constexpr Duration kDrainDelay = std::chrono::milliseconds(2600);
// The process exits this long before the end of the shutdown grace period, at
// which the platform kills it.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(500);
// Time before the exit for the answers to requests that are still open.
constexpr Duration kLastAnswersTime = std::chrono::milliseconds(250);
// By CallLimitEvent::Kind.
constexpr std::array<int, 4> kCallLimitEventNumbers = {
    kLogCallLimitStarted, kLogCallLimitEnded, kLogCallLimitShrank,
    kLogCallLimitBypassed};
// Share of the file descriptors for connections of callers. The rest is left
// for connections to targets.
constexpr double kCallerDescriptorShare = 0.66;
// File descriptors, out of the platform's limit, that are reserved for files.
constexpr size_t kReservedDescriptors = 200;
// Interval at which the holder of the duties, and those that follow it, act. A
// tenth of a second delays a takeover by a few percent.
constexpr Duration kDutyInterval = std::chrono::milliseconds(100);
// Interval of the log lines that count calls of duties that failed.
constexpr Duration kDutyFailuresLogInterval = std::chrono::seconds(5);
// Buffered request bodies take at most the memory limit divided by this.
constexpr size_t kBodyMemoryDivisor = 4;
// Memory that the process needs with the largest number of instances and
// replicas, without what callers make it hold, but at most half of the limit.
constexpr size_t kOwnMemoryBytes = 36 << 20;
// Callers get the rest, divided by this: the allocator keeps up to as much in
// gaps and in blocks that are larger than asked for.
constexpr size_t kCallerMemoryDivisor = 2;
// Shares of the descriptors that are not for callers: requests in progress,
// and idle connections to targets and to other instances.
constexpr double kOpenRequestShare = 0.75;
constexpr double kIdleTargetShare = 0.2;
constexpr double kIdlePeerShare = 0.05;
// Receive buffer of caller sockets. The kernel would enlarge it to several
// megabytes for a caller that sends fast; this still takes 5 MB/s over 24 ms.
constexpr size_t kCallerReceiveBuffer = 256 << 10;
// Send buffer of caller sockets, for the same reason.
constexpr size_t kCallerSendBuffer = 128 << 10;
// Memory is given back to the system once this share of the limit was freed by
// closing connections, at most once in the interval: it takes milliseconds.
constexpr size_t kTrimDivisor = 16;
constexpr Duration kTrimInterval = std::chrono::seconds(2);
// Blocks above this size, which are bodies, are mapped for themselves and given
// back when they are freed. Without it, the allocator raises the size to that
// of the largest block that was freed.
constexpr int kMappedBlockBytes = 128 << 10;

RelayOptions MakeRelayOptions(const platform::ProcessSettings& settings) {
  RelayOptions options;
  options.ip = settings.callers.ip;
  options.port = settings.callers.port;
  options.location = settings.location;
  options.retry_bound = settings.retry_bound;
  options.max_view_delay = settings.max_staleness;
  options.may_replace_process = true;
  options.registration_time = settings.heartbeat_interval + kRegistrationMargin;
  options.peer_port = settings.peer_port;
  options.peer_ip = settings.own_ip;
  const size_t descriptors =
      settings.max_descriptors > kReservedDescriptors
          ? settings.max_descriptors - kReservedDescriptors
          : settings.max_descriptors;
  options.max_connections = static_cast<size_t>(
      static_cast<double>(descriptors) * kCallerDescriptorShare);
  options.max_body_bytes_in_flight = settings.memory_bytes / kBodyMemoryDivisor;
  options.max_caller_bytes =
      (settings.memory_bytes -
       std::min(kOwnMemoryBytes, settings.memory_bytes / 2)) /
      kCallerMemoryDivisor;
  const auto other_descriptors =
      static_cast<double>(descriptors - options.max_connections);
  const auto share = [other_descriptors](double part) {
    return static_cast<size_t>(other_descriptors * part);
  };
  options.max_open_requests = share(kOpenRequestShare);
  options.target_client.max_idle_connections = std::min(
      options.target_client.max_idle_connections, share(kIdleTargetShare));
  options.max_idle_peer_connections =
      std::min(options.max_idle_peer_connections, share(kIdlePeerShare));
  options.caller_receive_buffer = kCallerReceiveBuffer;
  options.caller_send_buffer = kCallerSendBuffer;
  return options;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns a name that differs for every process start.
std::string MakeProcessName() {
  std::random_device random;
  return std::to_string(random()) + "-" + std::to_string(random());
}

const char* NameOf(DutyCallEnd end) {
  switch (end) {
    case DutyCallEnd::kAccepted:
      return "accepted";
    case DutyCallEnd::kConflict:
      return "conflict";
    case DutyCallEnd::kSpotConflict:
      return "spot_conflict";
    case DutyCallEnd::kRefused:
      return "refused";
    case DutyCallEnd::kNotSent:
      return "not_sent";
    case DutyCallEnd::kNoAnswer:
      break;
  }
  return "no_answer";
}

LoadExchangeOptions MakeLoadExchangeOptions(
    const platform::ProcessSettings& settings) {
  LoadExchangeOptions options;
  options.ip = settings.own_ip;
  const auto& regions = settings.location.region_of_failure_domain;
  const auto it = regions.find(settings.location.failure_domain);
  options.region =
      it == regions.end() ? settings.location.failure_domain : it->second;
  options.port = settings.peer_port;
  options.seed_ips = settings.seed_ips;
  return options;
}

}  // namespace

class FrontInstance::Impl {
 public:
  Impl(platform::ProcessSettings settings, uint16_t metrics_port)
      : settings_(std::move(settings)),
        metrics_port_(metrics_port),
        log_(settings_.instance),
        registry_client_(io_, protocol_, settings_.registry),
        relay_(io_,
               MakeRelayOptions(settings_),
               protocol_,
               &routing_state_,
               &log_,
               &metrics_),
        readiness_listener_(
            io_,
            [this](std::string_view path) { return HandleAdminRequest(path); }),
        metrics_listener_(
            io_,
            [this](std::string_view path) { return HandleAdminRequest(path); }),
        load_exchange_(io_,
                       MakeLoadExchangeOptions(settings_),
                       relay_.placer(),
                       relay_.crash_suspects(),
                       relay_.stream_versions(),
                       relay_.forwarding_peers()),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        maintenance_timer_(io_),
        duty_timer_(io_) {
    LoadReportHooks hooks;
    hooks.fill = [this](PeerLoadReport* report, TimePoint now) {
      report->map_version = ServiceMapVersion();
      if (service_maps_.is_registry_current()) {
        report->map_age = service_map_confirmation_.OwnAge(now);
      }
      if (replica_mirror_ && replica_mirror_->position().revision != 0) {
        report->replica_change = replica_mirror_->position().last_change;
        report->replica_era = replica_mirror_->position().era;
        report->replica_age = replica_confirmation_.OwnAge(now);
      }
    };
    hooks.apply = [this](const PeerLoadReport& report, TimePoint now) {
      service_map_currency_.RecordPeer(report.sender, report.map_version, now);
      service_map_confirmation_.RecordPeer(
          CompareServiceMaps(ServiceMapVersion(), report), report.map_age, now);
      RecordReplicasOfPeer(report, now);
    };
    load_exchange_.AddHooks(std::move(hooks));
    if (settings_.duties && settings_.duties->reports_usage &&
        settings_.peer_port != 0) {
      usage_duty_ = std::make_unique<UsageDuty>(
          UsageReporterOptions{settings_.duties->window,
                               settings_.duties->usage_due},
          &load_exchange_, &log_, &metrics_, UnixMs);
      routing_state_.on_run_started = [this](const std::string& customer) {
        usage_duty_->RecordStart(customer, BootClock::now());
      };
    }
    if (settings_.duties && settings_.duties->scales) {
      replica_scaler_ = std::make_unique<ReplicaScaler>(
          ReplicaScalerOptions{settings_.location.region_of_failure_domain,
                               settings_.duties->calls_per_second},
          &routing_state_, relay_.placer(), &load_exchange_, &log_, &metrics_);
    }
    routing_state_.replicas.set_entry_lifetime(
        kHeartbeatsPerEntry * settings_.heartbeat_interval +
        kEntryRemovalMargin);
    routing_state_.replicas.set_shortest_lapse((kHeartbeatsPerEntry - 1) *
                                               settings_.heartbeat_interval);
  }

  absl::Status Run() {
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
    if (absl::Status status = relay_.Listen(); !status.ok()) {
      return status;
    }
    if (absl::Status status = readiness_listener_.Listen(
            settings_.readiness.ip, settings_.readiness.port);
        !status.ok()) {
      return status;
    }
    if (metrics_port_ != 0) {
      // Requests can be served without metrics, so an error is only logged.
      const absl::Status status =
          metrics_listener_.Listen(settings_.callers.ip, metrics_port_);
      if (!status.ok()) {
        LogText(kLogListenFailed, "detail", std::string(status.message()));
      }
    }
    if (settings_.peer_port != 0) {
      // Without load reports of other instances, placement uses the loads that
      // the replicas report, so an error is only logged.
      const absl::Status status = load_exchange_.Start();
      if (!status.ok()) {
        LogText(kLogListenFailed, "detail", std::string(status.message()));
      }
      ListenForPeers();
    }
    JsonFields fields;
    fields.Text("zone", settings_.location.failure_domain)
        .Text("callers", settings_.callers.ip + ":" +
                             std::to_string(settings_.callers.port));
    log_.Log(kLogInstanceStarted, fields, BootClock::now());
    WaitForSignal();
    StartRegistryMirrors();
    StartDuties();
    RunMaintenance();
    io_.run();
    log_.Log(kLogInstanceStopped, JsonFields(), BootClock::now());
    log_.Flush(BootClock::now());
    return absl::OkStatus();
  }

 private:
  void LogText(int event_number,
               std::string_view name,
               std::string_view value) {
    JsonFields fields;
    fields.Text(name, value);
    log_.Log(event_number, fields, BootClock::now());
  }

  // Without it, this instance takes no requests that others forward, which is
  // no reason not to serve its own.
  void ListenForPeers() {
    relay_.set_own_region(load_exchange_.region());
    const absl::Status status =
        relay_.ListenForPeers(settings_.own_ip, settings_.peer_port);
    listens_for_peers_ = status.ok();
    if (!status.ok()) {
      LogText(kLogListenFailed, "detail", std::string(status.message()));
    }
  }

  // Returns the version of the service map, 0 if there is none.
  int64_t ServiceMapVersion() const {
    return routing_state_.service_map ? routing_state_.service_map->version : 0;
  }

  // Returns the version of the service map if it has customers, otherwise 0.
  int64_t VersionOfKeys() const {
    const auto& map = routing_state_.service_map;
    return map && map->customers ? map->version : 0;
  }

  // Decides whether the keys of the service map are older than those that other
  // instances have in force. While the registry cannot be read, the last known
  // keys stay in force.
  void UpdateServiceMapCurrency(TimePoint now) {
    service_map_currency_.RecordOwn(VersionOfKeys());
    const bool is_behind = VersionOfKeys() != 0 && !registry_lost_ &&
                           service_map_currency_.IsBehind(now);
    if (is_behind && !routing_state_.service_map_behind) {
      JsonFields fields;
      fields.Integer("version", VersionOfKeys())
          .Integer("heard", service_map_currency_.HighestHeard(now));
      log_.Log(kLogServiceMapBehind, fields, now);
    }
    routing_state_.service_map_behind = is_behind;
  }

  bool IsReady() const { return !drain_start_ && routing_state_.IsComplete(); }

  AdminResponse HandleAdminRequest(std::string_view path) {
    if (path == protocol_.ReadinessPath()) {
      return IsReady() ? AdminResponse{200, "text/plain", "ready\n"}
                       : AdminResponse{503, "text/plain", "not ready\n"};
    }
    if (path == "/metrics") {
      return {200, "text/plain; version=0.0.4", metrics_.Serialize()};
    }
    return {404, "text/plain", "not found\n"};
  }

  MirrorHandlers MakeCommonHandlers() {
    MirrorHandlers handlers;
    handlers.on_failure = [this](const absl::Status& status) {
      metrics_.CountObjectApiCall("failed");
      if (absl::IsOutOfRange(status)) {
        return;  // the registry responds, so this is no outage
      }
      routing_state_.replicas.RecordRegistryFailure();
      if (!registry_lost_) {
        registry_lost_ = true;
        LogText(kLogRegistryLost, "detail", std::string(status.message()));
        UpdateViewState();
      }
    };
    handlers.on_success = [this] {
      metrics_.CountObjectApiCall("ok");
      routing_state_.replicas.RecordRegistrySuccess(BootClock::now());
      if (registry_lost_) {
        registry_lost_ = false;
        LogText(kLogRegistryRegained, "detail", "");
        stream_start_recorder_->OnRegistryRegained();
        UpdateViewState();
      }
    };
    handlers.schedule = [this](Duration delay, std::function<void()> action) {
      auto timer = std::make_shared<asio::steady_timer>(io_);
      timer->expires_after(delay);
      timer->async_wait([timer, action = std::move(action)](error_code ec) {
        if (!ec) {
          action();
        }
      });
    };
    return handlers;
  }

  // Without the registry, the view is as good as that of the others only if
  // none of them has it.
  bool IsViewCurrent() {
    return standstill_check_.is_confirmed() &&
           (registry_lost_ ? load_exchange_.IsRegistryLostByAll()
                           : !IsReplicaViewOld());
  }

  // Calls may hang, and other ones be answered meanwhile.
  bool IsReplicaViewOld() {
    const TimePoint now = BootClock::now();
    return now - replicas_confirmed_at_ > settings_.max_staleness &&
           relay_.stream_versions()->MustConfirmView(now);
  }

  // Streams of several software versions need a read of this instance itself.
  bool MustReadReplicas(TimePoint now) {
    return now - replicas_confirmed_at_ >
               settings_.max_staleness / kConfirmationDivisor &&
           relay_.stream_versions()->MustConfirmView(now);
  }

  // Reads the configuration and the replicas when neither this instance nor the
  // others of its group did lately, and tells them what it has read. A watch
  // whose answer was lost delays no change by more than that.
  void ConfirmRegistry(TimePoint now) {
    if (registry_lost_) {
      return;
    }
    ReaderGroup group = MakeReaderGroup(load_exchange_.LiveInstances(),
                                        load_exchange_.own_address());
    const bool is_due = routing_state_.service_map &&
                        !standstill_check_.awaits_news() &&
                        (service_map_confirmation_.IsReadDue(group.rank, now) ||
                         replica_confirmation_.IsReadDue(group.rank, now));
    const auto turn = std::make_shared<ConfirmationTurn>();
    if (is_due) {
      turn->others = std::move(group.others);
    }
    // A read of one kind never waits for that of the other one.
    if (is_due && !is_confirming_service_map_ &&
        service_map_confirmation_.IsReadUseful(now)) {
      Confirm(configuration_mirror_.get(), &is_confirming_service_map_, turn);
    }
    if (!is_confirming_replicas_ &&
        ((is_due && replica_confirmation_.IsReadUseful(now)) ||
         MustReadReplicas(now))) {
      Confirm(replica_mirror_.get(), &is_confirming_replicas_, turn);
    }
  }

  // Reads of both kinds that begin together, and the instances that are told
  // once all of them have ended.
  struct ConfirmationTurn {
    size_t open_reads = 0;
    std::vector<uint32_t> others;
  };

  void Confirm(RegistryMirror* mirror,
               bool* is_confirming,
               const std::shared_ptr<ConfirmationTurn>& turn) {
    *is_confirming = true;
    ++turn->open_reads;
    mirror->Refresh([this, is_confirming, turn](const absl::Status& status) {
      *is_confirming = false;
      if (--turn->open_reads == 0 && status.ok() && !turn->others.empty()) {
        load_exchange_.SendHeader(turn->others);
      }
    });
  }

  void RecordReplicasOfPeer(const PeerLoadReport& report, TimePoint now) {
    if (!replica_mirror_) {
      return;
    }
    const auto knowledge = CompareReplicas(replica_mirror_->position(), report);
    if (!knowledge) {
      return;
    }
    replica_confirmation_.RecordPeer(*knowledge, report.replica_age, now);
    if (report.replica_age) {
      routing_state_.replicas.RecordRegistryAnswer(now - *report.replica_age);
    }
  }

  // What is known of the configuration and of the replicas may be out of date.
  void ResetConfirmations() {
    service_map_confirmation_.Reset();
    replica_confirmation_.Reset();
    routing_state_.service_map_current = false;
  }

  // A 404 is final for a caller, so the map has to be the latest one until this
  // is called again.
  void UpdateServiceMapCurrent(TimePoint now) {
    routing_state_.service_map_current =
        service_maps_.is_registry_current() &&
        service_map_confirmation_.IsConfirmed(now + kMaintenanceInterval);
  }

  void UpdateViewState() {
    load_exchange_.SetRegistryLost(registry_lost_);
    relay_.stream_versions()->set_is_view_current(IsViewCurrent());
  }

  void RefreshReplicas(std::function<void(bool is_current)> done) {
    if (registry_lost_) {
      done(IsViewCurrent());
      return;
    }
    replica_mirror_->Refresh(
        [this, done = std::move(done)](const absl::Status& status) {
          // After the notification of what the refresh has changed.
          asio::post(io_, [this, done, is_read = status.ok()] {
            done(is_read || (registry_lost_ && IsViewCurrent()));
          });
        });
  }

  void ReadNews(uint64_t number) {
    if (standstill_check_.awaits_news()) {
      ResetConfirmations();
    }
    struct Read {
      size_t open = 2;
      bool succeeded = true;
      TimePoint start = BootClock::now();
    };
    const auto read = std::make_shared<Read>();
    for (RegistryMirror* it :
         {replica_mirror_.get(), configuration_mirror_.get()}) {
      it->Refresh([this, number, read](const absl::Status& status) {
        read->succeeded &= status.ok();
        if (--read->open == 0) {
          // After the notification of what the refresh has changed.
          asio::post(io_, [this, number, read] {
            HandleNewsRead(number, read->succeeded, read->start);
          });
        }
      });
    }
  }

  void HandleNewsRead(uint64_t number, bool succeeded, TimePoint start) {
    const TimePoint now = BootClock::now();
    const bool ends_wait = standstill_check_.RecordRead(number, succeeded);
    UpdateViewState();
    if (!ends_wait) {
      return;
    }
    JsonFields fields;
    fields.Millis("standstill_ms", standstill_check_.standstill())
        .Millis("read_ms", std::chrono::duration_cast<Duration>(now - start))
        .Flag("read", succeeded);
    log_.Log(kLogStandstillEnded, fields, now);
    routing_state_.news_applied_at = now;
    relay_.OnRoutingStateChanged();
  }

  void HandleRegistryRestore(int64_t era, int64_t before) {
    service_map_currency_.RecordRestart();
    JsonFields fields;
    fields.Integer("era", era).Integer("before", before);
    log_.Log(kLogRegistryRestored, fields, BootClock::now());
    routing_state_.replicas.RecordRegistryFailure();
    ResetConfirmations();
    version_recorder_->OnRegistryRestored();
  }

  void StartRegistryMirrors() {
    const uint64_t seed = Digest64(settings_.instance);
    relay_.stream_versions()->set_single_version_delay(
        mirror_timing_.watch_timeout + kConfirmationMargin +
        LongestChangeBatchDelay(settings_.max_staleness) -
        std::min(settings_.max_staleness, mirror_timing_.watch_timeout));
    registry_era_.Subscribe([this](int64_t era, int64_t before) {
      HandleRegistryRestore(era, before);
    });
    MirrorHandlers replicas = MakeCommonHandlers();
    replicas.on_list = [this](const RegistryList& list) {
      HandleReplicaList(list);
    };
    replicas.on_change = [this](const RegistryObject& object) {
      HandleReplicaChange(object);
    };
    replicas.on_current = [this] {
      replicas_confirmed_at_ = BootClock::now();
      if (!standstill_check_.awaits_news()) {
        replica_confirmation_.RecordRead(replicas_confirmed_at_);
      }
      UpdateViewState();
    };
    replicas.on_silent_watch = [this] {
      LogText(kLogRegistryWatchSilent, "kind", platform::kReplicaKind);
    };
    const auto record_replica_failure = replicas.on_failure;
    replicas.on_failure = [this,
                           record_replica_failure](const absl::Status& status) {
      record_replica_failure(status);
      replica_confirmation_.Reset();
    };
    replica_mirror_ = std::make_unique<RegistryMirror>(
        &registry_client_, std::string(platform::kReplicaKind), seed,
        mirror_timing_, &registry_era_, std::move(replicas));

    MirrorHandlers configuration = MakeCommonHandlers();
    const auto record_success = configuration.on_success;
    configuration.on_success = [this, record_success] {
      record_success();
      if (standstill_check_.awaits_news()) {
        return;  // the answer may be older than the standstill
      }
      const TimePoint now = BootClock::now();
      service_map_confirmation_.RecordRead(now);
      UpdateServiceMapCurrent(now);
    };
    configuration.on_silent_watch = [this] {
      LogText(kLogRegistryWatchSilent, "kind", platform::kConfigurationKind);
    };
    const auto record_failure = configuration.on_failure;
    configuration.on_failure = [this,
                                record_failure](const absl::Status& status) {
      record_failure(status);
      // The registry may hold a newer version by now.
      service_map_confirmation_.Reset();
      routing_state_.service_map_current = false;
    };
    configuration.on_list = [this](const RegistryList& list) {
      for (const RegistryObject& it : list.items) {
        HandleConfigurationChange(it);
      }
    };
    configuration.on_change = [this](const RegistryObject& object) {
      HandleConfigurationChange(object);
    };
    configuration_mirror_ = std::make_unique<RegistryMirror>(
        &registry_client_, std::string(platform::kConfigurationKind), seed + 1,
        MakeRefreshedMirrorTiming(settings_.registry_history,
                                  settings_.max_staleness),
        &registry_era_, std::move(configuration));
    routing_state_.refresh_replicas = [this](std::function<void(bool)> done) {
      RefreshReplicas(std::move(done));
    };
    configuration_mirror_->Start();
    replica_mirror_->Start();
    StartVersionRecorder();
    StartStreamRecorder();
    StartStreamStartRecorder();
    StartInstanceRecorder();
  }

  void StartVersionRecorder() {
    VersionRecorderHandlers handlers;
    handlers.era = [this] { return registry_era_.latest(); };
    handlers.position = [this] { return load_exchange_.Position(); };
    handlers.now = [] { return BootClock::now(); };
    handlers.unix_ms = UnixMs;
    handlers.schedule = MakeCommonHandlers().schedule;
    handlers.on_read = [this](const absl::Status& status, size_t services) {
      JsonFields fields;
      fields.Integer("services", static_cast<int64_t>(services))
          .Text("detail", std::string(status.message()));
      log_.Log(kLogVersionRecordRead, fields, BootClock::now());
    };
    handlers.on_written = [this](const absl::Status& status) {
      LogText(kLogVersionRecordWritten, "detail",
              std::string(status.message()));
    };
    version_recorder_ = std::make_unique<VersionRecorder>(
        &registry_client_, relay_.stream_versions(),
        VersionRecorderOptions{std::string(platform::kVersionRecordKind),
                               std::string(platform::kVersionRecordName)},
        std::move(handlers));
  }

  void StartStreamRecorder() {
    StreamRecorderHandlers handlers;
    handlers.now = [] { return BootClock::now(); };
    handlers.schedule = MakeCommonHandlers().schedule;
    handlers.on_read = [this](const absl::Status& status, size_t streams) {
      JsonFields fields;
      fields.Integer("streams", static_cast<int64_t>(streams))
          .Text("detail", std::string(status.message()));
      log_.Log(kLogStreamRecordsRead, fields, BootClock::now());
    };
    handlers.on_failure = [this](const absl::Status& status) {
      LogText(kLogStreamRecordFailed, "detail", std::string(status.message()));
    };
    handlers.instance_count = [this] {
      return load_exchange_.SharingCount().value_or(
          load_exchange_.InstanceCount());
    };
    stream_recorder_ = std::make_unique<StreamRecorder>(
        &registry_client_, &registry_client_, relay_.stream_versions(),
        StreamRecorderOptions{std::string(platform::kStreamRecordKind),
                              settings_.instance,
                              settings_.registry_writes_per_second},
        std::move(handlers));
    routing_state_.read_stream_records = [this](std::function<void()> done) {
      if (registry_lost_) {
        done();
      } else {
        stream_recorder_->ReadAll(std::move(done));
      }
    };
    stream_recorder_->Start();
  }

  void StartStreamStartRecorder() {
    StreamStartRecorderHandlers handlers;
    handlers.now = [] { return BootClock::now(); };
    handlers.unix_ms = UnixMs;
    handlers.schedule = MakeCommonHandlers().schedule;
    handlers.on_read = [this](const absl::Status& status, size_t starts) {
      JsonFields fields;
      fields.Integer("starts", static_cast<int64_t>(starts))
          .Text("detail", std::string(status.message()));
      log_.Log(kLogStreamStartsRead, fields, BootClock::now());
    };
    handlers.on_written = [this](const absl::Status& status) {
      LogText(kLogStreamStartsWritten, "detail", std::string(status.message()));
    };
    stream_start_recorder_ = std::make_unique<StreamStartRecorder>(
        &registry_client_, relay_.stream_starts(),
        StreamStartRecorderOptions{std::string(platform::kStreamStartKind),
                                   std::string(platform::kStreamStartName),
                                   settings_.instance},
        std::move(handlers));
    stream_start_recorder_->Start();
  }

  void StartInstanceRecorder() {
    InstanceRecorderHandlers handlers;
    handlers.now = [] { return BootClock::now(); };
    handlers.unix_ms = UnixMs;
    handlers.schedule = MakeCommonHandlers().schedule;
    handlers.on_read = [this](const std::vector<RecordedInstance>& instances) {
      std::vector<std::string> ips;
      ips.reserve(instances.size());
      for (const RecordedInstance& it : instances) {
        ips.push_back(it.ip);
        if (it.ip == settings_.own_ip) {
          load_exchange_.RecordOwnRecord(kInstanceRecordLifetime -
                                         it.report_age);
        }
        load_exchange_.ApplyReportOfUnheard(it.report, it.report_age);
      }
      load_exchange_.RecordRegistered(ips);
      LogInstanceCount(ips.size());
    };
    handlers.hears = [this](const std::string& ip) {
      return load_exchange_.Hears(ip);
    };
    handlers.report = [this] {
      InstanceReport report;
      report.text = load_exchange_.ReportForUnheard(&report.fingerprint);
      return report;
    };
    handlers.keeps_report = [this] {
      return load_exchange_.Position().index < kReportKeepers;
    };
    handlers.on_failure = [this](const absl::Status& status) {
      LogText(kLogInstanceRecordFailed, "detail",
              std::string(status.message()));
    };
    instance_recorder_ = std::make_unique<InstanceRecorder>(
        &registry_client_, &registry_client_,
        InstanceRecorderOptions{std::string(platform::kInstanceRecordKind),
                                settings_.instance, settings_.own_ip,
                                settings_.registry_writes_per_second},
        std::move(handlers));
    instance_recorder_->Start();
  }

  // Takes part in holding the duties, where there are any.
  void StartDuties() {
    if (!settings_.duties) {
      return;
    }
    const platform::DutySettings& duties = *settings_.duties;
    DutyHolderOptions options;
    options.duty.instance = settings_.instance;
    options.duty.process = MakeProcessName();
    options.duty.address = load_exchange_.own_address();
    options.duty.seed = Digest64(settings_.instance);
    options.duty.checks_token = duties.checks_token;
    options.duty.alternation_time = duties.alternation_time;
    options.duty.window = duties.window;
    options.lease_kind = std::string(platform::kDutyLeaseKind);
    options.shard_kind = std::string(platform::kDutyShardKind);
    options.calls_per_second = duties.calls_per_second;
    DutyHolderHandlers handlers;
    handlers.now = [] { return BootClock::now(); };
    handlers.unix_ms = UnixMs;
    handlers.post = [this](std::function<void()> action) {
      asio::post(io_, std::move(action));
    };
    handlers.on_event = [this](const DutyEvent& event) { LogDutyEvent(event); };
    handlers.on_call = [this](const char* duty, DutyCallEnd end) {
      metrics_.CountDutyCall(duty, NameOf(end));
      if (end != DutyCallEnd::kAccepted) {
        ++failed_duty_calls_[NameOf(end)];
      }
    };
    duty_client_ = std::make_unique<platform::HttpDutyClient>(
        io_, protocol_, duties.api, settings_.instance,
        options.duty.call_timeout);
    duty_view_.emplace(load_exchange_.own_address(), BootClock::now());
    duty_holder_ =
        std::make_unique<DutyHolder>(&registry_client_, duty_client_.get(),
                                     std::move(options), std::move(handlers));
    LoadReportHooks hooks;
    hooks.fill = [this](PeerLoadReport* report, TimePoint now) {
      report->unix_ms = UnixMs();
      report->duty_holder = duty_view_->Current(now);
    };
    hooks.apply = [this](const PeerLoadReport& report, TimePoint now) {
      duty_view_->RecordReport(report.duty_holder, now);
    };
    load_exchange_.AddHooks(std::move(hooks));
    if (usage_duty_) {
      usage_duty_->set_calls(duty_holder_.get());
    }
    RunDutyHolder();
  }

  void RunDutyHolder() {
    const TimePoint now = BootClock::now();
    duty_holder_->RecordEra(registry_era_.latest());
    DutyInputs inputs;
    inputs.rank = duty_view_->Rank(load_exchange_.LiveInstances(), now);
    inputs.heard_token = duty_view_->Current(now).fencing_token;
    duty_holder_->Tick(inputs);
    const auto token = duty_holder_->HeldToken();
    if (token) {
      duty_view_->RecordOwn(*token, now);
    }
    metrics_.SetDutyHolder(token.has_value());
    duty_timer_.expires_after(kDutyInterval);
    duty_timer_.async_wait([this](error_code ec) {
      if (!ec) {
        RunDutyHolder();
      }
    });
  }

  // Where the number of replicas is decided here, they change all the time, and
  // each change brings a call of every instance. Only the one that decides
  // needs to know of each soon.
  void UpdateReplicaWatch() {
    if (settings_.duties && settings_.duties->scales) {
      const bool decides = duty_holder_ && duty_holder_->HeldToken();
      replica_mirror_->set_change_batch_delay(
          decides ? mirror_timing_.change_batch_delay
                  : LongestChangeBatchDelay(settings_.max_staleness));
    }
  }

  void LogDutyEvent(const DutyEvent& event) {
    int number = kLogDutyRecordMalformed;
    switch (event.kind) {
      case DutyEventKind::kStarted:
        number = kLogDutiesTaken;
        break;
      case DutyEventKind::kEnded:
        number = kLogDutiesEnded;
        break;
      case DutyEventKind::kRevoked:
        number = kLogDutyLeaseRevoked;
        break;
      case DutyEventKind::kMalformed:
        break;
    }
    JsonFields fields;
    fields.Integer("token", static_cast<int64_t>(event.token))
        .Text("holder", event.holder)
        .Millis("wait_ms", event.wait);
    log_.Log(number, fields, BootClock::now());
  }

  void LogFailedDutyCalls(TimePoint now) {
    if (failed_duty_calls_.empty() ||
        now - failed_duty_calls_logged_at_ < kDutyFailuresLogInterval) {
      return;
    }
    JsonFields fields;
    for (const auto& [outcome, calls] : failed_duty_calls_) {
      fields.Integer(outcome, calls);
    }
    log_.Log(kLogDutyCallFailed, fields, now);
    failed_duty_calls_.clear();
    failed_duty_calls_logged_at_ = now;
  }

  void LogInstanceCount(size_t registered) {
    const size_t sharing = load_exchange_.SharingCount().value_or(0);
    if (sharing == logged_sharing_count_) {
      return;
    }
    logged_sharing_count_ = sharing;
    JsonFields fields;
    fields.Integer("sharing", static_cast<int64_t>(sharing))
        .Integer("heard", static_cast<int64_t>(load_exchange_.InstanceCount()))
        .Integer("registered", static_cast<int64_t>(registered));
    log_.Log(kLogInstanceRecordsRead, fields, BootClock::now());
  }

  // Returns the registered replica, or nullopt if the object is deleted or
  // malformed.
  std::optional<Replica> ParseReplicaObject(const RegistryObject& object) {
    if (object.deleted) {
      return std::nullopt;
    }
    auto replica = platform::DecodeReplica(object.name, object.spec);
    if (!replica.ok()) {
      JsonFields fields;
      fields.Text("replica", object.name)
          .Text("detail", std::string(replica.status().message()));
      log_.Log(kLogReplicaEntryInvalid, fields, BootClock::now());
      return std::nullopt;
    }
    return *std::move(replica);
  }

  void HandleReplicaList(const RegistryList& list) {
    std::vector<Replica> replicas;
    for (const RegistryObject& it : list.items) {
      if (auto replica = ParseReplicaObject(it)) {
        replicas.push_back(*std::move(replica));
      }
    }
    routing_state_.replicas.Reset(replicas, BootClock::now(), list.era);
    routing_state_.replicas_known = true;
    JsonFields fields;
    fields.Integer("listed", static_cast<int64_t>(replicas.size()))
        .Integer("in_view",
                 static_cast<int64_t>(routing_state_.replicas.size()))
        .Integer("revision", list.revision)
        .Integer("era", list.era);
    log_.Log(kLogReplicaChanged, fields, BootClock::now());
    relay_.OnRoutingStateChanged();
    version_recorder_->OnReplicasChanged();
  }

  void HandleReplicaChange(const RegistryObject& object) {
    const TimePoint now = BootClock::now();
    const auto before = UsableReplica(object.name);
    if (auto replica = ParseReplicaObject(object)) {
      routing_state_.replicas.Put(*replica);
      JsonFields fields;
      fields.Text("replica", replica->id)
          .Text("service", replica->service)
          .Text("address", AddressOf(*replica))
          .Text("version", replica->version)
          .Flag("draining", replica->draining);
      log_.Log(kLogReplicaChanged, fields, now);
    } else {
      routing_state_.replicas.Remove(object.name, now);
      JsonFields fields;
      fields.Text("replica", object.name)
          .Flag("kept", routing_state_.replicas.Find(object.name) != nullptr);
      log_.Log(kLogReplicaRemoved, fields, now);
    }
    const auto after = UsableReplica(object.name);
    relay_.stream_versions()->RecordChange(before ? &*before : nullptr,
                                           after ? &*after : nullptr);
    NotifyRoutingStateChanged();
  }

  // Returns the replica if it accepts new work.
  std::optional<Replica> UsableReplica(const std::string& id) const {
    const Replica* replica = routing_state_.replicas.Find(id);
    return replica == nullptr || replica->draining ? std::nullopt
                                                   : std::optional(*replica);
  }

  // Notifies the relay once for all changes of the present iteration of the
  // event loop: the work of a notification grows with the number of replicas.
  void NotifyRoutingStateChanged() {
    if (routing_state_notification_pending_) {
      return;
    }
    routing_state_notification_pending_ = true;
    asio::post(io_, [this] {
      routing_state_notification_pending_ = false;
      relay_.OnRoutingStateChanged();
      version_recorder_->OnReplicasChanged();
    });
  }

  void HandleConfigurationChange(const RegistryObject& object) {
    if (object.name != platform::kConfigurationName || object.deleted) {
      return;
    }
    auto map = platform::DecodeServiceMap(object.spec);
    if (!map.ok()) {
      LogText(kLogServiceMapRejected, "detail",
              std::string(map.status().message()));
      return;
    }
    const int64_t before = ServiceMapVersion();
    if (!service_maps_.Offer(*std::move(map),
                             {registry_era_.latest(), object.revision})) {
      routing_state_.service_map_current &= service_maps_.is_registry_current();
      return;
    }
    routing_state_.service_map = service_maps_.current();
    const ServiceMap& applied = *routing_state_.service_map;
    JsonFields fields;
    fields.Integer("version", applied.version)
        .Integer("before", before)
        .Integer("routes", static_cast<int64_t>(applied.routes.size()))
        .Integer("revision", object.revision)
        .Integer("era", registry_era_.latest());
    log_.Log(kLogServiceMapApplied, fields, BootClock::now());
    if (applied.limits.max_header_bytes > kLargestMaxHeaderBytes) {
      JsonFields limit;
      limit.Integer("version", applied.version)
          .Integer("max_header_bytes", applied.limits.max_header_bytes)
          .Integer("limit", kLargestMaxHeaderBytes);
      log_.Log(kLogHeaderLimitLowered, limit, BootClock::now());
    }
    metrics_.SetConfigurationVersion(static_cast<double>(applied.version));
    if (applied.customers) {
      metrics_.SetCustomers(
          static_cast<double>(applied.customers->customers().size()));
      if (usage_duty_) {
        usage_duty_->SetCustomers(*applied.customers);
      }
    }
    UpdateServiceMapCurrency(BootClock::now());
    relay_.OnRoutingStateChanged();
  }

  // Logs what the evidence about crashes had no room for.
  void LogEvidenceLeftOut(TimePoint now) {
    if (now - evidence_left_out_logged_at_ < kEvidenceLeftOutLogInterval) {
      return;
    }
    const EvidenceLeftOut left_out = relay_.crash_suspects()->TakeLeftOut();
    if (left_out == EvidenceLeftOut()) {
      return;
    }
    evidence_left_out_logged_at_ = now;
    JsonFields fields;
    fields.Integer("calls", static_cast<int64_t>(left_out.calls))
        .Integer("keys", static_cast<int64_t>(left_out.keys_of_calls))
        .Integer("untold", static_cast<int64_t>(left_out.calls_untold));
    log_.Log(kLogCrashEvidenceLeftOut, fields, now);
  }

  void RunMaintenance() {
    const TimePoint now = BootClock::now();
    if (const auto read = standstill_check_.RecordTick(now)) {
      ReadNews(*read);
    }
    if (!standstill_check_.awaits_news()) {
      routing_state_.news_applied_at = now;
    }
    ConfirmRegistry(now);
    UpdateViewState();
    for (const std::string& id : routing_state_.replicas.Expire(now)) {
      JsonFields fields;
      fields.Text("replica", id)
          .Text("detail", "not registered again after a registry outage");
      log_.Log(kLogReplicaRemoved, fields, now);
      NotifyRoutingStateChanged();
    }
    UpdateServiceMapCurrent(now);
    UpdateServiceMapCurrency(now);
    if (usage_duty_) {
      usage_duty_->Tick(registry_era_.latest(), now);
    }
    relay_.SetHeardCount(load_exchange_.InstanceCount());
    if (const auto instances = load_exchange_.SharingCount()) {
      relay_.set_instance_count(*instances);
      relay_.SetCountedUntil(load_exchange_.CountedUntil());
    }
    const bool serves_peers =
        listens_for_peers_ && routing_state_.IsComplete() && !registry_lost_;
    load_exchange_.SetTakesRequests(serves_peers && !drain_start_ &&
                                    relay_.TakesForwardedRequests());
    load_exchange_.SetTakesLastRequests(serves_peers &&
                                        relay_.TakesLastForwardedRequests());
    if (drain_start_ && now - *drain_start_ >= kDrainDelay) {
      load_exchange_.SetLeaving();
    }
    UpdateReplicaWatch();
    if (replica_scaler_) {
      replica_scaler_->Tick(duty_holder_.get(),
                            !registry_lost_ && standstill_check_.is_confirmed(),
                            now);
    }
    LogFailedDutyCalls(now);
    LogRejectedDatagrams(now);
    LogEvidenceLeftOut(now);
    LogCallLimits(now);
    metrics_.SetOpenExchanges(static_cast<double>(relay_.open_exchanges()));
    metrics_.SetCallerMemory(static_cast<double>(relay_.caller_bytes()));
    ReturnFreedMemory(now);
    log_.Flush(now);
    if (drain_start_ && IsDrainFinished(now)) {
      if (usage_duty_) {
        usage_duty_->SendLast(now);
      }
      io_.stop();
      return;
    }
    maintenance_timer_.expires_after(kMaintenanceInterval);
    maintenance_timer_.async_wait([this](error_code ec) {
      if (!ec) {
        RunMaintenance();
      }
    });
  }

  void ReturnFreedMemory(TimePoint now) {
    freed_caller_bytes_ += relay_.TakeFreedCallerBytes();
    if (freed_caller_bytes_ >= settings_.memory_bytes / kTrimDivisor &&
        now - trimmed_at_ >= kTrimInterval) {
      freed_caller_bytes_ = 0;
      trimmed_at_ = now;
      malloc_trim(0);
    }
  }

  void LogRejectedDatagrams(TimePoint now) {
    const uint64_t rejected = load_exchange_.rejected_datagrams();
    if (rejected == logged_rejected_datagrams_ ||
        now - rejected_datagrams_logged_at_ < kRejectedDatagramsLogInterval) {
      return;
    }
    JsonFields fields;
    fields.Integer("datagrams",
                   static_cast<int64_t>(rejected - logged_rejected_datagrams_));
    log_.Log(kLogPeerReportsRejected, fields, now);
    logged_rejected_datagrams_ = rejected;
    rejected_datagrams_logged_at_ = now;
  }

  void LogCallLimits(TimePoint now) {
    ReplicaCallLimits& limits = relay_.placer()->call_limits();
    metrics_.SetCallLimits(static_cast<double>(limits.LimitedCount(now)));
    for (const CallLimitEvent& it : limits.TakeEvents()) {
      JsonFields fields;
      fields.Text("replica", it.replica_id)
          .Text("reason", it.reason)
          .Number("calls", it.limit);
      log_.Log(kCallLimitEventNumbers[static_cast<size_t>(it.kind)], fields,
               now);
    }
  }

  bool IsDrainFinished(TimePoint now) const {
    if (now - *drain_start_ >= settings_.shutdown_grace - kShutdownMargin) {
      return true;
    }
    return now - *drain_start_ > kDrainDelay &&
           relay_.open_connections() == 0 &&
           (!duty_holder_ || duty_holder_->HasLeft());
  }

  void WaitForSignal() {
    signals_.async_wait([this](error_code ec, int signal) {
      if (ec) {
        return;
      }
      if (signal == SIGHUP) {
        ReloadSettings();
      } else if (!drain_start_) {
        drain_start_ = BootClock::now();
        JsonFields fields;
        fields.Integer("signal", signal)
            .Integer("open", static_cast<int64_t>(relay_.open_exchanges()));
        log_.Log(kLogInstanceShutdownStarted, fields, *drain_start_);
        if (duty_holder_) {
          duty_holder_->Leave();
        }
        if (usage_duty_) {
          usage_duty_->SendLast(*drain_start_);
        }
        relay_.StartDraining(kDrainDelay,
                             *drain_start_ + settings_.shutdown_grace -
                                 kShutdownMargin - kLastAnswersTime);
      }
      WaitForSignal();
    });
  }

  void ReloadSettings() {
    const auto settings = platform::LoadProcessSettings();
    if (!settings.ok()) {
      LogText(kLogSettingsReloaded, "refused",
              std::string(settings.status().message()));
      return;
    }
    // Only the retry budget and the shutdown grace period are reloaded.
    // Addresses and the other settings take effect at the next start.
    relay_.set_retry_bound(settings->retry_bound);
    settings_.shutdown_grace = settings->shutdown_grace;
    LogText(kLogSettingsReloaded, "refused", "");
  }

  platform::ProcessSettings settings_;
  const MirrorTiming mirror_timing_ =
      MakeMirrorTiming(settings_.registry_stable_time, settings_.max_staleness);
  const uint16_t metrics_port_;
  asio::io_context io_{1};
  platform::PlatformWireProtocol protocol_;
  JsonLog log_;
  Metrics metrics_;
  RoutingState routing_state_;
  ServiceMapSelector service_maps_;
  ServiceMapCurrency service_map_currency_{settings_.max_staleness};
  const ConfirmationTiming confirmation_timing_ =
      MakeConfirmationTiming(settings_.max_staleness,
                             kMaintenanceInterval,
                             platform::kWatchResponseMargin);
  RegistryConfirmation service_map_confirmation_{confirmation_timing_};
  RegistryConfirmation replica_confirmation_{confirmation_timing_};
  RegistryEra registry_era_;
  platform::HttpRegistryClient registry_client_;
  Relay relay_;
  AdminListener readiness_listener_;
  AdminListener metrics_listener_;
  // Null unless usage is reported. Outlives the load exchange, which calls it.
  std::unique_ptr<UsageDuty> usage_duty_;
  LoadExchange load_exchange_;
  asio::signal_set signals_;
  asio::steady_timer maintenance_timer_;
  // Where there are duties, otherwise null.
  asio::steady_timer duty_timer_;
  std::unique_ptr<platform::HttpDutyClient> duty_client_;
  std::optional<DutyHolderView> duty_view_;
  std::unique_ptr<DutyHolder> duty_holder_;
  std::map<std::string, int64_t> failed_duty_calls_;  // not logged yet
  TimePoint failed_duty_calls_logged_at_{};
  StandstillCheck standstill_check_;
  std::unique_ptr<VersionRecorder> version_recorder_;
  std::unique_ptr<StreamRecorder> stream_recorder_;
  std::unique_ptr<StreamStartRecorder> stream_start_recorder_;
  std::unique_ptr<InstanceRecorder> instance_recorder_;
  std::unique_ptr<ReplicaScaler> replica_scaler_;
  size_t logged_sharing_count_ = 0;
  std::unique_ptr<RegistryMirror> replica_mirror_;
  std::unique_ptr<RegistryMirror> configuration_mirror_;
  TimePoint replicas_confirmed_at_{};
  // A read of ConfirmRegistry() is open.
  bool is_confirming_service_map_ = false;
  bool is_confirming_replicas_ = false;
  std::optional<TimePoint> drain_start_;
  uint64_t logged_rejected_datagrams_ = 0;
  TimePoint rejected_datagrams_logged_at_{};
  TimePoint evidence_left_out_logged_at_{};
  size_t freed_caller_bytes_ = 0;
  TimePoint trimmed_at_{};
  bool routing_state_notification_pending_ = false;
  bool registry_lost_ = false;
  bool listens_for_peers_ = false;
};

FrontInstance::FrontInstance(platform::ProcessSettings settings,
                             uint16_t metrics_port)
    : impl_(std::make_unique<Impl>(std::move(settings), metrics_port)) {}

FrontInstance::~FrontInstance() = default;

absl::Status FrontInstance::Run() {
  return impl_->Run();
}

}  // namespace endiveyard
