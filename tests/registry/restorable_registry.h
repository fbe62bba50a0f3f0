#ifndef ENDIVEYARD_TESTS_REGISTRY_RESTORABLE_REGISTRY_H_
#define ENDIVEYARD_TESTS_REGISTRY_RESTORABLE_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "endiveyard/registry/registry_client.h"

namespace endiveyard {

// Events in simulated time.
class SimulatedTime {
 public:
  TimePoint now() const { return now_; }
  void Schedule(Duration delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }
  void RunUntil(TimePoint end);

 private:
  TimePoint now_ = TimePointFromMicros(0);
  std::multimap<TimePoint, std::function<void()>> events_;
};

// A registry that is restored from earlier copies of itself. Calls are answered
// after random delays: an answer may arrive after a restore that it does not
// know of.
class RestorableRegistry : public RegistryClient {
 public:
  RestorableRegistry(SimulatedTime* time, uint64_t seed)
      : time_(time), random_(seed) {}

  void Put(const std::string& name, const std::string& spec);
  void Delete(const std::string& name);
  void SaveCopy() { copy_ = state_; }
  // Returns to the saved copy.
  void Restore();
  const std::map<std::string, RegistryObject>& objects() const {
    return state_.objects;
  }
  int64_t era() const { return era_; }

  void ListPage(
      const std::string& kind,
      const std::string& after,
      std::function<void(absl::StatusOr<RegistryPage>)> done) override;
  void Watch(
      const std::string& kind,
      int64_t revision,
      Duration timeout,
      std::function<void(absl::StatusOr<RegistryChanges>)> done) override;

 private:
  struct State {
    std::map<std::string, RegistryObject> objects;
    std::vector<RegistryObject> history;
    int64_t revision = 1;
  };

  void Change(RegistryObject object);
  Duration RandomDelay(int64_t max_ms);
  void ContinueWatch(
      int64_t revision,
      TimePoint deadline,
      const std::function<void(absl::StatusOr<RegistryChanges>)>& done);

  SimulatedTime* time_;
  std::mt19937_64 random_;
  State state_;
  State copy_;
  int64_t era_ = 1;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TESTS_REGISTRY_RESTORABLE_REGISTRY_H_
