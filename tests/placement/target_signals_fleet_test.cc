#include <boost/test/unit_test.hpp>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "endiveyard/placement/cache_view.h"
#include "endiveyard/placement/target_availability.h"

namespace endiveyard {
namespace {

constexpr int64_t kStepMs = 20;
constexpr int64_t kDayMs = 30000;
// Bounds of the users' rules.
constexpr int64_t kDrainMs = 2500;
constexpr int64_t kPauseSlackMs = 500;
constexpr int kRequestsInPause = 2;
// Each instance prefers the targets near to it.
constexpr size_t kTargetsOfInstance = 12;

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

// Instances that send requests to targets, some of which leave, and some of
// which reject requests for a while and ask for pauses. The registry names
// those that leave up to 15 s late. Reports between instances are lost at
// times.
class SignalingFleet {
 public:
  SignalingFleet(size_t instances, uint64_t seed, bool heeds_signals)
      : heeds_signals_(heeds_signals), random_(seed), instances_(instances) {
    for (size_t n = 0; n < instances; ++n) {
      instances_[n].availability.set_seed(n);
    }
    const size_t targets = std::max(kTargetsOfInstance, instances);
    for (size_t n = 0; n < targets; ++n) {
      Target target;
      target.replica.id = std::to_string(n);
      if (Below(4) == 0) {
        target.leaves_at = 4000 + Below(18000);
        target.unlisted_at = target.leaves_at + Below(15000);
      }
      if (Below(2) == 0) {
        target.rejects_from = 2000 + Below(15000);
        target.rejects_until = target.rejects_from + 1000 + Below(8000);
      }
      targets_.push_back(target);
    }
  }

  void Run() {
    for (now_ = 0; now_ < kDayMs; now_ += kStepMs) {
      while (!answers_.empty() && answers_.top().at <= now_) {
        Receive(answers_.top());
        answers_.pop();
      }
      for (size_t n = 0; n < instances_.size(); ++n) {
        Send(n);
        // Restarts excuse an instance.
        if (Below(kDayMs / kStepMs) == 0) {
          instances_[n] = Instance();
          instances_[n].availability.set_seed(n);
        }
        if (now_ % 200 == 0) {
          Report(instances_[n].availability.TakeNews(8, At(now_)), 4);
        }
        if (now_ % 1000 == 0) {
          Report(instances_[n].availability.Digest(8, At(now_)), 1);
        }
      }
    }
  }

  int requests() const { return requests_; }
  int late_requests() const { return late_requests_; }
  int broken_pauses() const { return broken_pauses_; }
  // Requests to leaving targets whose leaving no answer had told the sender
  // yet, a drain time or more after some instance knew it.
  int avoidable_requests() const { return avoidable_requests_; }

 private:
  struct Target {
    Replica replica;
    int64_t leaves_at = kDayMs;
    int64_t unlisted_at = kDayMs;
    int64_t rejects_from = kDayMs;
    int64_t rejects_until = kDayMs;
    int64_t first_heard_at = kDayMs;
  };
  struct Pause {
    int64_t from = 0;
    int64_t until = 0;
    int requests = 0;
  };
  struct Instance {
    TargetAvailability availability;
    std::map<size_t, int64_t> heard_leaving_at;
    std::map<size_t, std::vector<Pause>> pauses;
  };
  struct Answer {
    int64_t at = 0;
    size_t instance = 0;
    size_t target = 0;
    bool leaving = false;
    int64_t pause_ms = 0;

    bool operator<(const Answer& other) const { return at > other.at; }
  };

  int64_t Below(int64_t limit) {
    return static_cast<int64_t>(random_() % static_cast<uint64_t>(limit));
  }

