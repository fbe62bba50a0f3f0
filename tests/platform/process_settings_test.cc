#include "platform/process_settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace endiveyard::platform {
namespace {

constexpr const char* kSettings =
    "node=front-x-1\nip=10.1.0.38\nzone=x\nzones.x=r1\nzones.y=r2\n"
    "listen.front=10.1.0.38:8149\nlisten.ready_address=10.1.0.38:8141\n"
    "internal_port_range=7380,7395\nseeds=10.1.0.38:8144,10.2.0.40:8144\n"
    "platform.address=10.200.1.7:8142\nbounds.grace_s=8\n"
    "bounds.retry_budget_ratio=0.2\nbounds.retry_slack=56\n"
    "bounds.retry_window_s=10\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
    "a.new.field=17\n";

std::string WithoutLine(const std::string& line_start) {
  std::string text = kSettings;
  const size_t begin = text.find(line_start);
  text.erase(begin, text.find('\n', begin) + 1 - begin);
  return text;
}

}  // namespace

// Guards against settings that are stored in the wrong field.
BOOST_AUTO_TEST_CASE(SettingsAreParsed) {
  const auto settings = ParseProcessSettings(kSettings);
  BOOST_REQUIRE(settings.ok());
  BOOST_TEST(settings->instance == "front-x-1");
  BOOST_TEST(settings->location.failure_domain == "x");
  BOOST_TEST(settings->location.region_of_failure_domain.at("y") == "r2");
  BOOST_TEST((settings->callers == Address{"10.1.0.38", 8149}));
  BOOST_TEST((settings->readiness == Address{"10.1.0.38", 8141}));
  BOOST_TEST((settings->registry == Address{"10.200.1.7", 8142}));
  BOOST_TEST(settings->peer_port == 7380);
  BOOST_REQUIRE_EQUAL(settings->seed_ips.size(), 2u);
  BOOST_TEST(settings->seed_ips[1] == "10.2.0.40");
  BOOST_TEST(settings->retry_bound.slack == 56);
  BOOST_TEST(settings->registry_writes_per_second == 0);
  BOOST_TEST(ParseProcessSettings(std::string(kSettings) +
                                  "platform.writes_per_s=3200\n")
                 ->registry_writes_per_second == 3200);
  BOOST_TEST((settings->shutdown_grace == Duration(std::chrono::seconds(8))));
  BOOST_TEST(!settings->duties.has_value());
  const std::string cloud =
      std::string(kSettings) + "cloud.address=10.200.1.8:8143\n";
  BOOST_TEST(!ParseProcessSettings(cloud)->duties.has_value());
  BOOST_TEST(!ParseProcessSettings(cloud + "cloud.duties=autoscale\n")
                  ->duties->reports_usage);
  for (const char* it : {"usage_report", "autoscale,usage_report"}) {
    const auto usage =
        ParseProcessSettings(cloud + "cloud.duties=" + it +
                             "\nbounds.window_s=4\nbounds.usage_late_s=9\n");
    BOOST_REQUIRE(usage->duties.has_value());
    BOOST_TEST(usage->duties->reports_usage);
    BOOST_TEST((usage->duties->window == Duration(std::chrono::seconds(4))));
    BOOST_TEST((usage->duties->usage_due == Duration(std::chrono::seconds(9))));
  }
  BOOST_TEST(settings->max_descriptors == 4100u);
  const auto scaling = ParseProcessSettings(
      cloud + "cloud.duties=usage_report,autoscale\ncloud.duty_per_s=20\n");
  BOOST_REQUIRE(scaling->duties.has_value());
  BOOST_TEST(scaling->duties->scales);
  BOOST_TEST(scaling->duties->calls_per_second == 20);
}

// Guards against duties that are taken up where the deployment has none, and
// against bounds that are read in the wrong unit.
BOOST_AUTO_TEST_CASE(DutySettingsAreParsed) {
  const std::string text = kSettings;
  BOOST_TEST(!ParseProcessSettings(text)->duties.has_value());
  BOOST_TEST(!ParseProcessSettings(text + "cloud.duties=autoscale\n")
                  ->duties.has_value());
  BOOST_TEST(!ParseProcessSettings(text + "cloud.address=10.200.1.9:8150\n")
                  ->duties.has_value());
  const std::string address = text + "cloud.address=10.200.1.9:8150\n";
  const auto settings = ParseProcessSettings(
      address +
      "cloud.duties=usage_report,autoscale\ncloud.duty_per_s=40\n"
      "bounds.require_fencing=false\nbounds.lease_ms=2500\n"
      "bounds.thaw_ms=200\nbounds.window_s=4\nbounds.usage_late_s=9\n"
      "bounds.usage_off=0.1\n");
  BOOST_REQUIRE(settings.ok());
  BOOST_REQUIRE(settings->duties.has_value());
  const DutySettings& duties = *settings->duties;
  BOOST_TEST((duties.api == Address{"10.200.1.9", 8150}));
  BOOST_TEST(duties.reports_usage);
  BOOST_TEST(duties.scales);
  BOOST_TEST(duties.calls_per_second == 40);
  BOOST_TEST(!duties.checks_token);
  BOOST_TEST(duties.alternation_time.count() == 2500000);
  BOOST_TEST(duties.thaw_time.count() == 200000);
  BOOST_TEST(duties.window.count() == 4000000);
  BOOST_TEST(duties.usage_due.count() == 9000000);
  BOOST_TEST(duties.usage_tolerance == 0.1);
  const auto one =
      ParseProcessSettings(address + "cloud.duties=[\"usage_report\"]\n");
  BOOST_REQUIRE(one.ok() && one->duties.has_value());
  BOOST_TEST(one->duties->reports_usage);
  BOOST_TEST(!one->duties->scales);
  BOOST_TEST(one->duties->checks_token);
  BOOST_TEST(!ParseProcessSettings(address + "cloud.duties=autoscale\n"
                                             "bounds.require_fencing=maybe\n")
                  .ok());
}

// Guards against an instance that starts without required settings, and against
// errors that do not name the key.
BOOST_AUTO_TEST_CASE(MissingAndMalformedSettingsAreRejected) {
  for (const std::string key : {"node", "ip", "zone", "listen.front",
                                "listen.ready_address", "platform.address"}) {
    const auto settings = ParseProcessSettings(WithoutLine(key + "="));
    BOOST_REQUIRE(!settings.ok());
    BOOST_TEST(std::string(settings.status().message()).find(key) !=
               std::string::npos);
  }
  BOOST_TEST(!ParseProcessSettings(WithoutLine("listen.front=") +
                                   "listen.front=nonsense\n")
                  .ok());
  BOOST_TEST(!ParseProcessSettings(WithoutLine("bounds.retry_slack") +
                                   "bounds.retry_slack=many\n")
                  .ok());
}

}  // namespace endiveyard::platform
