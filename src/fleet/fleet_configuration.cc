#include "endiveyard/fleet/fleet_configuration.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "endiveyard/base/digest.h"
#include "fleet/configuration_parser.h"

namespace endiveyard {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxPathBytes = 256;
constexpr double kMaxHouseWeight = 1000;

// Paths that the gateway serves itself; plain services cannot use them.
constexpr std::array<std::string_view, 5> kReservedPrefixes = {
    "/v1", "/healthz", "/readyz", "/metrics", "/explain"};

constexpr std::array<std::string_view, 6> kMethods = {
    "GET", "HEAD", "POST", "PATCH", "PUT", "DELETE"};

template <typename T, typename K>
auto LowerBound(const std::vector<T>& table, const K& key) {
  return std::lower_bound(table.begin(), table.end(), key,
                          [](const T& a, const K& b) { return a.Key() < b; });
}

template <typename T, typename K>
const T* FindByKey(const std::vector<T>& table, const K& key) {
  const auto it = LowerBound(table, key);
  return it != table.end() && it->Key() == key ? &*it : nullptr;
}

// Returns whether `prefix` covers whole segments of `path`.
bool IsSegmentPrefix(std::string_view prefix, std::string_view path) {
  return path.substr(0, prefix.size()) == prefix &&
         (path.size() == prefix.size() || prefix.back() == '/' ||
          path[prefix.size()] == '/');
}

std::string ValidateName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes) {
    return "must have 1 to 64 characters";
  }
  const bool valid = std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
  return valid ? "" : "may contain only letters, digits, '-', '_' and '.'";
}

// Table that is shared until the first change, which copies it.
template <typename T>
class CopyOnWriteTable {
 public:
  explicit CopyOnWriteTable(std::shared_ptr<const std::vector<T>> shared)
      : original_(std::move(shared)) {}

  const std::vector<T>& entries() const {
    return modified_ ? *modified_ : *original_;
  }

  void Set(T entry) {
    auto& table = Mutable();
    const auto it =
        table.begin() + (LowerBound(table, entry.Key()) - table.cbegin());
    if (it != table.end() && it->Key() == entry.Key()) {
      *it = std::move(entry);
    } else {
      table.insert(it, std::move(entry));
    }
  }

  bool Remove(const T& entry) {
    if (FindByKey(entries(), entry.Key()) == nullptr) {
      return false;
    }
    auto& table = Mutable();
    table.erase(LowerBound(table, entry.Key()));
    return true;
  }

  std::shared_ptr<const std::vector<T>> ToShared() const {
    return modified_ ? std::make_shared<const std::vector<T>>(*modified_)
                     : original_;
  }

 private:
  std::vector<T>& Mutable() {
    if (!modified_) {
      modified_ = *original_;
    }
    return *modified_;
  }

  std::shared_ptr<const std::vector<T>> original_;
  std::optional<std::vector<T>> modified_;
};

}  // namespace

int ExceptionEntry::ScopeMask() const {
  return (house.empty() ? 0 : kHouseScope) |
         (caller_class.empty() ? 0 : kClassScope) |
         (service.empty() ? 0 : kServiceScope) |
         (target.empty() ? 0 : kTargetScope);
}

std::string ConfigurationError::ToString() const {
  std::string text;
  if (line > 0) {
    text += "line " + std::to_string(line) + ": ";
  }
  text += entry;
  if (!key.empty()) {
    text += (entry.empty() ? "key " : ", key ") + key;
  }
  return text + ": " + reason;
}

std::string Label(const HouseEntry& entry) {
  return "house \"" + entry.name + "\"";
}
std::string Label(const ClassEntry& entry) {
  return "class \"" + entry.name + "\"";
}
std::string Label(const CallerEntry& entry) {
  // The first 12 digits identify the key well enough in messages.
  return "caller \"" + entry.key_sha256.substr(0, 12) + "\"";
}
std::string Label(const ServiceEntry& entry) {
  return "service \"" + entry.house + "/" + entry.name + "\"";
}
std::string Label(const ExceptionEntry& entry) {
  std::string text = "exception \"" + entry.key + "\"";
  const std::array<std::pair<const char*, const std::string*>, 4> fields = {
      {{" house=", &entry.house},
       {" class=", &entry.caller_class},
       {" service=", &entry.service},
       {" target=", &entry.target}}};
  for (const auto& [name, value] : fields) {
    if (!value->empty()) {
      text += name + *value;
    }
  }
  return text;
}

