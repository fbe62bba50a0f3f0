#include "soak/build_plan.h"

#include <stdexcept>

namespace endiveyard::soak {
namespace {

// In reports, as the options are named.
constexpr const char* kFirstName = "binary";
constexpr const char* kOtherName = "other-binary";
constexpr uint64_t kPartOfSeed = 5000;

}  // namespace

BuildChange BuildChangeNamed(const std::string& name) {
  if (name == "there") {
    return BuildChange::kThere;
  }
  if (name == "back") {
    return BuildChange::kAndBack;
  }
  throw std::runtime_error("builds are not changed in the way " + name);
}

BuildPlan::BuildPlan(const BuildPlanOptions& options) : options_(options) {
  for (size_t n = 0; n < options.fronts; ++n) {
    std::seed_seq seed{options.seed, kPartOfSeed + n};
    draws_.emplace_back(seed);
  }
}

bool BuildPlan::RunsOther(size_t front, int64_t elapsed_ms) const {
  // The way back, if there is one, takes the second half of the time.
  const bool returns = options_.change == BuildChange::kAndBack;
  const int64_t span_ms = options_.duration_ms / (returns ? 2 : 1);
  const int64_t change_ms = span_ms * static_cast<int64_t>(front + 1) /
                            static_cast<int64_t>(options_.fronts + 1);
  return elapsed_ms < change_ms ||
         (returns && elapsed_ms >= span_ms + change_ms);
}

FrontProcess::Build BuildPlan::ForStart(size_t front, int64_t elapsed_ms) {
  if (!is_mixed()) {
    return {options_.binary, ""};
  }
  const bool other = options_.change == BuildChange::kDrawn
                         ? draws_[front]() % 2 == 0
                         : RunsOther(front, elapsed_ms);
  return other ? FrontProcess::Build{options_.other_binary, kOtherName}
               : FrontProcess::Build{options_.binary, kFirstName};
}

bool BuildPlan::IsDue(size_t front,
                      const std::string& running,
                      int64_t elapsed_ms) {
  return is_mixed() && options_.change != BuildChange::kDrawn &&
         ForStart(front, elapsed_ms).name != running;
}

}  // namespace endiveyard::soak
