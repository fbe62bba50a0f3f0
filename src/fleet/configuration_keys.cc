#include "endiveyard/fleet/configuration_keys.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace endiveyard {
namespace {

constexpr int kPerTargetScopes = kHouseScope | kServiceScope | kTargetScope;

ConfigurationKey IntegerKey(std::string_view name,
                            int64_t FleetDefaults::*member,
                            double min_value,
                            double max_value,
                            int allowed_scopes) {
  ConfigurationKey key;
  key.name = name;
  key.integer_member = member;
  key.min_value = min_value;
  key.max_value = max_value;
  key.allowed_scopes = allowed_scopes;
  return key;
}

std::vector<ConfigurationKey> BuildConfigurationKeys() {
  using D = FleetDefaults;
  std::vector<ConfigurationKey> keys = {
      IntegerKey("queue_limit", &D::queue_limit, 1, 100'000,
                 kHouseScope | kClassScope),
      IntegerKey("target_concurrency", &D::target_concurrency, 1, 4096,
                 kPerTargetScopes),
      IntegerKey("stall_ms", &D::stall_ms, 100, 60'000, kPerTargetScopes),
      IntegerKey("drain_ms", &D::drain_ms, 0, 600'000, kPerTargetScopes),
      IntegerKey("default_deadline_ms", &D::default_deadline_ms, 100, 3'600'000,
                 kHouseScope | kClassScope | kServiceScope),
      IntegerKey("max_body_bytes", &D::max_body_bytes, 1024, 256 << 20,
                 kHouseScope | kServiceScope),
      // Headers are read before the caller is identified, so no scope applies.
      IntegerKey("max_header_bytes", &D::max_header_bytes, 1024, 1 << 20, 0),
  };
  ConfigurationKey weight;
  weight.name = "role_change_weight";
  weight.real_member = &D::role_change_weight;
  weight.max_value = 1;
  weight.allowed_scopes = kHouseScope | kServiceScope;
  keys.push_back(weight);
  ConfigurationKey planner;
  planner.name = "planner";
  planner.string_member = &D::planner;
  planner.allowed_values = &PlannerNames();
  planner.allowed_scopes = kHouseScope | kServiceScope;
  keys.push_back(planner);
  ConfigurationKey role;
  role.name = "role";
  role.string_member = &D::role;
  role.allowed_values = &RoleSettingValues();
  role.allowed_scopes = kPerTargetScopes;
  keys.push_back(role);
  for (const auto& [name, member] :
       {std::pair("minimum_mixed", &D::minimum_mixed),
        std::pair("minimum_prefill", &D::minimum_prefill),
        std::pair("minimum_decode", &D::minimum_decode)}) {
    keys.push_back(
        IntegerKey(name, member, 0, 24'000, kHouseScope | kServiceScope));
  }
  return keys;
}

std::string FormatReal(double value) {
  std::array<char, 32> buf{};
  const auto result = std::to_chars(buf.data(), buf.data() + buf.size(), value);
  std::string text(buf.data(), result.ptr);
  if (text.find_first_of(".en") == std::string::npos) {
    text += ".0";
  }
  return text;
}

}  // namespace

const std::vector<ConfigurationKey>& ConfigurationKeys() {
  static const auto* const kKeys =
      new std::vector<ConfigurationKey>(BuildConfigurationKeys());
  return *kKeys;
}

const ConfigurationKey* FindConfigurationKey(std::string_view name) {
  for (const ConfigurationKey& it : ConfigurationKeys()) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

const std::vector<std::string>& PlannerNames() {
  static const auto* const kNames = new std::vector<std::string>{
      "fixed", "threshold", "hysteresis", "cost-benefit"};
  return *kNames;
}

const std::vector<std::string>& RoleSettingValues() {
  static const auto* const kNames =
      new std::vector<std::string>{"auto", "mixed", "prefill", "decode"};
  return *kNames;
}

std::string ValidateSettingValue(const ConfigurationKey& key,
                                 const SettingValue& value) {
  if (key.string_member != nullptr) {
    const auto* text = std::get_if<std::string>(&value);
    if (text == nullptr) {
      return "must be a string";
    }
    const auto& allowed_values = *key.allowed_values;
    if (std::find(allowed_values.begin(), allowed_values.end(), *text) ==
        allowed_values.end()) {
      std::string reason = "must be one of";
      for (const std::string& it : allowed_values) {
        reason += " \"" + it + "\"";
      }
      return reason;
    }
    return "";
  }
  double number = 0;
  if (key.integer_member != nullptr) {
    const auto* integer = std::get_if<int64_t>(&value);
    if (integer == nullptr) {
      return "must be an integer";
    }
    number = static_cast<double>(*integer);
  } else {
    const auto* real = std::get_if<double>(&value);
    if (real == nullptr) {
      return "must be a number";
    }
    number = *real;
  }
  // The negated comparison also rejects NaN.
  if (!(number >= key.min_value && number <= key.max_value)) {
    const auto bound = [&key](double n) {
      return key.integer_member != nullptr
                 ? std::to_string(static_cast<int64_t>(n))
                 : FormatReal(n);
    };
    return FormatSettingValue(value) + " is outside " + bound(key.min_value) +
           " to " + bound(key.max_value);
  }
  return "";
}

SettingValue GetDefault(const FleetDefaults& defaults,
                        const ConfigurationKey& key) {
  if (key.integer_member != nullptr) {
    return defaults.*key.integer_member;
  }
  if (key.real_member != nullptr) {
    return defaults.*key.real_member;
  }
  return defaults.*key.string_member;
}

void SetDefault(FleetDefaults* defaults,
                const ConfigurationKey& key,
                const SettingValue& value) {
  if (key.integer_member != nullptr) {
    defaults->*key.integer_member = std::get<int64_t>(value);
  } else if (key.real_member != nullptr) {
    defaults->*key.real_member = std::get<double>(value);
  } else {
    defaults->*key.string_member = std::get<std::string>(value);
  }
}

std::string FormatSettingValue(const SettingValue& value) {
  if (const auto* integer = std::get_if<int64_t>(&value)) {
    return std::to_string(*integer);
  }
  if (const auto* real = std::get_if<double>(&value)) {
    return FormatReal(*real);
  }
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text = "\"";
  for (char it : std::get<std::string>(value)) {
    const auto byte = static_cast<unsigned char>(it);
    if (it == '"' || it == '\\') {
      text += '\\';
      text += it;
    } else if (it == '\n') {
      text += "\\n";
    } else if (byte < 0x20 || byte == 0x7f) {
      text += "\\u00";
      text += kHexDigits[byte >> 4];
      text += kHexDigits[byte & 0xf];
    } else {
      text += it;
    }
  }
  return text + "\"";
}

}  // namespace endiveyard
