#ifndef ENDIVEYARD_REGISTRY_REGISTRY_ERA_H_
#define ENDIVEYARD_REGISTRY_REGISTRY_ERA_H_

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace endiveyard {

// The latest era of a registry that any of its answers has stated, shared by
// all that read the registry.
class RegistryEra {
 public:
  // Receives the new era and the one before it.
  using Subscriber = std::function<void(int64_t era, int64_t before)>;

  // Calls `subscriber` after each restore that becomes known, in the order of
  // subscription.
  void Subscribe(Subscriber subscriber) {
    subscribers_.push_back(std::move(subscriber));
  }

  // Records the era of an answer. Returns false if the answer is from before a
  // restore that is known, so that its contents may no longer hold. A registry
  // that keeps stating an earlier era is believed in the end.
  bool Record(int64_t era);

  int64_t latest() const { return latest_; }

 private:
  std::vector<Subscriber> subscribers_;
  int64_t latest_ = 0;
  int late_answers_ = 0;  // in a row
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_REGISTRY_REGISTRY_ERA_H_
