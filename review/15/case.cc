// A replica that states a limit loses its link to the store for a while. Its
// entry lapses and comes back, and the limit is forgotten.
#include "../standin-3/standin.h"

using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  Deployment deployment(arguments.binary, 2);
  constexpr double kLimit = 1.0;  // requests per second
  std::atomic<bool> is_in_need{false};
  std::mutex mutex;
  // When each process passed on the first answer with the limit.
  std::map<std::string, double> told_at;
  const auto answer = [&](Replica& replica, Peer& peer,
                          const Message& request) {
    SleepFor(is_in_need ? 1.5 : 0.5);
    const std::string body = "ran at " + replica.id();
    char limit[40] = "";
    if (is_in_need) {
      snprintf(limit, sizeof limit, "Server-Limit: %.1f\r\n", kLimit);
    }
    peer.Send("HTTP/1.1 200 OK\r\n" + replica.CommonHeaders(request) + limit +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
              body);
    return true;
  };
  Replica::Options options;
  options.service = "desk";
  options.work = 0.5;
  options.slots = 64;
  std::vector<Replica*> replicas;
  for (int n = 0; n < 3; ++n) {
    options.id = "i-" + std::to_string(n + 1);
    options.zone = std::string("zone-") + static_cast<char>('a' + n);
    replicas.push_back(&deployment.AddReplica(
        options, n == 0 ? Replica::Answerer(answer) : nullptr));
  }
  Store& store = deployment.store();
  std::string configuration = DeskConfiguration(1);
  for (size_t at = 0; (at = configuration.find("\"timeout_ms\":2500", at)) !=
                      std::string::npos;
       ++at) {
    configuration.replace(at, 17, "\"timeout_ms\":10000");
  }
  store.Put("config", "main", configuration);
  for (Replica* it : replicas) {
    store.Put("servers", it->id(), it->Spec("ready"));
  }
  deployment.StartFronts();
  const double started = Now();

  constexpr double kNeed = 2;
  constexpr double kLapse = 9;
  constexpr double kBack = 10.4;
  constexpr double kEnd = 16;
  std::map<std::string, Attempt> attempts;
  std::vector<std::thread> callers;
  for (const auto& front : deployment.fronts()) {
    for (int n = 0; n < 24; ++n) {
      callers.emplace_back([&, n] {
        Caller caller(front->name() + "." + std::to_string(n), *front);
        SleepFor(0.05 * n);
        while (Now() - started < kEnd) {
          Attempt attempt = caller.Send("GET", "/read/1", "", 10000);
          std::unique_lock<std::mutex> lock(mutex);
          for (const auto& [name, value] : attempt.headers) {
            if (name == "Server-Limit") {
              told_at.emplace(front->name(), attempt.ended);
            }
          }
          double retry_after = 0;
          for (const auto& [name, value] : attempt.headers) {
            if (name == "Retry-After") {
              retry_after = atof(value.c_str());
            }
          }
          attempts[attempt.id] = attempt;
          lock.unlock();
          SleepFor(retry_after);
        }
      });
    }
  }
  SleepUntil(started + kNeed);
  is_in_need = true;
  SleepUntil(started + kLapse);
  if (arguments.trouble) {
    store.Delete("servers", replicas[0]->id());
  }
  SleepUntil(started + kBack);
  if (arguments.trouble) {
    store.Put("servers", replicas[0]->id(), replicas[0]->Spec("ready"));
  }
  for (std::thread& it : callers) {
    it.join();
  }

  constexpr double kStable = 4.0;
  constexpr double kWindow = 4.0;
  constexpr double kAllowed = 1.5 * kLimit * kWindow + 5;
  std::vector<double> counted;
  double first_named = 1e9;
  for (const auto& [front, at] : told_at) {
    first_named = std::min(first_named, at);
  }
  for (const Arrival& it : deployment.arrivals().All()) {
    const std::string front = it.id.substr(0, it.id.find('.'));
    if (it.replica == replicas[0]->id() && told_at.count(front) > 0 &&
        it.at > told_at[front] + 0.5 && it.at > first_named + kStable) {
      counted.push_back(it.at);
    }
  }
  size_t most = 0;
  double most_at = 0;
  for (size_t n = 0; n < counted.size(); ++n) {
    size_t k = n;
    while (k < counted.size() && counted[k] < counted[n] + kWindow) {
      ++k;
    }
    if (k - n > most) {
      most = k - n;
      most_at = counted[n] - started;
    }
  }
  size_t answered = 0;
  for (const auto& [id, it] : attempts) {
    answered += it.status == 200 ? 1 : 0;
  }
  char verdict[250];
  snprintf(verdict, sizeof verdict,
           "answered %zu of %zu; processes told: %zu; most requests at the "
           "limited replica in 4 s: %zu, from second %.1f (%.0f allowed)",
           answered, attempts.size(), told_at.size(), most, most_at, kAllowed);
  if (answered < attempts.size() / 2 || told_at.size() < 2) {
    deployment.End(2, verdict);
  }
  deployment.End(static_cast<double>(most) > kAllowed ? 1 : 0, verdict);
}
