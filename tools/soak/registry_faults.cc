#include "soak/registry_faults.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <random>
#include <set>
#include <stdexcept>

namespace endiveyard::soak {
namespace {

constexpr uint64_t kPartOfSeed = 6000;
constexpr std::array<const char*, static_cast<size_t>(RegistryFault::kCount)>
    kNames = {"silent",  "busy", "slow", "lost", "restore",
              "compact", "some", "cut",  "deaf"};
constexpr int64_t kMaxLengthMs = 7000;
constexpr int64_t kMaxAbsenceMs = 1500;  // before a restore
constexpr int64_t kMaxPauseMs = 2000;
constexpr int64_t kMinCopyAgeMs = 1000;
constexpr int64_t kMaxCopyAgeMs = 9000;
constexpr int64_t kMaxWriteAgainMs = 400;

const char* NameOf(RegistryFault fault) {
  return kNames[static_cast<size_t>(fault)];
}

// What happens at a moment of the plan.
enum class Step { kBegin, kEnd, kWriteAgain };

struct Moment {
  int64_t at_ms;
  Step step;
  size_t disruption;
};

RegistryTrouble TroubleOf(const std::vector<RegistryDisruption>& plan,
                          const std::set<size_t>& current) {
  RegistryTrouble trouble;
  for (const size_t n : current) {
    const RegistryFault fault = plan[n].fault;
    trouble.is_silent |=
        fault == RegistryFault::kSilent || fault == RegistryFault::kRestore;
    trouble.is_busy |= fault == RegistryFault::kBusy;
    trouble.is_slow |= fault == RegistryFault::kSlow;
    trouble.loses_answers |= fault == RegistryFault::kLost;
    trouble.deafens_watches |= fault == RegistryFault::kDeaf;
    if (fault == RegistryFault::kSome) {
      trouble.turned_away = plan[n].half;
    }
    if (fault == RegistryFault::kCut) {
      trouble.cut = plan[n].half;
    }
  }
  return trouble;
}

std::vector<Moment> MomentsOf(const std::vector<RegistryDisruption>& plan) {
  std::vector<Moment> moments;
  for (size_t n = 0; n < plan.size(); ++n) {
    const RegistryDisruption& it = plan[n];
    moments.push_back({it.begin_ms, Step::kBegin, n});
    moments.push_back({it.end_ms, Step::kEnd, n});
    if (it.fault == RegistryFault::kRestore) {
      moments.push_back({it.end_ms + it.write_again_ms, Step::kWriteAgain, n});
    }
  }
  std::stable_sort(
      moments.begin(), moments.end(),
      [](const Moment& a, const Moment& b) { return a.at_ms < b.at_ms; });
  return moments;
}

}  // namespace

RegistryFault RegistryFaultNamed(const std::string& name) {
  const auto it = std::find(kNames.begin(), kNames.end(), name);
  if (it == kNames.end()) {
    throw std::runtime_error("no fault of the registry has the name " + name);
  }
  return static_cast<RegistryFault>(it - kNames.begin());
}

std::vector<RegistryDisruption> PlanRegistryDisruptions(
    const std::vector<RegistryFault>& faults,
    uint64_t seed,
    size_t views,
    int64_t begin_ms,
    int64_t end_ms) {
  std::seed_seq sequence{seed, kPartOfSeed};
  std::mt19937_64 random(sequence);
  const auto draw = [&random](int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(random);
  };
  std::vector<RegistryDisruption> plan;
  std::vector<RegistryFault> order = faults;
  for (size_t n = 0; !faults.empty() && begin_ms < end_ms; ++n) {
    if (n % order.size() == 0) {
      std::shuffle(order.begin(), order.end(), random);
    }
    RegistryDisruption next;
    next.fault = order[n % order.size()];
    next.begin_ms = begin_ms;
    const int64_t length_ms = next.fault == RegistryFault::kRestore
                                  ? draw(0, kMaxAbsenceMs)
                                  : draw(kMaxLengthMs / 10, kMaxLengthMs);
    next.end_ms = std::min(end_ms, begin_ms + length_ms);
    next.copy_age_ms = draw(kMinCopyAgeMs, kMaxCopyAgeMs);
    next.write_again_ms =
        std::max<int64_t>(0, draw(-kMaxWriteAgainMs, kMaxWriteAgainMs));
    next.half.resize(views);
    for (size_t view = 0; view < views; ++view) {
      next.half[view] = view % 2 == 0;
    }
    std::shuffle(next.half.begin(), next.half.end(), random);
    plan.push_back(next);
    const bool overlaps = draw(0, 2) == 0;
    begin_ms = overlaps ? draw(next.begin_ms, next.end_ms)
                        : next.end_ms + draw(0, kMaxPauseMs);
  }
  return plan;
}

void PlayRegistryDisruptions(const std::vector<RegistryDisruption>& plan,
                             int64_t run_begin_ms,
                             const std::string& log_file,
                             RegistryStandin* registry) {
  std::ofstream log(log_file);
  std::set<size_t> current;
  for (const Moment& it : MomentsOf(plan)) {
    SleepMs(std::max<int64_t>(0, run_begin_ms + it.at_ms - NowMs()));
    const RegistryDisruption& disruption = plan[it.disruption];
    log << NowMs() << " " << NameOf(disruption.fault)
        << (it.step == Step::kBegin ? " begins"
            : it.step == Step::kEnd ? " ends"
                                    : " has written again")
        << std::endl;
    if (it.step == Step::kWriteAgain) {
      registry->WriteLostAgain();
      continue;
    }
    if (it.step == Step::kBegin) {
      current.insert(it.disruption);
    } else {
      current.erase(it.disruption);
    }
    if (disruption.fault == RegistryFault::kCompact) {
      registry->DropHistory();
    }
    if (disruption.fault == RegistryFault::kRestore) {
      if (it.step == Step::kEnd) {
        registry->Restore(disruption.copy_age_ms);
        log << NowMs() << " restored from a copy of " << disruption.copy_age_ms
            << " ms ago" << std::endl;
      }
      registry->ResetConnections();
    }
    registry->SetTrouble(TroubleOf(plan, current));
  }
}

}  // namespace endiveyard::soak
