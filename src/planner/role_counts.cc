#include "planner/role_counts.h"

#include <algorithm>

namespace endiveyard {

namespace {

constexpr double kUnlimited = 1e9;

}  // namespace

int& RoleCounts::Of(Role role) {
  switch (role) {
    case Role::kPrefill:
      return prefill;
    case Role::kDecode:
      return decode;
    case Role::kMixed:
      return mixed;
  }
  return mixed;
}

int RoleCounts::Of(Role role) const {
  RoleCounts copy = *this;
  return copy.Of(role);
}

double ServableFactor(const RoleCounts& counts,
                      const TokenRates& load,
                      const PlannerSettings& settings) {
  // In units of engines: with factor x the mixed engines have to supply
  // max(0, x * prefill - counts.prefill) + max(0, x * decode - counts.decode).
  const double prefill = load.prompt / settings.engine_capacity.prompt;
  const double decode = load.output / settings.engine_capacity.output;
  const double mixed = counts.mixed * settings.mixed_efficiency;
  const double prefill_limit =
      prefill > 0 ? counts.prefill / prefill : kUnlimited;
  const double decode_limit = decode > 0 ? counts.decode / decode : kUnlimited;
  const double first = std::min(prefill_limit, decode_limit);
  const double second = std::max(prefill_limit, decode_limit);
  if (first >= kUnlimited) {
    return kUnlimited;
  }
  const double first_load = prefill_limit < decode_limit ? prefill : decode;
  const double alone = first + mixed / first_load;
  if (alone <= second) {
    return alone;
  }
  return second + (mixed - (second - first) * first_load) / (prefill + decode);
}

double PrefillShare(const TokenRates& load, const PlannerSettings& settings) {
  const double prefill = load.prompt / settings.engine_capacity.prompt;
  const double decode = load.output / settings.engine_capacity.output;
  return prefill + decode > 0 ? prefill / (prefill + decode) : 0;
}

}  // namespace endiveyard
