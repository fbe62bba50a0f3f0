#include <toml++/toml.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/base/error_kind.h"
#include "endiveyard/settings/instance_settings.h"

namespace endiveyard {
namespace {

absl::Status ErrorAt(std::string_view source,
                     uint32_t line,
                     std::string_view key,
                     std::string_view reason) {
  std::ostringstream text;
  text << source << ":" << line << ": " << key << ": " << reason;
  return MakeError(ErrorKind::kInvalidSettings, text.str());
}

// Reads typed values by dotted key. Records the keys that were read, to find
// unknown ones, and the first error.
class TableReader {
 public:
  TableReader(const toml::table& root, std::string_view source)
      : root_(root), source_(source) {}

  std::string ReadString(std::string_view key, std::string default_value) {
    return ReadValue<std::string>(key, std::move(default_value), "a string");
  }

  int64_t ReadInteger(std::string_view key, int64_t default_value) {
    return ReadValue<int64_t>(key, default_value, "an integer");
  }

  Duration ReadMillis(std::string_view key, Duration default_value) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(default_value);
    return std::chrono::milliseconds(ReadInteger(key, ms.count()));
  }

  Endpoint ReadEndpoint(std::string_view key, const Endpoint& default_value) {
    auto endpoint = ParseEndpoint(ReadString(key, default_value.ToString()));
    if (!endpoint.ok()) {
      RecordError(
          LineOf(key), key,
          "is not an IP address with a port from 1 to 65535; expected IP:PORT");
      return default_value;
    }
    return *endpoint;
  }

  TlsFiles ReadTlsFiles(std::string_view section) {
    const std::string prefix(section);
    TlsFiles tls;
    tls.certificate = ReadString(prefix + ".tls_certificate", "");
    tls.key = ReadString(prefix + ".tls_key", "");
    tls.authority = ReadString(prefix + ".tls_authority", "");
    return tls;
  }

  // Returns the first error; keys that were never read are errors, too.
  absl::Status CheckUnknownKeys() {
    for (const auto& [section, node] : root_) {
      const toml::table* table = node.as_table();
      if (table == nullptr) {
        RecordError(node.source().begin.line, section.str(),
                    "is not a section; expected a key inside a section such as "
                    "[instance]");
        continue;
      }
      for (const auto& [key, value] : *table) {
        const std::string name =
            std::string(section.str()) + "." + std::string(key.str());
        if (read_keys_.count(name) == 0) {
          RecordError(value.source().begin.line, name, "unknown key");
        }
      }
    }
    return status_;
  }

  // Returns the line that sets `key`, or 1 if none does.
  uint32_t LineOf(std::string_view key) const {
    const auto node = root_.at_path(key);
    return node ? node.node()->source().begin.line : 1;
  }

 private:
  template <typename T>
  T ReadValue(std::string_view key,
              T default_value,
              std::string_view expected) {
    read_keys_.insert(std::string(key));
    const auto node = root_.at_path(key);
    if (!node) {
      return default_value;
    }
    const auto value = node.value_exact<T>();
    if (!value) {
      RecordError(LineOf(key), key,
                  absl::StrCat("is not ", absl::string_view(expected.data(),
                                                            expected.size())));
      return default_value;
    }
    return *value;
  }

  void RecordError(uint32_t line,
                   std::string_view key,
                   std::string_view reason) {
    if (status_.ok()) {
      status_ = ErrorAt(source_, line, key, reason);
    }
  }

  const toml::table& root_;
  std::string source_;
  std::set<std::string> read_keys_;
  absl::Status status_;
};

}  // namespace

absl::StatusOr<InstanceSettings> ParseInstanceSettings(
    std::string_view toml_text,
    std::string_view source) {
  const toml::parse_result parsed = toml::parse(toml_text, source);
  if (!parsed) {
    return ErrorAt(source, parsed.error().source().begin.line, "syntax",
                   parsed.error().description());
  }
  const toml::table& root = parsed.table();
  TableReader reader(root, source);
  const auto defaults =
      InstanceSettings::Builder()
          .SetId("default")
          .SetLocation("default", "default")
          .SetObjectApi("http://127.0.0.1:1", std::chrono::milliseconds(2000))
          .Build();
  InstanceSettings::Builder builder;
  builder.SetId(reader.ReadString("instance.id", ""))
      .SetLocation(reader.ReadString("instance.region", ""),
                   reader.ReadString("instance.failure_domain", ""))
      .SetCallerEndpoint(
          reader.ReadEndpoint("callers.listen", defaults->caller_endpoint()),
          reader.ReadTlsFiles("callers"))
      .SetPeerEndpoint(
          reader.ReadEndpoint("peers.listen", defaults->peer_endpoint()),
          reader.ReadTlsFiles("peers"))
      .SetObjectApi(reader.ReadString("object_api.url", ""),
                    reader.ReadMillis("object_api.timeout_ms",
                                      defaults->object_api_timeout()))
      .SetHttpThreads(static_cast<int>(
          reader.ReadInteger("threads.http", defaults->http_threads())))
      .SetRequestLimits(reader.ReadInteger("callers.max_body_bytes",
                                           defaults->max_body_bytes()),
                        reader.ReadInteger("callers.max_header_bytes",
                                           defaults->max_header_bytes()))
      .SetTimings(reader.ReadMillis("targets.load_poll_ms",
                                    defaults->load_poll_interval()),
                  reader.ReadMillis("callers.shutdown_bound_ms",
                                    defaults->shutdown_timeout()))
      .SetLogLevel(reader.ReadString("log.level", defaults->log_level()));
  if (absl::Status status = reader.CheckUnknownKeys(); !status.ok()) {
    return status;
  }
  auto settings = builder.Build();
  if (settings.ok()) {
    return settings;
  }
  // The message of Build() starts with the key; add the file and line that set
  // it.
  const std::string message(settings.status().message());
  const std::string prefix =
      std::string(ErrorResponseFor(ErrorKind::kInvalidSettings).message) + ": ";
  const std::string detail = message.substr(prefix.size());
  const std::string key = detail.substr(0, detail.find(':'));
  const std::string reason = detail.substr(key.size() + 2);
  return ErrorAt(source, reader.LineOf(key), key, reason);
}

absl::StatusOr<InstanceSettings> LoadInstanceSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorKind::kInvalidSettings,
                     path + ": cannot open the settings file");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseInstanceSettings(text.str(), path);
}

}  // namespace endiveyard
