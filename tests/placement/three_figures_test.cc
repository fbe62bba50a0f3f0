#include <boost/test/unit_test.hpp>
#include <random>

#include "endiveyard/base/digest.h"
#include "endiveyard/placement/placer.h"

namespace endiveyard {
namespace {

struct Sums {
  uint64_t choices = 0;  // digest of the chosen replicas, in order
  double first_output_ms = 0;
  double completion_ms = 0;
  int refusals = 0;
};

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::vector<Replica> MakeReplicas(bool is_plain) {
  std::vector<Replica> replicas;
  for (int n = 0; n < 12; ++n) {
    Replica replica;
    replica.id = "r" + std::to_string(n);
    replica.service = "s";
    replica.failure_domain = n % 3 == 0 ? "here" : n % 3 == 1 ? "near" : "far";
    replica.slots = is_plain ? 6 : 32;
    if (!is_plain) {
      replica.stage = n % 4 == 0 ? Stage::kPrefill : Stage::kDecode;
    }
    replicas.push_back(replica);
  }
  return replicas;
}

// Places requests at replicas whose loads, waits and durations differ.
Sums PlaceRequests(bool is_plain) {
  Placer placer({"here", {{"here", "r1"}, {"near", "r1"}, {"far", "r2"}}});
  ReplicaView view;
  view.Reset(MakeReplicas(is_plain), TimePointFromMicros(0));
  std::mt19937 random(7);
  const auto below = [&random](uint32_t n) {
    return static_cast<int>(random() % n);
  };
  Sums sums;
  std::vector<Placement> running;
  for (int n = 0; n < 3000; ++n) {
    const TimePoint now = TimePointFromMicros(1000 * (1000 + 7 * n));
    PlacementQuery query;
    query.service = "s";
    query.time_left = std::chrono::milliseconds(400 + below(4000));
    query.first_output_time_left = std::min(
        query.time_left, Duration(std::chrono::milliseconds(20 + below(2000))));
    query.tie_breaker = random();
    query.body_bytes = below(20000);
    if (!is_plain) {
      PromptShape prompt;
      const double shared = below(4000);
      const double unshared = 20 + below(800);
      prompt.prompt_tokens = shared + unshared;
      prompt.expected_output_tokens = 10 + below(500);
      prompt.parts = {{static_cast<uint64_t>(1 + below(9)), shared},
                      {static_cast<uint64_t>(1000 + n), unshared}};
      query.prompt = prompt;
    }
    const PlacementResult result = placer.Choose(view, query, now);
    if (!result.placement) {
      ++sums.refusals;
    } else {
      const Placement& placement = *result.placement;
      placer.RecordPlaced(query, placement, now);
      sums.choices = CombineDigests(
          sums.choices,
          Digest64(placement.target.id +
                   (placement.prefill ? placement.prefill->id : "")));
      sums.first_output_ms += Millis(placement.expected_first_output);
      sums.completion_ms += Millis(placement.expected_completion);
      placer.LoadOf(placement.target).RecordCallSent(placement.target_uncached);
      const Duration waited(std::chrono::milliseconds(
          (placement.target.id == "r5" ? 150 : 10) + below(60)));
      placer.ObserveWait("s", {CallKind::kRun, 0}, placement.target,
                         placement.predicted_run, waited, now);
      if (is_plain) {
        placer.ObservePlainCall("s", waited, now);
      }
      running.push_back(placement);
    }
    if (running.size() > 40) {
      const size_t ended = static_cast<size_t>(below(40));
      ReplicaLoad& load = placer.LoadOf(running[ended].target);
      load.RecordPrefilled(running[ended].target_uncached);
      load.RecordCallEnded(
          below(30) == 0 ? CallResult::kFailed : CallResult::kCompleted, now);
      ReportedLoad reported;
      reported.running = below(20);
      reported.waiting = below(4);
      reported.slots = is_plain ? 6 : 32;
      placer.RecordReportedLoad(running[ended].target, reported, now);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(ended));
    }
  }
  return sums;
}

}  // namespace

// Guards against changes of the placement at services whose replicas state no
// relative durations. The figures are those of the code before these were read
// (commit a4d50f1).
BOOST_AUTO_TEST_CASE(ReplicasWithThreeFiguresArePlacedAsBefore) {
  const Sums engines = PlaceRequests(false);
  const Sums plain = PlaceRequests(true);
  BOOST_TEST(engines.choices == 5732108321907177572u);
  BOOST_TEST(engines.refusals == 685);
  BOOST_TEST(engines.first_output_ms == 423745.821,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(engines.completion_ms == 2186703.054,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(plain.choices == 12245640576132147659u);
  BOOST_TEST(plain.refusals == 167);
  BOOST_TEST(plain.first_output_ms == 289248.667,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(plain.completion_ms == 289248.667,
             boost::test_tools::tolerance(1e-6));
}

}  // namespace endiveyard
