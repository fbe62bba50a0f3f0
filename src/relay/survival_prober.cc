#include "relay/survival_prober.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "endiveyard/placement/cache_view.h"

namespace endiveyard {
namespace {

using boost::system::error_code;

// Limit on the body of the answer to a probe, which is not needed beyond what
// it says of the replica.
constexpr uint64_t kMaxProbeResponseBytes = 65536;
// Time after the last response that ended with its connection for which a
// connection to the replica is held ready.
constexpr Duration kReserveLifetime = std::chrono::seconds(10);

}  // namespace

// The checks of one replica, and the request that is in progress for them.
struct SurvivalProber::Probe {
  explicit Probe(boost::asio::io_context& io) : timer(io) {}

  uint64_t key = 0;
  Replica replica;
  std::string path;
  std::shared_ptr<TargetCall> call;
  TargetResponseHead head;
  std::string body;
  boost::asio::steady_timer timer;
};

SurvivalProber::SurvivalProber(boost::asio::io_context& io,
                               const WireProtocol& protocol,
                               const LinkMonitor& links,
                               TargetClient* client,
                               Placer* placer,
                               SurvivalChecks checks)
    : io_(io),
      protocol_(protocol),
      links_(links),
      client_(*client),
      placer_(*placer),
      checks_(std::move(checks)) {}

uint64_t SurvivalProber::Begin(const Replica& replica,
                               const std::string& path,
                               SurvivalProof proof,
                               Handler handler) {
  const uint64_t key = EngineKey(replica);
  const uint64_t check = checks_.Begin(key, proof, BootClock::now());
  handlers_[check] = std::move(handler);
  std::shared_ptr<Probe>& probe = probes_[key];
  if (!probe) {
    probe = std::make_shared<Probe>(io_);
    probe->key = key;
    probe->replica = replica;
  }
  probe->path = path;
  Advance(probe);
  return check;
}

void SurvivalProber::Drop(uint64_t check) {
  handlers_.erase(check);
  checks_.Drop(check);
}

void SurvivalProber::RecordResponse(const Replica& replica,
                                    TimePoint connected_at,
                                    TimePoint sent_at) {
  if (!checks_.empty()) {
    Deliver(checks_.RecordResponse(EngineKey(replica), connected_at, sent_at));
  }
}

void SurvivalProber::RecordUnframedHead(const Replica& replica) {
  if (stopped_) {
    return;
  }
  const uint64_t key = EngineKey(replica);
  Reserve& reserve = reserves_.try_emplace(key, io_).first->second;
  OpenIfClosed(replica, &reserve);
  reserve.expiry.expires_after(kReserveLifetime);
  reserve.expiry.async_wait([weak = weak_from_this(), key](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->reserves_.erase(key);
    }
  });
}

void SurvivalProber::RecordRequest(const Replica& replica) {
  if (reserves_.empty()) {
    return;
  }
  const auto it = reserves_.find(EngineKey(replica));
  if (it != reserves_.end()) {
    OpenIfClosed(replica, &it->second);
  }
}

void SurvivalProber::OpenIfClosed(const Replica& replica, Reserve* reserve) {
  if (!reserve->connection || !reserve->connection->IsOpen()) {
    reserve->connection = client_.Reserve(replica.ip, replica.port);
  }
}

void SurvivalProber::Stop() {
  stopped_ = true;
  handlers_.clear();
  reserves_.clear();
  for (const auto& [key, probe] : probes_) {
    probe->timer.cancel();
    if (probe->call) {
      probe->call->Cancel();
      probe->call.reset();  // refers to the probe
    }
  }
  probes_.clear();
}

void SurvivalProber::Advance(const std::shared_ptr<Probe>& probe) {
  const TimePoint now = BootClock::now();
  Deliver(checks_.Expire(probe->key, now));
  if (checks_.BeginProbe(probe->key, now,
                         placer_.availability().PauseOf(probe->key, now))) {
    Send(probe);
  }
  const auto next = checks_.NextStep(probe->key);
  if (!next) {
    probe->timer.cancel();
    if (!probe->call) {
      probes_.erase(probe->key);
    }
    return;
  }
  probe->timer.expires_after(std::max(Duration(0), *next - now));
  probe->timer.async_wait([weak = weak_from_this(), probe](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self && !self->stopped_) {
      self->Advance(probe);
    }
  });
}

