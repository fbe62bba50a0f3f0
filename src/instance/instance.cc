#include "endiveyard/instance/instance.h"

#include <random>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

#include "endiveyard/base/digest.h"
#include "endiveyard/base/timer_service.h"
#include "endiveyard/bookings/idempotency_service.h"
#include "endiveyard/gateway/gateway.h"
#include "endiveyard/instance/configuration_store.h"
#include "endiveyard/object_api/http_object_api.h"
#include "endiveyard/telemetry/log_event.h"
#include "endiveyard/telemetry/log_event_numbers.h"
#include "endiveyard/telemetry/metrics.h"
#include "instance/configuration_thread.h"
#include "instance/control_thread.h"
#include "instance/instance_status.h"
#include "instance/peer_thread.h"
#include "instance/platform_threads.h"

namespace endiveyard {
namespace {

constexpr std::chrono::milliseconds kReplicaTickInterval(250);
constexpr std::chrono::seconds kInstanceListInterval(1);
constexpr std::chrono::seconds kBookingFlushTimeout(5);
constexpr std::chrono::seconds kControlTickInterval(1);
constexpr std::chrono::seconds kPeerTickInterval(1);
constexpr std::chrono::minutes kFingerprintLifetime(10);
constexpr std::chrono::seconds kShardReleaseTimeout(5);
constexpr std::chrono::milliseconds kShardReleasePollInterval(50);

// Returns "host:port" for a URL "http://host:port" or "http://host:port/".
std::string HostAndPort(const std::string& url) {
  const size_t scheme = url.find("://");
  std::string address =
      scheme == std::string::npos ? url : url.substr(scheme + 3);
  while (!address.empty() && address.back() == '/') {
    address.pop_back();
  }
  return address;
}

// Returns a name that is unique to this process, also among earlier processes
// with the same instance id.
std::string MakeIncarnation(const std::string& id) {
  std::random_device device;
  const uint64_t high = device();
  const uint64_t low = device();
  return absl::StrCat(id, "-", absl::Hex(high << 32 | low, absl::kZeroPad16));
}

}  // namespace

class Instance::Impl {
 public:
  explicit Impl(const InstanceSettings& settings)
      : settings_(settings),
        seed_(Digest64(settings.id())),
        logger_(settings.log_level(), settings.id()),
        api_(HostAndPort(settings.object_api_url())),
        gateway_(settings, &logger_, &metrics_, MakeGatewayHooks()),
        configuration_(
            ConfigurationStore(&api_, settings.object_api_timeout()),
            MakeReplicaOptions(),
            &logger_,
            [this](uint64_t version, const FleetConfiguration& fleet) {
              gateway_.ApplyConfiguration(version, fleet);
              control_.ApplyConfiguration(fleet);
            },
            [this](bool accepting, const std::string& reason) {
              gateway_.SetReady(accepting, reason);
            }),
        bookings_(&api_,
                  &timers_,
                  MakeBookingOptions(),
                  [this](IntentResolved resolved) {
                    gateway_.Post(std::move(resolved));
                  }),
        control_(MakeControlOptions(),
                 &api_,
                 settings.object_api_timeout(),
                 &logger_,
                 MakeControlHooks()),
        peers_(settings, seed_, &configuration_, &logger_, MakePeerHooks()) {}

  absl::Status Start() {
    gateway_.SetReady(false, "the configuration has not been read yet");
    if (absl::Status status = gateway_.Listen(); !status.ok()) {
      logger_.Log(kLogListenFailed, std::string(status.message()));
      return status;
    }
    watch_thread_ = std::make_unique<LogWatchThread>(
        &api_, "config/log/", seed_,
        [this] { configuration_.TryPost(LogChanged{next_version()}); },
        [this](bool watching) {
          configuration_.TryPost(WatchChanged{watching});
        });
    if (absl::Status status = peers_.Start(); !status.ok()) {
      logger_.Log(kLogListenFailed, std::string(status.message()));
      return status;
    }
    control_.Start();
    configuration_.Start();
    timers_.Subscribe(kControlTickInterval,
                      [this](TimePoint) { control_.TryPost(ControlTick{}); });
    timers_.Subscribe(kPeerTickInterval, [this](TimePoint) { peers_.Tick(); });
    timers_.Subscribe(kReplicaTickInterval, [this](TimePoint) {
      configuration_.TryPost(ReplicaTick{});
    });
    list_thread_ = std::make_unique<InstanceListThread>(
        &api_, kInstanceListInterval, settings_.object_api_timeout(),
        [this](const InstanceList& list) {
          gateway_.ApplyTargets(list.targets);
          control_.ApplyInstances(list);
          peers_.ApplyInstances(list);
          configuration_.TryPost(ObjectApiResponded{});
        });
    logger_.Log(kLogInstanceStarted, settings_.caller_endpoint().ToString());
    return absl::OkStatus();
  }

