#include "endiveyard/registry/registry_era.h"

#include <utility>

namespace endiveyard {
namespace {

// Consecutive answers of an earlier era after which the later one is taken for
// wrong. Each reader waits for one answer at a time, so that fewer can be late.
constexpr int kMaxLateAnswers = 8;

}  // namespace

bool RegistryEra::Record(int64_t era) {
  if (era == 0) {
    return true;
  }
  if (era < latest_ && ++late_answers_ < kMaxLateAnswers) {
    return false;
  }
  late_answers_ = 0;
  const int64_t before = std::exchange(latest_, era);
  if (before != 0 && before != era) {
    for (const Subscriber& it : subscribers_) {
      it(era, before);
    }
  }
  return true;
}

}  // namespace endiveyard