void SurvivalProber::Send(const std::shared_ptr<Probe>& probe) {
  TargetRequest request;
  request.ip = probe->replica.ip;
  request.port = probe->replica.port;
  request.method = "GET";
  request.path = probe->path;
  request.headers = protocol_.EncodeProbe(probe->replica);
  request.timeout = SurvivalChecks::kTimeLimit;
  request.max_response_bytes = kMaxProbeResponseBytes;
  probe->head = {};
  probe->body.clear();
  TargetCallHandlers handlers;
  handlers.on_head = [probe](const TargetResponseHead& head) {
    probe->head = head;
    return true;
  };
  handlers.on_body = [probe](std::string_view bytes) {
    probe->body.append(bytes);
  };
  handlers.on_end = [weak = weak_from_this(), probe](
                        TransportStatus transport_status, std::string_view) {
    const auto self = weak.lock();
    if (!self || self->stopped_) {
      return;
    }
    SurvivalProbeOutcome outcome = SurvivalProbeOutcome::kFailed;
    if (probe->call && probe->call->WasRefused()) {
      outcome = SurvivalProbeOutcome::kRefused;
    } else if (transport_status == TransportStatus::kComplete) {
      outcome = self->protocol_.DecodeProbeAnswer(
          probe->replica, probe->head.status, probe->head.headers, probe->body);
    }
    if (outcome == SurvivalProbeOutcome::kAnswered ||
        outcome == SurvivalProbeOutcome::kSameId) {
      self->RecordStatements(*probe);
    }
    self->Finish(probe, outcome);
  };
  placer_.rate_limits().RecordSent(probe->key, BootClock::now());
  const auto reserve = reserves_.find(probe->key);
  if (reserve != reserves_.end() && reserve->second.connection &&
      reserve->second.connection->IsOpen()) {
    probe->call = client_.Start(std::move(request), std::move(handlers),
                                reserve->second.connection.get());
    // For responses that end while the probe is in progress.
    OpenIfClosed(probe->replica, &reserve->second);
  } else {
    probe->call = client_.Start(std::move(request), std::move(handlers));
  }
}

void SurvivalProber::RecordStatements(const Probe& probe) {
  const TimePoint now = BootClock::now();
  const ResponseMetadata metadata =
      protocol_.DecodeResponse(probe.head.status, probe.head.headers);
  if (metadata.leaving) {
    placer_.availability().RecordLeaving(probe.key, now);
  }
  if (metadata.pause) {
    placer_.availability().RecordPause(probe.key, *metadata.pause, now);
  }
  if (metadata.requests_per_second) {
    placer_.rate_limits().RecordResponse(probe.key,
                                         metadata.requests_per_second, now);
  }
}

void SurvivalProber::Finish(const std::shared_ptr<Probe>& probe,
                            SurvivalProbeOutcome outcome) {
  probe->call.reset();
  const bool may_be_reached = links_.state() == LinkMonitor::State::kConnected;
  Deliver(checks_.RecordProbeEnd(probe->key, outcome, probe->head.connected_at,
                                 may_be_reached, BootClock::now()));
  Advance(probe);
}

void SurvivalProber::Deliver(const std::vector<SurvivalAnswer>& answers) {
  for (const SurvivalAnswer& it : answers) {
    const auto handler = handlers_.find(it.check);
    if (handler == handlers_.end()) {
      continue;
    }
    // The handlers of other exchanges must not run within that of the one
    // whose response is being read.
    boost::asio::post(
        io_, [weak = weak_from_this(), check = it.check, verdict = it.verdict] {
          const auto self = weak.lock();
          if (!self) {
            return;
          }
          const auto found = self->handlers_.find(check);
          if (found != self->handlers_.end()) {
            const Handler run = std::move(found->second);
            self->handlers_.erase(found);
            run(verdict);
          }
        });
  }
}

}  // namespace endiveyard
