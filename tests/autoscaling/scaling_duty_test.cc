#include "endiveyard/autoscaling/scaling_duty.h"

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

namespace endiveyard {
namespace {

TimePoint At(int64_t millis) {
  return TimePointFromMicros(1000000000 + millis * 1000);
}

// Keeps the orders, which the test answers.
struct Calls : DutyCalls {
  std::optional<uint64_t> Token(TimePoint) const override { return token; }
  void SendScaleOrder(const ScaleOrder& order,
                      std::function<void(DutyCallOutcome)> done) override {
    orders.emplace_back(order, std::move(done));
  }
  void SendUsageReport(const UsageReport&,
                       std::function<void(DutyCallOutcome)>) override {}
  std::optional<UsageReport> LastUsageReport() const override {
    return std::nullopt;
  }

  std::optional<uint64_t> token = 1;
  std::vector<std::pair<ScaleOrder, std::function<void(DutyCallOutcome)>>>
      orders;
};

// One failure domain below its minimum, so that one on-demand order is due.
std::map<std::string, ScalingInput> Inputs(int min_replicas = 3,
                                           int ready = 1) {
  ScalingInput input;
  input.policy.min_replicas = min_replicas;
  input.policy.max_replicas = 10;
  input.policy.failure_domains = {{"x", {"r", 1}}};
  input.counts.failure_domains["x"][0].ready[0] = ready;
  return {{"s", input}};
}

ScalingHandlers NoHandlers() {
  return {[](bool) {}, [](const ScaleOrder&, DutyCallOutcome) {},
          [](const std::string&, const std::string&) {}};
}

// Ticks until `end_ms`, from `begin_ms`.
void Run(ScalingDuty* duty, Calls* calls, int begin_ms, int end_ms) {
  for (int ms = begin_ms; ms < end_ms; ms += 250) {
    duty->Tick(Inputs(), calls, At(ms));
  }
}

}  // namespace

// Guards against orders of a new holder that it has no full view for.
BOOST_AUTO_TEST_CASE(FirstOrderWaits) {
  Calls calls;
  ScalingDuty duty({}, NoHandlers());
  Run(&duty, &calls, 0, 2000);
  BOOST_TEST(calls.orders.empty());
  Run(&duty, &calls, 2000, 2500);
  BOOST_REQUIRE_EQUAL(calls.orders.size(), 1u);
  BOOST_TEST((calls.orders[0].first == ScaleOrder{"s", "x", 3, false}));
  // Nothing more while it is under way.
  Run(&duty, &calls, 2500, 4000);
  BOOST_TEST(calls.orders.size() == 1u);
}

// Guards against orders that a platform refuses forever because a later holder
// has ordered there.
BOOST_AUTO_TEST_CASE(NothingIsSentWhereAHigherTokenWasSeen) {
  Calls calls;
  ScalingDuty duty({}, NoHandlers());
  Run(&duty, &calls, 0, 2500);
  calls.orders.at(0).second(DutyCallOutcome::kConflict);
  Run(&duty, &calls, 2500, 20000);
  BOOST_TEST(calls.orders.size() == 1u);
  calls.token = 2;
  Run(&duty, &calls, 20000, 23000);
  BOOST_TEST(calls.orders.size() == 2u);
}

// Guards against an order in doubt that is not repeated, or not with the same
// count.
BOOST_AUTO_TEST_CASE(OrdersInDoubtAreRepeatedUntilAnswered) {
  Calls calls;
  ScalingDuty duty({}, NoHandlers());
  Run(&duty, &calls, 0, 2500);
  for (int n = 0; n < 3; ++n) {
    calls.orders.back().second(DutyCallOutcome::kUnknown);
    Run(&duty, &calls, 2500 + n * 6000, 2500 + (n + 1) * 6000);
  }
  BOOST_TEST(calls.orders.size() >= 4u);
  for (const auto& [order, done] : calls.orders) {
    BOOST_TEST((order == ScaleOrder{"s", "x", 3, false}));
  }
}

// Guards against an order without an answer that takes effect after a newer
// one, which then does not hold.
BOOST_AUTO_TEST_CASE(OrderThatMayBeUndoneIsRepeated) {
  Calls calls;
  ScalingDuty duty({}, NoHandlers());
  Run(&duty, &calls, 0, 2500);
  calls.orders.at(0).second(DutyCallOutcome::kUnknown);
  for (int ms = 2500; ms < 4000; ms += 250) {
    duty.Tick(Inputs(5), &calls, At(ms));
  }
  BOOST_REQUIRE_EQUAL(calls.orders.size(), 2u);
  BOOST_TEST((calls.orders[1].first == ScaleOrder{"s", "x", 5, false}));
  calls.orders.at(1).second(DutyCallOutcome::kAccepted);
  for (int ms = 4000; ms < 8900; ms += 250) {
    duty.Tick(Inputs(5, 5), &calls, At(ms));
  }
  BOOST_TEST(calls.orders.size() == 2u);
  duty.Tick(Inputs(5, 5), &calls, At(9100));
  BOOST_REQUIRE_EQUAL(calls.orders.size(), 3u);
  BOOST_TEST((calls.orders[2].first == ScaleOrder{"s", "x", 5, false}));
}

// Guards against answers that arrive after another instance has taken over, or
// after the end of the duty.
BOOST_AUTO_TEST_CASE(LateAnswersAreIgnored) {
  Calls calls;
  {
    ScalingDuty duty({}, NoHandlers());
    Run(&duty, &calls, 0, 2500);
    calls.token.reset();
    Run(&duty, &calls, 2500, 3000);
    BOOST_TEST(!duty.is_active());
    BOOST_TEST(duty.Ordered().empty());
    calls.token = 5;
    Run(&duty, &calls, 3000, 4000);
    calls.orders.at(0).second(DutyCallOutcome::kAccepted);
    Run(&duty, &calls, 4000, 5000);
    BOOST_TEST(duty.Ordered()["s"]["x"][0] == 1);
  }
  calls.orders.at(0).second(DutyCallOutcome::kAccepted);
}

}  // namespace endiveyard
