#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <queue>
#include <random>

#include "endiveyard/placement/placer.h"

namespace endiveyard {
namespace {

constexpr int64_t kCallMs = 40;
constexpr int64_t kEventMs = 6000;  // when a replica starts or recovers
constexpr int64_t kWatchedMs = 4000;
constexpr int64_t kFloodMs = 1000;

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

struct Fleet {
  size_t instances = 0;
  size_t replicas = 8;
  int slots = 32;
  int64_t report_ms = 100;  // interval of the reports of one instance
};

// Reports become rarer with the number of recipients.
const Fleet kFleets[] = {{8, 8, 32, 100},
                         {83, 8, 32, 2000},
                         {370, 8, 32, 5000},
                         {83, 8, 6, 2000}};

// How many times as long as usual work takes at a replica.
struct Pattern {
  double before = 1;
  double after = 1;  // from kEventMs on
  int64_t cold_ms = 0;
  double cold = 1;  // for this time after kEventMs
  bool starts = false;
  size_t count = 1;  // of the replicas that do so
  bool states_duration = false;
  int64_t end_ms = kEventMs + 5000;  // of the simulation

  double At(int64_t now) const {
    return now < kEventMs ? before : now < kEventMs + cold_ms ? cold : after;
  }
};

struct Result {
  int usual_most = 0;    // at another replica at once, while watched
  int most_calls = 0;    // at a watched replica at once, in the first second
  int later_most = 0;    // the same in the rest of the time
  int64_t idle_ms = 0;   // longest time without a call, soon after the event
  int64_t first_ms = 0;  // from the event to the first call
  size_t limited_at_end = 0;  // instances with a limit
  int refused = 0;
  double late_share = 0;  // of the calls while watched, above 4 kCallMs
};

// Instances with a placer each, which send Poisson arrivals to replicas with a
// queue, and lose a third of the reports that they exchange.
class Simulation {
 public:
  Simulation(const Fleet& fleet, const Pattern& pattern, bool with_limits)
      : fleet_(fleet),
        pattern_(pattern),
        with_limits_(with_limits),
        placers_(fleet.instances, Placer({"here", {{"here", "r1"}}})),
        running_(fleet.replicas),
        waiting_(fleet.replicas) {}

  Result Run(double utilization) {
    const double per_ms = utilization * static_cast<double>(fleet_.replicas) *
                          fleet_.slots / kCallMs;
    SetView(!pattern_.starts);
    for (now_ = 0; now_ < pattern_.end_ms; ++now_) {
      if (now_ == kEventMs) {
        SetView(true);
      }
      const int arrivals = std::poisson_distribution<int>(per_ms)(random_);
      for (int n = 0; n < arrivals; ++n) {
        Arrive();
      }
      for (size_t n = 0; n < fleet_.replicas; ++n) {
        Serve(n);
      }
      for (size_t n = 0; n < fleet_.instances; ++n) {
        const auto offset = static_cast<int64_t>(
            n * static_cast<size_t>(fleet_.report_ms) / fleet_.instances);
        if ((now_ + offset) % fleet_.report_ms == 0) {
          Report(n);
        }
      }
      Watch();
    }
    for (Placer& it : placers_) {
      result_.limited_at_end += it.call_limits().LimitedCount(At(now_));
    }
    result_.late_share = late_ / std::max(1.0, ended_);
    return result_;
  }

 private:
  struct Call {
    size_t instance = 0;
    int64_t sent_ms = 0;
    Duration predicted{};
    int64_t ends_ms = 0;
  };

  Replica MakeReplica(size_t n) const {
    Replica replica;
    replica.id = "r" + std::to_string(n);
    replica.service = "s";
    replica.failure_domain = "here";
    replica.slots = fleet_.slots;
    return replica;
  }

  bool IsWatched(size_t replica) const { return replica < pattern_.count; }

  void SetView(bool with_watched) {
    std::vector<Replica> replicas;
    for (size_t n = with_watched ? 0 : pattern_.count; n < fleet_.replicas;
         ++n) {
      replicas.push_back(MakeReplica(n));
    }
    view_.Reset(replicas, At(now_));
    for (size_t n = 0; n < fleet_.instances; ++n) {
      if (with_limits_) {
        placers_[n].call_limits().RecordReplicas(view_, At(now_));
      }
      placers_[n].call_limits().set_instance({n, fleet_.instances, {}, false});
    }
  }

