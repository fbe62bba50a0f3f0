#include "endiveyard/duties/usage_exchange.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <memory>
#include <random>

namespace endiveyard {
namespace {

constexpr int64_t kWindowMs = 5000;
constexpr int64_t kStartMs = 1'767'225'600'000;  // begins a window
constexpr int64_t kTickMs = 250;
constexpr int64_t kReportMs = 200;
constexpr int kCustomers = 12;
// The median of the clocks lags by the time that datagrams take, 60 ms at most,
// and starts are counted in steps of 1 ms.
constexpr int64_t kClockMarginMs = 65;

// Instances that exchange messages over a network that loses, repeats and
// delays them, with a registry and a platform that take what a holder sends.
class Fleet {
 public:
  struct Instance;

  explicit Fleet(size_t n) {
    for (size_t k = 0; k < n; ++k) {
      instances.push_back(std::make_unique<Instance>());
      instances[k]->fleet = this;
      instances[k]->address = static_cast<uint32_t>(k + 1);
      instances[k]->tick_phase = static_cast<int64_t>(random() % kTickMs);
      Start(k);
    }
    SetHolder(0);
  }

  struct Instance : DutyCalls {
    std::optional<uint64_t> Token(TimePoint) const override {
      return fleet->holder == static_cast<int>(address) - 1
                 ? std::optional(fleet->token)
                 : std::nullopt;
    }
    void SendScaleOrder(const ScaleOrder&,
                        std::function<void(DutyCallOutcome)>) override {}
    void SendUsageReport(const UsageReport& report,
                         std::function<void(DutyCallOutcome)> done) override {
      fleet->TakeReport(report, address, done);
    }
    std::optional<UsageReport> LastUsageReport() const override {
      return fleet->recorded;
    }

    Fleet* fleet = nullptr;
    uint32_t address = 0;
    int64_t clock_error_ms = 0;
    int64_t tick_phase = 0;
    bool alive = true;
    bool leaving = false;
    uint64_t sequence = 0;
    size_t bytes = 0;
    size_t peak_bytes = 0;  // in a second
    std::unique_ptr<UsageExchange> exchange;
  };

  TimePoint Now() const {
    return TimePoint() + std::chrono::hours(1) +
           std::chrono::milliseconds(now_ms);
  }
  int64_t UnixMsOf(const Instance& it) const {
    return kStartMs + now_ms + it.clock_error_ms;
  }
  int64_t WindowNow() const { return (kStartMs + now_ms) / kWindowMs; }

  void Start(size_t k) {
    Instance& it = *instances[k];
    it.alive = true;
    it.leaving = false;
    it.sequence = 0;
    UsageExchangeOptions options;
    options.own_address = it.address;
    UsageExchangeHandlers handlers;
    handlers.send = [this, &it](uint32_t to, const UsageMessage& message) {
      Send(&it, to, message);
    };
    handlers.on_event = [this](const UsageEvent& event) {
      ++events[event.kind];
    };
    it.exchange =
        std::make_unique<UsageExchange>(options, handlers, UnixMsOf(it), Now());
    std::vector<std::string> names;
    names.reserve(kCustomers);
    for (int c = 0; c < kCustomers; ++c) {
      names.push_back("c" + std::to_string(c));
    }
    it.exchange->AddCustomers(names);
  }

  void SetHolder(int k) {
    holder = k;
    token = (static_cast<uint64_t>(era) << 32) + ++fencing_number;
  }

  void Kill(size_t k) {
    instances[k]->alive = false;
    if (holder == static_cast<int>(k)) {
      holder = -1;
    }
  }

  void Send(Instance* from, uint32_t to, const UsageMessage& message) {
    size_t bytes = 28 + 110 + 9 * message.acks.size();
    for (const WindowUsage& it : message.usage) {
      bytes += 16 + 14 * it.customers.size();
    }
    from->bytes += bytes;
    UsagePeerReport report;
    report.statement = {from->address, ++from->sequence, UnixMsOf(*from),
                        message.usage};
    report.acks = message.acks;
    report.duty_holder = from->exchange->duty_holder(Now());
    for (int copies = random() % 50 == 0 ? 2 : 1; copies > 0; --copies) {
      if (Uniform() >= loss) {
        const int64_t delay = 1 + static_cast<int64_t>(random() % 60);
        datagrams.emplace(now_ms + delay, std::make_pair(to, report));
      }
    }
  }

