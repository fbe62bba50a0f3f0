#include <algorithm>

#include "absl/strings/str_cat.h"
#include "endiveyard/fleet/configuration_delta.h"
#include "endiveyard/fleet/configuration_text.h"

namespace endiveyard {
namespace {

void WriteLine(std::string_view key,
               const SettingValue& value,
               std::string* out) {
  *out += key;
  *out += " = ";
  *out += FormatSettingValue(value);
  *out += '\n';
}

void WriteOptional(std::string_view key,
                   const std::string& value,
                   std::string* out) {
  if (!value.empty()) {
    WriteLine(key, value, out);
  }
}

void WriteEntry(const HouseEntry& it, bool key_only, std::string* out) {
  WriteLine("name", it.name, out);
  if (!key_only) {
    WriteLine("weight", it.weight, out);
    if (it.role_change_weight) {
      WriteLine("role_change_weight", *it.role_change_weight, out);
    }
  }
}

void WriteEntry(const ClassEntry& it, bool key_only, std::string* out) {
  WriteLine("name", it.name, out);
  if (!key_only) {
    WriteLine("priority", it.priority, out);
    if (it.default_deadline_ms) {
      WriteLine("default_deadline_ms", *it.default_deadline_ms, out);
    }
  }
}

void WriteEntry(const CallerEntry& it, bool key_only, std::string* out) {
  WriteLine("key_sha256", it.key_sha256, out);
  if (!key_only) {
    WriteLine("house", it.house, out);
    WriteLine("class", it.caller_class, out);
  }
}

void WriteEntry(const ServiceEntry& it, bool key_only, std::string* out) {
  WriteLine("house", it.house, out);
  WriteLine("name", it.name, out);
  if (key_only) {
    return;
  }
  const bool is_model = it.kind == ServiceKind::kModel;
  WriteLine("kind", std::string(is_model ? "model" : "plain"), out);
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
    WriteLine("method", rule.method, out);
    WriteLine("prefix", rule.prefix, out);
    *out += rule.idempotent ? "idempotent = true\n" : "idempotent = false\n";
  }
}

void WriteEntry(const ExceptionEntry& it, bool key_only, std::string* out) {
  WriteLine("key", it.key, out);
  WriteOptional("house", it.house, out);
  WriteOptional("class", it.caller_class, out);
  WriteOptional("service", it.service, out);
  WriteOptional("target", it.target, out);
  if (!key_only) {
    WriteLine("value", it.value, out);
    WriteLine("reason", it.reason, out);
  }
}

template <typename T>
void WriteEntries(const char* header,
                  const std::vector<T>& entries,
                  bool key_only,
                  std::string* out) {
  for (const T& it : entries) {
    *out += key_only ? "[[remove." : "[[";
    *out += header;
    *out += "]]\n";
    WriteEntry(it, key_only, out);
  }
}

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

// One-line text of an entry's fields.
template <typename T>
std::string Summary(const T& entry) {
  std::string text;
  WriteEntry(entry, false, &text);
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
    lines->push_back(Label(it) + (old == nullptr ? ": added: " + Summary(it)
                                                 : ": " + Summary(*old) +
                                                       " -> " + Summary(it)));
  }
}

template <typename T>
void CollectNames(const std::vector<T>& entries,
                  std::vector<std::string>* names) {
  for (const T& it : entries) {
    names->push_back(Label(it));
  }
}

void WriteTables(const ConfigurationEntries& entries,
                 bool key_only,
                 std::string* out) {
  WriteEntries("house", entries.houses, key_only, out);
  WriteEntries("class", entries.classes, key_only, out);
  WriteEntries("caller", entries.callers, key_only, out);
  WriteEntries("service", entries.services, key_only, out);
  WriteEntries("exception", entries.exceptions, key_only, out);
}

}  // namespace

std::string FormatFleetConfiguration(const FleetConfiguration& configuration) {
  std::string out = "[defaults]\n";
  for (const ConfigurationKey& it : ConfigurationKeys()) {
    WriteLine(it.name, GetDefault(configuration.defaults(), it), &out);
  }
  WriteEntries("house", configuration.houses(), false, &out);
  WriteEntries("class", configuration.classes(), false, &out);
  WriteEntries("caller", configuration.callers(), false, &out);
  WriteEntries("service", configuration.services(), false, &out);
  WriteEntries("exception", configuration.exceptions(), false, &out);
  return out;
}

std::string FormatConfigurationDelta(const ConfigurationDelta& delta) {
  std::string out;
  if (!delta.defaults.empty()) {
    out += "[defaults]\n";
    for (const auto& [key, value] : delta.defaults) {
      WriteLine(key, value, &out);
    }
  }
  WriteTables(delta.set, false, &out);
  WriteTables(delta.removed, true, &out);
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

std::vector<std::string> TouchedNames(const ConfigurationDelta& delta) {
  std::vector<std::string> names;
  for (const auto& [name, value] : delta.defaults) {
    names.push_back("defaults." + name);
  }
  for (const ConfigurationEntries* it : {&delta.set, &delta.removed}) {
    CollectNames(it->houses, &names);
    CollectNames(it->classes, &names);
    CollectNames(it->callers, &names);
    CollectNames(it->services, &names);
    CollectNames(it->exceptions, &names);
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace endiveyard
