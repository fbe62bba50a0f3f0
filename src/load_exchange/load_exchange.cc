#include "endiveyard/load_exchange/load_exchange.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/strings/escaping.h"
#include "endiveyard/base/digest.h"
#include "endiveyard/load_exchange/peer_directory.h"
#include "endiveyard/load_exchange/peer_load_report.h"
#include "endiveyard/load_exchange/peer_registry_state.h"

namespace endiveyard {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Limit on the cached prompt parts in one report. The rest is sent in the next
// reports.
constexpr size_t kMaxPartsPerReport = 48;
// Limit on the keys of requests lost in crashes in one report: half a kilobyte.
constexpr size_t kMaxCrashKeysPerReport = 128;
// Limit on the rate limits of replicas in one report: half a kilobyte.
constexpr size_t kMaxRateLimitsPerReport = 48;
// Limit on the leaving replicas in one report: half a kilobyte.
constexpr size_t kMaxLeavingReplicasPerReport = 32;
// Limits on the paces of replicas in one report: half a kilobyte. They get what
// the rate limits leave of the space for both, so that the largest report is
// not above kMaxPeerLoadReportBytes.
constexpr size_t kMaxPacesPerReport = 32;
constexpr size_t kMinPacesPerReport = 4;
// Limit on the streams in one report: half a kilobyte.
constexpr size_t kMaxStreamsPerReport = 32;
// Minimum time between reports of streams that must not wait for a report of
// work. The first event of a stream takes about as long.
constexpr Duration kMinStreamsInterval = std::chrono::milliseconds(5);
// An instance that has just started does not know the others yet. Until then,
// it takes as much of a rate limit as if there were this many.
constexpr Duration kJoiningTime = std::chrono::seconds(2);
constexpr size_t kAssumedInstances = 64;
// Interval of reports of work without any change.
constexpr Duration kIdleReportInterval = std::chrono::milliseconds(500);
// Cached parts are told to this many instances of each other region, since
// datagrams may be lost.
constexpr int kCopiesPerRegion = 2;
// Minimum time between answers to new instances, which limits their bytes.
constexpr Duration kMinWelcomeInterval = std::chrono::milliseconds(50);
// Limit on the updates that wait to be sent to another region, or to be relayed
// in the own one. Beyond it, the oldest are dropped.
constexpr size_t kMaxPendingUpdates = 256;

size_t PartsOf(const CacheUpdate& update) {
  return update.parts.size() + update.pending_parts.size();
}

size_t MaxPaces(size_t rate_limits) {
  return std::clamp(kMaxRateLimitsPerReport - rate_limits, kMinPacesPerReport,
                    kMaxPacesPerReport);
}

// Returns 0 for text that is not an IPv4 address.
uint32_t ParseIp(const std::string& ip) {
  error_code ec;
  const auto address = asio::ip::make_address_v4(ip, ec);
  return ec ? 0 : address.to_uint();
}

}  // namespace

