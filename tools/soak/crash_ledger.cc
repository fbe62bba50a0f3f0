#include "soak/crash_ledger.h"

#include <algorithm>
#include <limits>
#include <set>

namespace endiveyard::soak {
namespace {

// What the users' rules allow.
constexpr size_t kCrashesOfRequest = 3;
constexpr size_t kCrashesOfPart = 5;
constexpr size_t kMaxLateCalls = 3;
constexpr int64_t kLimitWindowMs = 4000;
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
// A response counts for a process from then on.
constexpr int64_t kToldMs = 500;
constexpr double kMsPerS = 1000;

std::string NameOf(CrashCause cause, const std::string& name) {
  return (cause == CrashCause::kRequest ? "request " : "part ") + name;
}

// A call that only has the prompt read does not count beside one that runs the
// request.
std::vector<ReplicaCall> WithoutReads(const std::vector<ReplicaCall>& calls) {
  std::set<std::string> run;
  for (const ReplicaCall& it : calls) {
    if (!it.read_only) {
      run.insert(it.request_id);
    }
  }
  std::vector<ReplicaCall> counted;
  for (const ReplicaCall& it : calls) {
    if (!it.read_only || run.insert(it.request_id).second) {
      counted.push_back(it);
    }
  }
  return counted;
}

}  // namespace

CrashLedger::CrashLedger(IsCalm is_calm) : is_calm_(std::move(is_calm)) {}

void CrashLedger::RecordCall(CrashCause cause,
                             const std::string& name,
                             const ReplicaCall& call) {
  const std::lock_guard<std::mutex> lock(mutex_);
  crashes_[{cause, name}].calls.push_back(call);
}

void CrashLedger::RecordCrash(CrashCause cause,
                              const std::string& name,
                              int64_t at_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  crashes_[{cause, name}].times_ms.push_back(at_ms);
}

void CrashLedger::RecordCall(const ReplicaCall& call) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = limits_.find(call.replica);
  if (it != limits_.end() && it->second.end_ms > call.at_ms) {
    it->second.calls.push_back(call);
  }
}

void CrashLedger::RecordLimit(const std::string& replica,
                              const std::string& process,
                              double calls_per_s,
                              int64_t at_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Limit& limit = limits_[replica];
  if (limit.begin_ms == 0) {
    limit.calls_per_s = calls_per_s;
    limit.begin_ms = at_ms;
    limit.end_ms = std::numeric_limits<int64_t>::max();
  }
  limit.told_ms[process].push_back(at_ms);
}

void CrashLedger::RecordLimitEnd(const std::string& replica, int64_t at_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = limits_.find(replica);
  if (it != limits_.end()) {
    it->second.end_ms = std::min(it->second.end_ms, at_ms);
  }
}

std::vector<ReplicaCall> CrashLedger::LateCalls(CrashCause cause,
                                                const Crashes& crashes) const {
  const size_t needed =
      cause == CrashCause::kRequest ? kCrashesOfRequest : kCrashesOfPart;
  std::vector<ReplicaCall> late;
  if (crashes.times_ms.size() < needed) {
    return late;
  }
  std::vector<int64_t> times_ms = crashes.times_ms;
  std::sort(times_ms.begin(), times_ms.end());
  const int64_t begin_ms = times_ms[needed - 1] + kStableMs;
  for (const ReplicaCall& it : WithoutReads(crashes.calls)) {
    if (it.at_ms > begin_ms &&
        is_calm_(it.process, it.at_ms - kStableMs, it.at_ms)) {
      late.push_back(it);
    }
  }
  return late;
}

CrashLedger::LimitPeak CrashLedger::FindPeak(const Limit& limit) const {
  std::vector<int64_t> times_ms;
  for (const ReplicaCall& it : limit.calls) {
    const auto told = limit.told_ms.find(it.process);
    if (told == limit.told_ms.end() || it.at_ms < limit.begin_ms + kStableMs) {
      continue;
    }
    // A process that was disturbed since then has to be told again.
    const auto& times = told->second;
    const auto next =
        std::upper_bound(times.begin(), times.end(), it.at_ms - kToldMs);
    if (next != times.begin() &&
        is_calm_(it.process, *std::prev(next), it.at_ms)) {
      times_ms.push_back(it.at_ms);
    }
  }
  std::sort(times_ms.begin(), times_ms.end());
  LimitPeak peak;
  peak.allowed = kLimitFactor * limit.calls_per_s *
                     static_cast<double>(kLimitWindowMs) / kMsPerS +
                 kLimitSlack;
  for (auto it = times_ms.begin(); it != times_ms.end(); ++it) {
    const auto end = std::lower_bound(it, times_ms.end(), *it + kLimitWindowMs);
    peak.calls = std::max(peak.calls, static_cast<int>(end - it));
  }
  return peak;
}

std::vector<std::string> CrashLedger::Violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> violations;
  for (const auto& [key, crashes] : crashes_) {
    const auto& [cause, name] = key;
    const std::vector<ReplicaCall> late = LateCalls(cause, crashes);
    if (late.size() <= kMaxLateCalls) {
      continue;
    }
    std::string line = "BUDGET, " + NameOf(cause, name) + " has crashed " +
                       std::to_string(crashes.times_ms.size()) +
                       " replicas and reached replicas " +
                       std::to_string(late.size()) + " times too late:";
    const int64_t first_ms =
        *std::min_element(crashes.times_ms.begin(), crashes.times_ms.end());
    for (const ReplicaCall& it : late) {
      line += " " + it.request_id + " from " + it.process + " at " +
              it.replica + " " + std::to_string(it.at_ms - first_ms) +
              " ms after the first crash,";
    }
    line.pop_back();
    violations.push_back(line);
  }
  for (const auto& [replica, limit] : limits_) {
    const LimitPeak peak = FindPeak(limit);
    if (peak.calls > peak.allowed) {
      violations.push_back("LIMIT, replica " + replica + " takes " +
                           std::to_string(limit.calls_per_s) +
                           " calls a second and got " +
                           std::to_string(peak.calls) + " in 4 s, where " +
                           std::to_string(peak.allowed) + " are allowed");
    }
  }
  return violations;
}

std::string CrashLedger::Summary() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  for (const auto& [key, crashes] : crashes_) {
    const auto& [cause, name] = key;
    text += "; " + NameOf(cause, name) + " crashed " +
            std::to_string(crashes.times_ms.size()) + " replicas, reached " +
            std::to_string(LateCalls(cause, crashes).size()) + " too late";
  }
  double most = -std::numeric_limits<double>::infinity();
  for (const auto& [replica, limit] : limits_) {
    const LimitPeak peak = FindPeak(limit);
    most = std::max(most, peak.calls - peak.allowed);
  }
  if (!limits_.empty()) {
    text += "; " + std::to_string(limits_.size()) +
            " replicas with a rate limit, in 4 s " + std::to_string(most) +
            " calls beyond it at most";
  }
  return text;
}

}  // namespace endiveyard::soak
