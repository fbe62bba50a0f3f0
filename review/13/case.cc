// Sound engines number the events of a stream by the tokens made so far. The
// settings file of a process changes meanwhile.
#include "../standin-3/standin.h"

using namespace review;

namespace {

constexpr int kEvents = 20;
constexpr double kEventTime = 0.01;

std::string Configuration() {
  return "{\"version\":1,\"routes\":[{\"name\":\"r-talk\",\"host\":"
         "\"desk.example\",\"path_prefix\":\"/talk/\",\"kind\":\"streaming\","
         "\"timeout_ms\":8000,\"target_latency_ms\":800,\"priority\":1,"
         "\"service\":\"lm\",\"max_attempts\":1,\"session_affinity\":true,"
         "\"resumable\":false,\"target_gap_ms\":300}],\"services\":[{\"name\":"
         "\"lm\",\"health_path\":\"/healthz\",\"max_connections\":370,"
         "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
         "\"kv_tokens\":540532,\"kv_bytes\":35136,\"link_mbps\":1100000.0,"
         "\"handle_ttl_s\":5.0}}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  Deployment deployment(arguments.binary, 4);
  const int tokens_per_event = arguments.trouble ? 3 : 1;
  std::atomic<int> written_whole{0};
  const auto stream = [&](Replica& replica, Peer& peer,
                          const Message& request) {
    bool is_sent =
        peer.Send("HTTP/1.1 200 OK\r\n" + replica.CommonHeaders(request) +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
    for (int n = 1; n <= kEvents && is_sent; ++n) {
      SleepFor(kEventTime);
      const std::string event = "id: " + std::to_string(n * tokens_per_event) +
                                "\ndata: event " + std::to_string(n) + "\n\n";
      char size[16];
      snprintf(size, sizeof size, "%zx\r\n", event.size());
      is_sent = peer.Send(size + event + "\r\n");
    }
    if (is_sent && peer.Send("0\r\n\r\n")) {
      ++written_whole;
    } else {
      RECORD("replica %s: the caller of %s has left", replica.id().c_str(),
             request.Header("Endiveyard-Request-Id").c_str());
    }
    return true;
  };
  Replica::Options options;
  options.service = "lm";
  options.slots = 64;
  options.more_spec =
      ",\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,"
      "\"adapters\":[]}]";
  Store& store = deployment.store();
  for (int n = 0; n < 4; ++n) {
    options.zone = std::string("zone-") + static_cast<char>('a' + n % 3);
    options.id = "e-" + std::to_string(n + 1);
    store.Put("servers", options.id,
              deployment.AddReplica(options, stream).Spec("ready"));
  }
  store.Put("config", "main", Configuration());
  deployment.StartFronts();
  const double started = Now();

  constexpr double kConfigApply = 2.5;
  constexpr double kSignal = 15;
  constexpr double kEnd = 20;
  std::mutex mutex;
  std::vector<Attempt> attempts;
  std::vector<std::thread> callers;
  for (const auto& front : deployment.fronts()) {
    for (int n = 0; n < 6; ++n) {
      callers.emplace_back([&, n] {
        Caller caller(front->name() + "." + std::to_string(n), *front);
        SleepFor(0.02 * n);
        for (int k = 0; Now() - started < kEnd; ++k) {
          const Attempt attempt = caller.Send(
              "POST", "/talk/1", "prompt", 8000,
              "Endiveyard-Model: m\r\nEndiveyard-Token-Count: 300,60\r\n"
              "Endiveyard-Prompt-Prefix: 5c1e07a2:200," +
                  std::to_string(1000 * n + k) + ":100\r\n");
          const std::lock_guard<std::mutex> lock(mutex);
          attempts.push_back(attempt);
        }
      });
    }
  }
  SleepUntil(started + kSignal);
  const Front& signalled = *deployment.fronts()[0];
  {
    // A field that says nothing to the process: it ignores what it does not
    // know.
    std::ofstream(signalled.SettingsPath(), std::ios::app) << "note=1\n";
  }
  const double signal_at = Now();
  deployment.fronts()[0]->Signal(SIGHUP);
  RECORD("%s: settings changed, SIGHUP", signalled.name().c_str());
  for (std::thread& it : callers) {
    it.join();
  }

  int whole = 0;
  int cut = 0;
  int cut_around = 0;
  for (const Attempt& it : attempts) {
    const std::string last = "event " + std::to_string(kEvents) + "\n\n";
    const bool is_whole = it.status == 200 && !it.is_closed && !it.is_late &&
                          it.body.find(last) != std::string::npos;
    whole += is_whole ? 1 : 0;
    if (is_whole || it.status != 200 || !it.is_closed) {
      continue;
    }
    ++cut;
    if (it.id.compare(0, signalled.name().size(), signalled.name()) == 0 &&
        it.sent < signal_at + kConfigApply && it.ended > signal_at) {
      ++cut_around;
      RECORD("cut: %s %.3f s after the SIGHUP", it.id.c_str(),
             it.ended - signal_at);
    }
  }
  char verdict[250];
  snprintf(verdict, sizeof verdict,
           "streams %zu, whole %d, broken off %d; of the process that got "
           "SIGHUP, sent up to %.1f s after it and broken off after it: %d (0 "
           "allowed)",
           attempts.size(), whole, cut, kConfigApply, cut_around);
  if (whole < 200) {
    deployment.End(2, verdict);
  }
  deployment.End(cut_around > 0 ? 1 : 0, verdict);
}