class LoadExchange::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io,
       LoadExchangeOptions options,
       Placer* placer,
       CrashSuspects* crash_suspects,
       StreamVersions* stream_versions,
       ForwardingPeers* forwarding_peers)
      : options_(std::move(options)),
        placer_(*placer),
        crash_suspects_(*crash_suspects),
        stream_versions_(*stream_versions),
        forwarding_peers_(*forwarding_peers),
        socket_(io),
        work_timer_(io),
        region_timer_(io),
        members_timer_(io),
        streams_timer_(io),
        own_address_(ParseIp(options_.ip)),
        region_(static_cast<uint16_t>(Digest64(options_.region))),
        directory_(own_address_, region_, ParseIps(options_.seed_ips)),
        has_other_seeds_(std::any_of(
            options_.seed_ips.begin(),
            options_.seed_ips.end(),
            [this](const std::string& it) { return it != options_.ip; })) {}

  absl::Status Start() {
    error_code ec;
    const udp::endpoint endpoint(asio::ip::address_v4(own_address_),
                                 options_.port);
    socket_.open(udp::v4(), ec);
    if (!ec) {
      socket_.bind(endpoint, ec);
    }
    if (!ec) {
      socket_.non_blocking(true, ec);
    }
    if (ec) {
      return absl::UnavailableError("cannot open UDP port " +
                                    std::to_string(options_.port) + ": " +
                                    ec.message());
    }
    started_at_ = BootClock::now();
    stream_versions_.set_on_untold_stream([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->TellStreamsSoon();
      }
    });
    Receive();
    SendMembers();
    SendWork();
    SendRegion();
    return absl::OkStatus();
  }

  void AddHooks(LoadReportHooks hooks) { hooks_.push_back(std::move(hooks)); }

  void SendDirect(uint32_t address, PeerLoadReport content) {
    const PeerLoadReport header = MakeReport(ReportScope::kMembers);
    content.sender = header.sender;
    content.sequence = header.sequence;
    content.region = header.region;
    content.leaving = header.leaving;
    content.registry_lost = header.registry_lost;
    content.takes_requests = header.takes_requests;
    content.takes_last_requests = header.takes_last_requests;
    content.scope = header.scope;
    content.map_version = header.map_version;
    content.map_age = header.map_age;
    content.unix_ms = header.unix_ms;
    content.duty_holder = header.duty_holder;
    direct_bytes_ += Send(content, {address}) + kDatagramHeaderBytes;
  }

  void SendHeader(const std::vector<uint32_t>& addresses) {
    direct_bytes_ +=
        addresses.size() * (Send(MakeReport(ReportScope::kMembers), addresses) +
                            kDatagramHeaderBytes);
  }

  std::vector<uint32_t> LiveInstances() const {
    return directory_.LiveInstances(BootClock::now());
  }

  uint32_t own_address() const { return own_address_; }

  size_t InstanceCount() const {
    return directory_.InstanceCount(BootClock::now());
  }

  InstancePosition Position() const {
    return directory_.OwnPosition(BootClock::now());
  }

  void RecordRegistered(const std::vector<std::string>& ips) {
    directory_.RecordRegistered(ParseIps(ips), BootClock::now());
  }

  void RecordOwnRecord(Duration left) {
    directory_.RecordOwnRecord(BootClock::now() + left);
  }

  TimePoint CountedUntil() const {
    return directory_.CountedUntil(BootClock::now());
  }

  bool Hears(const std::string& ip) const {
    const uint32_t address = ParseIp(ip);
    return address == 0 || address == own_address_ ||
           directory_.IsLive(address, BootClock::now());
  }

  std::string ReportForUnheard(uint64_t* fingerprint) {
    *fingerprint = 0;
    const TimePoint now = BootClock::now();
    PeerLoadReport report = MakeReport(ReportScope::kMembers);
    report.crashes = crash_suspects_.Digest(kMaxCrashKeysPerReport, now);
    if (report.crashes.empty()) {
      return "";
    }
    for (const CrashReport& it : report.crashes) {
      *fingerprint = CombineDigests(
          *fingerprint, CombineDigests(it.replica_key, it.alive ? 1 : 0));
      *fingerprint = CombineDigests(
          *fingerprint, CombineDigests(it.calls.size(), it.cleared.size()));
    }
    const std::string bytes = EncodePeerLoadReport(report);
    return absl::BytesToHexString(
        absl::string_view(bytes.data(), bytes.size()));
  }

  void ApplyReportOfUnheard(const std::string& text, Duration age) {
    const auto is_hex_digit = [](char c) {
      return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    if (text.empty() || text.size() % 2 != 0 ||
        text.size() > 2 * kMaxPeerLoadReportBytes ||
        !std::all_of(text.begin(), text.end(), is_hex_digit)) {
      return;
    }
    const auto report = DecodePeerLoadReport(
        absl::HexStringToBytes(absl::string_view(text.data(), text.size())));
    if (!report) {
      return;
    }
    const TimePoint now = BootClock::now();
    for (CrashReport crash : report->crashes) {
      AddAge(age, &crash);
      crash_suspects_.ApplyReport(crash, now, true);
    }
  }

  std::optional<size_t> SharingCount() const {
    return directory_.SharingCount(BootClock::now());
  }

  uint64_t rejected_datagrams() const { return rejected_datagrams_; }

  void SetLeaving() {
    leaving_ = true;
    directory_.RecordOwnLeaving(BootClock::now());
  }

  void SetRegistryLost(bool is_lost) { registry_lost_ = is_lost; }

  void SetTakesRequests(bool takes_requests) {
    takes_requests_ = takes_requests;
  }

  void SetTakesLastRequests(bool takes_last_requests) {
    takes_last_requests_ = takes_last_requests;
  }

  uint16_t region() const { return region_; }

  bool IsRegistryLostByAll() const {
    const TimePoint now = BootClock::now();
    return peer_registry_state_.IsLostByAll(directory_.OtherSharers(now), now);
  }

  void Stop() {
    error_code ec;
    socket_.close(ec);
    for (asio::steady_timer* it :
         {&work_timer_, &region_timer_, &members_timer_, &streams_timer_}) {
      it->cancel();
    }
  }

 private:
  // What is no IPv4 address is left out.
  static std::vector<uint32_t> ParseIps(const std::vector<std::string>& ips) {
    std::vector<uint32_t> addresses;
    for (const std::string& it : ips) {
      if (const uint32_t address = ParseIp(it); address != 0) {
        addresses.push_back(address);
      }
    }
    return addresses;
  }

  void Receive() {
    socket_.async_receive_from(
        asio::buffer(receive_buffer_), source_,
        [self = shared_from_this()](error_code ec, size_t n) {
          if (ec == asio::error::operation_aborted) {
            return;
          }
          if (!ec) {
            self->HandleDatagram(
                std::string_view(self->receive_buffer_.data(), n));
          }
          self->Receive();
        });
  }

  void HandleDatagram(std::string_view bytes) {
    const auto report = DecodePeerLoadReport(bytes);
    // The sender field has to match the source address of the datagram.
    if (!report || report->sender != source_.address().to_v4().to_uint()) {
      ++rejected_datagrams_;
      return;
    }
    if (report->sender == own_address_) {
      return;
    }
    const TimePoint now = BootClock::now();
    const bool has_started = directory_.RecordReport(
        {report->sender, report->region, Duration(0), report->leaving},
        report->sequence, report->members, now);
    if (has_started && report->scope == ReportScope::kMembers &&
        now - last_welcome_ >= kMinWelcomeInterval) {
      // A new instance knows the seeds only.
      last_welcome_ = now;
      directory_.RecordWelcomed(report->sender);
      stream_versions_.TellAgain();
      PeerLoadReport welcome = MakeReport(ReportScope::kMembers);
      welcome.members = directory_.Members(now);
      welcome.crashes = crash_suspects_.Digest(kMaxCrashKeysPerReport, now);
      welcome.rate_limits =
          placer_.rate_limits().Digest(kMaxRateLimitsPerReport, now);
      welcome.leaving_replicas =
          placer_.availability().Digest(kMaxLeavingReplicasPerReport, now);
      Send(welcome, {report->sender});
    }
    for (const LoadReportHooks& it : hooks_) {
      if (it.apply) {
        it.apply(*report, now);
      }
    }
    peer_registry_state_.RecordReport(report->sender, report->registry_lost,
                                      now);
    forwarding_peers_.RecordReport(
        report->sender,
        {report->takes_requests && !report->leaving, report->region,
         report->takes_last_requests && !report->leaving},
        now);
    if (!report->tells_streams) {
      stream_versions_.RecordPeerOfOtherRules(now);
    }
    for (const StreamReport& it : report->streams) {
      stream_versions_.ApplyReport(it, now);
    }
    placer_.ApplyPeerProfiles(report->sender, report->profiles, now);
    // News from another region go to one instance of this one only.
    const bool relay = report->scope == ReportScope::kRegion;
    for (const CrashReport& it : report->crashes) {
      crash_suspects_.ApplyReport(it, now, relay);
    }
    for (const RateLimitReport& it : report->rate_limits) {
      placer_.rate_limits().ApplyReport(it, now, relay);
    }
    for (const ReplicaPaceReport& it : report->paces) {
      placer_.paces().ApplyReport(it, now, relay);
      placer_.call_limits().ApplyReport(it, now, relay);
    }
    for (const LeavingReport& it : report->leaving_replicas) {
      placer_.availability().ApplyReport(it, now, relay);
    }
    switch (report->scope) {
      case ReportScope::kInstance:
        HandleWork(*report, now);
        return;
      case ReportScope::kRegion:
        // In a small fleet, the other regions report directly.
        if (report->region != region_ && IsLargeFleet(now)) {
          placer_.peer_loads().UpdateRegion(report->region, report->work, now,
                                            report->interval);
        }
        for (const RelayedCacheUpdate& it : report->cached) {
          ApplyRelayedUpdate(report->sender, it.update, now);
        }
        RelayWithinRegion(*report);
        return;
      case ReportScope::kMembers:
        return;
    }
  }

  bool IsLargeFleet(TimePoint now) const {
    return directory_.InstanceCount(now) > kMaxPeersForFullExchange + 1;
  }

  void HandleWork(const PeerLoadReport& report, TimePoint now) {
    std::vector<CacheUpdate> cached;
    for (const RelayedCacheUpdate& it : report.cached) {
      if (it.origin == 0) {
        cached.push_back(it.update);
      }
    }
    if (!placer_.ApplyPeerReport(report.sender, report.sequence, report.work,
                                 cached, now, report.interval)) {
      return;
    }
    for (const RelayedCacheUpdate& it : report.cached) {
      if (it.origin != 0) {
        ApplyRelayedUpdate(it.origin, it.update, now);
      }
    }
  }

  // Applies an update that may have been overtaken by later ones.
  void ApplyRelayedUpdate(uint32_t origin,
                          const CacheUpdate& update,
                          TimePoint now) {
    constexpr bool kInOrder = false;
    placer_.cache_view().ApplyPeerUpdate(origin, update, now, kInOrder);
  }

  // Keeps the cached parts of another region for the next report of work.
  void RelayWithinRegion(const PeerLoadReport& report) {
    for (const RelayedCacheUpdate& it : report.cached) {
      relayed_.push_back({report.sender, it.update});
    }
    while (relayed_.size() > kMaxPendingUpdates) {
      relayed_.pop_front();
    }
  }

  PeerLoadReport MakeReport(ReportScope scope) {
    PeerLoadReport report;
    report.sender = own_address_;
    report.sequence = ++sequence_;
    report.region = region_;
    report.leaving = leaving_;
    report.registry_lost = registry_lost_;
    report.takes_requests = takes_requests_;
    report.takes_last_requests = takes_last_requests_;
    report.scope = scope;
    for (const LoadReportHooks& it : hooks_) {
      if (it.fill) {
        it.fill(&report, BootClock::now());
      }
    }
    return report;
  }

  // Sends the report and returns its size.
  size_t Send(const PeerLoadReport& report,
              const std::vector<uint32_t>& recipients) {
    const std::string datagram = EncodePeerLoadReport(report);
    for (const uint32_t it : recipients) {
      error_code ec;
      // A failure to send is handled like a lost datagram: ignored.
      socket_.send_to(asio::buffer(datagram),
                      udp::endpoint(asio::ip::address_v4(it), options_.port), 0,
                      ec);
    }
    return datagram.size();
  }

  void Schedule(asio::steady_timer* timer,
                Duration delay,
                void (Impl::*action)()) {
    timer->expires_after(delay);
    timer->async_wait([self = shared_from_this(), action](error_code ec) {
      if (!ec) {
        (self.get()->*action)();
      }
    });
  }

  void UpdateShareOfRateLimits(TimePoint now) {
    InstancePosition position = directory_.OwnSharingPosition(now);
    if (has_other_seeds_ && now - started_at_ < kJoiningTime) {
      position.count = std::max(position.count, kAssumedInstances);
    }
    position.joining = now - started_at_ < directory_.SpreadingTime(now);
    placer_.call_limits().set_instance(position);
    placer_.rate_limits().set_instance(std::move(position));
  }

  // Limits on calls come first: they are few, and matter for longer than what a
  // replica stated last.
  std::vector<ReplicaPaceReport> TakePaces(size_t max, TimePoint now) {
    auto paces = placer_.call_limits().TakeNews(max, now);
    for (auto& it : placer_.paces().TakeNews(max - paces.size(), now)) {
      paces.push_back(it);
    }
    return paces;
  }

  std::vector<ReplicaPaceReport> DigestPaces(size_t max, TimePoint now) {
    auto paces = placer_.call_limits().Digest(max, now);
    for (auto& it : placer_.paces().Digest(max - paces.size(), now)) {
      paces.push_back(it);
    }
    return paces;
  }

  // Reports the work of this instance to its mates.
  void SendWork() {
    const TimePoint now = BootClock::now();
    PeerLoadReport report = MakeReport(ReportScope::kInstance);
    report.interval = work_interval_;
    report.work = placer_.LocalWork();
    for (CacheUpdate& it :
         placer_.cache_view().TakeUpdates(kMaxPartsPerReport)) {
      pending_for_regions_.push_back({it, kCopiesPerRegion});
      report.cached.push_back({0, std::move(it)});
    }
    while (pending_for_regions_.size() > kMaxPendingUpdates) {
      pending_for_regions_.pop_front();
    }
    for (size_t parts = 0; !relayed_.empty() && parts < kMaxPartsPerReport;
         relayed_.pop_front()) {
      parts += PartsOf(relayed_.front().update);
      report.cached.push_back(std::move(relayed_.front()));
    }
    report.crashes = crash_suspects_.TakeNews(kMaxCrashKeysPerReport, now);
    report.rate_limits =
        placer_.rate_limits().TakeNews(kMaxRateLimitsPerReport, now);
    report.leaving_replicas =
        placer_.availability().TakeNews(kMaxLeavingReplicasPerReport, now);
    report.paces = TakePaces(MaxPaces(report.rate_limits.size()), now);
    // In a large fleet, most of the instances that a caller may turn to would
    // not be told.
    if (!IsLargeFleet(now)) {
      report.streams = stream_versions_.TakeNews(kMaxStreamsPerReport, now);
    }
    UpdateShareOfRateLimits(now);
    Duration delay = work_interval_;
    // After all work has ended, one more report without work is sent, so that
    // peers drop the last one immediately.
    if (!report.work.empty() || !report.cached.empty() ||
        !report.crashes.empty() || !report.rate_limits.empty() ||
        !report.leaving_replicas.empty() || !report.streams.empty() ||
        !report.paces.empty() || last_report_had_work_ ||
        now - last_work_report_ >= kIdleReportInterval) {
      last_report_had_work_ = !report.work.empty();
      last_work_report_ = now;
      report.profiles = placer_.MeasuredProfiles(now);
      const std::vector<uint32_t> mates = directory_.Mates(now);
      const size_t bytes = Send(report, mates);
      delay = directory_.WorkInterval(mates.size(), bytes, now);
      if (direct_bytes_ > 0) {
        delay += directory_.WorkInterval(1, direct_bytes_, now);
        direct_bytes_ = 0;
      }
      placer_.peer_loads().Expire(now);
    }
    work_interval_ = delay;
    Schedule(&work_timer_, delay, &Impl::SendWork);
  }

  // A report of work may come later than the caller of a stream that has broken
  // off turns to another instance.
  void TellStreamsSoon() {
    const TimePoint now = BootClock::now();
    if (tells_streams_soon_ || IsLargeFleet(now)) {
      return;
    }
    tells_streams_soon_ = true;
    const auto since_last =
        std::chrono::duration_cast<Duration>(now - streams_told_at_);
    Schedule(&streams_timer_,
             std::max(Duration(0), kMinStreamsInterval - since_last),
             &Impl::SendStreams);
  }

  void SendStreams() {
    const TimePoint now = BootClock::now();
    tells_streams_soon_ = false;
    streams_told_at_ = now;
    PeerLoadReport report = MakeReport(ReportScope::kMembers);
    report.streams = stream_versions_.TakeNews(kMaxStreamsPerReport, now);
    if (!report.streams.empty()) {
      const std::vector<uint32_t> mates = directory_.Mates(now);
      direct_bytes_ +=
          mates.size() * (Send(report, mates) + kDatagramHeaderBytes);
    }
  }

  // Reports the work of the own region to one instance of each other region.
  void SendRegion() {
    const TimePoint now = BootClock::now();
    const std::vector<uint32_t> recipients = directory_.RegionRecipients(now);
    size_t bytes = 0;
    if (!recipients.empty()) {
      PeerLoadReport report = MakeReport(ReportScope::kRegion);
      // Each instance of the other region gets a report of this region as often
      // as this instance sends one, from different senders.
      report.interval = region_interval_;
      report.work = WorkOfRegion(now);
      size_t parts = 0;
      for (auto& it : pending_for_regions_) {
        if (parts >= kMaxPartsPerReport) {
          break;
        }
        parts += PartsOf(it.update);
        --it.copies_left;
        report.cached.push_back({0, it.update});
      }
      while (!pending_for_regions_.empty() &&
             pending_for_regions_.front().copies_left <= 0) {
        pending_for_regions_.pop_front();
      }
      report.profiles = placer_.MeasuredProfiles(now);
      report.crashes = crash_suspects_.Digest(kMaxCrashKeysPerReport, now);
      report.rate_limits =
          placer_.rate_limits().Digest(kMaxRateLimitsPerReport, now);
      report.leaving_replicas =
          placer_.availability().Digest(kMaxLeavingReplicasPerReport, now);
      report.paces = DigestPaces(MaxPaces(report.rate_limits.size()), now);
      bytes = Send(report, recipients);
    }
    region_interval_ = PeerDirectory::RegionInterval(recipients.size(), bytes);
    Schedule(&region_timer_, region_interval_, &Impl::SendRegion);
  }

  std::vector<ReplicaWork> WorkOfRegion(TimePoint now) {
    std::map<uint64_t, ReplicaWork> sums;
    for (const auto& work :
         {placer_.LocalWork(), placer_.peer_loads().WorkOfPeers(now)}) {
      for (const ReplicaWork& it : work) {
        ReplicaWork& sum = sums[it.replica_key];
        sum.replica_key = it.replica_key;
        sum.calls += it.calls;
        sum.pending_prefill_tokens += it.pending_prefill_tokens;
      }
    }
    std::vector<ReplicaWork> work;
    work.reserve(sums.size());
    for (const auto& [key, it] : sums) {
      work.push_back(it);
    }
    return work;
  }

  // Tells some instances which instances are live, and probes the seeds.
  void SendMembers() {
    const TimePoint now = BootClock::now();
    PeerLoadReport report = MakeReport(ReportScope::kMembers);
    report.members = directory_.Members(now);
    // Also reaches instances that lost the news or have just started.
    report.crashes = crash_suspects_.Digest(kMaxCrashKeysPerReport, now);
    report.rate_limits =
        placer_.rate_limits().Digest(kMaxRateLimitsPerReport, now);
    report.leaving_replicas =
        placer_.availability().Digest(kMaxLeavingReplicasPerReport, now);
    const std::vector<uint32_t> recipients = directory_.MemberRecipients(now);
    const size_t bytes = Send(report, recipients);
    Schedule(&members_timer_,
             directory_.MemberReportInterval(recipients.size(), bytes, now),
             &Impl::SendMembers);
  }

  // An update for other regions, and to how many instances of each it is still
  // to be sent.
  struct PendingUpdate {
    CacheUpdate update;
    int copies_left = 0;
  };

  const LoadExchangeOptions options_;
  Placer& placer_;
  CrashSuspects& crash_suspects_;
  StreamVersions& stream_versions_;
  ForwardingPeers& forwarding_peers_;
  udp::socket socket_;
  asio::steady_timer work_timer_;
  asio::steady_timer region_timer_;
  asio::steady_timer members_timer_;
  asio::steady_timer streams_timer_;
  const uint32_t own_address_;
  const uint16_t region_;
  PeerDirectory directory_;
  udp::endpoint source_;
  std::array<char, kMaxPeerLoadReportBytes> receive_buffer_{};
  const bool has_other_seeds_;
  bool leaving_ = false;
  bool registry_lost_ = false;
  bool takes_requests_ = false;
  bool takes_last_requests_ = false;
  PeerRegistryState peer_registry_state_;
  std::vector<LoadReportHooks> hooks_;
  TimePoint started_at_{};
  uint64_t sequence_ = 0;
  uint64_t rejected_datagrams_ = 0;
  Duration work_interval_{};
  Duration region_interval_{};
  TimePoint last_work_report_{};
  size_t direct_bytes_ = 0;  // since the last report of work
  bool tells_streams_soon_ = false;
  TimePoint streams_told_at_{};
  TimePoint last_welcome_{};
  bool last_report_had_work_ = false;
  std::deque<PendingUpdate> pending_for_regions_;
  std::deque<RelayedCacheUpdate> relayed_;
};

