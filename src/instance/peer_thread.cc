#include "instance/peer_thread.h"

#include <chrono>
#include <utility>

#include "endiveyard/telemetry/log_event_numbers.h"

namespace endiveyard {
namespace {

constexpr size_t kRingCapacity = 1024;

MembershipOptions MakeOptions(const InstanceSettings& settings, uint64_t seed) {
  MembershipOptions options;
  options.instance = settings.id();
  options.failure_domain = settings.failure_domain();
  // Only compared among starts of the same instance.
  options.incarnation = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  options.seed = seed;
  return options;
}

PeerTlsFiles MakeTls(const TlsFiles& files) {
  return {files.certificate, files.key, files.authority};
}

PeerClientOptions MakeClientOptions(const InstanceSettings& settings,
                                    uint64_t seed) {
  PeerClientOptions options;
  options.tls = MakeTls(settings.peer_tls());
  options.seed = seed;
  return options;
}

ConfigurationEdit ToEdit(const DigestEdit& it) {
  ConfigurationEdit edit;
  edit.version = it.version;
  edit.edit_id = it.edit_id;
  edit.author = it.author;
  edit.delta = it.delta;
  return edit;
}

DigestEdit ToDigestEdit(const ConfigurationEdit& it) {
  return {it.version, it.edit_id, it.author, it.delta};
}

PeerConfiguration ToPeerConfiguration(const PeerDigest& digest) {
  PeerConfiguration configuration;
  configuration.peer = digest.sender;
  configuration.newest = digest.version;
  for (const DigestEdit& it : digest.edits) {
    configuration.edits.push_back(ToEdit(it));
  }
  if (digest.snapshot_version > 0) {
    configuration.snapshot =
        ConfigurationSnapshot{{}, digest.snapshot_version, digest.snapshot};
  }
  return configuration;
}

}  // namespace

PeerThread::PeerThread(const InstanceSettings& settings,
                       uint64_t seed,
                       ConfigurationThread* configuration,
                       const EventLogger* logger,
                       PeerHooks hooks)
    : options_(MakeOptions(settings, seed)),
      started_(BootClock::now()),
      configuration_(configuration),
      logger_(logger),
      hooks_(std::move(hooks)),
      ring_(kRingCapacity),
      server_(
          {settings.peer_endpoint().ToString(), MakeTls(settings.peer_tls())},
          [this](PeerDigest digest, PeerServer::Reply reply) {
            ring_.TryPush(
                [this, digest = std::move(digest), reply = std::move(reply)] {
                  Receive(digest);
                  reply(Compose(digest.sender));
                });
          }),
      client_(MakeClientOptions(settings, seed)) {}

PeerThread::~PeerThread() {
  Stop();
}

absl::Status PeerThread::Start() {
  if (absl::Status status = server_.Start(); !status.ok()) {
    return status;
  }
  if (absl::Status status = client_.Start(); !status.ok()) {
    return status;
  }
  thread_ = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void PeerThread::Stop() {
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  client_.Stop();
  server_.Stop();
}

void PeerThread::Run() {
  while (std::optional<Task> task = ring_.Pop()) {
    (*task)();
  }
}

void PeerThread::Tick() {
  ring_.TryPush([this] { RunRound(); });
}

void PeerThread::ApplyInstances(const InstanceList& list) {
  ring_.TryPush([this, list] {
    std::vector<PeerInfo> peers;
    for (const ListedInstance& it : list.instances) {
      peers.push_back({it.id, it.address, it.failure_domain});
    }
    ApplyPeerList(options_, peers, &state_);
  });
}

void PeerThread::NoteLeaving(const std::string& target) {
  ring_.TryPush([this, target] {
    ::endiveyard::RecordLeavingTarget(options_, target, BootClock::now(),
                                      &state_);
  });
}

void PeerThread::NoteFingerprint(uint64_t fingerprint) {
  ring_.TryPush([this, fingerprint] {
    ::endiveyard::RecordFingerprint(options_, fingerprint, BootClock::now(),
                                    &state_);
  });
}

void PeerThread::SetDraining(const std::string& target, bool draining) {
  ring_.TryPush([this, target, draining] {
    if (draining) {
      drain_.draining_here.insert(target);
    } else {
      drain_.draining_here.erase(target);
    }
    UpdateDraining();
  });
}

void PeerThread::RunRound() {
  const TimePoint now = BootClock::now();
  for (const PeerInfo& it : StartExchangeRound(options_, now, &state_)) {
    client_.Exchange(
        it.instance, it.address, Compose(it.instance),
        [this, peer = it.instance](const absl::StatusOr<PeerDigest>& answer) {
          if (answer.ok()) {
            ring_.TryPush([this, digest = *answer] { Receive(digest); });
          } else {
            logger_->Log(kLogPeerUnreachable,
                         peer + ": " + std::string(answer.status().message()));
          }
        });
  }
  live_peers_ = LivePeers(options_, now, state_).size();
  const bool watcher = IsWatcher(options_, started_, now, state_);
  if (watcher != watcher_) {
    watcher_ = watcher;
    hooks_.watcher(watcher);
  }
  const PeerServerCounters counters = server_.counters();
  const uint64_t refused = counters.rejected_connections +
                           counters.rejected_senders +
                           counters.rejected_messages;
  if (refused != refused_before_) {
    logger_->Log(kLogPeerRejected,
                 std::to_string(refused - refused_before_) + " refused");
    refused_before_ = refused;
  }
  UpdateDraining();
}

PeerDigest PeerThread::Compose(const std::string& peer) {
  ConfigurationSource source;
  source.version = configuration_->version();
  source.wants_snapshot = configuration_->wants_peer_snapshot();
  source.edits_after = [this](uint64_t version, size_t limit) {
    std::vector<DigestEdit> edits;
    for (const ConfigurationEdit& it :
         configuration_->EditsSince(version, limit)) {
      edits.push_back(ToDigestEdit(it));
    }
    return edits;
  };
  source.take_snapshot = [this] { return configuration_->Snapshot().text; };
  PeerDigest digest =
      BuildDigest(options_, peer, source, BootClock::now(), &state_);
  AddDrainLists(drain_, &digest);
  return digest;
}

void PeerThread::Receive(const PeerDigest& digest) {
  const DigestEffect effect =
      ApplyDigest(options_, digest, BootClock::now(), &state_);
  if (!effect.accepted) {
    return;
  }
  configuration_->TryPost(ToPeerConfiguration(digest));
  for (const std::string& it : effect.new_leaving_targets) {
    hooks_.leaving(it);
  }
  for (const uint64_t it : effect.new_fingerprints) {
    hooks_.crash_fingerprint(it);
  }
  ApplyDrainLists(digest, &drain_);
  UpdateDraining();
}

void PeerThread::UpdateDraining() {
  const std::vector<std::string> live =
      LivePeers(options_, BootClock::now(), state_);
  const std::set<std::string> targets = DrainingTargets(drain_, live);
  for (const std::string& it : targets) {
    if (announced_draining_.count(it) == 0) {
      hooks_.draining(it, true);
    }
  }
  for (const std::string& it : announced_draining_) {
    if (targets.count(it) == 0) {
      hooks_.draining(it, false);
      drain_.idle_here.erase(it);
    }
  }
  announced_draining_ = targets;
  for (const std::string& it : FullyDrainedTargets(drain_, live)) {
    hooks_.drained(it);
  }
  if (targets.empty()) {
    return;
  }
  const std::vector<std::string> asked(targets.begin(), targets.end());
  // The serving thread answers after it has handled the drain, since both
  // reach it through the same ring.
  hooks_.in_flight(asked, [this, asked](const std::vector<int>& counts) {
    ring_.TryPush([this, asked, counts] {
      drain_.idle_here.clear();
      for (size_t i = 0; i < asked.size(); ++i) {
        if (counts[i] == 0 && announced_draining_.count(asked[i]) != 0) {
          drain_.idle_here.insert(asked[i]);
        }
      }
    });
  });
}

}  // namespace endiveyard