FleetConfiguration::FleetConfiguration()
    : defaults_(std::make_shared<const FleetDefaults>()),
      houses_(std::make_shared<const std::vector<HouseEntry>>()),
      classes_(std::make_shared<const std::vector<ClassEntry>>()),
      callers_(std::make_shared<const std::vector<CallerEntry>>()),
      services_(std::make_shared<const std::vector<ServiceEntry>>()),
      exceptions_(std::make_shared<const std::vector<ExceptionEntry>>()) {}

const HouseEntry* FleetConfiguration::FindHouse(std::string_view name) const {
  return FindByKey(*houses_, std::tie(name));
}

const ClassEntry* FleetConfiguration::FindClass(std::string_view name) const {
  return FindByKey(*classes_, std::tie(name));
}

const ServiceEntry* FleetConfiguration::FindService(
    std::string_view house,
    std::string_view name) const {
  return FindByKey(*services_, std::tie(house, name));
}

const CallerEntry* FleetConfiguration::FindCaller(std::string_view key) const {
  const std::string digest = Sha256Hex(key);
  return FindByKey(*callers_, std::tie(digest));
}

const ServiceEntry* FleetConfiguration::FindModelService(
    std::string_view house,
    std::string_view model) const {
  const std::string_view first;
  for (auto it = LowerBound(*services_, std::tie(house, first));
       it != services_->end() && it->house == house; ++it) {
    if (std::binary_search(it->models.begin(), it->models.end(), model)) {
      return &*it;
    }
  }
  return nullptr;
}

PlainRoute FleetConfiguration::FindPlainRoute(std::string_view house,
                                              std::string_view method,
                                              std::string_view path) const {
  PlainRoute route;
  const std::string_view first;
  for (auto it = LowerBound(*services_, std::tie(house, first));
       it != services_->end() && it->house == house; ++it) {
    for (const PathRule& rule : it->paths) {
      if (!IsSegmentPrefix(rule.prefix, path)) {
        continue;
      }
      route.path_exists = true;
      if (rule.method == method &&
          (route.rule == nullptr ||
           rule.prefix.size() > route.rule->prefix.size())) {
        route.service = &*it;
        route.rule = &rule;
      }
    }
  }
  return route;
}

EffectiveValue FleetConfiguration::Lookup(std::string_view key,
                                          const SettingScope& scope) const {
  const ConfigurationKey& setting = *FindConfigurationKey(key);
  EffectiveValue result;
  const auto [begin, end] = [&] {
    const std::string_view none;
    const auto first =
        LowerBound(*exceptions_, std::tie(key, none, none, none, none));
    return std::pair(first, std::partition_point(first, exceptions_->end(),
                                                 [&](const ExceptionEntry& it) {
                                                   return it.key == key;
                                                 }));
  }();
  if (begin != end) {
    for (int mask = setting.allowed_scopes; mask > 0;
         mask = (mask - 1) & setting.allowed_scopes) {
      const auto field = [mask](int bit, std::string_view value) {
        return (mask & bit) != 0 ? value : std::string_view();
      };
      const std::string_view house = field(kHouseScope, scope.house);
      const std::string_view caller_class =
          field(kClassScope, scope.caller_class);
      const std::string_view service = field(kServiceScope, scope.service);
      const std::string_view target = field(kTargetScope, scope.target);
      const auto wanted = std::tie(key, house, caller_class, service, target);
      const auto it = std::lower_bound(
          begin, end, wanted,
          [](const ExceptionEntry& a, const auto& b) { return a.Key() < b; });
      if (it != end && it->Key() == wanted) {
        result.value = it->value;
        result.source = ValueSource::kException;
        result.origin = Label(*it);
        result.reason = it->reason;
        return result;
      }
    }
  }
  if (setting.real_member == &FleetDefaults::role_change_weight) {
    const HouseEntry* house = FindHouse(scope.house);
    if (house != nullptr && house->role_change_weight) {
      result.value = *house->role_change_weight;
      result.source = ValueSource::kHouse;
      result.origin = Label(*house);
      return result;
    }
  }
  if (setting.integer_member == &FleetDefaults::default_deadline_ms) {
    const ClassEntry* entry = FindClass(scope.caller_class);
    if (entry != nullptr && entry->default_deadline_ms) {
      result.value = *entry->default_deadline_ms;
      result.source = ValueSource::kClass;
      result.origin = Label(*entry);
      return result;
    }
  }
  result.value = GetDefault(*defaults_, setting);
  result.origin = "defaults";
  return result;
}