  void TakeReport(const UsageReport& report,
                  uint32_t from,
                  const std::function<void(DutyCallOutcome)>& done) {
    sent.push_back(report.window);
    if (conflicts) {
      answers.push_back([done] { done(DutyCallOutcome::kConflict); });
      return;
    }
    if (recorded && (recorded->window > report.window ||
                     (recorded->window == report.window &&
                      recorded->counts != report.counts))) {
      answers.push_back([done] { done(DutyCallOutcome::kRejected); });
      return;
    }
    recorded = report;
    DutyCallOutcome outcome = DutyCallOutcome::kUnknown;
    if (!platform_down) {
      const auto [it, is_new] = accepted.emplace(report.window, report.counts);
      BOOST_TEST(it->second == report.counts);
      if (is_new) {
        accepted_after_ms[report.window] =
            kStartMs + now_ms - (report.window + 1) * kWindowMs;
      }
      outcome = DutyCallOutcome::kAccepted;
    }
    if (lose_answers) {
      outcome = DutyCallOutcome::kUnknown;
    }
    if (instances[from - 1]->alive) {
      answers.push_back([done, outcome] { done(outcome); });
    }
  }

  void Run(double seconds) {
    const int64_t end = now_ms + static_cast<int64_t>(seconds * 1000);
    for (; now_ms < end; ++now_ms) {
      Step();
    }
  }

  // Runs until the present window has `left_ms` left.
  void RunToEndOfWindow(int64_t left_ms) {
    const int64_t left = kWindowMs - (kStartMs + now_ms) % kWindowMs;
    Run(static_cast<double>((left + kWindowMs - left_ms) % kWindowMs) / 1000);
  }

  void Step() {
    for (auto& it : std::exchange(answers, {})) {
      it();
    }
    for (auto it = datagrams.begin();
         it != datagrams.end() && it->first <= now_ms;
         it = datagrams.erase(it)) {
      Instance& to = *instances[it->second.first - 1];
      if (to.alive) {
        to.exchange->RecordReport(it->second.second, Now());
      }
    }
    for (auto& it : instances) {
      if (it->alive) {
        StepInstance(it.get());
      }
    }
  }

  void StepInstance(Instance* it) {
    if (Uniform() < starts_per_ms) {
      const std::string customer = "c" + std::to_string(random() % kCustomers);
      it->exchange->RecordStart(customer, Now());
      ++truth[WindowNow()][customer];
      const int64_t before = (kStartMs + now_ms - kClockMarginMs) / kWindowMs;
      const int64_t after = (kStartMs + now_ms + kClockMarginMs) / kWindowMs;
      ++at_most[before][customer];
      if (before == after) {
        ++at_least[before][customer];
      } else {
        ++at_most[after][customer];
      }
    }
    const int64_t phase = now_ms + it->tick_phase;
    if (phase % kTickMs == 0) {
      UsageTick tick;
      tick.unix_ms = UnixMsOf(*it);
      tick.era = era;
      for (const auto& other : instances) {
        if (other->alive && !other->leaving) {
          tick.live.push_back(other->address);
        }
      }
      it->exchange->Tick(tick, it, Now());
    }
    if (phase % kReportMs == 0) {
      // A report of work, whose bytes are not counted here.
      const size_t bytes = it->bytes;
      for (int n = 0; n < 8; ++n) {
        const size_t to = random() % instances.size();
        if (instances[to].get() != it) {
          Send(it, static_cast<uint32_t>(to + 1), {});
        }
      }
      it->bytes = bytes;
    }
    if (phase % 1000 == 0) {
      it->peak_bytes = std::max(it->peak_bytes, it->bytes);
      it->bytes = 0;
    }
  }

  double Uniform() { return static_cast<double>(random() % 1'000'000) / 1e6; }

