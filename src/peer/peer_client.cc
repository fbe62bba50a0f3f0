#include "endiveyard/peer/peer_client.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/base/digest.h"
#include "peer/digest_messages.h"
#include "peer/event_loop_thread.h"
#include "peer/peer_tls.h"

namespace endiveyard {
namespace {

// Entries of replaced instances remain, so the limit is well above the design
// size of 370 instances.
constexpr size_t kMaxPeers = 1024;

// An open connection to one peer.
struct Connection {
  explicit Connection(kj::Own<kj::AsyncIoStream> connected)
      : stream(kj::mv(connected)),
        network(*stream,
                capnp::rpc::twoparty::Side::CLIENT,
                PeerReaderOptions()),
        rpc(capnp::makeRpcClient(network)),
        peer(Bootstrap()) {}

  rpc::Peer::Client Bootstrap() {
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(vat).castAs<rpc::Peer>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  rpc::Peer::Client peer;
};

struct Peer {
  std::string address;
  kj::Own<Connection> connection;
  uint64_t connection_id = 0;
  bool has_open_exchange = false;
  uint32_t consecutive_failures = 0;
  uint64_t jitter_draws = 0;
  TimePoint retry_at;
};

// The part of the client that lives on its event loop.
class ClientLoop final : public kj::TaskSet::ErrorHandler {
 public:
  ClientLoop(kj::AsyncIoContext& io,
             const PeerClientOptions& options,
             const std::optional<PeerTlsPem>& pem)
      : options_(options),
        network_(io.provider->getNetwork()),
        timer_(io.provider->getTimer()),
        tasks_(std::make_unique<kj::TaskSet>(*this)) {
    if (pem) {
      tls_context_ = MakeTlsContext(*pem, timer_, Timeout());
    }
  }

  ~ClientLoop() {
    tasks_.reset();
    for (auto& [exchange_id, callback] : callbacks_) {
      callback(absl::CancelledError(
          "the peer client was stopped before the exchange ended"));
    }
  }

  void Exchange(const std::string& name,
                const std::string& address,
                const PeerDigest& digest,
                PeerClient::Callback callback) {
    EvictIdlePeers();
    Peer& peer = peers_[name];
    if (peer.address != address) {
      if (peer.has_open_exchange) {
        callback(
            absl::UnavailableError("another exchange with the peer is open"));
        return;
      }
      peer = Peer();
      peer.address = address;
    }
    if (peer.has_open_exchange) {
      callback(
          absl::UnavailableError("another exchange with the peer is open"));
      return;
    }
    if (BootClock::now() < peer.retry_at) {
      callback(absl::UnavailableError(
          "the retry delay after a failure has not passed"));
      return;
    }
    peer.has_open_exchange = true;
    const uint64_t exchange_id = ++last_exchange_id_;
    callbacks_[exchange_id] = std::move(callback);
    tasks_->add(
        timer_
            .timeoutAfter(Timeout(), Connect(name, &peer).then([=, &peer]() {
              return SendDigest(name, &peer, digest);
            }))
            .then(
                [this, exchange_id, &peer](PeerDigest&& answer) {
                  peer.has_open_exchange = false;
                  peer.consecutive_failures = 0;
                  Complete(exchange_id, std::move(answer));
                },
                [this, exchange_id, &peer](kj::Exception&& e) {
                  RecordFailure(&peer);
                  const std::string reason = e.getDescription().cStr();
                  Complete(exchange_id,
                           e.getType() == kj::Exception::Type::OVERLOADED
                               ? absl::DeadlineExceededError(reason)
                               : absl::UnavailableError(reason));
                }));
  }

 private:
  kj::Duration Timeout() const {
    return options_.exchange_timeout.count() * kj::MICROSECONDS;
  }

  kj::Promise<void> Connect(const std::string& name, Peer* peer) {
    if (peer->connection.get() != nullptr) {
      return kj::READY_NOW;
    }
    if (tls_context_.get() == nullptr && !IsLoopbackAddress(peer->address)) {
      return KJ_EXCEPTION(
          FAILED,
          "TLS is not configured, and the peer's address is not a loopback "
          "address");
    }
    return network_.parseAddress(peer->address.c_str())
        .then([](kj::Own<kj::NetworkAddress>&& address) {
          auto connected = address->connectAuthenticated();
          return connected.attach(kj::mv(address));
        })
        .then([this, name](kj::AuthenticatedStream&& connected)
                  -> kj::Promise<kj::AuthenticatedStream> {
          if (tls_context_.get() == nullptr) {
            return kj::mv(connected);
          }
          return tls_context_->wrapClient(kj::mv(connected), name.c_str());
        })
        .then([this, name, peer](kj::AuthenticatedStream&& connected) {
          if (tls_context_.get() != nullptr &&
              PeerCommonName(*connected.peerIdentity) != name) {
            kj::throwFatalException(
                KJ_EXCEPTION(FAILED,
                             "the common name in the peer's certificate is not "
                             "the peer's name"));
          }
          peer->connection = kj::heap<Connection>(kj::mv(connected.stream));
          const uint64_t connection_id = peer->connection_id =
              ++last_connection_id_;
          // The peer closes idle connections. Closing this side as well lets
          // the next exchange reconnect instead of fail.
          tasks_->add(peer->connection->network.onDisconnect().then(
              [this, name, connection_id]() {
                CloseIdleConnection(name, connection_id);
              }));
        });
  }