  void Send(size_t n) {
    std::vector<const Replica*> listed;
    for (size_t t = 0; t < kTargetsOfInstance; ++t) {
      const Target& it = targets_[(n + t) % targets_.size()];
      if (now_ < it.unlisted_at) {
        listed.push_back(&it.replica);
      }
    }
    Instance& instance = instances_[n];
    if (heeds_signals_) {
      std::optional<Duration> pause;
      listed = instance.availability.Select(listed, At(now_), &pause);
    }
    if (listed.empty()) {
      return;
    }
    const Replica* replica =
        listed[static_cast<size_t>(Below(static_cast<int64_t>(listed.size())))];
    const size_t t = std::stoul(replica->id);
    Judge(&instance, t);
    const Target& target = targets_[t];
    Answer answer{now_ + 10 + Below(300), n, t, now_ >= target.leaves_at, 0};
    if (now_ >= target.rejects_from && now_ < target.rejects_until) {
      answer.pause_ms = 500 + Below(4000);
    }
    answers_.push(answer);
  }

  void Judge(Instance* instance, size_t t) {
    ++requests_;
    const auto heard = instance->heard_leaving_at.find(t);
    if (heard != instance->heard_leaving_at.end()) {
      late_requests_ += now_ > heard->second + kDrainMs;
    } else {
      avoidable_requests_ += now_ > targets_[t].first_heard_at + kDrainMs;
    }
    for (Pause& it : instance->pauses[t]) {
      if (now_ >= it.from + kPauseSlackMs && now_ < it.until) {
        broken_pauses_ += ++it.requests == kRequestsInPause + 1;
      }
    }
  }

  void Receive(const Answer& answer) {
    Instance& instance = instances_[answer.instance];
    const uint64_t key = EngineKey(targets_[answer.target].replica);
    if (answer.leaving) {
      instance.availability.RecordLeaving(key, At(now_));
      instance.heard_leaving_at.emplace(answer.target, now_);
      int64_t& first = targets_[answer.target].first_heard_at;
      first = std::min(first, now_);
    }
    if (answer.pause_ms > 0) {
      instance.availability.RecordPause(
          key, std::chrono::milliseconds(answer.pause_ms), At(now_));
      instance.pauses[answer.target].push_back(
          {now_, now_ + answer.pause_ms, 0});
    }
  }

  void Report(const std::vector<LeavingReport>& reports, int recipients) {
    if (reports.empty()) {
      return;
    }
    for (int n = 0; n < recipients; ++n) {
      Instance& other = instances_[static_cast<size_t>(
          Below(static_cast<int64_t>(instances_.size())))];
      if (Below(3) == 0) {
        continue;  // lost
      }
      for (const LeavingReport& it : reports) {
        other.availability.ApplyReport(it, At(now_), true);
      }
    }
  }

  const bool heeds_signals_;
  std::mt19937_64 random_;
  std::vector<Instance> instances_;
  std::vector<Target> targets_;
  std::priority_queue<Answer> answers_;
  int64_t now_ = 0;
  int requests_ = 0;
  int late_requests_ = 0;
  int broken_pauses_ = 0;
  int avoidable_requests_ = 0;
};

}  // namespace

// Guards against requests to targets that said that they leave, or that asked
// for a pause, in fleets of all sizes that lose reports and instances. Both
// rules are as the users word them, for each pair of instance and target.
BOOST_AUTO_TEST_CASE(FleetsHeedWhatTargetsSay) {
  for (const size_t instances : {8, 95, 370}) {
    for (uint64_t seed = 1; seed <= (instances == 8 ? 10 : 2); ++seed) {
      SignalingFleet fleet(instances, seed, true);
      fleet.Run();
      BOOST_TEST(fleet.requests() > 1000);
      BOOST_TEST(fleet.late_requests() == 0);
      BOOST_TEST(fleet.broken_pauses() == 0);
      BOOST_TEST_MESSAGE(instances << " instances: " << fleet.requests()
                                   << " requests, "
                                   << fleet.avoidable_requests()
                                   << " at targets others knew to leave");
    }
  }
}

// Shows that the checks of the fleet find both faults.
BOOST_AUTO_TEST_CASE(FleetChecksFindSignalsThatAreIgnored) {
  for (const size_t instances : {8, 95}) {
    SignalingFleet fleet(instances, 1, false);
    fleet.Run();
    BOOST_TEST(fleet.late_requests() > 0);
    BOOST_TEST(fleet.broken_pauses() > 0);
  }
}

}  // namespace endiveyard
