#ifndef ENDIVEYARD_FLEET_FLEET_CONFIGURATION_H_
#define ENDIVEYARD_FLEET_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "absl/status/statusor.h"
#include "endiveyard/fleet/configuration_keys.h"

namespace endiveyard {

// Base class that compares objects by their Fields().
template <typename T>
struct ComparableByFields {
  friend bool operator==(const T& a, const T& b) {
    return a.Fields() == b.Fields();
  }
  friend bool operator!=(const T& a, const T& b) { return !(a == b); }
};

// [[house]]: a tenant of the fleet.
struct HouseEntry : ComparableByFields<HouseEntry> {
  std::string name;
  double weight = 1;                         // weight in fair queueing
  std::optional<double> role_change_weight;  // overrides the default

  auto Key() const { return std::tie(name); }
  auto Fields() const { return std::tie(name, weight, role_change_weight); }
};

// [[class]]: the priority of a group of callers.
struct ClassEntry : ComparableByFields<ClassEntry> {
  std::string name;
  int64_t priority = 5;                        // 0 (lowest) to 9
  std::optional<int64_t> default_deadline_ms;  // overrides the default

  auto Key() const { return std::tie(name); }
  auto Fields() const { return std::tie(name, priority, default_deadline_ms); }
};

// [[caller]]: an API key of callers. Only the SHA-256 of the key is stored.
struct CallerEntry : ComparableByFields<CallerEntry> {
  std::string key_sha256;
  std::string house;
  std::string caller_class;

  auto Key() const { return std::tie(key_sha256); }
  auto Fields() const { return std::tie(key_sha256, house, caller_class); }
};

// [[service.path]]: a method and path prefix that a plain service accepts.
struct PathRule : ComparableByFields<PathRule> {
  std::string method;
  std::string prefix;
  bool idempotent = false;

  auto Key() const { return std::tie(prefix, method); }
  auto Fields() const { return std::tie(prefix, method, idempotent); }
};

enum class ServiceKind { kModel, kPlain };

// [[service]]: a model service or a plain service of one house.
struct ServiceEntry : ComparableByFields<ServiceEntry> {
  std::string house;
  std::string name;
  ServiceKind kind = ServiceKind::kModel;
  std::vector<std::string> models;  // kModel only, sorted
  bool checks_fencing = false;      // targets reject outdated fencing tokens
  std::vector<PathRule> paths;      // kPlain only, sorted

  auto Key() const { return std::tie(house, name); }
  auto Fields() const {
    return std::tie(house, name, kind, models, checks_fencing, paths);
  }
};

// [[exception]]: overrides the value of one key within a scope. Empty scope
// fields match everything; at least one is not empty.
struct ExceptionEntry : ComparableByFields<ExceptionEntry> {
  std::string key;
  std::string house;
  std::string caller_class;
  std::string service;
  std::string target;
  SettingValue value;
  std::string reason;

  // Bit flags of the scope fields that are not empty.
  int ScopeMask() const;
  auto Key() const {
    return std::tie(key, house, caller_class, service, target);
  }
  auto Fields() const {
    return std::tie(key, house, caller_class, service, target, value, reason);
  }
};

// Scope for which a value is looked up. An empty field matches only
// exceptions that leave that field empty.
struct SettingScope {
  std::string_view house;
  std::string_view caller_class;
  std::string_view service;
  std::string_view target;
};

enum class ValueSource { kDefault, kHouse, kClass, kException };

// Value that applies in a scope, and the entry that it comes from.
struct EffectiveValue {
  SettingValue value;
  ValueSource source = ValueSource::kDefault;
  std::string origin;  // "defaults", or the label of the entry
  std::string reason;  // kException only

  int64_t integer() const { return std::get<int64_t>(value); }
  double real() const { return std::get<double>(value); }
  const std::string& text() const { return std::get<std::string>(value); }
};

// Service and rule to which a request to a plain service is routed.
struct PlainRoute {
  const ServiceEntry* service = nullptr;  // nullptr: no rule matches
  const PathRule* rule = nullptr;
  bool path_exists = false;  // a rule covers the path, for any method
};

// Error in a configuration, with the entry and key that it concerns.
struct ConfigurationError {
  std::string entry;  // as returned by Label()
  std::string key;
  std::string reason;
  int line = 0;  // 0 if unknown or not parsed from text

