#ifndef ENDIVEYARD_TOOLS_SOAK_BUILD_PLAN_H_
#define ENDIVEYARD_TOOLS_SOAK_BUILD_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "soak/front_process.h"

namespace endiveyard::soak {

// How processes come to the second build.
enum class BuildChange {
  kDrawn,    // each process draws at each start
  kThere,    // from the second build to the first, one process after the other
  kAndBack,  // as before, and back
};

// Returns the change with this name. Throws std::runtime_error for another one.
BuildChange BuildChangeNamed(const std::string& name);

struct BuildPlanOptions {
  std::string binary;
  std::string other_binary;  // empty if all processes run `binary`
  BuildChange change = BuildChange::kDrawn;
  uint64_t seed = 0;
  size_t fronts = 0;
  int64_t duration_ms = 0;
};

// Says which build each process runs. Calls for one process have to come from
// one thread.
class BuildPlan {
 public:
  explicit BuildPlan(const BuildPlanOptions& options);

  bool is_mixed() const { return !options_.other_binary.empty(); }
  // The build that a process runs if it is started `elapsed_ms` after the
  // beginning.
  FrontProcess::Build ForStart(size_t front, int64_t elapsed_ms);
  // True if a process with the build `running` is to be replaced.
  bool IsDue(size_t front, const std::string& running, int64_t elapsed_ms);

 private:
  bool RunsOther(size_t front, int64_t elapsed_ms) const;

  const BuildPlanOptions options_;
  std::vector<std::mt19937_64> draws_;  // by process
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_BUILD_PLAN_H_
