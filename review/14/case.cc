// One part of long prompts crashes each engine that begins to write an answer
// on it. The prompts have 70 parts, and it is the 66th.
#include "../standin-3/standin.h"

using namespace review;

namespace {

constexpr int kParts = 70;
constexpr const char* kCrashingPart = "deadbeef";

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

// Returns the parts of a prompt. All have the same ones but for the part at
// `position` and the last one, which is that of the request.
std::string Parts(int position, const std::string& part, int request) {
  std::string parts;
  for (int n = 1; n < kParts; ++n) {
    parts +=
        (n == position ? part : "5c1e" + std::to_string(1000 + n)) + ":20,";
  }
  return parts + std::to_string(10000 + request) + ":20";
}

std::string PromptHeaders(const std::string& parts) {
  return "Endiveyard-Model: m\r\nEndiveyard-Token-Count: 1400,20\r\n"
         "Endiveyard-Prompt-Prefix: " +
         parts + "\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  // For trials only.
  const char* const text = getenv("POSITION");
  const int position = text == nullptr ? 66 : atoi(text);
  Deployment deployment(arguments.binary, 2);
  Store& store = deployment.store();
  std::mutex mutex;
  std::vector<double> crashes;
  std::vector<double> arrivals;  // of requests with the part
  std::mutex replicas_mutex;
  int replica_count = 0;
  std::function<void()> add_engine;
  const auto stream = [&](Replica& replica, Peer& peer,
                          const Message& request) {
    const bool crashes_it =
        request.Header("Endiveyard-Prompt-Prefix").find(kCrashingPart) !=
        std::string::npos;
    if (crashes_it) {
      const std::lock_guard<std::mutex> lock(mutex);
      arrivals.push_back(Now());
    }
    peer.Send("HTTP/1.1 200 OK\r\n" + replica.CommonHeaders(request) +
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
    for (int n = 1; n <= 10; ++n) {
      SleepFor(0.02);
      if (replica.stopped()) {
        return true;
      }
      if (crashes_it) {
        RECORD("replica %s: crashes at %s", replica.id().c_str(),
               request.Header("Endiveyard-Request-Id").c_str());
        replica.Stop();
        {
          const std::lock_guard<std::mutex> lock(mutex);
          crashes.push_back(Now());
        }
        std::thread([&, id = replica.id()] {
          // Back after some seconds as a new one; the entry of the old one goes
          // after three heartbeats.
          SleepFor(2.5);
          add_engine();
          SleepFor(1.1);
          store.Delete("servers", id);
        }).detach();
        return true;
      }
      const std::string event = "id: " + std::to_string(n) + "\ndata: event " +
                                std::to_string(n) + "\n\n";
      char size[16];
      snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!peer.Send(size + event + "\r\n")) {
        return true;
      }
    }
    peer.Send("0\r\n\r\n");
    return true;
  };
  add_engine = [&] {
    const std::lock_guard<std::mutex> lock(replicas_mutex);
    Replica::Options options;
    options.id = "e-" + std::to_string(++replica_count);
    options.service = "lm";
    options.slots = 64;
    options.zone =
        std::string("zone-") + static_cast<char>('a' + replica_count % 3);
    options.more_spec =
        ",\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,"
        "\"adapters\":[]}]";
    store.Put("servers", options.id,
              deployment.AddReplica(options, stream).Spec("ready"));
  };
  for (int n = 0; n < 8; ++n) {
    add_engine();
  }
  store.Put("config", "main", Configuration());
  deployment.StartFronts();
  const double started = Now();

  constexpr double kStable = 4.0;
  constexpr double kFirst = 5;
  constexpr double kEnd = 25;
  std::vector<Attempt> attempts;
  std::vector<std::thread> callers;
  for (const auto& front : deployment.fronts()) {
    for (int n = 0; n < 6; ++n) {
      callers.emplace_back([&, n] {
        Caller caller(front->name() + "." + std::to_string(n), *front);
        SleepFor(0.05 * n);
        for (int k = 0; Now() - started < kEnd; ++k) {
          const Attempt attempt = caller.Send(
              "POST", "/talk/1", "prompt", 8000,
              PromptHeaders(Parts(position, "5c1e77", 1000 * n + k)));
          SleepFor(0.1);
          const std::lock_guard<std::mutex> lock(mutex);
          attempts.push_back(attempt);
        }
      });
    }
  }
  if (arguments.trouble) {
    for (int k = 0; started + kFirst + 0.8 * k < started + kEnd; ++k) {
      SleepUntil(started + kFirst + 0.8 * k);
      Caller caller("crash." + std::to_string(k),
                    *deployment.fronts()[static_cast<size_t>(k) % 2]);
      caller.Send("POST", "/talk/1", "prompt", 8000,
                  PromptHeaders(Parts(position, kCrashingPart, 900000 + k)));
    }
  }
  for (std::thread& it : callers) {
    it.join();
  }

  int whole = 0;
  int cut = 0;
  for (const Attempt& it : attempts) {
    whole += it.status == 200 && !it.is_closed && !it.is_late ? 1 : 0;
    cut += it.status == 200 && it.is_closed ? 1 : 0;
  }
  int late = 0;
  if (crashes.size() >= 5) {
    late = static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](double at) { return at > crashes[4] + kStable; }));
  }
  char verdict[250];
  snprintf(verdict, sizeof verdict,
           "crashes %zu; requests with the part that reached engines later "
           "than %.0f s after the fifth: %d (3 allowed); sound streams %zu, "
           "whole %d, cut by a crash %d",
           crashes.size(), kStable, late, attempts.size(), whole, cut);
  if (whole < 50) {
    deployment.End(2, verdict);
  }
  deployment.End(late > 3 ? 1 : 0, verdict);
}
