#include "endiveyard/registry/registry_mirror.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace endiveyard {
namespace {

// Records calls; the test completes them through the stored callbacks.
class FakeRegistryClient : public RegistryClient {
 public:
  void ListPage(
      const std::string& kind,
      const std::string& after,
      std::function<void(absl::StatusOr<RegistryPage>)> done) override {
    calls.push_back("list " + kind + (after.empty() ? "" : " after " + after));
    list_done = std::move(done);
  }
  void Watch(
      const std::string& kind,
      int64_t revision,
      Duration /*timeout*/,
      std::function<void(absl::StatusOr<RegistryChanges>)> done) override {
    calls.push_back("watch " + kind + " " + std::to_string(revision));
    watch_done = std::move(done);
  }

  std::vector<std::string> calls;
  std::function<void(absl::StatusOr<RegistryPage>)> list_done;
  std::function<void(absl::StatusOr<RegistryChanges>)> watch_done;
};

struct Fixture {
  Fixture() {
    MirrorHandlers handlers;
    handlers.on_list = [this](const RegistryList& list) {
      handled.push_back("list " + std::to_string(list.items.size()));
    };
    handlers.on_change = [this](const RegistryObject& object) {
      handled.push_back((object.deleted ? "-" : "+") + object.name);
    };
    handlers.on_failure = [this](const absl::Status&) {
      handled.push_back("failure");
    };
    handlers.on_success = [] {};
    handlers.on_silent_watch = [this] { handled.push_back("silent watch"); };
    handlers.schedule = [this](Duration delay, std::function<void()> action) {
      delays.push_back(delay);
      scheduled = std::move(action);
    };
    mirror = std::make_unique<RegistryMirror>(
        &client, "things", 7, MirrorTiming(), &era, std::move(handlers));
    mirror->Start();
  }

  FakeRegistryClient client;
  RegistryEra era;
  std::vector<std::string> handled;
  std::vector<Duration> delays;
  std::function<void()> scheduled;
  std::unique_ptr<RegistryMirror> mirror;
};

}  // namespace

// Guards against missing the changes between a list and the first watch, or
// between two watches.
BOOST_FIXTURE_TEST_CASE(WatchesContinueFromTheLastRevision, Fixture) {
  client.list_done(RegistryPage{{{"a", "{}", false}}, 10, false});
  client.watch_done(RegistryChanges{{{"b", "{}", false}, {"a", "", true}}, 12});
  // The next watch is delayed, so that a burst of changes does not cost one
  // call per change.
  BOOST_TEST(client.calls.size() == 2u);
  BOOST_REQUIRE_EQUAL(delays.size(), 1u);
  scheduled();
  const std::vector<std::string> calls = {"list things", "watch things 10",
                                          "watch things 12"};
  BOOST_TEST(client.calls == calls, boost::test_tools::per_element());
  const std::vector<std::string> expected = {"list 1", "+b", "-a"};
  BOOST_TEST(handled == expected, boost::test_tools::per_element());
}

// Guards against a mirror that stays out of date when the registry no longer
// keeps the changes since its revision.
BOOST_FIXTURE_TEST_CASE(ListsAgainWithoutDelayWhenRevisionIsGone, Fixture) {
  client.list_done(RegistryPage{{}, 10, false});
  client.watch_done(absl::OutOfRangeError("gone"));
  BOOST_TEST(client.calls.back() == "list things");
  BOOST_TEST(delays.empty());
}

// Guards against decisions on old news: a refresh ends with the answer to a
// call that was sent after it was asked for, and after the changes in it were
// handled. The watch in progress is superseded if there are any.
BOOST_FIXTURE_TEST_CASE(RefreshesEndAfterTheNews, Fixture) {
  client.list_done(RegistryPage{{}, 10, false});
  const auto watch_done = client.watch_done;
  const auto refresh = [this](const std::string& name) {
    mirror->Refresh([this, name](const absl::Status& status) {
      handled.push_back(name + (status.ok() ? " ok" : " failed"));
    });
  };
  refresh("r1");
  const auto first_refresh = client.watch_done;
  const auto next_refresh = scheduled;
  refresh("r2");
  BOOST_TEST(client.calls.size() == 3u);
  first_refresh(RegistryChanges{{{"a", "{}", false}}, 12});
  const auto next_watch = scheduled;
  watch_done(RegistryChanges{{{"old", "{}", false}}, 11});
  next_refresh();
  client.watch_done(RegistryChanges{{}, 12});
  next_watch();
  const std::vector<std::string> calls = {"list things", "watch things 10",
                                          "watch things 10", "watch things 12",
                                          "watch things 12"};
  BOOST_TEST(client.calls == calls, boost::test_tools::per_element());
  const std::vector<std::string> expected = {"list 0", "silent watch", "+a",
                                             "r1 ok", "r2 ok"};
  BOOST_TEST(handled == expected, boost::test_tools::per_element());
}

