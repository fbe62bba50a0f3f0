#include "streams.h"

#include <cstdlib>

namespace review {
namespace {

constexpr int kReplicas = 5;
// Share 0.6 of the replicas, 0.03 of their answers.
constexpr int kReplicasInTrouble = 3;
constexpr int kTroubleInterval = 34;
constexpr int kClients = 12;
constexpr int64_t kTrafficMs = 15000;
constexpr int64_t kTroubleFromMs = 5000;
constexpr int64_t kTroubleUntilMs = 10000;
constexpr int kEventIntervalMs = 10;
constexpr int kTimeoutMs = 10000;
// Longer bodies are not written to the record.
constexpr size_t kMaxRecordedBytes = 4000;

struct State {
  Record* record = nullptr;
  int64_t start_ms = 0;
  bool trouble = true;
  std::atomic<bool> stop{false};
  std::atomic<int> streams_in_trouble{0};
  std::atomic<int> sent{0};
  std::atomic<int> spoiled{0};
  std::atomic<int> complete{0};
  std::atomic<int> broken_off{0};
  std::atomic<int> wrong{0};
};

void RunStream(State& state,
               const StreamCase& stream_case,
               bool may_spoil,
               const Message& request,
               Connection& connection) {
  const std::string id = request.Header("Endiveyard-Request-Id");
  const int begun_after = std::atoi(request.Header("Last-Event-Id").c_str());
  const int64_t at = NowMs() - state.start_ms;
  const bool spoil = may_spoil && state.trouble && begun_after == 0 &&
                     at >= kTroubleFromMs && at < kTroubleUntilMs &&
                     ++state.streams_in_trouble % kTroubleInterval == 0;
  if (!connection.Send(SuccessHead(request) +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n")) {
    return;
  }
  for (int n = begun_after + 1; n <= kEventsOfStream; ++n) {
    SleepMs(kEventIntervalMs);
    if (spoil && n == kSpoiledEvent) {
      state.record->Line("replica: spoils event " + std::to_string(n) + " of " +
                         id);
      ++state.spoiled;
      if (!stream_case.send_spoiled_event(connection)) {
        state.record->Line("replica: the caller of " + id + " has closed");
        return;
      }
    } else if (!connection.Send(EncodeChunk(EncodeEvent(n, n)))) {
      return;
    }
  }
  connection.Send("0\r\n\r\n");
}

void RunClient(State& state,
               const StreamCase& stream_case,
               const Front& front,
               int client) {
  std::unique_ptr<Connection> connection;
  for (int n = 0; !state.stop; ++n) {
    if (connection == nullptr) {
      connection = Connection::Open(front.ip(), front.port());
      if (connection == nullptr) {
        SleepMs(100);
        continue;
      }
    }
    const std::string id = std::to_string(client) + "-" + std::to_string(n);
    connection->Send(
        Request("POST", "/chat/x", id, kTimeoutMs,
                "Endiveyard-Model: m\r\nEndiveyard-Token-Count: 200,200\r\n"
                "Endiveyard-Prompt-Prefix: 5c1e07a2:100," +
                    std::to_string(1000 + client * 1000 + n) + ":100\r\n",
                "prompt"));
    Message response;
    const bool complete = connection->ReadMessage(&response, kTimeoutMs + 2000);
    const bool wrong = stream_case.is_wrong(response, complete);
    std::string line = "client: " + id + " -> " + response.start_line;
    line += complete ? ", complete, " : ", broken off, ";
    line += std::to_string(response.body.size()) + " bytes";
    if (wrong && response.body.size() <= kMaxRecordedBytes) {
      line += ", pieces";
      for (const int it : PiecesOf(response.body)) {
        line += " " + std::to_string(it);
      }
    }
    line += wrong ? ", wrong" : "";
    state.record->Line(line);
    ++state.sent;
    state.complete += complete ? 1 : 0;
    state.broken_off += complete ? 0 : 1;
    state.wrong += wrong ? 1 : 0;
    if (!complete || response.Header("Connection") == "close") {
      connection.reset();
    }
  }
}

}  // namespace

std::string EncodeChunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string EncodeEvent(int id, int piece) {
  return "id: " + std::to_string(id) + "\ndata: piece " +
         std::to_string(piece) + "\n\n";
}

std::vector<int> PiecesOf(const std::string& body) {
  const std::string name = "data: piece ";
  std::vector<int> pieces;
  for (size_t at = body.find(name); at != std::string::npos;
       at = body.find(name, at + 1)) {
    pieces.push_back(std::atoi(body.c_str() + at + name.size()));
  }
  return pieces;
}

void RunStreamCase(const std::string& folder, const StreamCase& stream_case) {
  Case review_case(folder);
  Record* record = review_case.record();
  State state;
  state.record = record;
  state.trouble = review_case.trouble();
  Store store(review_case.Ip(1), record);
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < kReplicas; ++n) {
    const bool may_spoil = n < kReplicasInTrouble;
    replicas.push_back(std::make_unique<Replica>(
        review_case.Ip(10 + n), "i-" + std::to_string(n), record,
        [&state, &stream_case, may_spoil](const Replica& /*replica*/,
                                          const Message& request,
                                          Connection& connection) {
          RunStream(state, stream_case, may_spoil, request, connection);
        }));
    store.Put("servers", replicas.back()->id(),
              replicas.back()->Spec("chat", 64, true));
  }
  Route route;
  route.path_prefix = "/chat/";
  route.kind = "streaming";
  route.service = "chat";
  route.timeout_ms = kTimeoutMs;
  route.target_latency_ms = 800;
  route.max_attempts = 2;
  route.resumable = true;
  store.Put("config", "main", ConfigurationSpec(7, {route}, {}, {"chat"}));

  Front::Options options;
  options.name = "front-0";
  options.ip = review_case.Ip(100);
  options.zone = "zone-a";
  options.store_ip = review_case.Ip(1);
  options.store_port = store.port();
  options.seed_ips = {review_case.Ip(100)};
  options.folder = review_case.temporary_folder();
  auto front = std::make_unique<Front>(options, record);
  front->Start();
  if (!front->WaitUntilReady(10000)) {
    record->Line("the process is not ready after 10 s");
    review_case.End(kCannotRun);
  }
  state.start_ms = NowMs();
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&state, &stream_case, &front, n] {
      RunClient(state, stream_case, *front, n);
    });
  }
  SleepMs(kTrafficMs);
  state.stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  front.reset();
  record->Line("sent " + std::to_string(state.sent) + " requests, " +
               std::to_string(state.spoiled) + " streams were spoiled; " +
               std::to_string(state.complete) + " ended as complete, " +
               std::to_string(state.broken_off) + " broken off; " +
               std::to_string(state.wrong) + " clients got a wrong stream");
  const bool broken = state.wrong > 0;
  record->Line(stream_case.rule + (broken ? " is broken" : " held"));
  review_case.End(broken ? kBroken : kHeld);
}

}  // namespace review
