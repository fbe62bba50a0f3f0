// The store cuts off watches that have waited for 1.5 s, and a replica leaves
// without a report: its entry is removed, and it goes on serving.
#include "../standin-3/standin.h"

using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  Deployment deployment(arguments.binary, 2);
  Replica::Options options;
  options.service = "desk";
  options.work = 0.3;
  std::vector<Replica*> replicas;
  for (int n = 0; n < 3; ++n) {
    options.id = "i-" + std::to_string(n + 1);
    options.zone = std::string("zone-") + static_cast<char>('a' + n % 3);
    replicas.push_back(&deployment.AddReplica(options));
  }
  Store& store = deployment.store();
  store.Put("config", "main", DeskConfiguration(1));
  for (int n = 0; n < 3; ++n) {
    store.Put("servers", replicas[n]->id(), replicas[n]->Spec("ready"));
  }
  if (arguments.trouble) {
    store.set_watch_cut(1.5);
  }
  deployment.StartFronts();
  const double started = Now();

  constexpr double kDrain = 2.5;
  constexpr double kRemoved = 8.0;
  constexpr double kBurst = 13.0;

  std::vector<std::unique_ptr<Caller>> callers;
  for (const auto& front : deployment.fronts()) {
    for (int n = 0; n < 8; ++n) {
      callers.push_back(std::make_unique<Caller>(
          front->name() + "." + std::to_string(n), *front));
    }
  }
  std::mutex mutex;
  std::map<std::string, Attempt> attempts;
  const auto burst = [&](bool of_orders) {
    std::vector<std::thread> threads;
    for (const auto& it : callers) {
      threads.emplace_back([&, of_orders] {
        const Attempt attempt = of_orders ? it->Send("POST", "/order/1", "one")
                                          : it->Send("GET", "/read/1");
        const std::lock_guard<std::mutex> lock(mutex);
        attempts[attempt.id] = attempt;
      });
    }
    for (std::thread& it : threads) {
      it.join();
    }
  };
  for (double at = 1; at < kRemoved; at += 0.5) {
    SleepUntil(started + at);
    burst(false);
  }
  SleepUntil(started + kRemoved);
  replicas[0]->set_leaving(true);
  store.Delete("servers", replicas[0]->id());
  const double acknowledged = Now();
  SleepUntil(started + kBurst);
  std::thread exit([&] {
    SleepFor(0.2);
    replicas[0]->Stop();
    RECORD("replica %s: exits", replicas[0]->id().c_str());
  });
  burst(true);
  exit.join();

  int late = 0;
  int lost = 0;
  size_t answered = 0;
  for (const auto& [id, it] : attempts) {
    answered += it.status == 200 ? 1 : 0;
  }
  for (const Arrival& it : deployment.arrivals().All()) {
    if (it.replica == replicas[0]->id() && it.at > acknowledged + kDrain) {
      ++late;
      lost += attempts[it.id].status == 200 ? 0 : 1;
      RECORD("late: %s reached %s %.3f s after its entry was removed",
             it.id.c_str(), it.replica.c_str(), it.at - acknowledged);
    }
  }
  char verdict[200];
  snprintf(verdict, sizeof verdict,
           "answered %zu of %zu; requests at the replica that is gone later "
           "than %.1f s: %d (0 allowed), of which lost at its exit: %d",
           answered, attempts.size(), kDrain, late, lost);
  if (answered < attempts.size() * 9 / 10) {
    deployment.End(2, verdict);
  }
  deployment.End(late > 0 ? 1 : 0, verdict);
}