LoadExchange::LoadExchange(asio::io_context& io,
                           LoadExchangeOptions options,
                           Placer* placer,
                           CrashSuspects* crash_suspects,
                           StreamVersions* stream_versions,
                           ForwardingPeers* forwarding_peers)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(options),
                                   placer,
                                   crash_suspects,
                                   stream_versions,
                                   forwarding_peers)) {}

LoadExchange::~LoadExchange() {
  impl_->Stop();
}

void LoadExchange::AddHooks(LoadReportHooks hooks) {
  impl_->AddHooks(std::move(hooks));
}

void LoadExchange::SendDirect(uint32_t address, PeerLoadReport content) {
  impl_->SendDirect(address, std::move(content));
}

void LoadExchange::SendHeader(const std::vector<uint32_t>& addresses) {
  impl_->SendHeader(addresses);
}

std::vector<uint32_t> LoadExchange::LiveInstances() const {
  return impl_->LiveInstances();
}

uint32_t LoadExchange::own_address() const {
  return impl_->own_address();
}

absl::Status LoadExchange::Start() {
  return impl_->Start();
}

size_t LoadExchange::InstanceCount() const {
  return impl_->InstanceCount();
}

InstancePosition LoadExchange::Position() const {
  return impl_->Position();
}

void LoadExchange::RecordRegistered(const std::vector<std::string>& ips) {
  impl_->RecordRegistered(ips);
}

