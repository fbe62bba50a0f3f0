#include "front/stream_recorder.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <vector>

#include "fake_clock.h"
#include "front/stream_record.h"

namespace endiveyard {
namespace {

constexpr const char* kService = "lm";
constexpr const char* kKind = "kind";
constexpr Duration kSecond = std::chrono::seconds(1);

// Objects of one kind, two to a page. Answers come 4 ms later, or never.
class FakeRegistry : public RegistryClient, public RegistryObjectClient {
 public:
  explicit FakeRegistry(Clock* clock) : clock_(clock) {}

  void ListPage(
      const std::string& /*kind*/,
      const std::string& after,
      std::function<void(absl::StatusOr<RegistryPage>)> done) override {
    ++pages_read;
    Answer([this, after, done] {
      if (unavailable) {
        done(absl::UnavailableError("down"));
        return;
      }
      constexpr size_t kPage = 2;
      RegistryPage page;
      for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
        if (page.items.size() == kPage) {
          page.has_more = true;
          break;
        }
        page.items.push_back({it->first, it->second, false, 1});
      }
      done(page);
    });
  }
  void Watch(
      const std::string& /*kind*/,
      int64_t /*revision*/,
      Duration /*timeout*/,
      std::function<void(absl::StatusOr<RegistryChanges>)> /*done*/) override {}

  void Read(const std::string& /*kind*/,
            const std::string& name,
            std::function<void(absl::StatusOr<RegistryObject>)> done) override {
    Answer([this, name, done] {
      const auto it = objects.find(name);
      if (unavailable) {
        done(absl::UnavailableError("down"));
      } else if (it == objects.end()) {
        done(absl::NotFoundError("none"));
      } else {
        done(RegistryObject{name, it->second, false, 1});
      }
    });
  }
  void Remove(const std::string& /*kind*/,
              const std::string& /*name*/,
              int64_t /*revision*/,
              std::function<void(absl::Status)> /*done*/) override {}
  void Write(const std::string& /*kind*/,
             const RegistryObject& written,
             std::function<void(absl::Status)> done) override {
    ++writes;
    Answer([this, written, done] {
      const bool exists = objects.count(written.name) > 0;
      if (unavailable) {
        done(absl::UnavailableError("down"));
      } else if (written.revision == 0 && exists) {
        done(absl::AbortedError("exists"));
      } else if (written.revision != 0 && !exists) {
        done(absl::NotFoundError("none"));
      } else {
        objects[written.name] = written.spec;
        done(absl::OkStatus());
      }
    });
  }

  std::map<std::string, std::string> objects;
  bool unavailable = false;
  bool silent = false;
  int pages_read = 0;
  int writes = 0;

 private:
  void Answer(std::function<void()> action) {
    if (!silent) {
      clock_->Schedule(std::chrono::milliseconds(4), std::move(action));
    }
  }

  Clock* clock_;
};

ReplicaView MakeView(int first, int second) {
  std::vector<Replica> replicas;
  for (int n = 0; n < first + second; ++n) {
    Replica replica;
    replica.id = "i-" + std::to_string(n);
    replica.service = kService;
    replica.version = n < first ? "v1" : "v2";
    replicas.push_back(replica);
  }
  ReplicaView view;
  view.Reset(replicas, TimePoint());
  return view;
}

StreamId MakeStream(int number) {
  return MakeStreamId(kService, "r" + std::to_string(number), std::nullopt);
}

struct Instance {
  Instance(Clock* clock,
           FakeRegistry* registry,
           const std::string& name,
           double registry_writes_per_second = 400)
      : clock(clock) {
    StreamRecorderHandlers handlers;
    handlers.now = [clock] { return clock->now(); };
    handlers.schedule = [clock](Duration delay, std::function<void()> action) {
      clock->Schedule(delay, std::move(action));
    };
    handlers.on_read = [](const absl::Status&, size_t) {};
    handlers.instance_count = [this] { return instance_count; };
    handlers.on_failure = [this](const absl::Status&) { ++failures; };
    recorder = std::make_unique<StreamRecorder>(
        registry, registry, &versions,
        StreamRecorderOptions{kKind, name, registry_writes_per_second},
        std::move(handlers));
    versions.RecordReplicas(MakeView(7, 5), clock->now());
    versions.RecordReplicas(MakeView(6, 6), clock->now());
    recorder->Start();
  }

  void Begin(int number, const std::string& version) {
    versions.RecordBegun(kService, MakeStream(number), version, clock->now());
  }
  // Returns the version of a stream once the records were read.
  std::optional<std::string> Find(int number) {
    bool is_read = false;
    recorder->ReadAll([&is_read] { is_read = true; });
    clock->Advance(kSecond);
    BOOST_TEST(is_read);
    return versions.FindRemembered(kService, MakeStream(number), 60 * kSecond,
                                   clock->now());
  }

  Clock* clock;
  StreamVersions versions;
  int failures = 0;
  size_t instance_count = 1;
  std::unique_ptr<StreamRecorder> recorder;
};

}  // namespace

