#include "endiveyard/peer/peer_server.h"

#include <capnp/rpc-twoparty.h>
#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <atomic>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "peer/digest_messages.h"
#include "peer/event_loop_thread.h"
#include "peer/peer_tls.h"

namespace endiveyard {
namespace {

// Closes connections that do not complete the TLS handshake in this time.
constexpr int kTlsHandshakeTimeoutSeconds = 5;

// Connections above this limit are closed at once. It leaves room for 370
// instances, and for as many that reconnect before the loss of their old
// connection is noticed.
constexpr size_t kMaxConnections = 1024;

struct AtomicCounters {
  std::atomic<uint64_t> exchanges{0};
  std::atomic<uint64_t> rejected_connections{0};
  std::atomic<uint64_t> rejected_senders{0};
  std::atomic<uint64_t> rejected_messages{0};
};

// Message stream that counts the messages that cannot be read.
class CountingMessageStream final : public capnp::MessageStream {
 public:
  CountingMessageStream(kj::AsyncIoStream& stream, AtomicCounters* counters)
      : stream_(stream), counters_(*counters) {}

  // clang-format off
  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space,
      capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch) override {
    return stream_.tryReadMessage(fd_space, options, scratch)
        .catch_([this](kj::Exception&& e)
                    -> kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> {
          if (e.getType() != kj::Exception::Type::DISCONNECTED) {
            ++counters_.rejected_messages;
          }
          return kj::mv(e);
        });
  }
  // clang-format on
  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override {
    return stream_.writeMessage(fds, segments);
  }
  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
          messages) override {
    return stream_.writeMessages(messages);
  }
  kj::Maybe<int> getSendBufferSize() override {
    return stream_.getSendBufferSize();
  }
  kj::Promise<void> end() override { return stream_.end(); }

 private:
  capnp::AsyncIoMessageStream stream_;
  AtomicCounters& counters_;
};

// A connection without an exchange for this long is closed, since its peer may
// have vanished without closing it. Neighbours exchange every few seconds.
constexpr int kIdleTimeoutSeconds = 60;

// Delay after a failure to accept, such as a lack of file descriptors.
constexpr int kAcceptRetryDelayMillis = 100;

// RPC service of one connection.
class PeerService final : public rpc::Peer::Server {
 public:
  // `peer_name` is the common name of the peer's certificate; empty without
  // TLS.
  PeerService(std::string peer_name,
              const PeerServer::Handler& handler,
              AtomicCounters* counters,
              uint64_t* call_count)
      : peer_name_(std::move(peer_name)),
        handler_(handler),
        counters_(*counters),
        call_count_(*call_count) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    ++call_count_;
    PeerDigest digest;
    const auto exception = kj::runCatchingExceptions(
        [&]() { digest = ReadDigest(context.getParams().getDigest()); });
    const std::string invalid_reason = exception != nullptr
                                           ? "the digest is malformed"
                                           : ValidateDigest(digest);
    if (!invalid_reason.empty()) {
      ++counters_.rejected_messages;
      return KJ_EXCEPTION(FAILED, "digest rejected", invalid_reason.c_str());
    }
    if (!peer_name_.empty() && digest.sender != peer_name_) {
      ++counters_.rejected_senders;
      return KJ_EXCEPTION(FAILED,
                          "the digest's sender is not the common name of "
                          "the connection's certificate");
    }
    ++counters_.exchanges;
    auto answer = kj::newPromiseAndCrossThreadFulfiller<PeerDigest>();
    auto fulfiller =
        std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<PeerDigest>>>(
            kj::mv(answer.fulfiller));
    handler_(std::move(digest), [fulfiller](const PeerDigest& reply) {
      (*fulfiller)->fulfill(PeerDigest(reply));
    });
    return answer.promise.then([context](PeerDigest&& reply) mutable {
      WriteDigest(reply, context.getResults().initDigest());
    });
  }

 private:
  const std::string peer_name_;
  const PeerServer::Handler& handler_;
  AtomicCounters& counters_;
  uint64_t& call_count_;
};

// One accepted connection.
struct Connection {
  Connection(kj::Own<kj::AsyncIoStream> accepted,
             std::string peer_name,
             const PeerServer::Handler& handler,
             AtomicCounters* counters)
      : stream(kj::mv(accepted)),
        messages(*stream, counters),
        network(messages,
                capnp::rpc::twoparty::Side::SERVER,
                PeerReaderOptions()),
        rpc(capnp::makeRpcServer(network,
                                 kj::heap<PeerService>(std::move(peer_name),
                                                       handler,
                                                       counters,
                                                       &call_count))) {}

  uint64_t call_count = 0;
  kj::Own<kj::AsyncIoStream> stream;
  CountingMessageStream messages;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

// The part of the server that lives on its event loop.
class ServerLoop final : private kj::TaskSet::ErrorHandler {
 public:
  ServerLoop(kj::AsyncIoContext& io,
             const std::string& address,
             const std::optional<PeerTlsPem>& pem,
             const PeerServer::Handler& handler,
             AtomicCounters* counters)
      : handler_(handler),
        counters_(*counters),
        timer_(io.provider->getTimer()),
        tasks_(*this) {
    if (pem) {
      tls_context_ = MakeTlsContext(*pem, io.provider->getTimer(),
                                    kTlsHandshakeTimeoutSeconds * kj::SECONDS);
    }
    connection_receiver_ = io.provider->getNetwork()
                               .parseAddress(address.c_str())
                               .wait(io.waitScope)
                               ->listen();
    tasks_.add(AcceptLoop());
  }

