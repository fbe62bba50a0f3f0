#include <algorithm>

#include "absl/strings/str_cat.h"
#include "endiveyard/fleet/configuration_delta.h"
#include "endiveyard/fleet/configuration_text.h"

namespace endiveyard {
namespace {

void AppendLine(std::string_view key,
                const SettingValue& value,
                std::string* out) {
  *out += key;
  *out += " = ";
  *out += FormatSettingValue(value);
  *out += '\n';
}

void AppendIfNotEmpty(std::string_view key,
                      const std::string& value,
                      std::string* out) {
  if (!value.empty()) {
    AppendLine(key, value, out);
  }
}

void AppendEntry(const HouseEntry& it, bool key_only, std::string* out) {
  AppendLine("name", it.name, out);
  if (!key_only) {
    AppendLine("weight", it.weight, out);
    if (it.role_change_weight) {
      AppendLine("role_change_weight", *it.role_change_weight, out);
    }
  }
}

void AppendEntry(const ClassEntry& it, bool key_only, std::string* out) {
  AppendLine("name", it.name, out);
  if (!key_only) {
    AppendLine("priority", it.priority, out);
    if (it.default_deadline_ms) {
      AppendLine("default_deadline_ms", *it.default_deadline_ms, out);
    }
  }
}

void AppendEntry(const CallerEntry& it, bool key_only, std::string* out) {
  AppendLine("key_sha256", it.key_sha256, out);
  if (!key_only) {
    AppendLine("house", it.house, out);
    AppendLine("class", it.caller_class, out);
  }
}

void AppendEntry(const ServiceEntry& it, bool key_only, std::string* out) {
  AppendLine("house", it.house, out);
  AppendLine("name", it.name, out);
  if (key_only) {
    return;
  }
  const bool is_model = it.kind == ServiceKind::kModel;
  AppendLine("kind", std::string(is_model ? "model" : "plain"), out);
  *out += it.checks_fencing ? "checks_fencing = true\n"
                            : "checks_fencing = false\n";
  if (!it.models.empty()) {
    *out += "models = [";
    for (size_t i = 0; i < it.models.size(); ++i) {
      *out += (i > 0 ? ", " : "") + FormatSettingValue(it.models[i]);
    }
    *out += "]\n";
  }
  for (const PathRule& rule : it.paths) {
    *out += "[[service.path]]\n";
    AppendLine("method", rule.method, out);
    AppendLine("prefix", rule.prefix, out);
    *out += rule.idempotent ? "idempotent = true\n" : "idempotent = false\n";
  }
}

void AppendEntry(const ExceptionEntry& it, bool key_only, std::string* out) {
  AppendLine("key", it.key, out);
  AppendIfNotEmpty("house", it.house, out);
  AppendIfNotEmpty("class", it.caller_class, out);
  AppendIfNotEmpty("service", it.service, out);
  AppendIfNotEmpty("target", it.target, out);
  if (!key_only) {
    AppendLine("value", it.value, out);
    AppendLine("reason", it.reason, out);
  }
}

template <typename T>
void AppendEntries(const char* header,
                   const std::vector<T>& entries,
                   bool key_only,
                   std::string* out) {
  for (const T& it : entries) {
    *out += key_only ? "[[remove." : "[[";
    *out += header;
    *out += "]]\n";
    AppendEntry(it, key_only, out);
  }
}

// Compares two tables sorted by key and appends the entries that differ.
template <typename T>
void DiffTable(const std::vector<T>& from,
               const std::vector<T>& to,
               std::vector<T>* set,
               std::vector<T>* removed) {
  auto a = from.begin();
  auto b = to.begin();
  while (a != from.end() || b != to.end()) {
    if (b == to.end() || (a != from.end() && a->Key() < b->Key())) {
      removed->push_back(*a++);
    } else if (a == from.end() || b->Key() < a->Key()) {
      set->push_back(*b++);
    } else {
      if (*a != *b) {
        set->push_back(*b);
      }
      ++a;
      ++b;
    }
  }
}

// Formats the fields of `entry` on one line.
template <typename T>
std::string FormatOnOneLine(const T& entry) {
  std::string text;
  AppendEntry(entry, false, &text);
  std::string line;
  for (char it : text) {
    line += it == '\n' ? std::string("; ") : std::string(1, it);
  }
  return line.substr(0, line.size() - 2);
}

template <typename T>
const T* FindEntry(const std::vector<T>& table, const T& entry) {
  for (const T& it : table) {
    if (it.Key() == entry.Key()) {
      return &it;
    }
  }
  return nullptr;
}

template <typename T>
void DescribeEntries(const std::vector<T>& table,
                     const std::vector<T>& set,
                     const std::vector<T>& removed,
                     std::vector<std::string>* lines) {
  for (const T& it : removed) {
    lines->push_back(Label(it) + ": removed");
  }
  for (const T& it : set) {
    const T* old = FindEntry(table, it);
    lines->push_back(Label(it) + (old == nullptr
                                      ? ": added: " + FormatOnOneLine(it)
                                      : ": " + FormatOnOneLine(*old) + " -> " +
                                            FormatOnOneLine(it)));
  }
}

template <typename T>
void AppendLabels(const std::vector<T>& entries,
                  std::vector<std::string>* names) {
  for (const T& it : entries) {
    names->push_back(Label(it));
  }
}

void AppendTables(const ConfigurationEntries& entries,
                  bool key_only,
                  std::string* out) {
  AppendEntries("house", entries.houses, key_only, out);
  AppendEntries("class", entries.classes, key_only, out);
  AppendEntries("caller", entries.callers, key_only, out);
  AppendEntries("service", entries.services, key_only, out);
  AppendEntries("exception", entries.exceptions, key_only, out);
}

}  // namespace

std::string FormatFleetConfiguration(const FleetConfiguration& configuration) {
  std::string out = "[defaults]\n";
  for (const ConfigurationKey& it : ConfigurationKeys()) {
    AppendLine(it.name, GetDefault(configuration.defaults(), it), &out);
  }
  AppendEntries("house", configuration.houses(), false, &out);
  AppendEntries("class", configuration.classes(), false, &out);
  AppendEntries("caller", configuration.callers(), false, &out);
  AppendEntries("service", configuration.services(), false, &out);
  AppendEntries("exception", configuration.exceptions(), false, &out);
  return out;
}

std::string FormatConfigurationDelta(const ConfigurationDelta& delta) {
  std::string out;
  if (!delta.defaults.empty()) {
    out += "[defaults]\n";
    for (const auto& [key, value] : delta.defaults) {
      AppendLine(key, value, &out);
    }
  }
  AppendTables(delta.set, false, &out);
  AppendTables(delta.removed, true, &out);
  return out;
}

ConfigurationDelta DiffConfigurations(const FleetConfiguration& from,
                                      const FleetConfiguration& to) {
  ConfigurationDelta delta;
  for (const ConfigurationKey& it : ConfigurationKeys()) {
    const SettingValue value = GetDefault(to.defaults(), it);
    if (GetDefault(from.defaults(), it) != value) {
      delta.defaults[std::string(it.name)] = value;
    }
  }
  DiffTable(from.houses(), to.houses(), &delta.set.houses,
            &delta.removed.houses);
  DiffTable(from.classes(), to.classes(), &delta.set.classes,
            &delta.removed.classes);
  DiffTable(from.callers(), to.callers(), &delta.set.callers,
            &delta.removed.callers);
  DiffTable(from.services(), to.services(), &delta.set.services,
            &delta.removed.services);
  DiffTable(from.exceptions(), to.exceptions(), &delta.set.exceptions,
            &delta.removed.exceptions);
  return delta;
}

std::vector<std::string> DescribeDelta(const FleetConfiguration& base,
                                       const ConfigurationDelta& delta) {
  std::vector<std::string> lines;
  for (const auto& [name, value] : delta.defaults) {
    const ConfigurationKey* key = FindConfigurationKey(name);
    const std::string old =
        key == nullptr ? "unknown"
                       : FormatSettingValue(GetDefault(base.defaults(), *key));
    lines.push_back(absl::StrCat("defaults.", name, ": ", old, " -> ",
                                 FormatSettingValue(value)));
  }
  DescribeEntries(base.houses(), delta.set.houses, delta.removed.houses,
                  &lines);
  DescribeEntries(base.classes(), delta.set.classes, delta.removed.classes,
                  &lines);
  DescribeEntries(base.callers(), delta.set.callers, delta.removed.callers,
                  &lines);
  DescribeEntries(base.services(), delta.set.services, delta.removed.services,
                  &lines);
  DescribeEntries(base.exceptions(), delta.set.exceptions,
                  delta.removed.exceptions, &lines);
  return lines;
}

std::vector<std::string> ChangedNames(const ConfigurationDelta& delta) {
  std::vector<std::string> names;
  for (const auto& [name, value] : delta.defaults) {
    names.push_back("defaults." + name);
  }
  for (const ConfigurationEntries* it : {&delta.set, &delta.removed}) {
    AppendLabels(it->houses, &names);
    AppendLabels(it->classes, &names);
    AppendLabels(it->callers, &names);
    AppendLabels(it->services, &names);
    AppendLabels(it->exceptions, &names);
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace endiveyard