// Guards against older news that overwrite later ones: the watch has returned
// before the refresh, which is asked for again.
BOOST_FIXTURE_TEST_CASE(OvertakenRefreshesAreRepeated, Fixture) {
  client.list_done(RegistryPage{{}, 10, false});
  const auto watch_done = client.watch_done;
  mirror->Refresh([this](const absl::Status&) { handled.push_back("r"); });
  const auto refresh_done = client.watch_done;
  const auto next_refresh = scheduled;
  watch_done(RegistryChanges{{{"a", "{}", false}, {"a", "", true}}, 12});
  refresh_done(RegistryChanges{{{"a", "{}", false}}, 11});
  next_refresh();
  BOOST_TEST(client.calls.back() == "watch things 12");
  client.watch_done(RegistryChanges{{}, 12});
  const std::vector<std::string> expected = {"list 0", "+a", "-a", "r"};
  BOOST_TEST(handled == expected, boost::test_tools::per_element());
}

// Guards against an answer from before what is known, to a watch or to a
// refresh: it would confirm an old view, and changes would be missed.
BOOST_FIXTURE_TEST_CASE(OlderAnswersAreNotApplied, Fixture) {
  client.list_done(RegistryPage{{}, 10, false});
  client.watch_done(RegistryChanges{{{"old", "{}", false}}, 9});
  scheduled();
  BOOST_TEST(client.calls.back() == "list things");
  client.list_done(RegistryPage{{}, 10, false});
  mirror->Refresh([this](const absl::Status& status) {
    handled.push_back(status.ok() ? "ok" : "failed");
  });
  client.watch_done(RegistryChanges{{{"old", "{}", false}}, 9});
  // A watch that ends without changes may be overtaken by a refresh.
  scheduled();
  client.list_done(RegistryPage{{}, 12, false});
  client.watch_done(RegistryChanges{{}, 11});
  BOOST_TEST(client.calls.back() == "watch things 12");
  const std::vector<std::string> expected = {"list 0",  "failure", "list 0",
                                             "failure", "failed",  "list 0"};
  BOOST_TEST(handled == expected, boost::test_tools::per_element());
}

// Guards against refreshes that never end: without the registry, or while a
// list is read.
BOOST_FIXTURE_TEST_CASE(RefreshesEndWithoutTheRegistry, Fixture) {
  const auto refresh = [this] {
    mirror->Refresh([this](const absl::Status& status) {
      handled.push_back(status.ok() ? "ok" : "failed");
    });
  };
  refresh();
  client.list_done(absl::UnavailableError("down"));
  scheduled();
  refresh();
  client.list_done(RegistryPage{{}, 10, false});
  BOOST_TEST(client.calls.back() == "watch things 10");
  BOOST_TEST(handled.back() == "list 0");
  client.watch_done(RegistryChanges{{}, 10});
  BOOST_TEST(handled.back() == "ok");
  scheduled();
  refresh();
  client.watch_done(absl::UnavailableError("down"));
  const std::vector<std::string> expected = {"failure", "failed",  "list 0",
                                             "ok",      "failure", "failed"};
  BOOST_TEST(handled == expected, boost::test_tools::per_element());
}

// Guards against listing again without a delay while calls keep failing.
BOOST_FIXTURE_TEST_CASE(FailuresAreRetriedAfterBackoff, Fixture) {
  client.list_done(absl::UnavailableError("down"));
  BOOST_REQUIRE_EQUAL(delays.size(), 1u);
  BOOST_TEST(client.calls.size() == 1u);
  scheduled();
  BOOST_TEST(client.calls.size() == 2u);
}