  static kj::Promise<PeerDigest> SendDigest(const std::string& name,
                                            Peer* peer,
                                            const PeerDigest& digest) {
    auto request = peer->connection->peer.exchangeRequest();
    WriteDigest(digest, request.initDigest());
    return request.send().then(
        [name](capnp::Response<rpc::Peer::ExchangeResults>&& response) {
          PeerDigest answer = ReadDigest(response.getDigest());
          const std::string invalid_reason = ValidateDigest(answer);
          if (!invalid_reason.empty() || answer.sender != name) {
            kj::throwFatalException(KJ_EXCEPTION(
                FAILED, "the answer is invalid or from another sender",
                invalid_reason.c_str()));
          }
          return answer;
        });
  }

  // Closes the connection and starts the retry delay.
  void RecordFailure(Peer* peer) {
    peer->has_open_exchange = false;
    peer->connection = nullptr;
    const uint32_t shift = std::min<uint32_t>(peer->consecutive_failures++, 10);
    const Duration max_delay =
        std::min(options_.max_backoff, options_.initial_backoff * (1 << shift));
    const uint64_t random = Digest64(
        peer->address, CombineDigests(options_.seed, ++peer->jitter_draws));
    peer->retry_at =
        BootClock::now() + Duration(static_cast<int64_t>(
                               random % static_cast<uint64_t>(std::max<int64_t>(
                                            max_delay.count(), 1))));
  }

  // Closes a peer's connection if it is still `connection_id` and no exchange
  // uses it.
  void CloseIdleConnection(const std::string& name, uint64_t connection_id) {
    const auto it = peers_.find(name);
    if (it != peers_.end() && it->second.connection_id == connection_id &&
        !it->second.has_open_exchange) {
      it->second.connection = nullptr;
    }
  }

  // Removes all peers without an open exchange once there are kMaxPeers.
  void EvictIdlePeers() {
    if (peers_.size() < kMaxPeers) {
      return;
    }
    for (auto it = peers_.begin(); it != peers_.end();) {
      it = it->second.has_open_exchange ? std::next(it) : peers_.erase(it);
    }
  }

  void Complete(uint64_t exchange_id, absl::StatusOr<PeerDigest> result) {
    const auto it = callbacks_.find(exchange_id);
    PeerClient::Callback callback = std::move(it->second);
    callbacks_.erase(it);
    callback(std::move(result));
  }

  void taskFailed(kj::Exception&& /*exception*/) override {}

  const PeerClientOptions& options_;
  kj::Network& network_;
  kj::Timer& timer_;
  kj::Own<kj::TlsContext> tls_context_;
  std::map<std::string, Peer> peers_;
  std::map<uint64_t, PeerClient::Callback> callbacks_;
  uint64_t last_exchange_id_ = 0;
  uint64_t last_connection_id_ = 0;
  std::unique_ptr<kj::TaskSet> tasks_;
};

}  // namespace

class PeerClient::Impl {
 public:
  explicit Impl(PeerClientOptions options) : options_(std::move(options)) {}

  absl::Status Start() {
    std::optional<PeerTlsPem> pem;
    if (!options_.tls.empty()) {
      absl::Status status = ReadTlsFiles(options_.tls, &pem.emplace());
      if (!status.ok()) {
        return status;
      }
    }
    return thread_.Start(
        [this, pem](kj::AsyncIoContext& io) {
          client_loop_ = std::make_unique<ClientLoop>(io, options_, pem);
        },
        [this]() { client_loop_.reset(); });
  }

  void Exchange(const std::string& name,
                const std::string& address,
                const PeerDigest& digest,
                Callback callback) {
    thread_.RunAndWait([&]() {
      client_loop_->Exchange(name, address, digest, std::move(callback));
    });
  }

  void Stop() { thread_.Stop(); }

 private:
  const PeerClientOptions options_;
  std::unique_ptr<ClientLoop> client_loop_;
  EventLoopThread thread_;
};

PeerClient::PeerClient(PeerClientOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
PeerClient::~PeerClient() {
  Stop();
}
absl::Status PeerClient::Start() {
  return impl_->Start();
}
void PeerClient::Exchange(const std::string& name,
                          const std::string& address,
                          const PeerDigest& digest,
                          Callback callback) {
  impl_->Exchange(name, address, digest, std::move(callback));
}
void PeerClient::Stop() {
  impl_->Stop();
}

}  // namespace endiveyard
