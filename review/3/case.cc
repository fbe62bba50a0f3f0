// A replica fails part of its orders: it runs them and then answers 503 without
// the header that states that it has not. Clients heed the statuses: after a
// 503, they send the order again with a new id.
#include <map>
#include <string>

#include "../support/support.h"

namespace review {
namespace {

// One of eight fails orders: share 0.125.
constexpr int kReplicas = 8;
constexpr int kClients = 8;
constexpr int64_t kTrafficMs = 15000;
constexpr int64_t kTroubleFromMs = 5000;
constexpr int64_t kTroubleUntilMs = 11500;
// 9 of 20 orders: share 0.45.
constexpr int kFailedOfTwenty = 9;
constexpr int kWorkMs = 40;
constexpr int kTimeoutMs = 1200;

struct State {
  Record* record = nullptr;
  int64_t start_ms = 0;
  bool trouble = true;
  std::atomic<bool> stop{false};
  std::atomic<int> orders_at_troubled{0};
  std::mutex mutex;
  std::map<std::string, int> runs;  // by request id
  std::map<std::string, int> runs_of_purchase;
  int sent = 0;
  int succeeded = 0;
  int refused = 0;                    // 408, 421, 429 or 503
  std::vector<std::string> promised;  // ids of these
  int other = 0;
};

void RunOrder(State& state,
              const Replica& replica,
              const Message& request,
              Connection& connection) {
  const std::string id = request.Header("Endiveyard-Request-Id");
  const int64_t at = NowMs() - state.start_ms;
  {
    const std::lock_guard<std::mutex> lock(state.mutex);
    ++state.runs[id];
    ++state.runs_of_purchase[request.body];
  }
  SleepMs(kWorkMs);
  if (replica.id() == "i-0" && state.trouble && at >= kTroubleFromMs &&
      at < kTroubleUntilMs &&
      state.orders_at_troubled++ % 20 < kFailedOfTwenty) {
    state.record->Line("replica " + replica.id() + ": has run " + id +
                       ", answers 503 without Endiveyard-Not-Executed");
    const std::string body = "the order service is failing\n";
    connection.Send(
        "HTTP/1.1 503 Service Unavailable\r\nEndiveyard-Request-Id: " + id +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body);
    return;
  }
  connection.Send(Success(request, "done " + id));
}

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// A client that makes one purchase after the other, with one retry each.
void MakePurchases(State& state, const Front& front, int client) {
  for (int n = 0; !state.stop; ++n) {
    const std::string purchase =
        "purchase " + std::to_string(client) + "-" + std::to_string(n);
    constexpr int kAttempts = 2;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const std::string id = std::to_string(client) + "-" + std::to_string(n) +
                             "-" + std::to_string(attempt);
      const auto connection = Connection::Open(front.ip(), front.port());
      if (connection == nullptr) {
        break;
      }
      connection->Send(Request("POST", "/order/place", id, 2500, "", purchase));
      Message response;
      const bool complete = connection->ReadMessage(&response, 3000);
      const int status = complete ? response.Status() : 0;
      {
        const std::lock_guard<std::mutex> lock(state.mutex);
        if (IsPromise(status)) {
          state.promised.push_back(id);
        }
        ++state.sent;
        state.succeeded += status == 200 ? 1 : 0;
        state.refused += IsPromise(status) ? 1 : 0;
        state.other += status != 200 && !IsPromise(status) ? 1 : 0;
      }
      state.record->Line("client: " + id + " -> " +
                         (complete ? response.start_line : "no answer"));
      if (!IsPromise(status)) {
        break;
      }
      SleepMs(50);
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
    clients.emplace_back(
        [&state, &front, n] { MakePurchases(state, *front, n); });
  }
  SleepMs(kTrafficMs);
  state.stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  front.reset();
  int refused_after_run = 0;
  for (const std::string& it : state.promised) {
    if (state.runs.count(it) > 0) {
      ++refused_after_run;
      record->Line("request " + it + " was answered so, and a replica ran it");
    }
  }
  int twice = 0;
  for (const auto& [purchase, runs] : state.runs_of_purchase) {
    if (runs > 1) {
      ++twice;
      record->Line(purchase + " was made " + std::to_string(runs) + " times");
    }
  }
  record->Line("sent " + std::to_string(state.sent) + " requests; " +
               std::to_string(state.succeeded) + " succeeded, " +
               std::to_string(state.refused) +
               " were answered with a promise that they have not run, " +
               std::to_string(refused_after_run) + " of these had run, " +
               std::to_string(state.other) + " ended in another way; " +
               std::to_string(twice) + " purchases were made twice");
  const bool broken = refused_after_run > 0;
  record->Line(broken ? "REFUSED is broken" : "REFUSED held");
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
