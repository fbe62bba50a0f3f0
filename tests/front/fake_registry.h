#ifndef ENDIVEYARD_TESTS_FRONT_FAKE_REGISTRY_H_
#define ENDIVEYARD_TESTS_FRONT_FAKE_REGISTRY_H_

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "endiveyard/registry/registry_client.h"
#include "fake_clock.h"

namespace endiveyard {

inline constexpr const char* kKindOfFakeRegistry = "kind";

// Objects of one kind, 100 to a page. Answers come 4 ms later.
class FakeRegistry : public RegistryClient, public RegistryObjectClient {
 public:
  using Objects = std::map<std::string, RegistryObject>;

  // Several with the same `shared` objects are links to one registry.
  explicit FakeRegistry(Clock* clock, Objects* shared = nullptr)
      : objects(shared == nullptr ? own_objects_ : *shared), clock_(clock) {}

  void ListPage(
      const std::string& kind,
      const std::string& after,
      std::function<void(absl::StatusOr<RegistryPage>)> done) override {
    ++full_price_lists;
    ListStalePage(kind, after, std::move(done));
  }
  void ListStalePage(
      const std::string& kind,
      const std::string& after,
      std::function<void(absl::StatusOr<RegistryPage>)> done) override {
    BOOST_TEST(kind == kKindOfFakeRegistry);
    Answer([this, after, done] {
      if (unavailable) {
        done(absl::UnavailableError("down"));
        return;
      }
      constexpr size_t kPage = 100;
      RegistryPage page;
      for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
        if (page.items.size() == kPage) {
          page.has_more = true;
          break;
        }
        page.items.push_back(it->second);
      }
      done(page);
    });
  }
  void Watch(
      const std::string& /*kind*/,
      int64_t /*revision*/,
      Duration /*timeout*/,
      std::function<void(absl::StatusOr<RegistryChanges>)> /*done*/) override {}
  void Read(
      const std::string& /*kind*/,
      const std::string& /*name*/,
      std::function<void(absl::StatusOr<RegistryObject>)> /*done*/) override {}
  void Write(const std::string& /*kind*/,
             const RegistryObject& written,
             std::function<void(absl::Status)> done) override {
    write_times.insert(clock_->now());
    Answer([this, written, done] {
      const bool exists = objects.count(written.name) > 0;
      if (unavailable) {
        done(absl::UnavailableError("down"));
      } else if (written.revision == 0 && exists) {
        done(absl::AbortedError("exists"));
      } else if (written.revision != 0 && !exists) {
        done(absl::NotFoundError("none"));
      } else {
        objects[written.name] = {written.name, written.spec, false,
                                 ++revision_};
        done(absl::OkStatus());
      }
    });
  }
  void Remove(const std::string& /*kind*/,
              const std::string& name,
              int64_t revision,
              std::function<void(absl::Status)> done) override {
    ++removals;
    Answer([this, name, revision, done] {
      const auto it = objects.find(name);
      if (it != objects.end() && it->second.revision == revision) {
        objects.erase(it);
      }
      done(absl::OkStatus());
    });
  }

  Objects& objects;
  bool unavailable = false;
  std::multiset<TimePoint> write_times;
  int removals = 0;
  int full_price_lists = 0;

 private:
  void Answer(std::function<void()> action) {
    clock_->Schedule(std::chrono::milliseconds(4), std::move(action));
  }

  Objects own_objects_;
  Clock* clock_;
  int64_t revision_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TESTS_FRONT_FAKE_REGISTRY_H_
