#include "endiveyard/instance/instance.h"

#include <random>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

#include "endiveyard/base/digest.h"
#include "endiveyard/base/timer_service.h"
#include "endiveyard/bookings/booking_service.h"
#include "endiveyard/gateway/gateway.h"
#include "endiveyard/instance/configuration_store.h"
#include "endiveyard/object_api/http_object_api.h"
#include "endiveyard/telemetry/log_event.h"
#include "endiveyard/telemetry/log_event_numbers.h"
#include "endiveyard/telemetry/metrics.h"
#include "instance/configuration_thread.h"
#include "instance/platform_threads.h"

namespace endiveyard {
namespace {

constexpr std::chrono::milliseconds kReplicaTick(250);
constexpr std::chrono::seconds kInstanceListInterval(1);
constexpr std::chrono::seconds kBookingFlush(5);

// "host:port" of "http://host:port".
std::string AddressOf(const std::string& url) {
  const size_t scheme = url.find("://");
  std::string address =
      scheme == std::string::npos ? url : url.substr(scheme + 3);
  while (!address.empty() && address.back() == '/') {
    address.pop_back();
  }
  return address;
}

// Names this process among all earlier ones, also after a restart with the
// same instance id.
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
        api_(AddressOf(settings.object_api_url())),
        gateway_(settings, &logger_, &metrics_, Hooks()),
        configuration_(
            ConfigurationStore(&api_, settings.object_api_timeout()),
            MakeReplicaOptions(),
            &logger_,
            [this](uint64_t version, const FleetConfiguration& fleet) {
              gateway_.ApplyConfiguration(version, fleet);
            },
            [this](bool accepting, const std::string& reason) {
              gateway_.SetReady(accepting, reason);
            }),
        bookings_(&api_,
                  &timers_,
                  MakeBookingOptions(),
                  [this](IntentResolved resolved) {
                    gateway_.Post(std::move(resolved));
                  }) {}

  absl::Status Start() {
    gateway_.SetReady(false, "the configuration is being read");
    if (absl::Status status = gateway_.Open(); !status.ok()) {
      logger_.Log(kLogListenFailed, std::string(status.message()));
      return status;
    }
    configuration_.Start();
    timers_.Subscribe(kReplicaTick, [this](TimePoint) {
      configuration_.TryPost(ReplicaTick{});
    });
    list_thread_ = std::make_unique<InstanceListThread>(
        &api_, kInstanceListInterval, settings_.object_api_timeout(),
        [this](const InstanceList& list) {
          gateway_.ApplyTargets(list.targets);
          configuration_.TryPost(ObjectApiAnswered{});
        });
    watch_thread_ = std::make_unique<LogWatchThread>(
        &api_, "config/log/", seed_,
        [this] { configuration_.TryPost(LogChanged{newest_hint()}); },
        [this](bool watching) {
          configuration_.TryPost(WatchChanged{watching});
        });
    logger_.Log(kLogInstanceStarted, settings_.caller_endpoint().ToString());
    return absl::OkStatus();
  }

  void Shutdown() {
    logger_.Log(kLogInstanceShutdown,
                std::to_string(gateway_.open_exchanges()) + " open");
    const size_t cut = gateway_.Shutdown(settings_.shutdown_bound());
    if (cut > 0) {
      logger_.Log(kLogShutdownBoundPassed,
                  std::to_string(cut) + " requests cut");
    }
    bookings_.Stop(kBookingFlush);
    timers_.Stop();
    watch_thread_->Stop();
    list_thread_->Stop();
    configuration_.Stop();
    logger_.Log(kLogInstanceStopped, "");
  }

 private:
  ReplicaOptions MakeReplicaOptions() const {
    ReplicaOptions options;
    options.seed = seed_;
    return options;
  }

  BookingServiceOptions MakeBookingOptions() const {
    BookingServiceOptions options;
    options.writer = incarnation_;
    return options;
  }

  GatewayHooks Hooks() {
    GatewayHooks hooks;
    hooks.commit_intent = [this](const CommitIntent& intent) {
      return bookings_.Commit(intent);
    };
    hooks.record_outcome = [this](const RecordOutcome& outcome) {
      bookings_.Record(outcome);
    };
    hooks.status = [this] {
      return "{\"instance\":\"" + settings_.id() +
             "\",\"configuration_version\":" +
             std::to_string(configuration_.version()) + ",\"open_exchanges\":" +
             std::to_string(gateway_.open_exchanges()) + "}";
    };
    return hooks;
  }

  // The watch tells that there is a newer entry, not which.
  uint64_t newest_hint() const { return configuration_.version() + 1; }

  const InstanceSettings settings_;
  const uint64_t seed_;
  const std::string incarnation_ = MakeIncarnation(settings_.id());
  EventLogger logger_;
  Metrics metrics_;
  HttpObjectApi api_;
  Gateway gateway_;
  ConfigurationThread configuration_;
  TimerService timers_;
  BookingService bookings_;
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
