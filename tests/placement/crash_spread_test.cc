#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "endiveyard/placement/crash_suspects.h"

namespace endiveyard {
namespace {

constexpr int64_t kStepMs = 10;
// The users' bounds: what happens this long after the fifth crash counts, and
// at most three requests may then be sent.
constexpr int64_t kStableMs = 4000;
constexpr int kMaxLateRequests = 3;

struct Result {
  int crashes = 0;
  int late_requests = 0;
  int sound_requests = 0;
  int sound_refused = 0;
};

// Instances that place requests on replicas, some of which crash the replica
// that begins to answer them, and that exchange reports, a third of which are
// lost.
class CrashingFleet {
 public:
  // Instances of different parts get no reports of each other.
  CrashingFleet(uint32_t instances,
                size_t regions,
                unsigned seed,
                size_t parts = 1)
      : suspects_(instances), regions_(regions), parts_(parts), random_(seed) {
    for (int n = 0; n < kReplicas; ++n) {
      replicas_[n].key = next_replica_key_++;
    }
  }

  // `deadly_share` of the requests have the deadly part.
  Result Run(int64_t duration_ms, double deadly_share) {
    for (now_ms_ = 1000; now_ms_ < 1000 + duration_ms; now_ms_ += kStepMs) {
      Arrive(deadly_share);
      for (Replica& it : replicas_) {
        Advance(&it);
      }
      Exchange();
      ExchangeThroughRegistry();
      if (std::find(restarts_ms_.begin(), restarts_ms_.end(), now_ms_) !=
          restarts_ms_.end()) {
        RestartAll();
      }
    }
    return result_;
  }

  // All prompts have so many further parts in common.
  void set_common_parts(uint32_t count) { common_parts_ = count; }
  // Replicas begin to answer requests after this time at most. Those that wait
  // are lost with the replica.
  void set_max_wait_ms(int64_t ms) { max_wait_ms_ = ms; }
  // All instances end and start again at these times.
  void set_restarts(std::vector<int64_t> restarts_ms) {
    restarts_ms_ = std::move(restarts_ms);
  }

 private:
  static constexpr int kReplicas = 12;
  struct Call {
    size_t instance = 0;
    SuspectKeys keys;
    int64_t sent_ms = 0;
    int64_t begins_ms = 0;
    bool deadly = false;
  };
  struct Replica {
    uint64_t key = 0;
    int64_t back_ms = 0;
    std::vector<Call> calls;
  };

  struct Record {
    std::vector<CrashReport> reports;
    int64_t written_ms = 0;
  };

  TimePoint Now() const { return TimePointFromMicros(now_ms_ * 1000); }

  // What the processes knew is gone, but for records, and calls that they had
  // sent with it.
  void RestartAll() {
    for (size_t n = 0; n < suspects_.size(); ++n) {
      suspects_[n] = CrashSuspects();
      ReadRecords(n);
    }
    for (Replica& it : replicas_) {
      it.calls.clear();
    }
    restarted_ms_ = now_ms_;
  }

  void Arrive(double deadly_share) {
    constexpr double kRequestsPerStep = 0.4;
    if (!Chance(kRequestsPerStep)) {
      return;
    }
    Call call;
    call.instance = random_() % suspects_.size();
    call.deadly = Chance(deadly_share);
    // The first part, one of 30 documents, and the request itself.
    constexpr SuspectKey kFirstDocument = 10;
    constexpr SuspectKey kFirstRequest = 1000;
    call.keys = {1};
    if (call.deadly) {
      call.keys.push_back(2);
    }
    call.keys.push_back(kFirstDocument +
                        (call.deadly ? random_() % 3 : random_() % 30));
    call.keys.push_back(kFirstRequest + requests_++);
    constexpr SuspectKey kFirstCommonPart = 1U << 24;
    for (uint32_t n = 0; n < common_parts_; ++n) {
      call.keys.push_back(kFirstCommonPart + n);
    }
    result_.sound_requests += call.deadly ? 0 : 1;
    if (suspects_[call.instance].Judge(call.keys, Now()) ==
        CrashVerdict::kCulprit) {
      result_.sound_refused += call.deadly ? 0 : 1;
      return;
    }
    Replica& replica = replicas_[random_() % kReplicas];
    if (now_ms_ < replica.back_ms) {
      return;
    }
    if (call.deadly && result_.crashes >= 5 &&
        now_ms_ > std::max(fifth_crash_ms_, restarted_ms_) + kStableMs) {
      ++result_.late_requests;
    }
    call.sent_ms = now_ms_;
    call.begins_ms =
        now_ms_ + 50 +
        static_cast<int64_t>(random_() % static_cast<uint64_t>(max_wait_ms_));
    replica.calls.push_back(call);
  }