bool operator==(const FleetConfiguration& a, const FleetConfiguration& b) {
  const auto same = [](const auto& x, const auto& y) {
    return x == y || *x == *y;
  };
  return same(a.defaults_, b.defaults_) && same(a.houses_, b.houses_) &&
         same(a.classes_, b.classes_) && same(a.callers_, b.callers_) &&
         same(a.services_, b.services_) && same(a.exceptions_, b.exceptions_);
}

class FleetConfiguration::Builder::Impl {
 public:
  explicit Impl(const FleetConfiguration& base)
      : defaults(base.defaults_),
        houses(base.houses_),
        classes(base.classes_),
        callers(base.callers_),
        services(base.services_),
        exceptions(base.exceptions_) {}

  FleetConfiguration ToConfiguration() const {
    FleetConfiguration result;
    result.defaults_ = defaults;
    result.houses_ = houses.ToShared();
    result.classes_ = classes.ToShared();
    result.callers_ = callers.ToShared();
    result.services_ = services.ToShared();
    result.exceptions_ = exceptions.ToShared();
    return result;
  }

  std::shared_ptr<const FleetDefaults> defaults;
  CopyOnWriteTable<HouseEntry> houses;
  CopyOnWriteTable<ClassEntry> classes;
  CopyOnWriteTable<CallerEntry> callers;
  CopyOnWriteTable<ServiceEntry> services;
  CopyOnWriteTable<ExceptionEntry> exceptions;
};

FleetConfiguration::Builder::Builder() : Builder(FleetConfiguration()) {}
FleetConfiguration::Builder::Builder(const FleetConfiguration& base)
    : impl_(std::make_unique<Impl>(base)) {}
FleetConfiguration::Builder::~Builder() = default;
FleetConfiguration::Builder::Builder(Builder&&) noexcept = default;
FleetConfiguration::Builder& FleetConfiguration::Builder::operator=(
    Builder&&) noexcept = default;

FleetConfiguration::Builder& FleetConfiguration::Builder::SetDefaults(
    FleetDefaults defaults) {
  impl_->defaults = std::make_shared<const FleetDefaults>(std::move(defaults));
  return *this;
}
FleetConfiguration::Builder& FleetConfiguration::Builder::Set(
    HouseEntry entry) {
  impl_->houses.Set(std::move(entry));
  return *this;
}
FleetConfiguration::Builder& FleetConfiguration::Builder::Set(
    ClassEntry entry) {
  impl_->classes.Set(std::move(entry));
  return *this;
}
FleetConfiguration::Builder& FleetConfiguration::Builder::Set(
    CallerEntry entry) {
  impl_->callers.Set(std::move(entry));
  return *this;
}
FleetConfiguration::Builder& FleetConfiguration::Builder::Set(
    ServiceEntry entry) {
  std::sort(entry.models.begin(), entry.models.end());
  std::sort(
      entry.paths.begin(), entry.paths.end(),
      [](const PathRule& a, const PathRule& b) { return a.Key() < b.Key(); });
  impl_->services.Set(std::move(entry));
  return *this;
}
FleetConfiguration::Builder& FleetConfiguration::Builder::Set(
    ExceptionEntry entry) {
  impl_->exceptions.Set(std::move(entry));
  return *this;
}
bool FleetConfiguration::Builder::Remove(const HouseEntry& entry) {
  return impl_->houses.Remove(entry);
}
bool FleetConfiguration::Builder::Remove(const ClassEntry& entry) {
  return impl_->classes.Remove(entry);
}
bool FleetConfiguration::Builder::Remove(const CallerEntry& entry) {
  return impl_->callers.Remove(entry);
}
bool FleetConfiguration::Builder::Remove(const ServiceEntry& entry) {
  return impl_->services.Remove(entry);
}
bool FleetConfiguration::Builder::Remove(const ExceptionEntry& entry) {
  return impl_->exceptions.Remove(entry);
}
const FleetDefaults& FleetConfiguration::Builder::defaults() const {
  return *impl_->defaults;
}