  void Arrive() {
    Call call;
    call.instance = random_() % fleet_.instances;
    call.sent_ms = now_;
    Placer& placer = placers_[call.instance];
    PlacementQuery query;
    query.service = "s";
    query.time_left = query.first_output_time_left = std::chrono::seconds(3);
    query.tie_breaker = random_();
    query.slow_start = with_limits_;
    if (!with_limits_) {
      placer.call_limits().Retain({});
    }
    const auto result = placer.Choose(view_, query, At(now_));
    if (!result.placement) {
      ++result_.refused;
      return;
    }
    placer.RecordPlaced(query, *result.placement, At(now_));
    placer.LoadOf(result.placement->target).RecordCallSent(0);
    call.predicted = result.placement->predicted_run;
    waiting_[std::stoul(result.placement->target.id.substr(1))].push_back(call);
  }

  void Serve(size_t replica) {
    const double factor = IsWatched(replica) ? pattern_.At(now_) : 1;
    auto& running = running_[replica];
    auto& waiting = waiting_[replica];
    for (size_t n = 0; n < running.size();) {
      if (running[n].ends_ms > now_) {
        ++n;
        continue;
      }
      End(replica, running[n], factor);
      running[n] = running.back();
      running.pop_back();
    }
    while (running.size() < static_cast<size_t>(fleet_.slots) &&
           !waiting.empty()) {
      running.push_back(waiting.front());
      waiting.pop_front();
      running.back().ends_ms = now_ + static_cast<int64_t>(kCallMs * factor);
    }
  }

  void End(size_t replica, const Call& call, double factor) {
    Placer& placer = placers_[call.instance];
    const Replica target = MakeReplica(replica);
    const Duration took = std::chrono::milliseconds(now_ - call.sent_ms);
    ReportedLoad load{static_cast<int>(running_[replica].size()) - 1,
                      static_cast<int>(waiting_[replica].size()), fleet_.slots,
                      std::nullopt};
    if (pattern_.states_duration) {
      load.relative_duration = factor;
    }
    placer.RecordReportedLoad(target, load, At(now_));
    placer.ObserveWait("s", {CallKind::kRun, 0}, target, call.predicted, took,
                       At(now_));
    placer.ObservePlainCall("s", took, At(now_));
    placer.RecordCallEnded(target, CallResult::kCompleted, At(call.sent_ms),
                           At(now_));
    if (now_ >= kEventMs && now_ < kEventMs + kWatchedMs) {
      ended_ += 1;
      late_ += now_ - call.sent_ms > 4 * kCallMs ? 1 : 0;
    }
  }

  void Report(size_t sender) {
    Placer& placer = placers_[sender];
    const auto work = placer.LocalWork();
    const auto limits = placer.call_limits().TakeNews(32, At(now_));
    const auto paces = placer.paces().TakeNews(32 - limits.size(), At(now_));
    for (size_t n = 0; n < fleet_.instances; ++n) {
      if (n == sender || random_() % 3 == 0) {
        continue;
      }
      placers_[n].ApplyPeerReport(sender, static_cast<uint64_t>(now_ + 1), work,
                                  {}, At(now_),
                                  std::chrono::milliseconds(fleet_.report_ms));
      for (const auto& it : limits) {
        placers_[n].call_limits().ApplyReport(it, At(now_), false);
      }
      for (const auto& it : paces) {
        placers_[n].paces().ApplyReport(it, At(now_), false);
      }
    }
  }

  void Watch() {
    if (now_ < kEventMs || now_ >= kEventMs + kWatchedMs) {
      return;
    }
    for (size_t n = 0; n < fleet_.replicas; ++n) {
      const int calls =
          static_cast<int>(running_[n].size() + waiting_[n].size());
      if (!IsWatched(n)) {
        result_.usual_most = std::max(result_.usual_most, calls);
        continue;
      }
      int& most =
          now_ < kEventMs + kFloodMs ? result_.most_calls : result_.later_most;
      most = std::max(most, calls);
      if (n > 0) {
        continue;
      }
      idle_ms_ = calls == 0 ? idle_ms_ + 1 : 0;
      result_.idle_ms = std::max(result_.idle_ms, idle_ms_);
      if (calls > 0 && !has_call_) {
        has_call_ = true;
        result_.first_ms = now_ - kEventMs;
      }
    }
  }