  uint16_t port() {
    return static_cast<uint16_t>(connection_receiver_->getPort());
  }

 private:
  kj::Promise<void> AcceptLoop() {
    return connection_receiver_->acceptAuthenticated().then(
        [this](kj::AuthenticatedStream&& accepted) {
          if (connection_count_ < kMaxConnections) {
            ++connection_count_;
            tasks_.add(
                AuthenticateAndServe(kj::mv(accepted))
                    .catch_([](kj::Exception&&) {})
                    .attach(kj::defer([this]() { --connection_count_; })));
          } else {
            ++counters_.rejected_connections;
          }
          return AcceptLoop();
        },
        [this](kj::Exception&&) {
          return timer_.afterDelay(kAcceptRetryDelayMillis * kj::MILLISECONDS)
              .then([this]() { return AcceptLoop(); });
        });
  }

  kj::Promise<void> AuthenticateAndServe(kj::AuthenticatedStream&& accepted) {
    if (tls_context_.get() == nullptr) {
      return ServeRpc(kj::mv(accepted.stream), "");
    }
    return tls_context_->wrapServer(kj::mv(accepted))
        .then(
            [this](kj::AuthenticatedStream&& wrapped) -> kj::Promise<void> {
              std::string peer_name = PeerCommonName(*wrapped.peerIdentity);
              if (peer_name.empty()) {
                ++counters_.rejected_connections;
                return kj::READY_NOW;
              }
              return ServeRpc(kj::mv(wrapped.stream), std::move(peer_name));
            },
            [this](kj::Exception&&) -> kj::Promise<void> {
              ++counters_.rejected_connections;
              return kj::READY_NOW;
            });
  }

  kj::Promise<void> ServeRpc(kj::Own<kj::AsyncIoStream> stream,
                             std::string peer_name) {
    auto connection = kj::heap<Connection>(kj::mv(stream), std::move(peer_name),
                                           handler_, &counters_);
    auto closed = connection->network.onDisconnect().exclusiveJoin(
        WaitUntilIdle(connection.get(), 0));
    return closed.attach(kj::mv(connection));
  }

  // Resolves once an idle timeout passes without a call. `last_count` is the
  // number of calls at its start.
  kj::Promise<void> WaitUntilIdle(Connection* connection, uint64_t last_count) {
    return timer_.afterDelay(kIdleTimeoutSeconds * kj::SECONDS)
        .then([this, connection, last_count]() -> kj::Promise<void> {
          if (connection->call_count == last_count) {
            return kj::READY_NOW;
          }
          return WaitUntilIdle(connection, connection->call_count);
        });
  }

  // Not called, as every task handles its own failures.
  void taskFailed(kj::Exception&& /*exception*/) override {}

  const PeerServer::Handler& handler_;
  AtomicCounters& counters_;
  kj::Timer& timer_;
  size_t connection_count_ = 0;
  kj::Own<kj::TlsContext> tls_context_;
  kj::Own<kj::ConnectionReceiver> connection_receiver_;
  kj::TaskSet tasks_;
};

}  // namespace

class PeerServer::Impl {
 public:
  Impl(PeerServerOptions options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  absl::Status Start() {
    std::optional<PeerTlsPem> pem;
    if (!options_.tls.empty()) {
      absl::Status status = ReadTlsFiles(options_.tls, &pem.emplace());
      if (!status.ok()) {
        return status;
      }
    } else if (!IsLoopbackAddress(options_.address)) {
      return absl::InvalidArgumentError(
          absl::StrCat("peer server address ", options_.address,
                       " is not a loopback address and needs TLS"));
    }
    return thread_.Start(
        [this, pem](kj::AsyncIoContext& io) {
          server_loop_ = std::make_unique<ServerLoop>(io, options_.address, pem,
                                                      handler_, &counters_);
          port_ = server_loop_->port();
        },
        [this]() { server_loop_.reset(); });
  }

  void Stop() { thread_.Stop(); }

  uint16_t port() const { return port_; }

  PeerServerCounters counters() const {
    PeerServerCounters result;
    result.exchanges = counters_.exchanges;
    result.rejected_connections = counters_.rejected_connections;
    result.rejected_senders = counters_.rejected_senders;
    result.rejected_messages = counters_.rejected_messages;
    return result;
  }

 private:
  const PeerServerOptions options_;
  const Handler handler_;
  AtomicCounters counters_;
  std::atomic<uint16_t> port_{0};
  std::unique_ptr<ServerLoop> server_loop_;
  EventLoopThread thread_;
};

PeerServer::PeerServer(PeerServerOptions options, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handler))) {}
PeerServer::~PeerServer() {
  Stop();
}
absl::Status PeerServer::Start() {
  return impl_->Start();
}
void PeerServer::Stop() {
  impl_->Stop();
}
uint16_t PeerServer::port() const {
  return impl_->port();
}
PeerServerCounters PeerServer::counters() const {
  return impl_->counters();
}

}  // namespace endiveyard
