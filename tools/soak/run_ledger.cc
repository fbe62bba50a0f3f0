#include "soak/run_ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <limits>
#include <string_view>

#include "soak/http_peer.h"
#include "soak/stream_shape.h"

namespace endiveyard::soak {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
// What the users' rules allow, see RunLedger::CheckTimeGiven() and
// CheckAttempts().
constexpr int64_t kTimeGivenSlackMs = 500;
constexpr int kMaxTimeGivenTooLong = 20;
constexpr double kMaxShareOfTimeGivenTooLong = 0.2;
constexpr size_t kMaxOverRunTries = 3;
// A replica gets this many calls of a process in a pause, from kPauseSlackMs
// after it has asked for it.
constexpr int64_t kPauseSlackMs = 500;
constexpr int kMaxCallsInPause = 2;
// Stands before the number of the run in each event.
constexpr std::string_view kRunField = ", run ";

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

std::string ServiceOf(RequestKind kind) {
  return IsStream(kind) ? "chat" : "orders";
}

bool IsStream(RequestKind kind) {
  return kind == RequestKind::kResumableStream ||
         kind == RequestKind::kOnceStream;
}

bool MayRunOnce(RequestKind kind) {
  return kind == RequestKind::kUnsafe || kind == RequestKind::kOnceStream;
}

std::string EventOf(int number, const Run& run) {
  const size_t padding = ShapeOf(run.id).padding_bytes;
  return "id: " + std::to_string(EventIdOf(run.id, number, run.counts_tokens)) +
         "\ndata: piece " + std::to_string(number) + " of " + run.id +
         std::string(kRunField) + std::to_string(run.number) +
         (padding == 0 ? "" : ", " + std::string(padding, 'x')) + "\n\n";
}

int LastEventOf(const std::string& body, int begun_after) {
  for (size_t at = body.find(kEventEnd); at != std::string::npos;
       at = body.find(kEventEnd, at + kEventEnd.size())) {
    ++begun_after;
  }
  return begun_after;
}

std::string LastIdOf(const std::string& body, const std::string& id_before) {
  constexpr std::string_view kIdField = "id: ";
  const size_t end = body.rfind(kEventEnd);
  const size_t begin = end == std::string::npos || end == 0
                           ? std::string::npos
                           : body.rfind(kEventEnd, end - 1);
  const size_t event =
      begin == std::string::npos ? 0 : begin + kEventEnd.size();
  if (end == std::string::npos ||
      body.compare(event, kIdField.size(), kIdField) != 0) {
    return id_before;
  }
  const size_t id = event + kIdField.size();
  return body.substr(id, body.find('\n', id) - id);
}

std::string BodyOf(const std::string& id) {
  return "done " + id;
}

Run RunLedger::RecordRun(Run run) {
  const std::lock_guard<std::mutex> lock(mutex_);
  run.number = static_cast<int64_t>(runs_.size());
  run_numbers_[run.id].push_back(run.number);
  runs_.push_back({run, now_ms_(), std::nullopt});
  return run;
}

void RunLedger::RecordRunEnd(int64_t number) {
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[static_cast<size_t>(number)].end_ms = now_ms_();
}

std::vector<const RunLedger::RunRecord*> RunLedger::RunsOf(
    const std::string& id) const {
  std::vector<const RunRecord*> runs;
  if (const auto it = run_numbers_.find(id); it != run_numbers_.end()) {
    for (const int64_t number : it->second) {
      runs.push_back(&runs_[static_cast<size_t>(number)]);
    }
  }
  return runs;
}

void RunLedger::RecordRequest(const std::string& service,
                              const std::string& id,
                              int64_t time_left_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Deadline& deadline = deadlines_[id] = Deadline();
  deadline.time_left_ms = time_left_ms;
  deadline.end_ms = now_ms_() + time_left_ms;
  Traffic& traffic = traffic_[service];
  traffic.requests.push_back(now_ms_());
  // What arrives from now on belongs to this request.
  traffic.arrived.erase(id);
  traffic.read.erase(id);
}

void RunLedger::RecordArrival(const Arrival& arrival) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RecordTimeGiven(arrival);
  RecordCallInPause(arrival);
  Traffic& traffic = traffic_[arrival.service];
  if (arrival.read_only && arrival.accepted &&
      traffic.read.insert(arrival.id).second) {
    return;
  }
  if (!traffic.arrived.insert(arrival.id).second) {
    traffic.repeats.push_back(now_ms_());
  }
}

