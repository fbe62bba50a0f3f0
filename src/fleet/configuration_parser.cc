#include "fleet/configuration_parser.h"

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <utility>

#include "endiveyard/base/error_kind.h"
#include "endiveyard/fleet/configuration_text.h"

namespace endiveyard {
namespace {

constexpr size_t kMaxReportedErrors = 20;

int LineNumber(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

// Reads the keys of one TOML table and adds an error for each key that was not
// requested.
class TableReader {
 public:
  TableReader(const toml::table& table, ParsedConfiguration* out)
      : table_(table), out_(out) {}

  // Sets the label of the entry in errors. Also records the lines of the keys
  // read before under this label.
  void SetLabel(std::string label) {
    label_ = std::move(label);
    out_->line_numbers[label_] = LineNumber(table_);
    for (const auto& [key, line] : key_lines_) {
      out_->line_numbers[label_ + "." + key] = line;
    }
  }

  const toml::node* Get(std::string_view key) {
    requested_keys_.insert(std::string(key));
    const toml::node* node = table_.get(key);
    if (node != nullptr) {
      key_lines_[std::string(key)] = LineNumber(*node);
      if (!label_.empty()) {
        out_->line_numbers[label_ + "." + std::string(key)] = LineNumber(*node);
      }
    }
    return node;
  }

  void AddError(std::string_view key, std::string reason) {
    const toml::node* node = table_.get(key);
    out_->errors.push_back({label_, std::string(key), std::move(reason),
                            LineNumber(node != nullptr ? *node : table_)});
  }

  // Reads a value of type T into `value`. A missing key leaves `value`
  // unchanged and is an error if `required`.
  template <typename T>
  void Read(std::string_view key, bool required, T* value) {
    const toml::node* node = Get(key);
    if (node == nullptr) {
      if (required) {
        AddError(key, "is required");
      }
      return;
    }
    if constexpr (std::is_same_v<T, double>) {
      if (const auto* integer = node->as_integer()) {
        *value = static_cast<double>(integer->get());
        return;
      }
    }
    const auto* typed = node->as<T>();
    if (typed == nullptr) {
      AddError(key, std::is_same_v<T, std::string> ? "must be a string"
                    : std::is_same_v<T, bool>      ? "must be true or false"
                    : std::is_same_v<T, double>    ? "must be a number"
                                                   : "must be an integer");
      return;
    }
    *value = typed->get();
  }

  template <typename T>
  void Read(std::string_view key, std::optional<T>* value) {
    if (table_.contains(key)) {
      T read{};
      Read(key, false, &read);
      *value = std::move(read);
    }
  }

  // Calls `parse_table` for each table in the array of tables `key`.
  template <typename F>
  void ForEachTable(std::string_view key, const F& parse_table) {
    const toml::node* node = Get(key);
    if (node == nullptr) {
      return;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      AddError(key, "must be an array of tables ([[...]])");
      return;
    }
    for (const toml::node& it : *array) {
      if (const toml::table* table = it.as_table()) {
        TableReader reader(*table, out_);
        reader.label_ = std::string(key);
        parse_table(&reader);
        reader.AddErrorsForUnknownKeys();
      } else {
        AddError(key, "must contain only tables");
      }
    }
  }

  void AddErrorsForUnknownKeys() {
    for (const auto& [key, node] : table_) {
      if (requested_keys_.count(std::string(key.str())) == 0) {
        AddError(key.str(), "unknown key");
      }
    }
  }

 private:
  const toml::table& table_;
  ParsedConfiguration* out_;
  std::string label_;
  std::map<std::string, int> key_lines_;
  std::set<std::string> requested_keys_;
};

// Converts the value of `node` to the type of `key`. Adds an error and returns
// nullopt if the value is invalid.
std::optional<SettingValue> ParseValue(const toml::node& node,
                                       const ConfigurationKey& key,
                                       std::string_view key_name,
                                       TableReader* reader) {
  std::optional<SettingValue> value;
  if (const auto* integer = node.as_integer()) {
    if (key.real_member != nullptr) {
      value = static_cast<double>(integer->get());
    } else {
      value = integer->get();
    }
  } else if (const auto* real = node.as_floating_point()) {
    value = real->get();
  } else if (const auto* text = node.as_string()) {
    value = text->get();
  }
  const std::string reason = value ? ValidateSettingValue(key, *value)
                                   : "must be a number or a string";
  if (!reason.empty()) {
    reader->AddError(key_name, reason);
    return std::nullopt;
  }
  return value;
}

void ParseDefaults(const toml::table& table, ParsedConfiguration* out) {
  TableReader reader(table, out);
  reader.SetLabel("defaults");
  for (const ConfigurationKey& it : ConfigurationKeys()) {
    if (const toml::node* node = reader.Get(it.name)) {
      if (auto value = ParseValue(*node, it, it.name, &reader)) {
        out->delta.defaults[std::string(it.name)] = *std::move(value);
      }
    }
  }
  reader.AddErrorsForUnknownKeys();
}

void ParseEntry(TableReader* reader, bool key_only, HouseEntry* entry) {
  reader->Read("name", true, &entry->name);
  reader->SetLabel(Label(*entry));
  if (!key_only) {
    reader->Read("weight", false, &entry->weight);
    reader->Read("role_change_weight", &entry->role_change_weight);
  }
}

void ParseEntry(TableReader* reader, bool key_only, ClassEntry* entry) {
  reader->Read("name", true, &entry->name);
  reader->SetLabel(Label(*entry));
  if (!key_only) {
    reader->Read("priority", false, &entry->priority);
    reader->Read("default_deadline_ms", &entry->default_deadline_ms);
  }
}

void ParseEntry(TableReader* reader, bool key_only, CallerEntry* entry) {
  reader->Read("key_sha256", true, &entry->key_sha256);
  reader->SetLabel(Label(*entry));
  if (!key_only) {
    reader->Read("house", true, &entry->house);
    reader->Read("class", true, &entry->caller_class);
  }
}

void ParseEntry(TableReader* reader, bool key_only, ServiceEntry* entry) {
  reader->Read("house", true, &entry->house);
  reader->Read("name", true, &entry->name);
  reader->SetLabel(Label(*entry));
  if (key_only) {
    return;
  }
  std::string kind;
  reader->Read("kind", true, &kind);
  if (kind == "plain") {
    entry->kind = ServiceKind::kPlain;
  } else if (kind != "model" && !kind.empty()) {
    reader->AddError("kind", "must be \"model\" or \"plain\"");
  }
  reader->Read("checks_fencing", false, &entry->checks_fencing);
  if (const toml::node* node = reader->Get("models")) {
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      reader->AddError("models", "must be an array of strings");
    } else {
      for (const toml::node& it : *array) {
        if (const auto* text = it.as_string()) {
          entry->models.push_back(text->get());
        } else {
          reader->AddError("models", "must contain only strings");
        }
      }
    }
  }
  reader->ForEachTable("path", [entry](TableReader* path) {
    PathRule rule;
    path->Read("method", true, &rule.method);
    path->Read("prefix", true, &rule.prefix);
    path->Read("idempotent", true, &rule.idempotent);
    entry->paths.push_back(std::move(rule));
  });
}

void ParseEntry(TableReader* reader, bool key_only, ExceptionEntry* entry) {
  reader->Read("key", true, &entry->key);
  reader->Read("house", false, &entry->house);
  reader->Read("class", false, &entry->caller_class);
  reader->Read("service", false, &entry->service);
  reader->Read("target", false, &entry->target);
  reader->SetLabel(Label(*entry));
  if (key_only) {
    return;
  }
  reader->Read("reason", true, &entry->reason);
  const ConfigurationKey* key = FindConfigurationKey(entry->key);
  const toml::node* value = reader->Get("value");
  if (value == nullptr) {
    reader->AddError("value", "is required");
  } else if (key != nullptr) {
    if (auto read = ParseValue(*value, *key, "value", reader)) {
      entry->value = *std::move(read);
    }
  } else if (!entry->key.empty()) {
    reader->AddError("key",
                     "\"" + entry->key + "\" is not a key of [defaults]");
  }
}

template <typename T>
void ParseEntries(std::string_view name,
                  bool key_only,
                  TableReader* reader,
                  std::vector<T>* entries) {
  std::set<std::string> seen;
  reader->ForEachTable(name, [&](TableReader* table) {
    T entry;
    ParseEntry(table, key_only, &entry);
    // The label of a caller holds only the first digits of its key digest, so
    // two callers may have the same label.
    std::string identity = Label(entry);
    if constexpr (std::is_same_v<T, CallerEntry>) {
      identity = entry.key_sha256;
    }
    if (!seen.insert(identity).second) {
      table->AddError("", "is listed twice");
    }
    entries->push_back(std::move(entry));
  });
}

void ParseTables(bool key_only,
                 TableReader* reader,
                 ConfigurationEntries* entries) {
  ParseEntries("house", key_only, reader, &entries->houses);
  ParseEntries("class", key_only, reader, &entries->classes);
  ParseEntries("caller", key_only, reader, &entries->callers);
  ParseEntries("service", key_only, reader, &entries->services);
  ParseEntries("exception", key_only, reader, &entries->exceptions);
}

template <typename T>
void RemoveAll(const std::vector<T>& entries,
               FleetConfiguration::Builder* builder,
               std::vector<ConfigurationError>* errors) {
  for (const T& it : entries) {
    if (!builder->Remove(it)) {
      errors->push_back(
          {Label(it), "", "cannot be removed: it does not exist"});
    }
  }
}

template <typename T>
void SetAll(const std::vector<T>& entries,
            FleetConfiguration::Builder* builder) {
  for (const T& it : entries) {
    builder->Set(it);
  }
}

}  // namespace

void ParsedConfiguration::SetErrorLines(
    std::vector<ConfigurationError>* found) const {
  for (ConfigurationError& it : *found) {
    auto line =
        line_numbers.find(it.entry + "." + it.key.substr(0, it.key.find('.')));
    if (line == line_numbers.end()) {
      line = line_numbers.find(it.entry);
    }
    if (line != line_numbers.end()) {
      it.line = line->second;
    }
  }
}

ParsedConfiguration ParseConfigurationToml(std::string_view text,
                                           bool allow_remove) {
  ParsedConfiguration out;
  if (text.size() > kMaxConfigurationBytes) {
    out.errors.push_back(
        {"configuration", "",
         "has " + std::to_string(text.size()) + " bytes; at most " +
             std::to_string(kMaxConfigurationBytes) + " are allowed"});
    return out;
  }
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    out.errors.push_back(
        {"syntax", "", std::string(parsed.error().description()),
         static_cast<int>(parsed.error().source().begin.line)});
    return out;
  }
  TableReader reader(parsed.table(), &out);
  if (const toml::node* defaults = reader.Get("defaults")) {
    if (const toml::table* table = defaults->as_table()) {
      ParseDefaults(*table, &out);
    } else {
      reader.AddError("defaults", "must be a table");
    }
  }
  ParseTables(false, &reader, &out.delta.set);
  if (allow_remove) {
    if (const toml::node* remove = reader.Get("remove")) {
      if (const toml::table* table = remove->as_table()) {
        TableReader removed(*table, &out);
        ParseTables(true, &removed, &out.delta.removed);
        removed.AddErrorsForUnknownKeys();
      } else {
        reader.AddError("remove", "must be a table");
      }
    }
  }
  reader.AddErrorsForUnknownKeys();
  return out;
}