  void Advance(Replica* replica) {
    const auto crashing = std::find_if(
        replica->calls.begin(), replica->calls.end(), [this](const Call& it) {
          return it.deadly && it.begins_ms <= now_ms_;
        });
    if (crashing != replica->calls.end()) {
      Crash(replica, crashing->keys);
      return;
    }
    constexpr int64_t kSurvivalMs = 250;
    for (auto it = replica->calls.begin(); it != replica->calls.end();) {
      if (it->begins_ms + kSurvivalMs > now_ms_) {
        ++it;
        continue;
      }
      suspects_[it->instance].RecordAnswer(
          it->keys, TimePointFromMicros(it->begins_ms * 1000), Now());
      suspects_[it->instance].RecordSignOfLife(
          replica->key, TimePointFromMicros(it->sent_ms * 1000), Now());
      it = replica->calls.erase(it);
    }
  }

  void Crash(Replica* replica, const SuspectKeys& cause) {
    if (++result_.crashes == 5) {
      fifth_crash_ms_ = now_ms_;
    }
    for (const Call& it : replica->calls) {
      if (it.begins_ms > now_ms_ || it.keys == cause) {
        suspects_[it.instance].RecordLostCall(
            replica->key, it.keys, TimePointFromMicros(it.sent_ms * 1000),
            it.keys == cause && !Chance(0.2), Now());
      }
    }
    replica->calls.clear();
    replica->key = next_replica_key_++;
    replica->back_ms = now_ms_ + 3000;
  }

  // Work reports go to the own region, one of them at a time to each other
  // region, and digests to two instances a second.
  void Exchange() {
    constexpr size_t kMaxKeys = 128;
    const int64_t work_interval = suspects_.size() > 17 ? 1000 : 60;
    for (size_t n = 0; n < suspects_.size(); ++n) {
      const int64_t phase = now_ms_ / kStepMs + static_cast<int64_t>(n);
      if (phase % (work_interval / kStepMs) == 0) {
        const auto news = suspects_[n].TakeNews(kMaxKeys, Now());
        for (size_t to = n % regions_; to < suspects_.size(); to += regions_) {
          Deliver(news, n, to, false);
        }
      }
      if (regions_ > 1 && phase % 40 == 0) {
        for (size_t region = 0; region < regions_; ++region) {
          const size_t to =
              random_() % (suspects_.size() / regions_) * regions_ + region;
          if (region != n % regions_) {
            Deliver(suspects_[n].Digest(kMaxKeys, Now()), n, to, true);
          }
        }
      }
      if (phase % 50 == 0) {
        Deliver(suspects_[n].Digest(kMaxKeys, Now()), n,
                random_() % suspects_.size(), false);
      }
    }
  }

  // Parts tell each other through the registry: each instance writes what it
  // knows once a second, and reads all every two seconds. In a whole fleet, few
  // write, for those that start when all have ended.
  void ExchangeThroughRegistry() {
    constexpr size_t kMaxKeys = 128;
    constexpr size_t kKeepers = 2;
    constexpr size_t kReadSteps = 2000 / kStepMs;
    const size_t write_steps = (parts_ > 1 ? 1000 : 5000) / kStepMs;
    records_.resize(suspects_.size());
    for (size_t n = 0; n < suspects_.size(); ++n) {
      const size_t phase = static_cast<size_t>(now_ms_ / kStepMs) + 37 * n;
      if (phase % write_steps == 0 && (parts_ > 1 || n < kKeepers)) {
        records_[n] = {suspects_[n].Digest(kMaxKeys, Now()), now_ms_};
      }
      if (phase % kReadSteps == 0 && parts_ > 1) {
        ReadRecords(n);
      }
    }
  }

  void ReadRecords(size_t n) {
    for (const Record& record : records_) {
      for (CrashReport it : record.reports) {
        AddAge(Duration((now_ms_ - record.written_ms) * 1000), &it);
        suspects_[n].ApplyReport(it, Now(), true);
      }
    }
  }

