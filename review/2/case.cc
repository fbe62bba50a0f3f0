// A replica in trouble answers with 500 and a body without end. Two processes
// of the system serve orders from kept connections meanwhile.
#include <cstdlib>
#include <set>
#include <string>

#include "../support/support.h"

namespace review {
namespace {

constexpr int kReplicas = 3;
constexpr int kConnectionsPerFront = 8;
constexpr int64_t kTrafficMs = 16000;
constexpr int64_t kTroubleFromMs = 5000;
constexpr int64_t kTroubleUntilMs = 10000;
// One in so many answers of the replica in trouble has no end: share 0.03.
constexpr int kTroubleInterval = 34;
constexpr int kWorkMs = 80;
constexpr int kTimeoutMs = 1200;
// The rule LOST bears this many requests at a machine.
constexpr int kAllowedLosses = 3;

struct State {
  Record* record = nullptr;
  int64_t start_ms = 0;
  bool trouble = true;
  std::atomic<bool> stop{false};
  std::atomic<int> orders_at_troubled{0};
  std::mutex mutex;
  std::set<std::string> run_by_sound;  // ids
  int sent = 0;
  int answered = 0;
  int failed = 0;  // answered with a failure
  int without_answer = 0;
  // By machine: requests from a kept connection that a sound replica ran and
  // whose connection was closed without an answer.
  int lost[2] = {0, 0};
};

// Sends bytes until the caller closes.
void AnswerWithoutEnd(const Message& request, Connection& connection) {
  connection.Send(
      "HTTP/1.1 500 Internal Server Error\r\nEndiveyard-Request-Id: " +
      request.Header("Endiveyard-Request-Id") + "\r\n\r\n");
  const std::string filler(16384, 'x');
  while (connection.Send(filler)) {
  }
}

void RunOrder(State& state,
              const Replica& replica,
              const Message& request,
              Connection& connection) {
  const std::string id = request.Header("Endiveyard-Request-Id");
  const int64_t at = NowMs() - state.start_ms;
  const bool in_trouble = replica.id() == "i-0" && state.trouble &&
                          at >= kTroubleFromMs && at < kTroubleUntilMs;
  if (in_trouble && ++state.orders_at_troubled % kTroubleInterval == 0) {
    state.record->Line("replica " + replica.id() +
                       ": answers 500 with a body without end, id " + id);
    AnswerWithoutEnd(request, connection);
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(state.mutex);
    if (replica.id() != "i-0") {
      state.run_by_sound.insert(id);
    }
  }
  SleepMs(kWorkMs);
  connection.Send(Success(request, "done " + id));
}

// A client that places one order after the other.
void PlaceOrders(State& state, Front& front, int machine, int client) {
  std::unique_ptr<Connection> connection;
  bool kept = false;
  for (int n = 0; !state.stop; ++n) {
    if (connection == nullptr) {
      connection = Connection::Open(front.ip(), front.port());
      kept = false;
      if (connection == nullptr) {
        SleepMs(100);
        continue;
      }
    }
    const std::string id = std::to_string(machine) + "-" +
                           std::to_string(client) + "-" + std::to_string(n);
    Message response;
    connection->Send(Request("POST", "/order/place", id, 2500, "", "order"));
    const bool complete = connection->ReadMessage(&response, 3000);
    const bool closed = connection->closed_by_peer();
    std::string line = "client: " + id;
    line += kept ? " (kept connection) -> " : " -> ";
    line += complete ? response.start_line : "no answer";
    line += closed ? ", connection closed" : "";
    state.record->Line(line);
    {
      const std::lock_guard<std::mutex> lock(state.mutex);
      ++state.sent;
      if (!complete) {
        ++state.without_answer;
        if (closed && kept && state.run_by_sound.count(id) > 0) {
          ++state.lost[machine];
        }
      } else if (response.Status() == 200) {
        ++state.answered;
      } else {
        ++state.failed;
      }
    }
    kept = true;
    if (!complete || response.Header("Connection") == "close") {
      connection.reset();
    }
    SleepMs(20);
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
    replicas.push_back(std::make_unique<Replica>(
        review_case.Ip(10 + n), "i-" + std::to_string(n), record,
        [&state](const Replica& replica, const Message& request,
                 Connection& connection) {
          RunOrder(state, replica, request, connection);
        }));
    store.Put("servers", replicas.back()->id(),
              replicas.back()->Spec("orders", 6, false));
  }
  Route route;
  route.path_prefix = "/order/";
  route.kind = "unsafe";
  route.service = "orders";
  route.timeout_ms = kTimeoutMs;
  store.Put("config", "main", ConfigurationSpec(7, {route}, {"orders"}, {}));

  std::vector<std::unique_ptr<Front>> fronts;
  for (int n = 0; n < 2; ++n) {
    Front::Options options;
    options.name = "front-" + std::to_string(n);
    options.ip = review_case.Ip(100 + n);
    options.zone = "zone-a";
    options.store_ip = review_case.Ip(1);
    options.store_port = store.port();
    options.seed_ips = {review_case.Ip(100), review_case.Ip(101)};
    options.folder = review_case.temporary_folder();
    fronts.push_back(std::make_unique<Front>(options, record));
    fronts.back()->Start();
  }
  for (const auto& it : fronts) {
    if (!it->WaitUntilReady(10000)) {
      record->Line("a process is not ready after 10 s");
      review_case.End(kCannotRun);
    }
  }
  state.start_ms = NowMs();
  std::vector<std::thread> clients;
  for (int machine = 0; machine < 2; ++machine) {
    for (int client = 0; client < kConnectionsPerFront; ++client) {
      clients.emplace_back([&state, &fronts, machine, client] {
        PlaceOrders(state, *fronts[static_cast<size_t>(machine)], machine,
                    client);
      });
    }
  }
  while (NowMs() - state.start_ms < kTrafficMs) {
    for (const auto& it : fronts) {
      it->RestartIfEnded();
    }
    SleepMs(20);
  }
  state.stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  record->Line("sent " + std::to_string(state.sent) + ", succeeded " +
               std::to_string(state.answered) + ", answered with a failure " +
               std::to_string(state.failed) + ", without an answer " +
               std::to_string(state.without_answer));
  bool broken = false;
  for (size_t n = 0; n < fronts.size(); ++n) {
    record->Line("machine " + std::to_string(n) + ": the process ended " +
                 std::to_string(fronts[n]->ends_by_itself()) +
                 " times by itself; " + std::to_string(state.lost[n]) +
                 " requests that a sound replica ran lost their connection");
    broken = broken || state.lost[n] > kAllowedLosses;
  }
  record->Line(broken ? "LOST is broken" : "LOST held");
  fronts.clear();
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