absl::Status ErrorsToStatus(const std::vector<ConfigurationError>& errors) {
  std::string detail;
  for (size_t i = 0; i < errors.size() && i < kMaxReportedErrors; ++i) {
    detail += (i > 0 ? "\n" : "") + errors[i].ToString();
  }
  if (errors.size() > kMaxReportedErrors) {
    detail +=
        "\nand " + std::to_string(errors.size() - kMaxReportedErrors) + " more";
  }
  return MakeError(ErrorKind::kInvalidSettings, detail);
}

std::vector<ConfigurationError> ApplyToBuilder(
    const ConfigurationDelta& delta,
    FleetConfiguration::Builder* builder) {
  std::vector<ConfigurationError> errors;
  if (!delta.defaults.empty()) {
    FleetDefaults defaults = builder->defaults();
    for (const auto& [name, value] : delta.defaults) {
      const ConfigurationKey* key = FindConfigurationKey(name);
      const std::string reason =
          key == nullptr ? "unknown key" : ValidateSettingValue(*key, value);
      if (reason.empty()) {
        SetDefault(&defaults, *key, value);
      } else {
        errors.push_back({"defaults", name, reason});
      }
    }
    builder->SetDefaults(std::move(defaults));
  }
  RemoveAll(delta.removed.houses, builder, &errors);
  RemoveAll(delta.removed.classes, builder, &errors);
  RemoveAll(delta.removed.callers, builder, &errors);
  RemoveAll(delta.removed.services, builder, &errors);
  RemoveAll(delta.removed.exceptions, builder, &errors);
  SetAll(delta.set.houses, builder);
  SetAll(delta.set.classes, builder);
  SetAll(delta.set.callers, builder);
  SetAll(delta.set.services, builder);
  SetAll(delta.set.exceptions, builder);
  return errors;
}

absl::StatusOr<FleetConfiguration> ParseFleetConfiguration(
    std::string_view text) {
  ParsedConfiguration read = ParseConfigurationToml(text, false);
  if (read.errors.empty()) {
    FleetConfiguration::Builder builder;
    read.errors = ApplyToBuilder(read.delta, &builder);
    if (read.errors.empty()) {
      read.errors = builder.Validate();
    }
    if (read.errors.empty()) {
      return builder.Build();
    }
    read.SetErrorLines(&read.errors);
  }
  return ErrorsToStatus(read.errors);
}

absl::StatusOr<ConfigurationDelta> ParseConfigurationDelta(
    std::string_view text) {
  ParsedConfiguration read = ParseConfigurationToml(text, true);
  if (!read.errors.empty()) {
    return ErrorsToStatus(read.errors);
  }
  return std::move(read.delta);
}

}  // namespace endiveyard