void RunLedger::RecordTimeGiven(const Arrival& arrival) {
  const auto it = deadlines_.find(arrival.id);
  if (it == deadlines_.end()) {
    return;
  }
  Deadline& deadline = it->second;
  const int64_t now_ms = now_ms_();
  const bool is_late = deadline.first_call_ms &&
                       now_ms - *deadline.first_call_ms > kTimeGivenSlackMs;
  time_given_.sent_again_late += is_late ? 1 : 0;
  const int64_t left_ms = arrival.time_left_ms.value_or(0);
  const int64_t end_ms = now_ms + left_ms;
  const int64_t latest_ms =
      std::max(deadline.first_call_end_ms, deadline.end_ms) + kTimeGivenSlackMs;
  if (!arrival.time_left_ms ||
      left_ms > deadline.time_left_ms + kTimeGivenSlackMs ||
      (is_late && end_ms > latest_ms)) {
    ++time_given_.too_long;
    time_given_.examples.push_back(arrival.id + " at " + arrival.replica);
  }
  if (!deadline.first_call_ms) {
    deadline.first_call_ms = now_ms;
    deadline.first_call_end_ms = end_ms;
  }
}

void RunLedger::RecordPause(const std::string& replica,
                            const std::string& process,
                            int64_t pause_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  pauses_[{replica, process}].push_back({now_ms_(), now_ms_() + pause_ms, 0});
}

void RunLedger::RecordCallInPause(const Arrival& arrival) {
  const auto it = pauses_.find({arrival.replica, arrival.process});
  if (it == pauses_.end()) {
    return;
  }
  const int64_t now_ms = now_ms_();
  for (Pause& pause : it->second) {
    if (now_ms <= pause.begin_ms + kPauseSlackMs || now_ms >= pause.end_ms ||
        !is_calm_(arrival.process, pause.begin_ms, now_ms)) {
      continue;
    }
    ++calls_in_pauses_;
    if (++pause.calls == kMaxCallsInPause + 1) {
      violations_.push_back("BUDGET, replica " + arrival.replica +
                            " wants no work, and gets calls of " +
                            arrival.process + ", last " + arrival.id + ", " +
                            std::to_string(now_ms - pause.begin_ms) +
                            " ms after it has said so");
    }
  }
}

void RunLedger::CheckTimeGiven() {
  const int counted = time_given_.too_long + time_given_.sent_again_late;
  if (time_given_.too_long > kMaxTimeGivenTooLong &&
      time_given_.too_long > kMaxShareOfTimeGivenTooLong * counted) {
    violations_.push_back("BUDGET, " + std::to_string(time_given_.too_long) +
                          " calls were given more time than is left, " +
                          time_given_.examples.front() + " first");
  }
}