// Guards against all instances calling a recovered registry at the same moment:
// the backoff grows up to a limit and differs between instances.
BOOST_AUTO_TEST_CASE(BackoffGrowsAndDiffersBetweenInstances) {
  MirrorPolicy first(1);
  MirrorPolicy second(2);
  const absl::Status down = absl::UnavailableError("down");
  bool differ = false;
  Duration last{};
  for (int n = 0; n < 12; ++n) {
    const MirrorAction a = first.AfterFailedWatch(down);
    const MirrorAction b = second.AfterFailedWatch(down);
    differ = differ || a.delay != b.delay;
    BOOST_TEST((a.delay > Duration(0)));
    BOOST_TEST((a.delay <= Duration(std::chrono::milliseconds(800))));
    last = a.delay;
  }
  BOOST_TEST(differ);
  BOOST_TEST((last >= Duration(std::chrono::milliseconds(400))));
  // A success resets the backoff.
  first.AfterSuccess(3, false);
  BOOST_TEST((first.AfterFailedWatch(down).delay <=
              Duration(std::chrono::milliseconds(50))));
}

// Guards against confirmations of other instances that are compared with a
// position this mirror does not have: while it lists again, all that it knows
// may be gone.
BOOST_FIXTURE_TEST_CASE(PositionsTellWhatIsKnown, Fixture) {
  const auto is_at = [this](const MirrorPosition& expected) {
    return mirror->position() == expected;
  };
  BOOST_TEST(is_at({0, 0, 0}));
  client.list_done(RegistryPage{{{"a", "{}", false, 4}}, 10, true, 1});
  BOOST_TEST(is_at({1, 0, 4}));
  client.list_done(RegistryPage{{{"b", "{}", false, 12}}, 13, false, 1});
  // The next watch returns what changed between the pages.
  BOOST_TEST(is_at({1, 10, 12}));
  client.watch_done(RegistryChanges{{{"a", "", true, 11}}, 14, 1});
  BOOST_TEST(is_at({1, 14, 12}));
  scheduled();
  client.watch_done(RegistryChanges{{}, 16, 1});
  BOOST_TEST(is_at({1, 16, 12}));
  client.watch_done(absl::OutOfRangeError("gone"));
  BOOST_TEST(is_at({0, 0, 0}));
  client.list_done(RegistryPage{{{"a", "{}", false, 3}}, 5, false, 2});
  BOOST_TEST(is_at({2, 5, 3}));
  // A mirror of another kind learns of the next restore, and all list again
  // after a pause.
  era.Record(3);
  BOOST_TEST(is_at({2, 5, 3}));
  scheduled();
  BOOST_TEST(is_at({0, 0, 0}));
}

// Guards against a list that begins anew for each refused page: with 3,000
// targets in pages of 50, 297 instances whose processes were all killed did not
// come back, since hardly any of them read 60 pages in a row.
BOOST_FIXTURE_TEST_CASE(RefusedPagesAreRepeated, Fixture) {
  client.list_done(RegistryPage{{{"a", "{}", false}}, 10, true});
  client.list_done(absl::UnavailableError("status 429"));
  scheduled();
  scheduled = nullptr;
  client.list_done(RegistryPage{{{"b", "{}", false}}, 15, true});
  BOOST_REQUIRE(scheduled);  // slower after the refusal
  scheduled();
  client.list_done(RegistryPage{{{"c", "{}", false}}, 17, false});
  const std::vector<std::string> calls = {
      "list things", "list things after a", "list things after a",
      "list things after b", "watch things 10"};
  BOOST_TEST(client.calls == calls, boost::test_tools::per_element());
  const std::vector<std::string> expected = {"failure", "list 3"};
  BOOST_TEST(handled == expected, boost::test_tools::per_element());
}

// Guards against a list with pages from before an outage, and against one that
// continues after an object that cannot be read.
BOOST_FIXTURE_TEST_CASE(OldPagesAreDropped, Fixture) {
  client.list_done(RegistryPage{{{"a", "{}", false}}, 10, true});
  for (int n = 0; n < 9; ++n) {
    client.list_done(absl::UnavailableError("down"));
    scheduled();
  }
  BOOST_TEST(client.calls.back() == "list things");
  client.list_done(RegistryPage{{{"a", "{}", false}}, 30, true});
  scheduled();
  client.list_done(absl::InvalidArgumentError("malformed"));
  scheduled();
  BOOST_TEST(client.calls.back() == "list things");
}