  void Shutdown() {
    logger_.Log(kLogInstanceShutdownStarted,
                std::to_string(gateway_.open_exchanges()) + " requests open");
    const size_t aborted = gateway_.Shutdown(settings_.shutdown_timeout());
    if (aborted > 0) {
      logger_.Log(kLogShutdownTimeoutReached,
                  std::to_string(aborted) + " requests aborted");
    }
    bookings_.Stop(kBookingFlushTimeout);
    ReleaseShards();
    timers_.Stop();
    watch_thread_->Stop();
    list_thread_->Stop();
    peers_.Stop();
    control_.Stop();
    configuration_.Stop();
    logger_.Log(kLogInstanceStopped, "");
  }

 private:
  ReplicaOptions MakeReplicaOptions() const {
    ReplicaOptions options;
    options.seed = seed_;
    return options;
  }

  // Releases all shards, so that other instances can take them over at once
  // instead of after the lease term.
  void ReleaseShards() {
    control_.TryPost(ControlShutdown{});
    const TimePoint release_deadline = BootClock::now() + kShardReleaseTimeout;
    while (!control_.idle() && BootClock::now() < release_deadline) {
      std::this_thread::sleep_for(kShardReleasePollInterval);
    }
  }

  ControlCoreOptions MakeControlOptions() const {
    ControlCoreOptions options;
    options.instance_id = settings_.id();
    options.incarnation = incarnation_;
    options.seed = seed_;
    return options;
  }

  ControlHooks MakeControlHooks() {
    ControlHooks hooks;
    hooks.draining = [this](const std::string& target, bool draining) {
      peers_.SetDraining(target, draining);
    };
    hooks.leaving = [this](const std::string& target) {
      gateway_.Post(TargetLeaving{target});
      peers_.AnnounceLeavingTarget(target);
    };
    return hooks;
  }

  PeerHooks MakePeerHooks() {
    PeerHooks hooks;
    hooks.leaving = [this](const std::string& target) {
      gateway_.Post(TargetLeaving{target});
    };
    hooks.crash_fingerprint = [this](uint64_t fingerprint) {
      gateway_.Post(CrashFingerprintReceived{
          fingerprint, BootClock::now() + kFingerprintLifetime});
    };
    hooks.draining = [this](const std::string& target, bool draining) {
      gateway_.Post(TargetDraining{target, draining});
    };
    hooks.drained = [this](const std::string& target) {
      control_.TryPost(TargetDrained{target});
    };
    hooks.watcher = [this](bool watcher) {
      if (watch_thread_ != nullptr) {
        watch_thread_->SetActive(watcher);
      }
    };
    hooks.in_flight = [this](const std::vector<std::string>& targets,
                             std::function<void(std::vector<int>)> callback) {
      gateway_.QueryInFlight(targets, std::move(callback));
    };
    return hooks;
  }

  IdempotencyServiceOptions MakeBookingOptions() const {
    IdempotencyServiceOptions options;
    options.writer = incarnation_;
    return options;
  }

  GatewayHooks MakeGatewayHooks() {
    GatewayHooks hooks;
    hooks.commit_intent = [this](const CommitIntent& intent) {
      return bookings_.Commit(intent);
    };
    hooks.record_outcome = [this](const RecordOutcome& outcome) {
      bookings_.Record(outcome);
    };
    hooks.announce = [this](const AnnounceToPeers& action) {
      if (!action.leaving_target.empty()) {
        peers_.AnnounceLeavingTarget(action.leaving_target);
      } else {
        peers_.AnnounceCrashFingerprint(action.fingerprint);
      }
    };
    hooks.load_reported = [this](const std::string& target,
                                 const TargetLoad& load) {
      control_.ApplyLoad(target, load);
    };
    hooks.status = [this] {
      InstanceStatus status;
      status.instance = settings_.id();
      status.configuration_version = configuration_.version();
      status.live_peers = peers_.live_peers();
      status.holds_lease = control_.holds_lease();
      status.owned_shards = control_.owned_shards();
      status.open_exchanges = gateway_.open_exchanges();
      return FormatInstanceStatus(status);
    };
    return hooks;
  }

  // Version reported as the newest after a change: the watch does not report
  // which entry is new, only that there is one.
  uint64_t next_version() const { return configuration_.version() + 1; }

  const InstanceSettings settings_;
  const uint64_t seed_;
  const std::string incarnation_ = MakeIncarnation(settings_.id());
  EventLogger logger_;
  Metrics metrics_;
  HttpObjectApi api_;
  Gateway gateway_;
  ConfigurationThread configuration_;
  TimerService timers_;
  IdempotencyService bookings_;
  ControlThread control_;
  PeerThread peers_;
  std::unique_ptr<InstanceListThread> list_thread_;
  std::unique_ptr<LogWatchThread> watch_thread_;
};

Instance::Instance(const InstanceSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}
Instance::~Instance() = default;

absl::Status Instance::Start() {
  return impl_->Start();
}

void Instance::Shutdown() {
  impl_->Shutdown();
}

}  // namespace endiveyard
