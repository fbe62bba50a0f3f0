#ifndef ENDIVEYARD_TOOLS_SOAK_REGISTRY_FAULTS_H_
#define ENDIVEYARD_TOOLS_SOAK_REGISTRY_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/registry_standin.h"

namespace endiveyard::soak {

enum class RegistryFault {
  kSilent,   // calls hang
  kBusy,     // calls get 503
  kSlow,     // answers take 50 times as long
  kLost,     // writes are carried out and not answered
  kRestore,  // hangs, and comes back from a copy some seconds old
  kCompact,  // the history is dropped
  kSome,     // calls of half of the processes get 503
  kCut,      // calls of half of the processes hang
  kDeaf,     // watches that wait hear of no change
  kCount
};

// Returns the fault with this name. Throws std::runtime_error for another one.
RegistryFault RegistryFaultNamed(const std::string& name);

struct RegistryDisruption {
  RegistryFault fault = RegistryFault::kSilent;
  int64_t begin_ms = 0;  // after the beginning of the run
  int64_t end_ms = 0;
  // Of kRestore: the age of the copy, and the time until what the operator and
  // the replicas have written since is written again.
  int64_t copy_age_ms = 0;
  int64_t write_again_ms = 0;
  std::vector<bool> half{};  // of kSome and kCut, by view
};

// Returns disruptions by these faults, some of which overlap, in the order of
// their beginnings. The last one ends by `end_ms`.
std::vector<RegistryDisruption> PlanRegistryDisruptions(
    const std::vector<RegistryFault>& faults,
    uint64_t seed,
    size_t views,
    int64_t begin_ms,
    int64_t end_ms);

// Plays the plan of a run that began at `run_begin_ms`, and writes what it does
// to `log_file`. Returns when all disruptions have ended.
void PlayRegistryDisruptions(const std::vector<RegistryDisruption>& plan,
                             int64_t run_begin_ms,
                             const std::string& log_file,
                             RegistryStandin* registry);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_REGISTRY_FAULTS_H_