// Guards against views that are older than the operators allow: whatever the
// registry loses during an outage, the mirror asks again before changes count
// that were made after it.
BOOST_AUTO_TEST_CASE(TimingFollowsFromTheBounds) {
  for (const int64_t stable_ms : {2000, 4000, 5000, 20000}) {
    for (const int64_t staleness_ms : {1500, 2500, 4000, 8000}) {
      const Duration stable = std::chrono::milliseconds(stable_ms);
      const Duration staleness = std::chrono::milliseconds(staleness_ms);
      const MirrorTiming timing = MakeMirrorTiming(stable, staleness);
      BOOST_TEST((timing.watch_timeout <= std::chrono::seconds(30)));
      BOOST_TEST((timing.watch_timeout + std::chrono::seconds(1) <
                  stable + staleness));
      BOOST_TEST((3 * timing.change_batch_delay <= staleness));
      const MirrorTiming refreshed =
          MakeRefreshedMirrorTiming(stable, staleness);
      BOOST_TEST((refreshed.watch_timeout <= stable));
      BOOST_TEST((refreshed.change_batch_delay == timing.change_batch_delay));
      BOOST_TEST((3 * LongestChangeBatchDelay(staleness) <= staleness));
    }
  }
}

namespace {

// Plays the restart of all instances at the same moment: each reads all pages
// of a list from a registry that answers in 4 ms and refuses calls beyond its
// rate. Returns the time until the last instance has its list.
Duration RestartAll(size_t instances, int pages, double calls_per_s) {
  constexpr int64_t kCallUs = 4000;
  struct Instance {
    MirrorPolicy policy{0};
    int pages_read = 0;
  };
  std::vector<Instance> fleet;
  std::multimap<int64_t, size_t> calls;  // by the time of their response
  for (size_t n = 0; n < instances; ++n) {
    fleet.push_back({MirrorPolicy(n * 7919 + 1), 0});
    calls.emplace(static_cast<int64_t>(n * 1000 % 300000), n);
  }
  // Calls of the last second.
  std::deque<int64_t> accepted;
  int64_t now = 0;
  while (!calls.empty()) {
    const size_t n = calls.begin()->second;
    now = calls.begin()->first;
    calls.erase(calls.begin());
    while (!accepted.empty() && now - accepted.front() >= 1000000) {
      accepted.pop_front();
    }
    Instance& it = fleet[n];
    MirrorAction next;
    if (static_cast<double>(accepted.size()) >= calls_per_s) {
      next = it.policy.AfterFailedPage(absl::UnavailableError("status 429"));
      if (!next.continues_list) {
        it.pages_read = 0;
      }
    } else {
      accepted.push_back(now);
      if (++it.pages_read == pages) {
        continue;
      }
      next = it.policy.AfterPage();
    }
    calls.emplace(now + kCallUs + next.delay.count(), n);
  }
  return Duration(now);
}

}  // namespace

// Guards against a fleet that does not come back when all its instances are
// killed. The registry needs a time in proportion to all pages; the fleet may
// take two seconds more.
BOOST_AUTO_TEST_CASE(AllInstancesListAtTheSameTime) {
  struct Case {
    size_t instances;
    double calls_per_s;
  };
  for (const Case& it : {Case{8, 2000}, Case{95, 16000}, Case{297, 16000},
                         Case{370, 16000}, Case{297, 5000}}) {
    // Ten targets for each instance, in pages of 50.
    const int pages = static_cast<int>(it.instances * 10 / 50) + 1;
    const double needed_s =
        static_cast<double>(it.instances) * pages / it.calls_per_s;
    const double took_s =
        static_cast<double>(
            RestartAll(it.instances, pages, it.calls_per_s).count()) /
        1e6;
    BOOST_TEST_MESSAGE(it.instances << " instances, " << pages
                                    << " pages: " << took_s << " s");
    BOOST_TEST(took_s < needed_s + 2);
  }
}

}  // namespace endiveyard
