#include "front/usage_duty.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <unordered_map>

namespace endiveyard {
namespace {

constexpr uint16_t kPort = 27391;
constexpr Duration kTick = std::chrono::milliseconds(50);

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Holds the duties and accepts all reports.
struct AcceptingCalls : DutyCalls {
  explicit AcceptingCalls(boost::asio::io_context* io) : io(*io) {}

  std::optional<uint64_t> Token(TimePoint) const override {
    return uint64_t{1} << 32 | 1;
  }
  void SendScaleOrder(const ScaleOrder&,
                      std::function<void(DutyCallOutcome)>) override {}
  void SendUsageReport(const UsageReport& report,
                       std::function<void(DutyCallOutcome)> done) override {
    last = report;
    for (const auto& [customer, requests] : report.counts) {
      requests_of[customer] += requests;
    }
    boost::asio::post(
        io, [done = std::move(done)] { done(DutyCallOutcome::kAccepted); });
  }
  std::optional<UsageReport> LastUsageReport() const override { return last; }

  boost::asio::io_context& io;
  std::optional<UsageReport> last;
  std::unordered_map<std::string, int64_t> requests_of;
};

// An instance with its load exchange, on an address of the loopback network.
struct Instance {
  Instance(boost::asio::io_context* io,
           const std::string& ip,
           const std::string& seed)
      : log("test"),
        placer(Location()),
        load_exchange(*io,
                      {ip, "r1", kPort, {ip, seed}},
                      &placer,
                      &crash_suspects,
                      &stream_versions,
                      &forwarding_peers),
        usage({std::chrono::seconds(1), std::chrono::seconds(4)},
              &load_exchange,
              &log,
              &metrics,
              UnixMs) {
    BOOST_REQUIRE(load_exchange.Start().ok());
    usage.SetCustomers(
        CustomerTableBuilder().Add({"hule930", 1}, {"key-1"}).Build());
  }

  JsonLog log;
  Metrics metrics;
  Placer placer;
  CrashSuspects crash_suspects;
  StreamVersions stream_versions;
  ForwardingPeers forwarding_peers;
  LoadExchange load_exchange;
  UsageDuty usage;
};

}  // namespace

// Guards against fields of load reports that are not connected to the counts:
// of two instances, one holds the duties, and the other has to know of it.
BOOST_AUTO_TEST_CASE(CountsReachTheHolderByLoadReports) {
  boost::asio::io_context io;
  auto holder = std::make_unique<Instance>(&io, "127.0.0.61", "127.0.0.62");
  auto other = std::make_unique<Instance>(&io, "127.0.0.62", "127.0.0.61");
  AcceptingCalls calls(&io);
  holder->usage.set_calls(&calls);
  const auto run_until = [&](const std::function<bool()>& is_done) {
    const TimePoint end = BootClock::now() + std::chrono::seconds(10);
    while (!is_done() && BootClock::now() < end) {
      holder->usage.Tick(1, BootClock::now());
      other->usage.Tick(1, BootClock::now());
      io.run_for(kTick);
    }
    return is_done();
  };
  BOOST_REQUIRE(run_until(
      [&other] { return other->load_exchange.LiveInstances().size() == 2; }));
  constexpr int kRequests = 7;
  for (int n = 0; n < kRequests; ++n) {
    holder->usage.RecordStart("hule930", BootClock::now());
    other->usage.RecordStart("hule930", BootClock::now());
  }
  BOOST_TEST(run_until([&calls] {
    return calls.requests_of["hule930"] >= 2 * int64_t{kRequests};
  }));
  BOOST_TEST(calls.requests_of["hule930"] == 2 * kRequests);
  // The last counts of a process that exits.
  other->usage.RecordStart("hule930", BootClock::now());
  other->load_exchange.SetLeaving();
  other->usage.SendLast(BootClock::now());
  BOOST_TEST(run_until([&calls] {
    return calls.requests_of["hule930"] > 2 * int64_t{kRequests};
  }));
  BOOST_TEST(holder->metrics.Serialize().find(
                 "endiveyard_usage_windows_total{outcome=\"accepted\"}") !=
             std::string::npos);
}

}  // namespace endiveyard