// Guards against streams whose version nobody knows after all instances have
// ended, also at their second end: a process records those of its predecessor.
BOOST_AUTO_TEST_CASE(RecordsOutliveAllInstances) {
  Clock clock;
  FakeRegistry registry(&clock);
  for (int life = 0; life < 2; ++life) {
    std::vector<std::unique_ptr<Instance>> fleet;
    for (int n = 0; n < 5; ++n) {
      fleet.push_back(std::make_unique<Instance>(&clock, &registry,
                                                 "front-" + std::to_string(n)));
      fleet.back()->Begin(10 * life + n, n % 2 == 0 ? "v1" : "v2");
    }
    clock.Advance(3 * kSecond);
  }
  Instance instance(&clock, &registry, "front-2");
  for (int life = 0; life < 2; ++life) {
    for (int n = 0; n < 5; ++n) {
      BOOST_TEST((instance.Find(10 * life + n) == (n % 2 == 0 ? "v1" : "v2")));
    }
  }
  BOOST_TEST(!instance.Find(99));
}

// Guards against calls to the registry that record nothing new.
BOOST_AUTO_TEST_CASE(StreamsAreRecordedOnceAndOnlyBesideOtherVersions) {
  Clock clock;
  FakeRegistry registry(&clock);
  Instance instance(&clock, &registry, "front-1");
  clock.Advance(5 * kSecond);
  BOOST_TEST(registry.writes == 0);
  instance.Begin(1, "v1");
  instance.Begin(2, "v2");
  clock.Advance(5 * kSecond);
  BOOST_TEST(registry.writes == 1);
  instance.versions.RecordCompleted(MakeStream(1));
  clock.Advance(5 * kSecond);
  BOOST_TEST(registry.writes == 1);
  instance.versions.RecordReplicas(MakeView(12, 0), clock.now());
  clock.Advance(20 * kSecond);
  instance.Begin(3, "v1");
  clock.Advance(5 * kSecond);
  BOOST_TEST(registry.writes == 1);
}

// Guards against a large fleet that uses up the writes of the registry, and
// against one that records too late although the registry takes more.
BOOST_AUTO_TEST_CASE(LargeFleetsRecordAsOftenAsTheRegistryTakes) {
  struct Case {
    double writes_per_second;
    int least;
    int most;
  };
  // Every 1.85 s at the first rate, else every second, for 8 s.
  for (const Case& it : {Case{400, 4, 6}, Case{3200, 8, 10}, Case{1200, 8, 10},
                         Case{0, 8, 10}}) {
    Clock clock;
    FakeRegistry registry(&clock);
    Instance instance(&clock, &registry, "front-1", it.writes_per_second);
    instance.instance_count = 370;
    clock.Advance(kSecond);
    for (int n = 0; n < 100; ++n) {
      instance.Begin(n, "v1");
      clock.Advance(kSecond / 10);
    }
    BOOST_TEST(registry.writes >= it.least);
    BOOST_TEST(registry.writes <= it.most);
  }
}

// Guards against take-ups that wait for a registry which does not answer, and
// against a read for each of them.
BOOST_AUTO_TEST_CASE(ReadersShareAReadAndDoNotWaitForLong) {
  Clock clock;
  FakeRegistry registry(&clock);
  Instance instance(&clock, &registry, "front-1");
  int done = 0;
  for (int n = 0; n < 10; ++n) {
    instance.recorder->ReadAll([&done] { ++done; });
  }
  clock.Advance(std::chrono::milliseconds(10));
  instance.recorder->ReadAll([&done] { ++done; });
  BOOST_TEST(done == 11);
  BOOST_TEST(registry.pages_read == 1);
  clock.Advance(kSecond);
  registry.silent = true;
  instance.recorder->ReadAll([&done] { ++done; });
  clock.Advance(kSecond);
  BOOST_TEST(done == 12);
}

// Guards against an instance that stops recording after an outage of the
// registry, or after its record has gone or come without its doing.
BOOST_AUTO_TEST_CASE(RecordingGoesOnAfterFailures) {
  Clock clock;
  FakeRegistry registry(&clock);
  registry.unavailable = true;
  Instance instance(&clock, &registry, "front-1");
  instance.Begin(1, "v1");
  clock.Advance(5 * kSecond);
  BOOST_TEST(instance.failures == 1);
  registry.unavailable = false;
  clock.Advance(2 * kSecond);
  BOOST_TEST(registry.objects.size() == 1u);
  registry.objects.clear();
  instance.Begin(2, "v2");
  clock.Advance(4 * kSecond);
  BOOST_TEST(DecodeStreamRecord(registry.objects["front-1"]).size() == 2u);
}

// Guards against records that cannot be read, or are read as other streams.
BOOST_AUTO_TEST_CASE(MalformedRecordsAreLeftOut) {
  const std::vector<StreamReport> streams = {
      {1, 7}, {0xfedcba9876543210, 7}, {3, 0xffffffffffffffff}};
  BOOST_TEST((DecodeStreamRecord(EncodeStreamRecord(streams)) == streams));
  BOOST_TEST(EncodeStreamRecord({}) == "{\"streams\":{}}");
  const std::string version(16, 'a');
  const std::string begin = "{\"streams\":{\"" + version + "\":";
  for (const std::string& it :
       {std::string(), std::string("{"), std::string("[]"), begin + "1}}",
        begin + "\"00\"}}", begin + "\"zzzzzzzzzzzzzzzz\"}}",
        begin + "\"+000000000000001\"}}",
        std::string("{\"streams\":{\"v1\":\"0000000000000001\"}}")}) {
    BOOST_TEST(DecodeStreamRecord(it).empty());
  }
  const std::string many(16 * 3 * kMaxRecordedStreams, '0');
  BOOST_TEST(DecodeStreamRecord(begin + "\"" + many + "\"}}").size() ==
             2 * kMaxRecordedStreams);
}

}  // namespace endiveyard
