#include "endiveyard/load_exchange/peer_load_report.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "load_exchange/generated/load_report.capnp.h"

namespace endiveyard {
namespace {

// Limits the work that a malicious datagram can cause in the decoder. The
// largest report has five words per replica when unpacked: 2,500 for 500
// replicas, and about as many for the other lists. Counts of usage take two
// words per customer: 2,000 for four windows of 250 customers.
constexpr uint64_t kMaxTraversalWords = 8192;

// Limits on the figures of one entry, so that a forged report has a bounded
// weight: more work than an engine can have queued counts as this much.
constexpr uint32_t kMaxCalls = 10000;
constexpr uint32_t kMaxPendingPrefillTokens = 5000000;
constexpr uint32_t kMaxIntervalMs = 10000;

// Lists in reports of builds that have the one of streams.
constexpr size_t kListsWithStreams = 10;

constexpr size_t kMemberBytes = 7;
constexpr Duration kAgeUnit = std::chrono::milliseconds(250);
constexpr int64_t kMaxAgeUnits = 255;

constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerMilli = 1000;
constexpr double kHundredths = 100;

Duration FromMillis(uint32_t ms) {
  return std::chrono::milliseconds(ms);
}

uint32_t ToMillis(Duration duration) {
  return static_cast<uint32_t>(duration.count() / 1000);
}

uint32_t Rounded(double value) {
  constexpr double kMax = 4e9;
  return static_cast<uint32_t>(std::llround(std::clamp(value, 0.0, kMax)));
}

wire::LoadReport::Scope EncodeScope(ReportScope scope) {
  switch (scope) {
    case ReportScope::kInstance:
      break;
    case ReportScope::kRegion:
      return wire::LoadReport::Scope::REGION;
    case ReportScope::kMembers:
      return wire::LoadReport::Scope::MEMBERS;
  }
  return wire::LoadReport::Scope::INSTANCE;
}

// Returns nullopt for the scope of a later version.
std::optional<ReportScope> DecodeScope(wire::LoadReport::Scope scope) {
  switch (scope) {
    case wire::LoadReport::Scope::INSTANCE:
      return ReportScope::kInstance;
    case wire::LoadReport::Scope::REGION:
      return ReportScope::kRegion;
    case wire::LoadReport::Scope::MEMBERS:
      return ReportScope::kMembers;
  }
  return std::nullopt;
}

std::string EncodeMembers(const std::vector<Member>& members) {
  std::string bytes;
  bytes.reserve(members.size() * kMemberBytes);
  const auto append = [&bytes](uint64_t value, int size) {
    for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) {
      bytes.push_back(static_cast<char>((value >> shift) & 0xff));
    }
  };
  for (const Member& it : members) {
    append(it.address, 4);
    append(it.region, 2);
    // Rounded up, so that an instance does not appear alive for longer each
    // time that it is passed on.
    const int64_t units =
        (it.age + kAgeUnit - Duration(1)).count() / kAgeUnit.count();
    append(static_cast<uint64_t>(std::clamp<int64_t>(units, 0, kMaxAgeUnits)),
           1);
  }
  return bytes;
}

// Returns a bit for each member that is leaving.
std::string EncodeLeavingMembers(const std::vector<Member>& members) {
  std::string bits;
  for (size_t n = 0; n < members.size(); ++n) {
    if (members[n].leaving) {
      bits.resize(n / 8 + 1);
      bits[n / 8] |= static_cast<char>(1 << n % 8);
    }
  }
  return bits;
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::vector<Member> DecodeMembers(capnp::Data::Reader bytes,
                                  capnp::Data::Reader leaving_bits) {
  std::vector<Member> members;
  const auto read = [&bytes](size_t at, size_t size) {
    uint32_t value = 0;
    for (size_t n = at; n < at + size; ++n) {
      value = value << 8 | bytes[n];
    }
    return value;
  };
  for (size_t n = 0; n + kMemberBytes <= bytes.size(); n += kMemberBytes) {
    const size_t index = members.size();
    const bool leaving = index / 8 < leaving_bits.size() &&
                         (leaving_bits[index / 8] >> index % 8 & 1) != 0;
    members.push_back({read(n, 4), static_cast<uint16_t>(read(n + 4, 2)),
                       kAgeUnit * read(n + 6, 1), leaving});
  }
  return members;
}

void EncodeProfiles(const std::vector<ServiceProfile>& profiles,
                    wire::LoadReport::Builder root) {
  auto list = root.initProfiles(static_cast<unsigned>(profiles.size()));
  for (unsigned n = 0; n < list.size(); ++n) {
    const MeasuredProfile& measured = profiles[n].measured;
    list[n].setServiceKey(profiles[n].service_key);
    list[n].setPrefillTokensPerSecond(
        Rounded(measured.profile.prefill_tokens_per_ms * kMillisPerSecond));
    list[n].setPrefillSamples(measured.prefill_samples);
    list[n].setStepMicros(Rounded(measured.profile.step_ms * kMicrosPerMilli));
    list[n].setStepSamples(measured.step_samples);
  }
}

ServiceProfile DecodeProfile(wire::LoadReport::Profile::Reader profile) {
  ServiceProfile decoded;
  decoded.service_key = profile.getServiceKey();
  decoded.measured.profile.prefill_tokens_per_ms =
      profile.getPrefillTokensPerSecond() / kMillisPerSecond;
  decoded.measured.prefill_samples = profile.getPrefillSamples();
  decoded.measured.profile.step_ms = profile.getStepMicros() / kMicrosPerMilli;
  decoded.measured.step_samples = profile.getStepSamples();
  return decoded;
}

void EncodeCrashes(const std::vector<CrashReport>& crashes,
                   wire::LoadReport::Builder root) {
  const auto set_keys = [](const SuspectKeys& keys,
                           capnp::List<uint32_t>::Builder list) {
    for (unsigned n = 0; n < list.size(); ++n) {
      list.set(n, keys[n]);
    }
  };
  auto list = root.initCrashes(static_cast<unsigned>(crashes.size()));
  for (unsigned n = 0; n < list.size(); ++n) {
    const CrashReport& crash = crashes[n];
    list[n].setReplicaKey(crash.replica_key);
    list[n].setAgeMs(ToMillis(crash.age));
    list[n].setAlive(crash.alive);
    auto calls = list[n].initCalls(static_cast<unsigned>(crash.calls.size()));
    for (unsigned k = 0; k < calls.size(); ++k) {
      const LostCall& call = crash.calls[k];
      set_keys(call.keys,
               calls[k].initKeys(static_cast<unsigned>(call.keys.size())));
      calls[k].setSentAgeMs(ToMillis(call.sent_age));
      calls[k].setAnswering(call.answering);
    }
    set_keys(crash.cleared,
             list[n].initCleared(static_cast<unsigned>(crash.cleared.size())));
  }
}

CrashReport DecodeCrash(wire::LoadReport::Crash::Reader crash) {
  CrashReport decoded;
  decoded.replica_key = crash.getReplicaKey();
  decoded.age = FromMillis(crash.getAgeMs());
  decoded.alive = crash.getAlive();
  for (const auto it : crash.getCalls()) {
    LostCall call;
    for (const uint32_t key : it.getKeys()) {
      call.keys.push_back(key);
    }
    call.sent_age = FromMillis(it.getSentAgeMs());
    call.answering = it.getAnswering();
    decoded.calls.push_back(std::move(call));
  }
  for (const uint32_t key : crash.getCleared()) {
    decoded.cleared.push_back(key);
  }
  return decoded;
}

void EncodeRateLimits(const std::vector<RateLimitReport>& limits,
                      wire::LoadReport::Builder root) {
  auto list = root.initRateLimits(static_cast<unsigned>(limits.size()));
  for (unsigned n = 0; n < list.size(); ++n) {
    list[n].setReplicaKey(limits[n].replica_key);
    list[n].setAgeMs(ToMillis(limits[n].age));
    list[n].setNone(!limits[n].requests_per_second);
    list[n].setMilliPerSecond(
        Rounded(limits[n].requests_per_second.value_or(0) * kMillisPerSecond));
  }
}

void EncodeLeavingReplicas(const std::vector<LeavingReport>& replicas,
                           wire::LoadReport::Builder root) {
  auto list = root.initLeavingReplicas(static_cast<unsigned>(replicas.size()));
  for (unsigned n = 0; n < list.size(); ++n) {
    list[n].setReplicaKey(replicas[n].target_key);
    list[n].setAgeMs(ToMillis(replicas[n].age));
  }
}

// Leaves fields unset that have nothing to tell, so that reports of deployments
// without duties do not grow.
void EncodeUsage(const PeerLoadReport& report, wire::LoadReport::Builder root) {
  if (report.duty_holder.address != 0) {
    auto holder = root.initDutyHolder();
    holder.setAddress(report.duty_holder.address);
    holder.setFencingToken(report.duty_holder.fencing_token);
    holder.setAgeMs(ToMillis(report.duty_holder.age));
  }
  if (!report.usage.empty()) {
    auto list = root.initUsage(static_cast<unsigned>(report.usage.size()));
    for (unsigned n = 0; n < list.size(); ++n) {
      const WindowUsage& usage = report.usage[n];
      list[n].setWindow(usage.window);
      auto customers =
          list[n].initCustomers(static_cast<unsigned>(usage.customers.size()));
      for (unsigned k = 0; k < customers.size(); ++k) {
        customers[k].setCustomerKey(usage.customers[k].customer_key);
        customers[k].setRequests(usage.customers[k].requests);
      }
    }
  }
  if (!report.usage_acks.empty()) {
    auto acks =
        root.initUsageAcks(static_cast<unsigned>(report.usage_acks.size()));
    for (unsigned n = 0; n < acks.size(); ++n) {
      acks.set(n, report.usage_acks[n]);
    }
  }
}

void DecodeUsage(wire::LoadReport::Reader root, PeerLoadReport* report) {
  if (root.hasDutyHolder()) {
    const auto holder = root.getDutyHolder();
    report->duty_holder = {holder.getAddress(), holder.getFencingToken(),
                           FromMillis(holder.getAgeMs())};
  }
  for (const auto it : root.getUsage()) {
    WindowUsage usage;
    usage.window = it.getWindow();
    for (const auto customer : it.getCustomers()) {
      usage.customers.push_back(
          {customer.getCustomerKey(), customer.getRequests()});
    }
    report->usage.push_back(std::move(usage));
  }
  for (const int64_t window : root.getUsageAcks()) {
    report->usage_acks.push_back(window);
  }
}

void EncodePaces(const std::vector<ReplicaPaceReport>& paces,
                 wire::LoadReport::Builder root) {
  if (paces.empty()) {
    return;
  }
  auto list = root.initPaces(static_cast<unsigned>(paces.size()));
  for (unsigned n = 0; n < list.size(); ++n) {
    list[n].setReplicaKey(paces[n].replica_key);
    list[n].setAgeMs(ToMillis(paces[n].age));
    list[n].setDurationPercent(
        Rounded(paces[n].relative_duration.value_or(0) * kHundredths));
    list[n].setCallLimitHundredths(
        Rounded(paces[n].call_limit.value_or(0) * kHundredths));
  }
}

ReplicaPaceReport DecodePace(wire::LoadReport::Pace::Reader pace) {
  ReplicaPaceReport decoded;
  decoded.replica_key = pace.getReplicaKey();
  decoded.age = FromMillis(pace.getAgeMs());
  if (pace.getDurationPercent() > 0) {
    decoded.relative_duration = pace.getDurationPercent() / kHundredths;
  }
  if (pace.getCallLimitHundredths() > 0) {
    decoded.call_limit = pace.getCallLimitHundredths() / kHundredths;
  }
  return decoded;
}

RateLimitReport DecodeRateLimit(wire::LoadReport::RateLimit::Reader limit) {
  RateLimitReport decoded;
  decoded.replica_key = limit.getReplicaKey();
  decoded.age = FromMillis(limit.getAgeMs());
  if (!limit.getNone()) {
    decoded.requests_per_second = limit.getMilliPerSecond() / kMillisPerSecond;
  }
  return decoded;
}

}  // namespace

bool PeerLoadReport::operator==(const PeerLoadReport& other) const {
  const auto fields = [](const PeerLoadReport& it) {
    return std::tie(it.sender, it.sequence, it.region, it.leaving, it.scope,
                    it.interval, it.work, it.cached, it.members, it.profiles,
                    it.crashes, it.rate_limits, it.leaving_replicas, it.streams,
                    it.registry_lost, it.takes_requests, it.tells_streams,
                    it.map_version, it.map_age, it.unix_ms, it.duty_holder,
                    it.usage, it.usage_acks, it.paces, it.takes_last_requests,
                    it.replica_change, it.replica_era, it.replica_age);
  };
  return fields(*this) == fields(other);
}

std::string EncodePeerLoadReport(const PeerLoadReport& report) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::LoadReport>();
  root.setSender(report.sender);
  root.setSequence(report.sequence);
  root.setRegion(report.region);
  root.setLeaving(report.leaving);
  root.setScope(EncodeScope(report.scope));
  root.setIntervalMs(ToMillis(report.interval));
  auto work = root.initWork(static_cast<unsigned>(report.work.size()));
  for (unsigned n = 0; n < work.size(); ++n) {
    work[n].setReplicaKey(report.work[n].replica_key);
    work[n].setCalls(report.work[n].calls);
    work[n].setUnreadTokens(report.work[n].pending_prefill_tokens);
  }
  auto cached = root.initCached(static_cast<unsigned>(report.cached.size()));
  for (unsigned n = 0; n < cached.size(); ++n) {
    const CacheUpdate& update = report.cached[n].update;
    cached[n].setOrigin(report.cached[n].origin);
    cached[n].setEngineKey(update.engine_key);
    cached[n].setAddedTokens(update.added_tokens);
    const std::vector<uint64_t>& ids = update.parts;
    auto parts = cached[n].initParts(static_cast<unsigned>(ids.size()));
    for (unsigned k = 0; k < parts.size(); ++k) {
      parts.set(k, ids[k]);
    }
    auto pending = cached[n].initPendingParts(
        static_cast<unsigned>(update.pending_parts.size()));
    for (unsigned k = 0; k < pending.size(); ++k) {
      pending.set(k, update.pending_parts[k]);
    }
  }
  root.setMembers(ToData(EncodeMembers(report.members)));
  root.setLeavingMembers(ToData(EncodeLeavingMembers(report.members)));
  EncodeProfiles(report.profiles, root);
  EncodeCrashes(report.crashes, root);
  EncodeRateLimits(report.rate_limits, root);
  EncodeLeavingReplicas(report.leaving_replicas, root);
  auto streams = root.initStreams(static_cast<unsigned>(report.streams.size()));
  for (unsigned n = 0; n < streams.size(); ++n) {
    streams[n].setKey(report.streams[n].stream);
    streams[n].setVersion(report.streams[n].version);
  }
  root.setRegistryLost(report.registry_lost);
  root.setTakesRequests(report.takes_requests);
  root.setTakesLastRequests(report.takes_last_requests);
  root.setMapVersion(report.map_version);
  root.setMapAgeMs(report.map_age ? ToMillis(*report.map_age) + 1 : 0);
  root.setReplicaChange(report.replica_change);
  root.setReplicaEra(report.replica_era);
  root.setReplicaAgeMs(report.replica_age ? ToMillis(*report.replica_age) + 1
                                          : 0);
  root.setUnixMs(report.unix_ms);
  EncodeUsage(report, root);
  EncodePaces(report.paces, root);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<PeerLoadReport> DecodePeerLoadReport(std::string_view bytes) {
  std::optional<PeerLoadReport> decoded;
  // Cap'n Proto throws exceptions on malformed input.
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxTraversalWords;
    capnp::PackedMessageReader message(in, options);
    const auto root = message.getRoot<wire::LoadReport>();
    PeerLoadReport report;
    report.sender = root.getSender();
    report.sequence = root.getSequence();
    report.region = static_cast<uint16_t>(root.getRegion());
    const auto scope = DecodeScope(root.getScope());
    if (!scope) {
      return;
    }
    report.scope = *scope;
    report.interval =
        FromMillis(std::min(root.getIntervalMs(), kMaxIntervalMs));
    for (const auto it : root.getWork()) {
      report.work.push_back(
          {it.getReplicaKey(), std::min(it.getCalls(), kMaxCalls),
           std::min(it.getUnreadTokens(), kMaxPendingPrefillTokens)});
    }
    for (const auto it : root.getCached()) {
      RelayedCacheUpdate relayed;
      relayed.origin = it.getOrigin();
      relayed.update.engine_key = it.getEngineKey();
      relayed.update.added_tokens = it.getAddedTokens();
      for (const uint64_t part : it.getParts()) {
        relayed.update.parts.push_back(part);
      }
      for (const uint64_t part : it.getPendingParts()) {
        relayed.update.pending_parts.push_back(part);
      }
      report.cached.push_back(std::move(relayed));
    }
    report.leaving = root.getLeaving();
    report.members = DecodeMembers(root.getMembers(), root.getLeavingMembers());
    for (const auto it : root.getProfiles()) {
      report.profiles.push_back(DecodeProfile(it));
    }
    for (const auto it : root.getCrashes()) {
      report.crashes.push_back(DecodeCrash(it));
    }
    for (const auto it : root.getRateLimits()) {
      report.rate_limits.push_back(DecodeRateLimit(it));
    }
    for (const auto it : root.getLeavingReplicas()) {
      report.leaving_replicas.push_back(
          {it.getReplicaKey(), FromMillis(it.getAgeMs())});
    }
    for (const auto it : root.getStreams()) {
      report.streams.push_back({it.getKey(), it.getVersion()});
    }
    report.tells_streams =
        message.getRoot<capnp::AnyStruct>().getPointerSection().size() >=
        kListsWithStreams;
    report.registry_lost = root.getRegistryLost();
    report.takes_requests = root.getTakesRequests();
    report.takes_last_requests = root.getTakesLastRequests();
    report.map_version = root.getMapVersion();
    if (root.getMapAgeMs() != 0) {
      report.map_age = FromMillis(root.getMapAgeMs() - 1);
    }
    report.replica_change = root.getReplicaChange();
    report.replica_era = root.getReplicaEra();
    if (root.getReplicaAgeMs() != 0) {
      report.replica_age = FromMillis(root.getReplicaAgeMs() - 1);
    }
    report.unix_ms = root.getUnixMs();
    DecodeUsage(root, &report);
    for (const auto it : root.getPaces()) {
      report.paces.push_back(DecodePace(it));
    }
    decoded = std::move(report);
  });
  if (failure != nullptr) {
    return std::nullopt;
  }
  return decoded;
}

}  // namespace endiveyard
