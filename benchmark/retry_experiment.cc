// Compares the retry budget with unlimited retries and with no retries, while a
// third of the targets fails and after they have recovered. The random numbers
// are seeded. Prints a table.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <random>
#include <vector>

#include "endiveyard/admission/retry_budget.h"

namespace endiveyard {
namespace {

constexpr int kTargets = 30;
constexpr int kTicksPerSecond = 100;
constexpr int kServedPerTickAndTarget = 1;  // capacity: 100/s per target
constexpr int kTimeoutTicks = 100;          // 1 s until an attempt times out
constexpr int kOutageStart = 20 * kTicksPerSecond;
constexpr int kOutageEnd = 40 * kTicksPerSecond;
constexpr int kEnd = 120 * kTicksPerSecond;
constexpr int kMaxAttempts = 4;  // per request, for unlimited retries

enum class Policy { kNone, kBudget, kUnlimited };

struct Attempt {
  int arrived_at = 0;    // tick at which the request arrived
  int times_out_at = 0;  // tick at which this attempt times out
  int attempts = 1;      // including this one
};

struct PhaseTotals {
  double requests = 0;
  double attempts = 0;
  double completed = 0;
};

struct Outcome {
  PhaseTotals during;
  PhaseTotals after;
  double recovery_seconds = -1;  // -1: not recovered by the end of the run
};

// A failing target accepts requests and never responds. With `cancel`, targets
// drop attempts that have timed out; otherwise they serve them nevertheless.
Outcome RunSimulation(Policy policy, bool cancel, double load, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<std::deque<Attempt>> queues(kTargets);
  RetryBudget budget;
  Outcome outcome;
  std::vector<int> completed_per_tick(kEnd, 0);
  std::vector<Attempt> retries;
  const double per_tick = load * kTargets * kServedPerTickAndTarget;
  double arrivals_due = 0;
  for (int now = 0; now < kEnd; ++now) {
    const bool outage = now >= kOutageStart && now < kOutageEnd;
    PhaseTotals* phase = outage              ? &outcome.during
                         : now >= kOutageEnd ? &outcome.after
                                             : nullptr;
    std::vector<Attempt> new_attempts;
    new_attempts.swap(retries);
    for (arrivals_due += per_tick; arrivals_due >= 1; --arrivals_due) {
      new_attempts.push_back({now, now + kTimeoutTicks, 1});
      CreditFirstAttempt(&budget);
      if (phase != nullptr) {
        ++phase->requests;
      }
    }
    for (const Attempt& it : new_attempts) {
      queues[random() % kTargets].push_back(it);
      if (phase != nullptr) {
        ++phase->attempts;
      }
    }
    for (int i = 0; i < kTargets; ++i) {
      const bool failing = outage && i % 3 == 0;
      std::deque<Attempt>& queue = queues[static_cast<size_t>(i)];
      for (int n = 0; n < kServedPerTickAndTarget && !failing; ++n) {
        if (queue.empty()) {
          break;
        }
        const Attempt attempt = queue.front();
        queue.pop_front();
        if (attempt.times_out_at > now) {
          ++completed_per_tick[static_cast<size_t>(now)];
          if (phase != nullptr) {
            ++phase->completed;
          }
        }
      }
      // Attempts that time out in this tick may be retried.
      for (const Attempt& it : queue) {
        if (it.times_out_at != now) {
          continue;
        }
        const bool retry =
            policy == Policy::kUnlimited
                ? it.attempts < kMaxAttempts
                : policy == Policy::kBudget && TryConsumeRetry(&budget);
        if (retry) {
          retries.push_back(
              {it.arrived_at, now + 1 + kTimeoutTicks, it.attempts + 1});
        }
      }
      while (cancel && !queue.empty() && queue.front().times_out_at <= now) {
        queue.pop_front();
      }
    }
  }
  // Recovered once 95 % of the offered load completes in a full second.
  const double required = 0.95 * per_tick * kTicksPerSecond;
  for (int start = kOutageEnd; start + kTicksPerSecond <= kEnd;
       start += kTicksPerSecond / 10) {
    int sum = 0;
    for (int i = 0; i < kTicksPerSecond; ++i) {
      sum += completed_per_tick.at(start + i);
    }
    if (sum >= required) {
      outcome.recovery_seconds =
          static_cast<double>(start - kOutageEnd) / kTicksPerSecond;
      break;
    }
  }
  return outcome;
}

const char* PolicyName(Policy policy) {
  switch (policy) {
    case Policy::kNone:
      return "none";
    case Policy::kBudget:
      return "budget";
    case Policy::kUnlimited:
      return "unlimited";
  }
  return "";
}

}  // namespace
}  // namespace endiveyard

int main() {
  using endiveyard::Outcome;
  using endiveyard::Policy;
  std::printf(
      "cancel  load  retries    amplification      goodput            "
      "recovery\n"
      "                         during   after     during   after     (s)\n");
  for (const bool cancel : {false, true}) {
    for (const double load : {0.5, 0.6, 0.8, 0.9}) {
      for (const Policy policy :
           {Policy::kNone, Policy::kBudget, Policy::kUnlimited}) {
        constexpr int kSeeds = 5;
        double sums[5] = {};
        bool recovered = true;
        for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
          const Outcome it =
              endiveyard::RunSimulation(policy, cancel, load, seed);
          sums[0] += it.during.attempts / it.during.requests / kSeeds;
          sums[1] += it.after.attempts / it.after.requests / kSeeds;
          sums[2] += it.during.completed / it.during.requests / kSeeds;
          sums[3] += it.after.completed / it.after.requests / kSeeds;
          sums[4] += it.recovery_seconds / kSeeds;
          recovered = recovered && it.recovery_seconds >= 0;
        }
        std::printf("%-6s  %.1f   %-9s  %.2f     %.2f      %.3f    %.3f     ",
                    cancel ? "yes" : "no", load, endiveyard::PolicyName(policy),
                    sums[0], sums[1], sums[2], sums[3]);
        if (recovered) {
          std::printf("%.1f\n", sums[4]);
        } else {
          std::printf("none in 80 s\n");
        }
      }
    }
  }
  return 0;
}
