#ifndef ENDIVEYARD_FLEET_CONFIGURATION_KEYS_H_
#define ENDIVEYARD_FLEET_CONFIGURATION_KEYS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace endiveyard {

// Value of a key of [defaults] or of an exception.
using SettingValue = std::variant<int64_t, double, std::string>;

// Bit flags of the scopes that an exception can name. A higher bit is a more
// specific scope.
inline constexpr int kHouseScope = 1;
inline constexpr int kClassScope = 2;
inline constexpr int kServiceScope = 4;
inline constexpr int kTargetScope = 8;

// Default values for the whole fleet.
struct FleetDefaults {
  int64_t queue_limit = 256;
  int64_t target_concurrency = 32;
  int64_t stall_ms = 2000;
  int64_t drain_ms = 30000;
  int64_t default_deadline_ms = 60000;
  int64_t max_body_bytes = 4 << 20;
  int64_t max_header_bytes = 16 << 10;
  double role_change_weight = 0.5;
  std::string planner = "cost-benefit";
  std::string role = "auto";  // an exception fixes the role of its targets
  int64_t minimum_mixed = 0;
  int64_t minimum_prefill = 1;
  int64_t minimum_decode = 1;

  auto Fields() const {
    return std::tie(queue_limit, target_concurrency, stall_ms, drain_ms,
                    default_deadline_ms, max_body_bytes, max_header_bytes,
                    role_change_weight, planner, role, minimum_mixed,
                    minimum_prefill, minimum_decode);
  }
  friend bool operator==(const FleetDefaults& a, const FleetDefaults& b) {
    return a.Fields() == b.Fields();
  }
  friend bool operator!=(const FleetDefaults& a, const FleetDefaults& b) {
    return !(a == b);
  }
};

// Definition of one key: where its value is stored and which values it
// accepts. The one member pointer that is set determines the type of the key.
struct ConfigurationKey {
  std::string_view name;
  int64_t FleetDefaults::*integer_member = nullptr;
  double FleetDefaults::*real_member = nullptr;
  std::string FleetDefaults::*string_member = nullptr;
  // Values that a string key accepts.
  const std::vector<std::string>* allowed_values = nullptr;
  // Range of a numeric key, both ends included.
  double min_value = 0;
  double max_value = 0;
  // Bit flags of the scopes that an exception for this key may name.
  int allowed_scopes = 0;
};

// Returns the definitions of all keys, in the order of the documentation.
const std::vector<ConfigurationKey>& ConfigurationKeys();

// Returns the definition of the key, or nullptr if it is unknown. O(keys).
const ConfigurationKey* FindConfigurationKey(std::string_view name);

// Values of the key `planner`.
const std::vector<std::string>& PlannerNames();

// Values of the key `role`. With "auto", the planner chooses the role.
const std::vector<std::string>& RoleSettingValues();

// Returns the reason why `value` is invalid for `key`, or an empty string if
// it is valid.
std::string ValidateSettingValue(const ConfigurationKey& key,
                                 const SettingValue& value);

// Get and set the value of `key`. Precondition of SetDefault(): `value` is
// valid for `key` as defined by ValidateSettingValue().
SettingValue GetDefault(const FleetDefaults& defaults,
                        const ConfigurationKey& key);
void SetDefault(FleetDefaults* defaults,
                const ConfigurationKey& key,
                const SettingValue& value);

// Formats `value` as a TOML value; strings are quoted and escaped.
std::string FormatSettingValue(const SettingValue& value);

}  // namespace endiveyard

#endif  // ENDIVEYARD_FLEET_CONFIGURATION_KEYS_H_
