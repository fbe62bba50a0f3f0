#ifndef ENDIVEYARD_SETTINGS_INSTANCE_SETTINGS_H_
#define ENDIVEYARD_SETTINGS_INSTANCE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "endiveyard/base/time_point.h"

namespace endiveyard {

// IP address and port.
struct Endpoint {
  std::string host;
  uint16_t port = 0;

  std::string ToString() const;
  // True for 127.0.0.0/8 and ::1.
  bool IsLoopback() const;
};

bool operator==(const Endpoint& a, const Endpoint& b);
bool operator!=(const Endpoint& a, const Endpoint& b);

// Parses "127.0.0.1:8080" or "[::1]:8080". Error: kInvalidSettings.
absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text);

// Paths of PEM files: a certificate chain, its private key, and the certificate
// authority that must have signed the certificates of peers. Without a
// certificate, connections are not encrypted.
struct TlsFiles {
  std::string certificate;
  std::string key;
  std::string authority;

  bool enabled() const { return !certificate.empty(); }
};

bool operator==(const TlsFiles& a, const TlsFiles& b);

// Settings of one instance, fixed while it runs. Options that operators change
// at run time are part of the fleet configuration.
class InstanceSettings {
 public:
  class Builder;

  const std::string& id() const { return id_; }
  const std::string& region() const { return region_; }
  const std::string& failure_domain() const { return failure_domain_; }
  const Endpoint& caller_endpoint() const { return caller_endpoint_; }
  const TlsFiles& caller_tls() const { return caller_tls_; }
  const Endpoint& peer_endpoint() const { return peer_endpoint_; }
  const TlsFiles& peer_tls() const { return peer_tls_; }
  const std::string& object_api_url() const { return object_api_url_; }
  Duration object_api_timeout() const { return object_api_timeout_; }
  int http_threads() const { return http_threads_; }
  int64_t max_body_bytes() const { return max_body_bytes_; }
  int64_t max_header_bytes() const { return max_header_bytes_; }
  Duration load_poll_interval() const { return load_poll_interval_; }
  Duration shutdown_timeout() const { return shutdown_timeout_; }
  const std::string& log_level() const { return log_level_; }

  friend bool operator==(const InstanceSettings& a, const InstanceSettings& b);
  friend bool operator!=(const InstanceSettings& a, const InstanceSettings& b) {
    return !(a == b);
  }

 private:
  friend class Builder;
  InstanceSettings() = default;

  std::string id_;
  std::string region_;
  std::string failure_domain_;
  Endpoint caller_endpoint_{"127.0.0.1", 8080};
  TlsFiles caller_tls_;
  Endpoint peer_endpoint_{"127.0.0.1", 8090};
  TlsFiles peer_tls_;
  std::string object_api_url_;
  Duration object_api_timeout_ = std::chrono::milliseconds(2000);
  int http_threads_ = 8;
  int64_t max_body_bytes_ = 8 << 20;
  int64_t max_header_bytes_ = 32 << 10;
  Duration load_poll_interval_ = std::chrono::milliseconds(1000);
  Duration shutdown_timeout_ = std::chrono::seconds(300);
  std::string log_level_ = "info";
};

// Collects settings; Build() validates them.
class InstanceSettings::Builder {
 public:
  Builder& SetId(std::string id);
  Builder& SetLocation(std::string region, std::string failure_domain);
  Builder& SetCallerEndpoint(Endpoint endpoint, TlsFiles tls);
  Builder& SetPeerEndpoint(Endpoint endpoint, TlsFiles tls);
  Builder& SetObjectApi(std::string url, Duration timeout);
  Builder& SetHttpThreads(int threads);
  Builder& SetRequestLimits(int64_t max_body_bytes, int64_t max_header_bytes);
  Builder& SetTimings(Duration load_poll_interval, Duration shutdown_timeout);
  Builder& SetLogLevel(std::string level);

  // Error: kInvalidSettings naming the first invalid key and the reason.
  absl::StatusOr<InstanceSettings> Build() const;

 private:
  InstanceSettings settings_;
};

// Parses settings in TOML. Unknown keys, wrong types and values out of range
// give kInvalidSettings with `source`, the line, the key and the reason.
absl::StatusOr<InstanceSettings> ParseInstanceSettings(std::string_view toml,
                                                       std::string_view source);

// Reads the file at `path` and parses it with ParseInstanceSettings().
absl::StatusOr<InstanceSettings> LoadInstanceSettings(const std::string& path);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SETTINGS_INSTANCE_SETTINGS_H_
