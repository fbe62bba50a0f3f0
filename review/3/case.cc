// Replicas hand out a few wrong bytes: in one of 34 streams, the id of one
// event is damaged. The route is resumable and other replicas are sound.
#include <map>
#include <string>

#include "../support/support.h"

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
constexpr int kEvents = 20;
constexpr int kDamagedEvent = 6;
constexpr int kDamagedId = 9;
constexpr int kEventIntervalMs = 10;

struct State {
  Record* record = nullptr;
  int64_t start_ms = 0;
  bool trouble = true;
  std::atomic<bool> stop{false};
  std::atomic<int> streams_in_trouble{0};
  std::mutex mutex;
  int sent = 0;
  int damaged = 0;
  int complete = 0;
  int broken_off = 0;
  int out_of_order = 0;  // complete, with pieces missing or repeated
};

std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

void RunStream(State& state,
               bool may_damage,
               const Message& request,
               Connection& connection) {
  const std::string id = request.Header("Endiveyard-Request-Id");
  const int begun_after = std::atoi(request.Header("Last-Event-Id").c_str());
  const int64_t at = NowMs() - state.start_ms;
  const bool damage = may_damage && state.trouble && begun_after == 0 &&
                      at >= kTroubleFromMs && at < kTroubleUntilMs &&
                      ++state.streams_in_trouble % kTroubleInterval == 0;
  if (!connection.Send(SuccessHead(request) +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n")) {
    return;
  }
  for (int n = begun_after + 1; n <= kEvents; ++n) {
    SleepMs(kEventIntervalMs);
    const bool damage_event = damage && n == kDamagedEvent;
    if (damage_event) {
      state.record->Line("replica: damages the id of event " +
                         std::to_string(n) + " of " + id + ", sends " +
                         std::to_string(kDamagedId));
      const std::lock_guard<std::mutex> lock(state.mutex);
      ++state.damaged;
    }
    if (!connection.Send(
            Chunk("id: " + std::to_string(damage_event ? kDamagedId : n) +
                  "\ndata: piece " + std::to_string(n) + "\n\n"))) {
      return;
    }
  }
  connection.Send("0\r\n\r\n");
}

// Returns the numbers of the pieces in the body of a stream.
std::vector<int> PiecesOf(const std::string& body) {
  const std::string name = "data: piece ";
  std::vector<int> pieces;
  for (size_t at = body.find(name); at != std::string::npos;
       at = body.find(name, at + 1)) {
    pieces.push_back(std::atoi(body.c_str() + at + name.size()));
  }
  return pieces;
}

void RunClient(State& state, const Front& front, int client) {
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
        Request("POST", "/chat/x", id, 10000,
                "Endiveyard-Model: m\r\nEndiveyard-Token-Count: 200,200\r\n"
                "Endiveyard-Prompt-Prefix: 5c1e07a2:100," +
                    std::to_string(1000 + client * 1000 + n) + ":100\r\n",
                "prompt"));
    Message response;
    const bool complete = connection->ReadMessage(&response, 10000);
    const std::vector<int> pieces = PiecesOf(response.body);
    std::string text;
    bool in_order = pieces.size() == static_cast<size_t>(kEvents);
    for (size_t k = 0; k < pieces.size(); ++k) {
      in_order = in_order && pieces[k] == static_cast<int>(k) + 1;
      text += " " + std::to_string(pieces[k]);
    }
    state.record->Line("client: " + id + " -> " + response.start_line +
                       (complete ? ", complete" : ", broken off") +
                       (in_order ? "" : ", pieces" + text));
    {
      const std::lock_guard<std::mutex> lock(state.mutex);
      ++state.sent;
      const bool success = complete && response.Status() == 200;
      state.complete += success ? 1 : 0;
      state.broken_off += complete ? 0 : 1;
      state.out_of_order += success && !in_order ? 1 : 0;
    }
    if (!complete || response.Header("Connection") == "close") {
      connection.reset();
    }
  }
}

void RunCase(const std::string& folder) {
  Case review_case(folder);
  Record* record = review_case.record();
  State state;
  state.record = record;
  state.trouble = review_case.trouble();
  Store store(review_case.Ip(1), record);
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < kReplicas; ++n) {
    const bool may_damage = n < kReplicasInTrouble;
    replicas.push_back(std::make_unique<Replica>(
        review_case.Ip(10 + n), "i-" + std::to_string(n), record,
        [&state, may_damage](const Replica& /*replica*/, const Message& request,
                             Connection& connection) {
          RunStream(state, may_damage, request, connection);
        }));
    store.Put("servers", replicas.back()->id(),
              replicas.back()->Spec("chat", 64, true));
  }
  Route route;
  route.path_prefix = "/chat/";
  route.kind = "streaming";
  route.service = "chat";
  route.timeout_ms = 10000;
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
    clients.emplace_back([&state, &front, n] { RunClient(state, *front, n); });
  }
  SleepMs(kTrafficMs);
  state.stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  front.reset();
  record->Line("sent " + std::to_string(state.sent) + " requests, " +
               std::to_string(state.damaged) + " streams damaged; " +
               std::to_string(state.complete) + " ended as complete, " +
               std::to_string(state.broken_off) + " broken off; " +
               std::to_string(state.out_of_order) +
               " ended as complete with pieces missing or repeated");
  const bool broken = state.out_of_order > 0;
  record->Line(broken ? "ORDER is broken" : "ORDER held");
  review_case.End(broken ? kBroken : kHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc == 2) {
    review::RunCase(argv[1]);
  }
  return review::kCannotRun;
}
