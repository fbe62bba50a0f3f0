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

double MaxDemandFactor(const RoleCounts& counts,
                       const TokenRates& demand,
                       const PlannerSettings& settings) {
  // `prefill`, `decode` and `mixed` are in units of dedicated engines. With
  // factor x the mixed engines have to supply
  // max(0, x * prefill - counts.prefill) + max(0, x * decode - counts.decode).
  const double prefill = demand.prompt / settings.engine_capacity.prompt;
  const double decode = demand.output / settings.engine_capacity.output;
  const double mixed = counts.mixed * settings.mixed_efficiency;
  const double prefill_limit =
      prefill > 0 ? counts.prefill / prefill : kUnlimited;
  const double decode_limit = decode > 0 ? counts.decode / decode : kUnlimited;
  const double tighter_limit = std::min(prefill_limit, decode_limit);
  const double looser_limit = std::max(prefill_limit, decode_limit);
  if (tighter_limit >= kUnlimited) {
    return kUnlimited;
  }
  const double tighter_engines =
      prefill_limit < decode_limit ? prefill : decode;
  const double first_role_factor = tighter_limit + mixed / tighter_engines;
  if (first_role_factor <= looser_limit) {
    return first_role_factor;
  }
  return looser_limit +
         (mixed - (looser_limit - tighter_limit) * tighter_engines) /
             (prefill + decode);
}

double PrefillShare(const TokenRates& demand, const PlannerSettings& settings) {
  const double prefill = demand.prompt / settings.engine_capacity.prompt;
  const double decode = demand.output / settings.engine_capacity.output;
  return prefill + decode > 0 ? prefill / (prefill + decode) : 0;
}

}  // namespace endiveyard
