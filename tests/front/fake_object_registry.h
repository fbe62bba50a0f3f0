#ifndef ENDIVEYARD_TESTS_FRONT_FAKE_OBJECT_REGISTRY_H_
#define ENDIVEYARD_TESTS_FRONT_FAKE_OBJECT_REGISTRY_H_

#include <functional>
#include <string>
#include <utility>

#include "endiveyard/registry/registry_client.h"
#include "fake_clock.h"

namespace endiveyard {

// A registry that holds one object. Answers come 4 ms later.
class FakeObjectRegistry : public RegistryObjectClient {
 public:
  explicit FakeObjectRegistry(Clock* clock) : clock_(clock) {}

  void Read(const std::string& /*kind*/,
            const std::string& /*name*/,
            std::function<void(absl::StatusOr<RegistryObject>)> done) override {
    ++reads;
    Answer([this, done] {
      if (unavailable) {
        done(absl::UnavailableError("down"));
      } else if (object.revision == 0) {
        done(absl::NotFoundError("none"));
      } else {
        done(object);
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
      if (unavailable) {
        done(absl::UnavailableError("down"));
      } else if (written.revision != object.revision) {
        done(absl::AbortedError("changed"));
      } else {
        object = written;
        ++object.revision;
        done(absl::OkStatus());
      }
    });
  }

  RegistryObject object;
  int64_t era = 1;
  bool unavailable = false;
  int reads = 0;
  int writes = 0;

 private:
  void Answer(std::function<void()> action) {
    clock_->Schedule(std::chrono::milliseconds(4), std::move(action));
  }

  Clock* clock_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TESTS_FRONT_FAKE_OBJECT_REGISTRY_H_
