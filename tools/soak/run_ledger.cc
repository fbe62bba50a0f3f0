#include "soak/run_ledger.h"

#include <algorithm>
#include <limits>

#include "soak/http_peer.h"

namespace endiveyard::soak {
namespace {

// Statuses that callers take for the promise that a request has not run.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view NameOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kSafe:
      return "safe";
    case RequestKind::kUnsafe:
      return "unsafe";
    case RequestKind::kResumableStream:
      return "resumable";
    case RequestKind::kOnceStream:
      return "once";
  }
  return "";
}

}  // namespace

RequestKind KindOf(const std::string& target) {
  const std::string prefix = target.substr(0, target.find('/', 1));
  if (prefix == "/lookup") {
    return RequestKind::kSafe;
  }
  if (prefix == "/order") {
    return RequestKind::kUnsafe;
  }
  return prefix == "/chat" ? RequestKind::kResumableStream
                           : RequestKind::kOnceStream;
}

bool IsStream(RequestKind kind) {
  return kind == RequestKind::kResumableStream ||
         kind == RequestKind::kOnceStream;
}

bool MayRunOnce(RequestKind kind) {
  return kind == RequestKind::kUnsafe || kind == RequestKind::kOnceStream;
}

std::string EventOf(int number, const std::string& id) {
  return "id: " + std::to_string(number) + "\ndata: piece " +
         std::to_string(number) + " of " + id + "\n\n";
}

std::string ExpectedBody(RequestKind kind, const std::string& id) {
  if (!IsStream(kind)) {
    return "done " + id;
  }
  std::string body;
  for (int n = 1; n <= kEventsOfStream; ++n) {
    body += EventOf(n, id);
  }
  return body;
}

void RunLedger::RecordRun(const std::string& id,
                          const std::string& replica,
                          bool sound) {
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[id].push_back({replica, sound});
}

void RunLedger::RecordRequest(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  traffic_[service].requests.push_back(NowMs());
}

void RunLedger::RecordArrival(const std::string& id,
                              const std::string& service,
                              bool read_only,
                              bool accepted) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Traffic& traffic = traffic_[service];
  if (read_only && accepted && traffic.read.insert(id).second) {
    return;
  }
  if (!traffic.arrived.insert(id).second) {
    traffic.repeats.push_back(NowMs());
  }
}

RunLedger::RepeatPeak RunLedger::FindRepeatPeak() const {
  RepeatPeak peak;
  peak.beyond_bound = -std::numeric_limits<double>::infinity();
  for (const auto& [service, traffic] : traffic_) {
    const auto count = [](const std::vector<int64_t>& times, int64_t begin) {
      return std::lower_bound(times.begin(), times.end(),
                              begin + kRetryWindowMs) -
             std::lower_bound(times.begin(), times.end(), begin);
    };
    for (const int64_t it : traffic.repeats) {
      // Requests count in the window itself, the one before and the one half a
      // window before, whichever has most.
      const auto requests =
          std::max({count(traffic.requests, it),
                    count(traffic.requests, it - kRetryWindowMs / 2),
                    count(traffic.requests, it - kRetryWindowMs)});
      const auto repeats = count(traffic.repeats, it);
      const double beyond = static_cast<double>(repeats) -
                            kRetryRatio * static_cast<double>(requests) -
                            kRetrySlack;
      if (beyond > peak.beyond_bound) {
        peak = {service, static_cast<int>(repeats), beyond};
      }
    }
  }
  return peak;
}

std::string RunLedger::RepeatSummary() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const RepeatPeak peak = FindRepeatPeak();
  if (peak.service.empty()) {
    return "no repeats";
  }
  return "most repeats in 10 s " + std::to_string(peak.repeats) + " at " +
         peak.service + ", " + std::to_string(peak.beyond_bound) +
         " beyond the bound";
}

void RunLedger::RecordResult(const ClientResult& result) {
  const std::lock_guard<std::mutex> lock(mutex_);
  results_.push_back(result);
}

void RunLedger::RecordViolation(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  violations_.push_back(text);
}

void RunLedger::Check(const ClientResult& result) {
  const std::vector<Run>& runs = runs_[result.id];
  const auto report = [&](const std::string& text) {
    std::string line = text + ": request " + result.id + " (" +
                       std::string(NameOf(result.kind)) + "), status " +
                       std::to_string(result.status) + ", " +
                       std::to_string(result.body.size()) + " bytes, ran at";
    for (const Run& it : runs) {
      line += " " + it.replica;
    }
    violations_.push_back(line);
  };
  if (MayRunOnce(result.kind) && runs.size() > 1) {
    report("TWICE, ran more than once");
  }
  if (MayRunOnce(result.kind) && IsPromise(result.status) && !runs.empty()) {
    report("REFUSED, ran although the client was told that it had not");
  }
  const std::string expected = ExpectedBody(result.kind, result.id);
  if (!result.answered_id.empty() && result.answered_id != result.id) {
    report("MIXED, answer to " + result.answered_id);
  }
  if (result.status == 200 && result.complete) {
    if (!result.signed_by_target || result.body != expected) {
      report("MIXED or ORDER, complete success with another body");
    }
  } else if (result.status == 200 &&
             expected.compare(0, result.body.size(), result.body) != 0) {
    report("ORDER, begins in another way than the answer");
  }
  if (result.status >= 300 && result.status < 500 &&
      !IsPromise(result.status)) {
    report("DENIED, refused although it is proper");
  }
  if (result.process_disturbed) {
    return;
  }
  if (result.status == 0 && result.connection_ended && result.in_time &&
      runs.size() == 1 && runs.front().sound) {
    report("LOST, closed without an answer");
  }
  if (result.status == 0 && !result.connection_ended) {
    report("CONFIG, no answer after the timeout");
  }
}

std::vector<std::string> RunLedger::Violations() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const ClientResult& it : results_) {
    Check(it);
  }
  results_.clear();
  if (const RepeatPeak peak = FindRepeatPeak(); peak.beyond_bound > 0) {
    violations_.push_back("BUDGET, " + std::to_string(peak.repeats) +
                          " repeats in 10 s at " + peak.service + ", " +
                          std::to_string(peak.beyond_bound) +
                          " beyond the bound");
  }
  return violations_;
}

std::string RunLedger::Summary() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, int> counts;
  for (const ClientResult& it : results_) {
    std::string name(NameOf(it.kind));
    name += " " + std::to_string(it.status);
    name += it.complete ? "" : it.status == 0 ? " unanswered" : " broken off";
    ++counts[name];
  }
  std::string text = std::to_string(results_.size()) + " requests";
  for (const auto& [name, count] : counts) {
    text += ", " + name + " " + std::to_string(count);
  }
  return text;
}

}  // namespace endiveyard::soak