  // Checks that all windows from `first` to `last` were reported in time, with
  // the true counts.
  void CheckWindows(int64_t first, int64_t last) {
    CheckCounts(first, last);
    for (int64_t w = first; w <= last; ++w) {
      BOOST_TEST(accepted_after_ms[w] <= 10'000);
    }
  }

  // Checks that they were reported at any time, with the true counts, apart
  // from requests at the bounds of a window.
  void CheckCounts(int64_t first, int64_t last) {
    for (int64_t w = first; w <= last; ++w) {
      BOOST_TEST_CONTEXT("window " << w - kStartMs / kWindowMs) {
        BOOST_REQUIRE(accepted.count(w) == 1);
        for (const auto& [customer, requests] : at_most[w]) {
          BOOST_TEST_CONTEXT(customer << ", at most " << requests) {
            BOOST_TEST(accepted[w][customer] >= at_least[w][customer]);
            BOOST_TEST(accepted[w][customer] <= at_most[w][customer]);
          }
        }
      }
    }
  }

  std::vector<std::unique_ptr<Instance>> instances;
  std::mt19937 random{17};
  int64_t now_ms = 0;
  double loss = 0.02;
  double starts_per_ms = 0.02;  // at each instance
  int holder = -1;
  uint64_t token = 0;
  uint64_t fencing_number = 0;
  int64_t era = 1;
  bool platform_down = false;
  bool lose_answers = false;
  bool conflicts = false;
  std::vector<int64_t> sent;  // windows, in order
  std::optional<UsageReport> recorded;
  std::map<int64_t, std::map<std::string, int64_t>> accepted;
  std::map<int64_t, int64_t> accepted_after_ms;
  std::map<int64_t, std::map<std::string, int64_t>> truth;
  std::map<int64_t, std::map<std::string, int64_t>> at_least;
  std::map<int64_t, std::map<std::string, int64_t>> at_most;
  std::map<UsageEventKind, int> events;
  std::multimap<int64_t, std::pair<uint32_t, UsagePeerReport>> datagrams;
  std::vector<std::function<void()>> answers;
};

constexpr int64_t kFirstWindow = kStartMs / kWindowMs;

}  // namespace

// Guards against counts that are lost, or counted twice, where datagrams are,
// and against reports that wait for their deadline without need.
BOOST_AUTO_TEST_CASE(LostAndRepeatedDatagramsChangeNoCounts) {
  Fleet fleet(8);
  fleet.loss = 0.3;
  fleet.Run(60);
  fleet.CheckWindows(kFirstWindow, kFirstWindow + 9);
  int64_t total = 0;
  int64_t reported = 0;
  for (int64_t w = kFirstWindow; w <= kFirstWindow + 9; ++w) {
    for (const auto& [customer, requests] : fleet.truth[w]) {
      total += requests;
      reported += fleet.accepted[w][customer];
    }
    BOOST_TEST(fleet.accepted_after_ms[w] <= 8'500);
  }
  BOOST_TEST(std::abs(total - reported) <= total / 500);
}

// Guards against counts of an instance that are lost when it ends at the end of
// a window, and against waiting for it.
BOOST_AUTO_TEST_CASE(AnInstanceThatEndsAtTheEndOfAWindowIsCounted) {
  Fleet fleet(4);
  fleet.Run(10);
  fleet.RunToEndOfWindow(30);
  const int64_t window = fleet.WindowNow();
  Fleet::Instance& last = *fleet.instances[3];
  last.leaving = true;
  last.exchange->SendLast(fleet.Now());
  fleet.Run(0.01);
  last.exchange->SendLast(fleet.Now());
  fleet.Kill(3);
  fleet.Run(20);
  fleet.CheckWindows(window, window + 1);
  BOOST_TEST(fleet.accepted_after_ms[window] <= 3'000);
}

// Guards against the counts of a process that are replaced by those of its
// successor, and against late datagrams that are taken for a restart.
BOOST_AUTO_TEST_CASE(ARestartedInstanceAddsToItsFormerCounts) {
  Fleet fleet(4);
  fleet.loss = 0;
  fleet.Run(12);
  const int64_t window = fleet.WindowNow();
  Fleet::Instance& it = *fleet.instances[2];
  it.exchange->SendLast(fleet.Now());
  it.exchange->SendLast(fleet.Now());
  UsagePeerReport late;
  for (const auto& [at_ms, datagram] : fleet.datagrams) {
    if (datagram.second.statement.sender == it.address &&
        !datagram.second.statement.usage.empty()) {
      late = datagram.second;
    }
  }
  BOOST_REQUIRE(!late.statement.usage.empty());
  fleet.Kill(2);
  fleet.Run(1);
  fleet.Start(2);
  fleet.Run(0.5);
  fleet.instances[0]->exchange->RecordReport(late, fleet.Now());
  fleet.Run(15);
  fleet.CheckWindows(window, window + 1);
}

// Guards against windows that are left out, or reported with two different
// counts, when the holder changes.
BOOST_AUTO_TEST_CASE(ASuccessorGoesOnWithTheNextWindow) {
  Fleet fleet(8);
  fleet.Run(20);
  fleet.RunToEndOfWindow(2500);
  fleet.Kill(0);
  fleet.Run(5);
  fleet.SetHolder(1);
  fleet.Run(30);
  // One of eight instances was killed, and has told nothing of its last window.
  fleet.CheckWindows(kFirstWindow, kFirstWindow + 3);
  fleet.CheckWindows(kFirstWindow + 6, kFirstWindow + 8);
  BOOST_TEST(fleet.accepted.count(kFirstWindow + 4) == 1);
  BOOST_TEST(fleet.accepted.count(kFirstWindow + 5) == 1);
}

// Guards against counts that a new holder does not get, since the former one
// has acknowledged them, or that it does not wait for.
BOOST_AUTO_TEST_CASE(InstancesTellANewHolderTheirCounts) {
  for (const double without_holder : {0.5, 8.5}) {
    Fleet fleet(8);
    fleet.Run(12);
    fleet.RunToEndOfWindow(1);
    fleet.Run(0.45);
    fleet.holder = -1;
    fleet.Run(without_holder);
    fleet.SetHolder(3);
    fleet.Run(15);
    fleet.CheckCounts(kFirstWindow, kFirstWindow + 4);
  }
}

// Guards against calls with a token after a higher one was seen.
BOOST_AUTO_TEST_CASE(AConflictEndsTheCallsWithItsToken) {
  Fleet fleet(4);
  fleet.Run(11);
  fleet.sent.clear();
  fleet.conflicts = true;
  fleet.Run(8);
  BOOST_TEST(fleet.sent.size() == 1);
  fleet.conflicts = false;
  fleet.SetHolder(0);
  fleet.Run(10);
  fleet.CheckCounts(kFirstWindow, kFirstWindow + 4);
}

// Guards against two different counts for a window whose first report got no
// answer, by the same holder or its successor.
BOOST_AUTO_TEST_CASE(AReportWithoutAnAnswerIsRepeatedUnchanged) {
  for (const bool was_accepted : {false, true}) {
    Fleet fleet(8);
    fleet.Run(12);
    fleet.lose_answers = was_accepted;
    fleet.platform_down = !was_accepted;
    fleet.Run(5);
    BOOST_REQUIRE(fleet.recorded);
    const UsageReport in_doubt = *fleet.recorded;
    fleet.Kill(0);
    fleet.lose_answers = fleet.platform_down = false;
    fleet.Run(5);
    fleet.SetHolder(1);
    fleet.Run(15);
    BOOST_REQUIRE(fleet.accepted.count(in_doubt.window) == 1);
    BOOST_TEST((fleet.accepted[in_doubt.window] == in_doubt.counts));
    BOOST_TEST(fleet.accepted.count(in_doubt.window + 1) == 1);
    BOOST_TEST(fleet.events[UsageEventKind::kRepeated] >= 2);
  }
}

// Guards against an outage of the platform after which reports differ, or after
// which windows without any use are sent.
BOOST_AUTO_TEST_CASE(ReportsWaitForThePlatform) {
  Fleet fleet(4);
  fleet.Run(12);
  fleet.platform_down = true;
  fleet.Run(45);
  fleet.platform_down = false;
  fleet.Run(20);
  BOOST_TEST(fleet.events[UsageEventKind::kDropped] > 0);
  for (const auto& [window, after_ms] : fleet.accepted_after_ms) {
    BOOST_TEST(after_ms <= 31'000);
  }
  fleet.CheckWindows(kFirstWindow + 11, kFirstWindow + 12);
}

// Guards against windows that are reported as unused after a time without a
// holder, in which the instances have forgotten their counts.
BOOST_AUTO_TEST_CASE(CountsThatNobodyKnowsAreNotReported) {
  Fleet fleet(4);
  fleet.Run(12);
  fleet.holder = -1;
  fleet.Run(40);
  const int64_t held_again_in = fleet.WindowNow();
  fleet.SetHolder(1);
  fleet.Run(20);
  // The four windows before, which the instances have kept.
  fleet.CheckCounts(held_again_in - 4, held_again_in);
  for (const auto& [window, counts] : fleet.accepted) {
    BOOST_TEST(!counts.empty());
  }
  BOOST_TEST(fleet.events[UsageEventKind::kDropped] > 0);
}

// Guards against counts that double because a datagram was overtaken while the
// clock of its sender was set back.
BOOST_AUTO_TEST_CASE(ADatagramFromBeforeAClockJumpIsNoRestart) {
  Fleet fleet(4);
  fleet.loss = 0;
  fleet.Run(12);
  Fleet::Instance& it = *fleet.instances[2];
  it.exchange->SendLast(fleet.Now());
  UsagePeerReport early;
  for (const auto& [at_ms, datagram] : fleet.datagrams) {
    if (datagram.second.statement.sender == it.address) {
      early = datagram.second;
    }
  }
  it.clock_error_ms = -3000;
  fleet.Run(0.3);
  fleet.instances[0]->exchange->RecordReport(early, fleet.Now());
  fleet.Run(20);
  fleet.CheckWindows(kFirstWindow, kFirstWindow + 4);
}

// Guards against windows that do not follow true time.
BOOST_AUTO_TEST_CASE(WrongClocksDoNotMoveWindows) {
  Fleet fleet(8);
  fleet.instances[0]->clock_error_ms = 3000;
  fleet.instances[1]->clock_error_ms = -3000;
  fleet.Run(22);
  fleet.instances[2]->clock_error_ms = 4000;
  fleet.instances[0]->clock_error_ms = -5000;
  fleet.Run(20);
  fleet.instances[2]->clock_error_ms = -60'000;
  fleet.Run(20);
  // At the start, instances have not heard each other.
  fleet.CheckWindows(kFirstWindow + 1, kFirstWindow + 9);
}

// Guards against windows that a holder reports again after the registry has
// lost what was reported, and against a gap where the holder remembers.
BOOST_AUTO_TEST_CASE(InANewEraOnlyWhatIsRememberedGoesOn) {
  Fleet fleet(4);
  fleet.Run(22);
  // A window that has ended and was not reported yet.
  fleet.RunToEndOfWindow(1);
  fleet.Run(0.2);
  fleet.era = 2;
  fleet.recorded.reset();
  fleet.SetHolder(0);
  fleet.Run(20);
  fleet.CheckWindows(kFirstWindow, kFirstWindow + 6);

  // Another instance than the former holder, and an old record.
  fleet.RunToEndOfWindow(2000);
  const int64_t noticed_in = fleet.WindowNow();
  fleet.sent.clear();
  fleet.era = 3;
  fleet.recorded = UsageReport{noticed_in - 3, fleet.accepted[noticed_in - 3]};
  fleet.holder = -1;
  fleet.Run(0.5);
  fleet.SetHolder(2);
  fleet.Run(20);
  for (const int64_t window : fleet.sent) {
    BOOST_TEST((window == noticed_in - 3 || window >= noticed_in));
  }
  fleet.CheckWindows(noticed_in, noticed_in + 2);
}

// Guards against fleets whose counts take more bytes than an instance may send,
// and against acknowledgements of the holder that do.
BOOST_AUTO_TEST_CASE(FleetsOfAllSizesKeepTheLimitOnBytes) {
  for (const size_t n : {8u, 83u, 370u}) {
    BOOST_TEST_CONTEXT(n << " instances") {
      Fleet fleet(n);
      fleet.loss = 0.05;
      fleet.starts_per_ms = 2.0 / static_cast<double>(n);
      fleet.Run(32);
      fleet.CheckWindows(kFirstWindow, kFirstWindow + 3);
      // Reports about work give way to what an instance sends directly.
      constexpr size_t kMaxBytesPerSecond = 8000;
      size_t peak = 0;
      for (const auto& it : fleet.instances) {
        peak = std::max(peak, it->peak_bytes);
      }
      BOOST_TEST(peak < kMaxBytesPerSecond);
      BOOST_TEST_MESSAGE(n << " instances: at most " << peak << " bytes/s");
    }
  }
}

}  // namespace endiveyard