void RunLedger::CheckAttempts() {
  if (max_attempts_ == 0) {
    return;
  }
  for (const ClientResult& it : results_) {
    std::set<std::string> replicas;
    for (const RunRecord* run : RunsOfTry(it)) {
      replicas.insert(run->run.replica);
    }
    const int allowed =
        MayRunOnce(it.kind) ? max_attempts_once_ : max_attempts_;
    if (static_cast<int>(replicas.size()) > allowed) {
      over_run_.push_back(Describe("ran on too many replicas", it));
    }
  }
  if (over_run_.size() > kMaxOverRunTries) {
    violations_.push_back("BUDGET, " + std::to_string(over_run_.size()) +
                          " tries ran on too many replicas, first " +
                          over_run_.front());
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
  const std::string repeats =
      peak.service.empty()
          ? "no repeats"
          : "most repeats in 10 s " + std::to_string(peak.repeats) + " at " +
                peak.service + ", " + std::to_string(peak.beyond_bound) +
                " beyond the bound";
  return repeats + "; of " + std::to_string(time_given_.sent_again_late) +
         " calls sent again late, and others, " +
         std::to_string(time_given_.too_long) + " were given too much time; " +
         std::to_string(calls_in_pauses_) + " calls in pauses";
}

void RunLedger::RecordResult(const ClientResult& result) {
  const std::lock_guard<std::mutex> lock(mutex_);
  results_.push_back(result);
  sent_ms_[result.id].push_back(result.sent_ms);
}

void RunLedger::RecordViolation(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  violations_.push_back(text);
}

std::string RunLedger::DescribePlace(const Run& run) {
  return run.replica + " (" + run.version + ")" +
         (run.caller.empty() ? "" : " for " + run.caller);
}

std::string RunLedger::Describe(const std::string& text,
                                const ClientResult& result) const {
  std::string line = text + ": request " + result.id + " (" +
                     std::string(NameOf(result.kind)) + "), status " +
                     std::to_string(result.status) + ", " +
                     std::to_string(result.body.size()) + " bytes";
  if (result.first_id != result.id) {
    line += ", goes on after event " + std::to_string(result.begun_after) +
            " of " + result.first_id;
  }
  line += ", asked " + result.process +
          (result.build.empty() ? "" : " (" + result.build + ")") + ", ran at";
  for (const RunRecord* it : RunsOf(result.id)) {
    line += " " + DescribePlace(it->run);
  }
  return line;
}

std::string RunLedger::DescribeTries(const std::string& first_id) const {
  const int64_t unix_offset_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count() -
      now_ms_();
  std::string text;
  for (const ClientResult& it : results_) {
    if (it.first_id != first_id) {
      continue;
    }
    text += "\n    " + it.id + " at " + it.process +
            (it.build.empty() ? "" : " (" + it.build + ")") + " from " +
            std::to_string(it.sent_ms + unix_offset_ms) + " to " +
            std::to_string(it.answered_ms + unix_offset_ms) + ", status " +
            std::to_string(it.status) + ", events " +
            std::to_string(it.begun_after) + " to " +
            std::to_string(LastEventOf(it.body, it.begun_after)) +
            (it.process_disturbed ? ", process disturbed" : "");
    for (const RunRecord* run : RunsOf(it.id)) {
      text += ", run at " + DescribePlace(run->run) + " from " +
              std::to_string(run->begin_ms + unix_offset_ms);
    }
  }
  return text;
}

std::string RunLedger::CheckEvents(const ClientResult& result,
                                   std::set<std::string>* versions) const {
  int last = result.begun_after;
  size_t begin = 0;
  const Run* current = nullptr;
  for (size_t end = result.body.find(kEventEnd); end != std::string::npos;
       end = result.body.find(kEventEnd, begin)) {
    end += kEventEnd.size();
    const std::string event = result.body.substr(begin, end - begin);
    begin = end;
    const size_t field = event.find(kRunField);
    const size_t number =
        field == std::string::npos
            ? runs_.size()
            : std::strtoul(event.c_str() + field + kRunField.size(), nullptr,
                           10);
    if (number >= runs_.size() || runs_[number].run.id != result.id) {
      return "MIXED, event of another request";
    }
    const Run& run = runs_[number].run;
    if (event != EventOf(last + 1, run)) {
      return "ORDER, event " + std::to_string(last + 1) + " is expected";
    }
    if (&run != current && run.begun_after != last) {
      return "ORDER, events of a run that does not go on after the last event";
    }
    if (&run != current && current != nullptr &&
        result.kind != RequestKind::kResumableStream) {
      return "ORDER, events of two runs";
    }
    current = &run;
    versions->insert(run.version);
    ++last;
  }
  if (result.complete) {
    return begin == result.body.size() && last == ShapeOf(result.id).events
               ? ""
               : "ORDER, ends as complete before its last event";
  }
  const std::string rest = result.body.substr(begin);
  const auto continues = [&](const Run& run) {
    return EventOf(last + 1, run).compare(0, rest.size(), rest) == 0;
  };
  bool known = rest.empty() || (current != nullptr && continues(*current));
  for (const RunRecord* it : RunsOf(result.id)) {
    known = known || (it->run.begun_after == last && continues(it->run));
  }
  return known ? "" : "ORDER, breaks off in an event that no run has written";
}

void RunLedger::CheckRepeatedRuns() {
  // Requests that were open while their process was disturbed, and those whose
  // answers no client has waited for.
  std::set<std::string> excused;
  std::set<std::string> answered;
  for (const ClientResult& it : results_) {
    answered.insert(it.id);
    if (it.process_disturbed) {
      excused.insert(it.id);
    }
  }
  for (const auto& [id, numbers] : run_numbers_) {
    const std::vector<const RunRecord*> runs = RunsOf(id);
    if (runs.size() < 2) {
      continue;
    }
    std::string line = ": request " + id + " (" +
                       std::string(NameOf(runs.front()->run.kind)) +
                       "), ran at";
    for (const RunRecord* it : runs) {
      line += " " + DescribePlace(it->run) + " from " +
              std::to_string(it->begin_ms - runs.front()->begin_ms) + " to " +
              (it->end_ms ? std::to_string(*it->end_ms - runs.front()->begin_ms)
                          : "the end") +
              " ms";
    }
    if (MayRunOnce(runs.front()->run.kind)) {
      violations_.push_back("TWICE, ran more than once" + line);
      continue;
    }
    if (!IsStream(runs.front()->run.kind) || answered.count(id) == 0 ||
        excused.count(id) > 0) {
      continue;
    }
    for (size_t n = 1; n < runs.size(); ++n) {
      constexpr int64_t kMaxOverlapMs = 400;
      const RunRecord& before = *runs[n - 1];
      if (!before.end_ms ||
          *before.end_ms > runs[n]->begin_ms + kMaxOverlapMs) {
        violations_.push_back("TWICE, goes on while the run before works" +
                              line);
        break;
      }
    }
  }
}

void RunLedger::CheckTakeUps() {
  std::map<std::string, std::set<std::string>> versions;  // by first request
  for (const ClientResult& it : results_) {
    if (!IsStream(it.kind) || it.status != 200) {
      continue;
    }
    std::set<std::string>& seen = versions[it.first_id];
    const size_t known = seen.size();
    CheckEvents(it, &seen);
    if (known < 2 && seen.size() > 1) {
      violations_.push_back(
          Describe("ORDER, events of two software versions", it) +
          DescribeTries(it.first_id));
    }
  }
}

void RunLedger::Check(const ClientResult& result) {
  const std::vector<const RunRecord*> runs = RunsOfTry(result);
  const auto report = [&](const std::string& text) {
    violations_.push_back(Describe(text, result));
  };
  if (MayRunOnce(result.kind) && IsPromise(result.status) && !runs.empty()) {
    report("REFUSED, ran although the client was told that it had not");
  }
  if (!result.answered_id.empty() && result.answered_id != result.id) {
    report("MIXED, answer to " + result.answered_id);
  }
  if (result.status == 200 && result.complete && !result.signed_by_target) {
    report("MIXED, complete success without a signature");
  }
  if (result.status == 200 && IsStream(result.kind)) {
    std::set<std::string> versions;
    const std::string problem = CheckEvents(result, &versions);
    if (!problem.empty()) {
      report(problem);
    }
    if (streams_whole_from_ms_ && result.sent_ms >= *streams_whole_from_ms_ &&
        !result.complete && !result.left && result.in_time) {
      report("LOST, a stream is broken off that nothing has disturbed");
    }
  } else if (result.status == 200) {
    const std::string expected = BodyOf(result.id);
    if (result.complete
            ? result.body != expected
            : expected.compare(0, result.body.size(), result.body) != 0) {
      report("MIXED, success with another body");
    }
  }
  if (result.status >= 300 && result.status < 500 &&
      !IsPromise(result.status)) {
    report("DENIED, refused although it is proper");
  }
  if (result.process_disturbed) {
    return;
  }
  if (result.status == 0 && result.connection_ended && result.in_time &&
      runs.size() == 1 && runs.front()->run.sound) {
    report("LOST, closed without an answer");
  }
  if (result.status == 0 && !result.connection_ended) {
    report("CONFIG, no answer after the timeout");
  }
}

std::vector<const RunLedger::RunRecord*> RunLedger::RunsOfTry(
    const ClientResult& result) const {
  std::vector<const RunRecord*> runs = RunsOf(result.id);
  // Without the runs of earlier and later requests with this id.
  const int64_t next_ms = NextSentMs(result);
  runs.erase(std::remove_if(runs.begin(), runs.end(),
                            [&](const RunRecord* it) {
                              return it->begin_ms < result.sent_ms ||
                                     it->begin_ms >= next_ms;
                            }),
             runs.end());
  return runs;
}

int64_t RunLedger::NextSentMs(const ClientResult& result) const {
  int64_t next = std::numeric_limits<int64_t>::max();
  const auto it = sent_ms_.find(result.id);
  if (it != sent_ms_.end()) {
    for (const int64_t sent : it->second) {
      if (sent > result.sent_ms) {
        next = std::min(next, sent);
      }
    }
  }
  return next;
}

std::vector<std::string> RunLedger::Violations() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const ClientResult& it : results_) {
    Check(it);
  }
  CheckRepeatedRuns();
  CheckTakeUps();
  CheckAttempts();
  CheckTimeGiven();
  results_.clear();
  run_numbers_.clear();
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
  int take_ups = 0;
  int gone_on = 0;
  int same_id = 0;
  int left = 0;
  std::map<std::string, std::string> builds;  // by request
  std::map<std::string, int> asked;           // by build
  for (const ClientResult& it : results_) {
    builds[it.id] = it.build;
    ++asked[it.build];
  }
  int across = 0;
  int across_gone_on = 0;
  for (const ClientResult& it : results_) {
    left += it.left ? 1 : 0;
    if (it.first_id != it.id) {
      ++take_ups;
      gone_on += it.status == 200 ? 1 : 0;
      if (builds[it.first_id] != it.build) {
        ++across;
        across_gone_on += it.status == 200 ? 1 : 0;
      }
    }
    std::string name(NameOf(it.kind));
    name += " " + std::to_string(it.status);
    name += it.complete ? "" : it.status == 0 ? " unanswered" : " broken off";
    ++counts[name];
  }
  std::string text = std::to_string(results_.size()) + " requests";
  for (const auto& [name, count] : counts) {
    text += ", " + name + " " + std::to_string(count);
  }
  for (const auto& it : sent_ms_) {
    same_id += static_cast<int>(it.second.size()) - 1;
  }
  text += "; " + std::to_string(gone_on) + " of " + std::to_string(take_ups) +
          " streams taken up go on";
  if (asked.size() > 1) {
    text += ", " + std::to_string(across_gone_on) + " of " +
            std::to_string(across) +
            " of them at another build than that of the first request";
  }
  text += "; " + std::to_string(same_id) + " requests with an id sent before";
  if (left > 0) {
    text += "; " + std::to_string(left) + " answers left midway";
  }
  for (const auto& [build, count] : asked) {
    if (!build.empty()) {
      text += "; processes with " + build + " were asked " +
              std::to_string(count) + " times";
    }
  }
  return text;
}

}  // namespace endiveyard::soak