  std::string ToString() const;
};

// Returns the name of the entry in messages, for example
// service "trinacria/setola-lm".
std::string Label(const HouseEntry& entry);
std::string Label(const ClassEntry& entry);
std::string Label(const CallerEntry& entry);
std::string Label(const ServiceEntry& entry);
std::string Label(const ExceptionEntry& entry);

// The complete configuration of the fleet: immutable, validated and cheap to
// copy. Copies share their tables, so a change copies only the tables that it
// affects. Safe to read from any thread.
class FleetConfiguration {
 public:
  class Builder;

  // Creates a configuration with the built-in defaults and empty tables.
  FleetConfiguration();

  const FleetDefaults& defaults() const { return *defaults_; }
  // Each table is sorted by the key of its entries.
  const std::vector<HouseEntry>& houses() const { return *houses_; }
  const std::vector<ClassEntry>& classes() const { return *classes_; }
  const std::vector<CallerEntry>& callers() const { return *callers_; }
  const std::vector<ServiceEntry>& services() const { return *services_; }
  const std::vector<ExceptionEntry>& exceptions() const { return *exceptions_; }

  // Return nullptr if there is no such entry. The pointers are valid as long
  // as any copy of this configuration exists. O(log entries).
  const HouseEntry* FindHouse(std::string_view name) const;
  const ClassEntry* FindClass(std::string_view name) const;
  const ServiceEntry* FindService(std::string_view house,
                                  std::string_view name) const;
  // `key` is the plain API key that the caller sent, not its digest.
  const CallerEntry* FindCaller(std::string_view key) const;
  // Returns the service of `house` that serves `model`, or nullptr.
  // O(services of the house).
  const ServiceEntry* FindModelService(std::string_view house,
                                       std::string_view model) const;
  // Selects the rule with the longest prefix that covers whole segments of
  // `path`. `path` has no query. O(paths of the house).
  PlainRoute FindPlainRoute(std::string_view house,
                            std::string_view method,
                            std::string_view path) const;

  // Returns the value of `key` in `scope`. An exception overrides a value in
  // the [[house]] or [[class]] entry, which overrides the default. If several
  // exceptions match, the one with the most specific scope applies: target,
  // then service, class, house. Precondition: `key` is one of
  // ConfigurationKeys(). O(log exceptions).
  EffectiveValue Lookup(std::string_view key, const SettingScope& scope) const;

  friend bool operator==(const FleetConfiguration& a,
                         const FleetConfiguration& b);
  friend bool operator!=(const FleetConfiguration& a,
                         const FleetConfiguration& b) {
    return !(a == b);
  }

 private:
  template <typename T>
  using Table = std::shared_ptr<const std::vector<T>>;

  std::shared_ptr<const FleetDefaults> defaults_;
  Table<HouseEntry> houses_;
  Table<ClassEntry> classes_;
  Table<CallerEntry> callers_;
  Table<ServiceEntry> services_;
  Table<ExceptionEntry> exceptions_;
};

// Builds a configuration, starting from the built-in defaults or from another
// configuration.
class FleetConfiguration::Builder {
 public:
  Builder();
  explicit Builder(const FleetConfiguration& base);
  ~Builder();
  Builder(Builder&&) noexcept;
  Builder& operator=(Builder&&) noexcept;

  Builder& SetDefaults(FleetDefaults defaults);
  // Adds the entry or replaces the one with the same key.
  Builder& Set(HouseEntry entry);
  Builder& Set(ClassEntry entry);
  Builder& Set(CallerEntry entry);
  Builder& Set(ServiceEntry entry);
  Builder& Set(ExceptionEntry entry);
  // Remove the entry with the same key and return whether it existed. Other
  // fields are ignored.
  bool Remove(const HouseEntry& entry);
  bool Remove(const ClassEntry& entry);
  bool Remove(const CallerEntry& entry);
  bool Remove(const ServiceEntry& entry);
  bool Remove(const ExceptionEntry& entry);

  const FleetDefaults& defaults() const;

  // Returns every value out of range and every reference to a missing entry.
  // O(entries log entries).
  std::vector<ConfigurationError> Validate() const;

  // Returns the configuration, or kInvalidSettings with the errors found by
  // Validate().
  absl::StatusOr<FleetConfiguration> Build() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_FLEET_FLEET_CONFIGURATION_H_
