// A replica ends one answer in chunks with bytes that are none: 70,000 in one
// line after the last chunk.
#include <set>

#include "../standin-3/standin.h"

using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  Deployment deployment(arguments.binary, 2);
  std::atomic<bool> is_due{false};
  const auto answer = [&](Replica& replica, Peer& peer,
                          const Message& request) {
    if (!is_due.exchange(false)) {
      return false;
    }
    RECORD("replica %s: answers %s with bytes that are no answer",
           replica.id().c_str(),
           request.Header("Endiveyard-Request-Id").c_str());
    peer.Send("HTTP/1.1 200 OK\r\n" + replica.CommonHeaders(request) +
              "Transfer-Encoding: chunked\r\n\r\n4\r\nran \r\n0\r\nx:" +
              std::string(70000, 'x') + "\r\n\r\n");
    peer.AwaitEnd(10);
    return true;
  };
  Replica::Options options;
  options.service = "desk";
  options.work = 0.3;
  options.slots = 24;
  std::vector<Replica*> replicas;
  for (int n = 0; n < 3; ++n) {
    options.id = "i-" + std::to_string(n + 1);
    options.zone = std::string("zone-") + static_cast<char>('a' + n);
    const bool is_faulty = n == 2;
    replicas.push_back(&deployment.AddReplica(
        options, is_faulty ? Replica::Answerer(answer) : nullptr));
  }
  Store& store = deployment.store();
  store.Put("config", "main", DeskConfiguration(1));
  for (Replica* it : replicas) {
    store.Put("servers", it->id(), it->Spec("ready"));
  }
  deployment.StartFronts();
  const double started = Now();

  constexpr int kCallersPerFront = 12;
  constexpr double kTrouble = 6;  // the processes are in touch by then
  constexpr double kEnd = 9;
  std::mutex mutex;
  std::vector<Attempt> attempts;
  std::vector<std::thread> callers;
  for (const auto& front : deployment.fronts()) {
    for (int n = 0; n < kCallersPerFront; ++n) {
      callers.emplace_back([&, n] {
        Caller caller(front->name() + "." + std::to_string(n), *front);
        SleepFor(0.03 * n);
        while (Now() - started < kEnd) {
          const bool is_order = n % 2 == 0;
          Attempt attempt = is_order ? caller.Send("POST", "/order/1", "one")
                                     : caller.Send("GET", "/read/1");
          const std::lock_guard<std::mutex> lock(mutex);
          attempts.push_back(attempt);
          if (attempt.is_closed) {
            return;
          }
        }
      });
    }
  }
  SleepUntil(started + kTrouble);
  is_due = arguments.trouble;
  for (std::thread& it : callers) {
    it.join();
  }
  int ended = 0;
  for (const auto& it : deployment.fronts()) {
    ended += it->HasEnded() ? 1 : 0;
  }
  std::set<std::string> at_sound;
  for (const Arrival& it : deployment.arrivals().All()) {
    if (it.replica != "i-3") {
      at_sound.insert(it.id);
    }
  }
  std::map<std::string, int> unanswered_at;  // by process
  size_t answered = 0;
  for (const Attempt& it : attempts) {
    answered += it.status == 200 ? 1 : 0;
    const bool in_touch = it.sent - started > 4.2;
    if (in_touch && it.is_kept && it.is_closed && it.status == 0 &&
        at_sound.count(it.id) > 0) {
      ++unanswered_at[it.id.substr(0, it.id.find('.'))];
      RECORD("unanswered: %s ran at a sound replica", it.id.c_str());
    }
  }
  int unanswered = 0;  // of the process with the most
  for (const auto& [front, count] : unanswered_at) {
    unanswered = std::max(unanswered, count);
  }
  char verdict[200];
  snprintf(verdict, sizeof verdict,
           "answered %zu; processes that ended by themselves: %d; requests of "
           "kept connections at sound replicas, closed without an answer: %d "
           "(3 allowed)",
           answered, ended, unanswered);
  if (answered < 20) {
    deployment.End(2, verdict);
  }
  deployment.End(unanswered > 3 ? 1 : 0, verdict);
}