  void Deliver(const std::vector<CrashReport>& reports,
               size_t from,
               size_t to,
               bool relay) {
    if (from == to || random_() % 3 == 0 || from % parts_ != to % parts_) {
      return;
    }
    for (CrashReport it : reports) {
      // The time on the way is not part of the age.
      it.age = std::max(Duration(0), it.age - std::chrono::milliseconds(15));
      suspects_[to].ApplyReport(it, Now(), relay);
    }
  }

  bool Chance(double share) {
    return std::uniform_real_distribution<>(0, 1)(random_) < share;
  }

  std::vector<CrashSuspects> suspects_;
  const size_t regions_;
  const size_t parts_;
  std::vector<Record> records_;  // in the registry, by instance
  std::mt19937 random_;
  std::array<Replica, kReplicas> replicas_;
  uint64_t next_replica_key_ = 1;
  uint32_t requests_ = 0;
  int64_t now_ms_ = 0;
  int64_t fifth_crash_ms_ = 0;
  uint32_t common_parts_ = 0;
  int64_t max_wait_ms_ = 800;
  std::vector<int64_t> restarts_ms_;
  int64_t restarted_ms_ = 0;
  Result result_;
};

}  // namespace

// Guards against a fleet whose instances each have to lose replicas before they
// refuse requests that crash them, and against refusing sound requests.
BOOST_AUTO_TEST_CASE(FleetStopsSendingRequestsThatCrashReplicas) {
  for (const double deadly_share : {0.01, 0.05, 0.3}) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CrashingFleet fleet(8, 1, seed);
      const Result result = fleet.Run(30000, deadly_share);
      BOOST_TEST_CONTEXT("seed " << seed << " share " << deadly_share) {
        BOOST_TEST(result.late_requests <= kMaxLateRequests);
        BOOST_TEST(result.sound_refused <= result.sound_requests / 20);
        BOOST_TEST(result.crashes <= 5 + 12);
      }
    }
  }
  CrashingFleet large(370, 4, 1);
  const Result result = large.Run(20000, 0.05);
  BOOST_TEST(result.crashes >= 3);
  BOOST_TEST(result.late_requests <= kMaxLateRequests);
  BOOST_TEST(result.sound_refused <= result.sound_requests / 20);
}

// Guards against a part that is overlooked among many others (review/14), with
// up to as many as a head of 16 KB has, while few and while many calls wait.
BOOST_AUTO_TEST_CASE(FleetFindsTheCrashingPartOfLongPrompts) {
  for (const uint32_t parts : {70U, 400U, 1300U}) {
    for (const int64_t max_wait_ms : {800, 4000}) {
      for (const uint32_t instances : {8U, 370U}) {
        CrashingFleet fleet(instances, instances > 8 ? 4 : 1, parts);
        fleet.set_common_parts(parts);
        fleet.set_max_wait_ms(max_wait_ms);
        const Result result = fleet.Run(15000, 0.05);
        BOOST_TEST_CONTEXT("instances " << instances << " parts " << parts
                                        << " wait " << max_wait_ms) {
          BOOST_TEST(result.crashes >= 3);
          BOOST_TEST(result.late_requests <= kMaxLateRequests);
          BOOST_TEST(result.sound_refused <= result.sound_requests / 20);
        }
      }
    }
  }
}

// Guards against parts of a fleet that do not hear each other and each have to
// lose replicas before they refuse requests that crash them.
BOOST_AUTO_TEST_CASE(PartsThatDoNotHearEachOtherStopSendingRequestsThatCrash) {
  for (const size_t parts : {2, 3, 8}) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CrashingFleet fleet(8, 1, seed, parts);
      const Result result = fleet.Run(30000, 0.05);
      BOOST_TEST_CONTEXT("seed " << seed << " parts " << parts) {
        BOOST_TEST(result.late_requests <= kMaxLateRequests);
      }
    }
  }
}

// Guards against a fleet that learns anew which requests crash replicas
// whenever all of its processes end.
BOOST_AUTO_TEST_CASE(WhatCrashesReplicasIsKnownAfterAllInstancesHaveEnded) {
  for (const double deadly_share : {0.005, 0.01, 0.05}) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CrashingFleet fleet(8, 1, seed);
      fleet.set_restarts({30000, 50000, 70000});
      const Result result = fleet.Run(90000, deadly_share);
      BOOST_TEST_CONTEXT("seed " << seed << " share " << deadly_share) {
        BOOST_TEST(result.late_requests <= kMaxLateRequests);
        BOOST_TEST(result.sound_refused <= result.sound_requests / 20);
      }
    }
  }
}

}  // namespace endiveyard
