#include "soak/first_tries.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <limits>

#include "soak/http_peer.h"

namespace endiveyard::soak {
namespace {

int64_t UnixOffsetMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count() -
         NowMs();
}

}  // namespace

FirstTries::FirstTries(const std::string& file)
    : out_(file), unix_offset_ms_(UnixOffsetMs()) {}

void FirstTries::Write(const std::string& line) {
  out_ << unix_offset_ms_ + NowMs() << " " << line << std::endl;
}

void FirstTries::RecordCut(const std::string& mode,
                           const std::vector<std::string>& processes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  mode_ = mode;
  cut_off_ = {processes.begin(), processes.end()};
  cut_since_ms_ = NowMs();
  std::string line = "cut " + mode;
  for (const std::string& it : processes) {
    line += " " + it;
  }
  Write(line);
}

void FirstTries::RecordHeal() {
  const std::lock_guard<std::mutex> lock(mutex_);
  cut_since_ms_ = 0;
  cut_off_.clear();
  Write("heal");
}

void FirstTries::RecordSignal(const std::string& process, int signal) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (signal == SIGTERM) {
    out_of_touch_until_ms_[process] = std::numeric_limits<int64_t>::max();
  }
  Write("signal " + process + " " + strsignal(signal));
}

void FirstTries::RecordStart(const std::string& process) {
  const std::lock_guard<std::mutex> lock(mutex_);
  out_of_touch_until_ms_[process] = NowMs() + kStableMs;
  Write("start " + process);
}

void FirstTries::RecordTry(const FirstTry& first_try) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (cut_since_ms_ == 0 || first_try.sent_ms < cut_since_ms_ + kStableMs ||
      !first_try.process_calm) {
    return;
  }
  const bool is_cut_off = cut_off_.count(first_try.process) > 0;
  const auto count = [&](Comparison* comparison) {
    Tries& tries = is_cut_off ? comparison->cut_off : comparison->others;
    Count(first_try, &tries);
    if (!first_try.build.empty()) {
      Count(first_try, &tries.by_build[first_try.build]);
    }
  };
  Mode& mode = tries_[mode_];
  count(&mode.all);
  const bool in_touch =
      out_of_touch_until_ms_[first_try.process] < first_try.sent_ms;
  if (in_touch) {
    count(&mode.in_touch);
  }
  Write("try " + first_try.process +
        (first_try.build.empty() ? "" : " " + first_try.build) +
        (is_cut_off ? " cut_off " : " elsewhere ") +
        (in_touch ? "in_touch " : "out_of_touch ") +
        (first_try.request.empty() ? "-" : first_try.request) + " sent " +
        std::to_string(first_try.sent_ms + unix_offset_ms_) +
        (first_try.served ? " served " : " failed ") + first_try.end);
}

void FirstTries::Count(const FirstTry& first_try, Tries* tries) {
  ++tries->all;
  tries->served += first_try.served ? 1 : 0;
}

std::string FirstTries::DescribeBuilds(const Tries& tries) {
  std::string text;
  for (const auto& [build, it] : tries.by_build) {
    text += (text.empty() ? " (" : "; ") + build + ": " +
            std::to_string(it.served) + " of " + std::to_string(it.all);
  }
  return text.empty() ? "" : text + ")";
}

std::string FirstTries::TextOf(const Comparison& tries) {
  return std::to_string(tries.cut_off.served) + " of " +
         std::to_string(tries.cut_off.all) + " first tries" +
         DescribeBuilds(tries.cut_off) + ", elsewhere " +
         std::to_string(tries.others.served) + " of " +
         std::to_string(tries.others.all) + DescribeBuilds(tries.others);
}

std::string FirstTries::LineOf(const std::string& mode, const Mode& tries) {
  return "links cut (" + mode + "): served " + TextOf(tries.all) +
         " (in touch " + TextOf(tries.in_touch) + ")";
}

std::string FirstTries::Summary() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  for (const auto& [mode, tries] : tries_) {
    text += "; " + LineOf(mode, tries);
  }
  return text;
}

bool FirstTries::BreaksBound(const Comparison& tries) {
  // Clients wait for answers, so that there are few tries where these are late:
  // the share of all tries that the rule allows to fail isn't granted.
  constexpr int kMaxFailed = 10;
  const auto& [cut_off, others] = tries;
  // Compares the shares without dividing by zero.
  return 3.0 * cut_off.served * others.all <
             2.0 * others.served * cut_off.all &&
         cut_off.all - cut_off.served > kMaxFailed;
}

std::vector<std::string> FirstTries::Violations() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> violations;
  for (const auto& [mode, tries] : tries_) {
    const bool decided_in_touch =
        std::min(tries.in_touch.cut_off.all, tries.in_touch.others.all) >=
        kMinTriesInTouch;
    if (BreaksBound(tries.in_touch)) {
      violations.push_back("RECOVER, " + LineOf(mode, tries));
    } else if (!decided_in_touch && BreaksBound(tries.all)) {
      violations.push_back("RECOVER, by all tries, as few are in touch, " +
                           LineOf(mode, tries));
    }
  }
  return violations;
}

}  // namespace endiveyard::soak