  const Fleet fleet_;
  const Pattern pattern_;
  const bool with_limits_;
  std::mt19937 random_{11};
  std::vector<Placer> placers_;
  ReplicaView view_;
  std::vector<std::vector<Call>> running_;
  std::vector<std::deque<Call>> waiting_;
  int64_t now_ = 0;
  int64_t idle_ms_ = 0;
  bool has_call_ = false;
  double ended_ = 0;
  double late_ = 0;
  Result result_;
};

struct Comparison {
  Result without;
  Result with;
};

// Where replicas state their duration, there are limits in both runs. The one
// without forgets them before each request.
Comparison Compare(const char* name,
                   const Fleet& fleet,
                   const Pattern& pattern,
                   double utilization) {
  Comparison results;
  results.without = Simulation(fleet, pattern, false).Run(utilization);
  results.with = Simulation(fleet, pattern, true).Run(utilization);
  const auto print = [&](const char* limits, const Result& it) {
    BOOST_TEST_MESSAGE(name
                       << ", " << fleet.instances << " instances, "
                       << fleet.slots << " slots, " << limits << ": most calls "
                       << it.most_calls << ", later " << it.later_most
                       << " (others " << it.usual_most << ")"
                       << ", first after " << it.first_ms
                       << " ms, longest idle " << it.idle_ms << " ms, late "
                       << 100 * it.late_share << " %, refused " << it.refused
                       << ", limited at end " << it.limited_at_end);
  };
  print("without limits", results.without);
  print("with limits", results.with);
  return results;
}

// The calls at the others differ, too, since reports are old.
void CheckNotFlooded(const Comparison& results) {
  BOOST_TEST(results.with.most_calls <=
             std::max(results.without.most_calls, results.with.usual_most));
}

}  // namespace

// Guards against a replica that has just started being flooded, or left idle.
BOOST_AUTO_TEST_CASE(ColdReplicasAreNeitherFloodedNorIdle) {
  for (const Fleet& fleet : kFleets) {
    Pattern pattern;
    pattern.starts = true;
    pattern.cold_ms = 2000;
    pattern.cold = 3;
    const auto results = Compare("cold start", fleet, pattern, 0.6);
    BOOST_TEST(3 * results.with.most_calls < 2 * results.without.most_calls);
    BOOST_TEST(results.with.idle_ms < 500);
  }
}

// Guards against a flood at a replica that has become fast again.
BOOST_AUTO_TEST_CASE(RecoveredReplicasAreNotFlooded) {
  for (const Fleet& fleet : kFleets) {
    Pattern pattern;
    pattern.before = 8;
    for (const bool states_duration : {false, true}) {
      pattern.states_duration = states_duration;
      const auto results =
          Compare(states_duration ? "recovery, stated" : "recovery", fleet,
                  pattern, 0.6);
      CheckNotFlooded(results);
    }
  }
}

// Guards against a zone that starts at once being left idle or flooded.
BOOST_AUTO_TEST_CASE(ZonesThatStartTakeTheirShare) {
  for (const Fleet& fleet : kFleets) {
    Pattern pattern;
    pattern.starts = true;
    pattern.cold_ms = 2000;
    pattern.cold = 1.6;
    pattern.count = 4;
    const auto results = Compare("zone", fleet, pattern, 0.45);
    CheckNotFlooded(results);
    BOOST_TEST(results.with.idle_ms < 500);
  }
}

// Guards against a replica that never becomes fast keeping its limit.
BOOST_AUTO_TEST_CASE(SlowReplicasLoseTheirLimit) {
  for (const Fleet& fleet : kFleets) {
    if (fleet.instances > 100) {
      continue;  // takes a minute
    }
    Pattern pattern;
    pattern.starts = true;
    pattern.after = 3;
    // Limits that others tell of begin later than the first one.
    pattern.end_ms = kEventMs + 36000;
    const auto results = Compare("never fast", fleet, pattern, 0.6);
    CheckNotFlooded(results);
    BOOST_TEST(results.with.idle_ms < 500);
    BOOST_TEST(results.with.limited_at_end == 0u);
  }
}

}  // namespace endiveyard
