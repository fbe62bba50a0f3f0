// The store is silent for a moment, just after a replica has reported that it
// drains. The process that was asking for changes then hears of none for
// seconds.
#include "../standin-3/standin.h"

using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  Deployment deployment(arguments.binary, 2);
  Replica::Options options;
  options.service = "desk";
  options.work = 0.3;
  std::vector<Replica*> replicas;
  for (int n = 0; n < 4; ++n) {
    options.id = "i-" + std::to_string(n + 1);
    options.zone = std::string("zone-") + static_cast<char>('a' + n % 3);
    replicas.push_back(&deployment.AddReplica(options));
  }
  Store& store = deployment.store();
  store.Put("config", "main", DeskConfiguration(1));
  for (int n = 0; n < 3; ++n) {
    store.Put("servers", replicas[n]->id(), replicas[n]->Spec("ready"));
  }
  deployment.StartFronts();
  const double started = Now();

  // Bounds of the site.
  constexpr double kStable = 4.0;
  constexpr double kDrain = 2.5;
  // A release: the new replica starts first, the old one drains.
  constexpr double kNewReplica = 7.0;
  constexpr double kOldDrains = 7.2;
  constexpr double kSilence = 7.3;
  constexpr double kSilenceEnd = 7.7;

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
    threads.reserve(callers.size());
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
  for (double at = 1; at < kNewReplica; at += 0.5) {
    SleepUntil(started + at);
    burst(false);
  }
  SleepUntil(started + kNewReplica);
  store.Put("servers", replicas[3]->id(), replicas[3]->Spec("ready"));
  SleepUntil(started + kOldDrains);
  replicas[0]->set_leaving(true);
  store.Put("servers", replicas[0]->id(), replicas[0]->Spec("draining"));
  const double acknowledged = Now();
  SleepUntil(started + kSilence);
  if (arguments.trouble) {
    store.set_silent(true);
  }
  SleepUntil(started + kSilenceEnd);
  if (arguments.trouble) {
    store.set_silent(false);
  }
  const double in_touch = Now() + kStable;
  SleepUntil(in_touch + 0.2);
  std::thread exit([&] {
    SleepFor(0.2);
    replicas[0]->Stop();
    RECORD("replica %s: exits", replicas[0]->id().c_str());
  });
  burst(true);
  exit.join();
  SleepUntil(in_touch + 3);
  burst(false);

  int late = 0;
  int lost = 0;
  size_t answered = 0;
  for (const auto& [id, it] : attempts) {
    answered += it.status == 200 ? 1 : 0;
  }
  for (const Arrival& it : deployment.arrivals().All()) {
    if (it.replica == replicas[0]->id() && it.at > acknowledged + kDrain &&
        attempts.count(it.id) > 0 && attempts[it.id].sent > in_touch) {
      ++late;
      lost += attempts[it.id].status == 200 ? 0 : 1;
      RECORD("late: %s reached %s %.3f s after its draining was accepted",
             it.id.c_str(), it.replica.c_str(), it.at - acknowledged);
    }
  }
  char verdict[200];
  snprintf(
      verdict, sizeof verdict,
      "answered %zu of %zu; requests at the draining replica later than "
      "%.1f s, by processes in touch: %d (0 allowed), of which lost at its "
      "exit: %d",
      answered, attempts.size(), kDrain, late, lost);
  if (answered < attempts.size() * 9 / 10) {
    deployment.End(2, verdict);
  }
  deployment.End(late > 0 ? 1 : 0, verdict);
}
