#ifndef ENDIVEYARD_PLACEMENT_PLACEMENT_COSTS_H_
#define ENDIVEYARD_PLACEMENT_PLACEMENT_COSTS_H_

#include <map>
#include <optional>
#include <string>

#include "endiveyard/placement/service_map.h"

namespace endiveyard {

// Failure domain of this instance, and the region of each failure domain.
struct Location {
  std::string failure_domain;
  std::map<std::string, std::string> region_of_failure_domain;
};

enum class Distance { kSameFailureDomain, kSameRegion, kOtherRegion };

Distance DistanceBetween(const Location& location,
                         const std::string& from,
                         const std::string& to);

// What operators pay for resources, as the time that a request may wait
// instead, in ms. The defaults value 4,000 recomputed tokens, 4 GB of KV cache
// moved within a failure domain, and 130 KB sent to another region at one
// second.
struct PlacementPrices {
  // Recomputing a token of a shared prompt part that another engine has.
  double recomputed_token_ms = 0.25;
  // Moving KV cache within a failure domain. Between failure domains and
  // between regions, it costs a multiple.
  double kv_gigabyte_ms = 250;
  double kv_other_failure_domain_factor = 2;
  double kv_other_region_factor = 3;
  // Request bodies sent to other failure domains and regions.
  double other_failure_domain_byte_ms = 0.0019;
  double other_region_byte_ms = 0.0077;
  // Delay, and the headers and responses of one call.
  double other_failure_domain_call_ms = 3;
  double other_region_call_ms = 20;

  bool operator==(const PlacementPrices& other) const;
};

// Costs of placing requests on the engines of one service, derived from the
// prices and from the properties of the engines in the configuration. An engine
// without properties counts as one with 32 KB of KV cache per token.
class PlacementCosts {
 public:
  PlacementCosts(const PlacementPrices& prices,
                 const std::optional<EngineTraits>& traits);

  // Returns the price of the call and of `body_bytes`, in ms.
  double CallMs(Distance distance, double body_bytes) const;
  // Returns the time that copying the KV cache of a token takes, in ms.
  double CopyTimeMsPerToken(Distance distance) const;
  // Returns the price and the time of copying the KV cache of a token, in ms.
  double CopyMsPerToken(Distance distance) const;
  double recomputed_token_ms() const { return prices_.recomputed_token_ms; }

 private:
  PlacementPrices prices_;
  double kv_gigabytes_per_token_;
  double copy_ms_per_token_;
};

// Returns the tokens of cached prompt parts that fit into the memory of an
// engine beside its running requests.
double CacheCapacityTokens(const std::optional<EngineTraits>& traits);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_PLACEMENT_COSTS_H_