std::vector<ConfigurationError> FleetConfiguration::Builder::Validate() const {
  std::vector<ConfigurationError> errors;
  const auto add_error = [&errors](std::string entry, std::string key,
                                   std::string reason) {
    if (!reason.empty()) {
      errors.push_back({std::move(entry), std::move(key), std::move(reason)});
    }
  };
  const auto& houses = impl_->houses.entries();
  const auto& classes = impl_->classes.entries();
  const auto& services = impl_->services.entries();
  const auto house_error = [&houses](const std::string& name) -> std::string {
    return FindByKey(houses, std::tie(name)) != nullptr
               ? ""
               : "house \"" + name + "\" does not exist";
  };
  const auto class_error = [&classes](const std::string& name) -> std::string {
    return FindByKey(classes, std::tie(name)) != nullptr
               ? ""
               : "class \"" + name + "\" does not exist";
  };
  for (const ConfigurationKey& it : ConfigurationKeys()) {
    add_error("defaults", std::string(it.name),
              ValidateSettingValue(it, GetDefault(*impl_->defaults, it)));
  }
  const ConfigurationKey& weight_key =
      *FindConfigurationKey("role_change_weight");
  for (const HouseEntry& it : houses) {
    add_error(Label(it), "name", ValidateName(it.name));
    if (!(it.weight > 0 && it.weight <= kMaxHouseWeight)) {
      add_error(Label(it), "weight", "must be above 0 and at most 1000");
    }
    if (it.role_change_weight) {
      add_error(Label(it), "role_change_weight",
                ValidateSettingValue(weight_key, *it.role_change_weight));
    }
  }
  const ConfigurationKey& deadline_key =
      *FindConfigurationKey("default_deadline_ms");
  for (const ClassEntry& it : classes) {
    add_error(Label(it), "name", ValidateName(it.name));
    if (it.priority < 0 || it.priority > 9) {
      add_error(Label(it), "priority",
                std::to_string(it.priority) + " is outside 0 to 9");
    }
    if (it.default_deadline_ms) {
      add_error(Label(it), "default_deadline_ms",
                ValidateSettingValue(deadline_key, *it.default_deadline_ms));
    }
  }
  for (const CallerEntry& it : impl_->callers.entries()) {
    if (it.key_sha256.size() != 64 ||
        it.key_sha256.find_first_not_of("0123456789abcdef") !=
            std::string::npos) {
      add_error(Label(it), "key_sha256",
                "must be 64 lower-case hexadecimal digits");
    }
    add_error(Label(it), "house", house_error(it.house));
    add_error(Label(it), "class", class_error(it.caller_class));
  }
  // Services are sorted by house, so the names seen in the current house can
  // be cleared when the house changes.
  std::set<std::string_view> models;
  std::set<std::pair<std::string_view, std::string_view>> paths;
  std::string_view current_house;
  std::set<std::string_view> service_names;
  for (const ServiceEntry& it : services) {
    if (it.house != current_house) {
      current_house = it.house;
      models.clear();
      paths.clear();
    }
    service_names.insert(it.name);
    add_error(Label(it), "house", house_error(it.house));
    add_error(Label(it), "name", ValidateName(it.name));
    const bool is_model = it.kind == ServiceKind::kModel;
    if (is_model && it.models.empty()) {
      add_error(Label(it), "models",
                "a model service needs at least one model");
    }
    if (is_model && !it.paths.empty()) {
      add_error(Label(it), "path", "only plain services have paths");
    }
    if (!is_model && !it.models.empty()) {
      add_error(Label(it), "models", "only model services have models");
    }
    if (!is_model && it.paths.empty()) {
      add_error(Label(it), "path", "a plain service needs at least one path");
    }
    for (const std::string& model : it.models) {
      add_error(Label(it), "models", ValidateName(model));
      if (!models.insert(model).second) {
        add_error(Label(it), "models",
                  "model \"" + model + "\" is listed twice in this house");
      }
    }
    for (const PathRule& rule : it.paths) {
      if (std::find(kMethods.begin(), kMethods.end(), rule.method) ==
          kMethods.end()) {
        add_error(Label(it), "path.method",
                  "\"" + rule.method +
                      "\" is not one of GET, HEAD, POST, PATCH, PUT, DELETE");
      }
      if (rule.prefix.empty() || rule.prefix.front() != '/' ||
          rule.prefix.size() > kMaxPathBytes ||
          rule.prefix.find_first_of("?# ") != std::string::npos) {
        add_error(
            Label(it), "path.prefix",
            "must start with '/', contain no '?', '#' or space, and have at "
            "most 256 characters");
        continue;
      }
      for (std::string_view reserved : kReservedPrefixes) {
        if (IsSegmentPrefix(reserved, rule.prefix)) {
          add_error(
              Label(it), "path.prefix",
              "\"" + rule.prefix + "\" is answered by the gateway itself");
        }
      }
      if (!paths.insert({rule.prefix, rule.method}).second) {
        add_error(
            Label(it), "path",
            rule.method + " " + rule.prefix + " is listed twice in this house");
      }
    }
  }
  for (const ExceptionEntry& it : impl_->exceptions.entries()) {
    const ConfigurationKey* key = FindConfigurationKey(it.key);
    if (key == nullptr) {
      add_error(Label(it), "key",
                "\"" + it.key + "\" is not a key of [defaults]");
      continue;
    }
    add_error(Label(it), "value", ValidateSettingValue(*key, it.value));
    if (it.reason.empty()) {
      add_error(Label(it), "reason", "is required");
    }
    if (it.ScopeMask() == 0) {
      add_error(Label(it), "house",
                "at least one of house, service, target and class is required");
    }
    if ((it.ScopeMask() & ~key->allowed_scopes) != 0) {
      std::string allowed;
      for (const auto& [bit, name] :
           {std::pair(kHouseScope, " house"), std::pair(kClassScope, " class"),
            std::pair(kServiceScope, " service"),
            std::pair(kTargetScope, " target")}) {
        allowed += (key->allowed_scopes & bit) != 0 ? name : "";
      }
      add_error(Label(it), "key",
                allowed.empty()
                    ? it.key + " allows no exceptions"
                    : it.key + " allows exceptions only by" + allowed);
    }
    if (!it.house.empty()) {
      add_error(Label(it), "house", house_error(it.house));
    }
    if (!it.caller_class.empty()) {
      add_error(Label(it), "class", class_error(it.caller_class));
    }
    if (!it.service.empty()) {
      const bool exists =
          it.house.empty()
              ? service_names.count(it.service) > 0
              : FindByKey(services, std::tie(it.house, it.service)) != nullptr;
      add_error(Label(it), "service",
                exists ? "" : "service \"" + it.service + "\" does not exist");
    }
  }
  return errors;
}

absl::StatusOr<FleetConfiguration> FleetConfiguration::Builder::Build() const {
  const std::vector<ConfigurationError> errors = Validate();
  if (errors.empty()) {
    return impl_->ToConfiguration();
  }
  return ErrorsToStatus(errors);
}

}  // namespace endiveyard