void LoadExchange::RecordOwnRecord(Duration left) {
  impl_->RecordOwnRecord(left);
}

TimePoint LoadExchange::CountedUntil() const {
  return impl_->CountedUntil();
}

bool LoadExchange::Hears(const std::string& ip) const {
  return impl_->Hears(ip);
}

std::string LoadExchange::ReportForUnheard(uint64_t* fingerprint) {
  return impl_->ReportForUnheard(fingerprint);
}

void LoadExchange::ApplyReportOfUnheard(const std::string& text, Duration age) {
  impl_->ApplyReportOfUnheard(text, age);
}

std::optional<size_t> LoadExchange::SharingCount() const {
  return impl_->SharingCount();
}

void LoadExchange::SetLeaving() {
  impl_->SetLeaving();
}

void LoadExchange::SetRegistryLost(bool is_lost) {
  impl_->SetRegistryLost(is_lost);
}

void LoadExchange::SetTakesRequests(bool takes_requests) {
  impl_->SetTakesRequests(takes_requests);
}

void LoadExchange::SetTakesLastRequests(bool takes_last_requests) {
  impl_->SetTakesLastRequests(takes_last_requests);
}

uint16_t LoadExchange::region() const {
  return impl_->region();
}

bool LoadExchange::IsRegistryLostByAll() const {
  return impl_->IsRegistryLostByAll();
}

uint64_t LoadExchange::rejected_datagrams() const {
  return impl_->rejected_datagrams();
}

}  // namespace endiveyard
