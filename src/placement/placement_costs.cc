#include "endiveyard/placement/placement_costs.h"

#include <tuple>

namespace endiveyard {
namespace {

// Properties of engines that the configuration does not describe.
constexpr double kDefaultKvBytesPerToken = 32768;
constexpr double kDefaultLinkMbps = 800000;
constexpr double kDefaultKvTokens = 512000;

// Transfers take twice as long between failure domains and ten times as long
// between regions (documented by the platform).
constexpr double kOtherFailureDomainTimeFactor = 2;
constexpr double kOtherRegionTimeFactor = 10;

// Share of the memory of an engine that holds cached parts. The rest holds the
// running requests.
constexpr double kCacheShare = 0.75;

constexpr double kBytesPerGigabyte = 1e9;
constexpr double kBitsPerByte = 8;
// 1 Mbit/s is 1,000 bits per ms.
constexpr double kBitsPerMsPerMbps = 1000;

double PositiveOr(double value, double fallback) {
  return value > 0 ? value : fallback;
}

double ByDistance(Distance distance,
                  double same_failure_domain,
                  double same_region,
                  double other_region) {
  switch (distance) {
    case Distance::kSameFailureDomain:
      return same_failure_domain;
    case Distance::kSameRegion:
      return same_region;
    case Distance::kOtherRegion:
      break;
  }
  return other_region;
}

}  // namespace

Distance DistanceBetween(const Location& location,
                         const std::string& from,
                         const std::string& to) {
  if (from == to) {
    return Distance::kSameFailureDomain;
  }
  const auto from_region = location.region_of_failure_domain.find(from);
  const auto to_region = location.region_of_failure_domain.find(to);
  const bool same_region =
      from_region != location.region_of_failure_domain.end() &&
      to_region != location.region_of_failure_domain.end() &&
      from_region->second == to_region->second;
  return same_region ? Distance::kSameRegion : Distance::kOtherRegion;
}

bool PlacementPrices::operator==(const PlacementPrices& other) const {
  const auto fields = [](const PlacementPrices& it) {
    return std::tie(it.recomputed_token_ms, it.kv_gigabyte_ms,
                    it.kv_other_failure_domain_factor,
                    it.kv_other_region_factor, it.other_failure_domain_byte_ms,
                    it.other_region_byte_ms, it.other_failure_domain_call_ms,
                    it.other_region_call_ms);
  };
  return fields(*this) == fields(other);
}

PlacementCosts::PlacementCosts(const PlacementPrices& prices,
                               const std::optional<EngineTraits>& traits)
    : prices_(prices) {
  const EngineTraits known = traits.value_or(EngineTraits());
  const double kv_bytes = PositiveOr(known.kv_bytes, kDefaultKvBytesPerToken);
  kv_gigabytes_per_token_ = kv_bytes / kBytesPerGigabyte;
  copy_ms_per_token_ =
      kv_bytes * kBitsPerByte /
      (PositiveOr(known.link_mbps, kDefaultLinkMbps) * kBitsPerMsPerMbps);
}

double PlacementCosts::CallMs(Distance distance, double body_bytes) const {
  return ByDistance(
      distance, 0,
      prices_.other_failure_domain_call_ms +
          body_bytes * prices_.other_failure_domain_byte_ms,
      prices_.other_region_call_ms + body_bytes * prices_.other_region_byte_ms);
}

double PlacementCosts::CopyTimeMsPerToken(Distance distance) const {
  return copy_ms_per_token_ * ByDistance(distance, 1,
                                         kOtherFailureDomainTimeFactor,
                                         kOtherRegionTimeFactor);
}

double PlacementCosts::CopyMsPerToken(Distance distance) const {
  return CopyTimeMsPerToken(distance) +
         kv_gigabytes_per_token_ * prices_.kv_gigabyte_ms *
             ByDistance(distance, 1, prices_.kv_other_failure_domain_factor,
                        prices_.kv_other_region_factor);
}

double CacheCapacityTokens(const std::optional<EngineTraits>& traits) {
  return kCacheShare *
         PositiveOr(traits ? traits->kv_tokens : 0, kDefaultKvTokens);
}

}  // namespace endiveyard
