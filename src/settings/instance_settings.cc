#include "endiveyard/settings/instance_settings.h"

#include <arpa/inet.h>

#include <charconv>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/base/error_kind.h"

namespace endiveyard {
namespace {

absl::Status InvalidSetting(std::string_view key, std::string_view reason) {
  return MakeError(ErrorKind::kInvalidSettings,
                   std::string(key) + ": " + std::string(reason));
}

bool IsIpAddress(const std::string& host) {
  in_addr v4{};
  in6_addr v6{};
  return inet_pton(AF_INET, host.c_str(), &v4) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &v6) == 1;
}

absl::Status CheckTlsFiles(std::string_view key, const TlsFiles& tls) {
  if (tls.certificate.empty() != tls.key.empty()) {
    return InvalidSetting(key,
                          "tls_certificate and tls_key must be set together");
  }
  return absl::OkStatus();
}

absl::Status CheckRange(std::string_view key,
                        int64_t value,
                        int64_t low,
                        int64_t high) {
  if (value >= low && value <= high) {
    return absl::OkStatus();
  }
  return InvalidSetting(
      key, absl::StrCat(value, " is not between ", low, " and ", high));
}

}  // namespace

std::string Endpoint::ToString() const {
  const bool v6 = host.find(':') != std::string::npos;
  return v6 ? absl::StrCat("[", host, "]:", port)
            : absl::StrCat(host, ":", port);
}

bool Endpoint::IsLoopback() const {
  return host.rfind("127.", 0) == 0 || host == "::1";
}

bool operator==(const Endpoint& a, const Endpoint& b) {
  return std::tie(a.host, a.port) == std::tie(b.host, b.port);
}

bool operator!=(const Endpoint& a, const Endpoint& b) {
  return !(a == b);
}

bool operator==(const TlsFiles& a, const TlsFiles& b) {
  return std::tie(a.certificate, a.key, a.authority) ==
         std::tie(b.certificate, b.key, b.authority);
}

absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return InvalidSetting("endpoint", "has no port; expected IP:PORT");
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Endpoint endpoint;
  endpoint.host = std::string(host);
  const auto parsed =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size() ||
      endpoint.port == 0) {
    return InvalidSetting("endpoint",
                          "the port must be a number from 1 to 65535");
  }
  if (!IsIpAddress(endpoint.host)) {
    return InvalidSetting("endpoint",
                          "'" + endpoint.host + "' is not an IP address");
  }
  return endpoint;
}

bool operator==(const InstanceSettings& a, const InstanceSettings& b) {
  const auto tie = [](const InstanceSettings& it) {
    return std::tie(it.id_, it.region_, it.failure_domain_, it.caller_endpoint_,
                    it.caller_tls_, it.peer_endpoint_, it.peer_tls_,
                    it.object_api_url_, it.object_api_timeout_,
                    it.http_threads_, it.max_body_bytes_, it.max_header_bytes_,
                    it.load_poll_interval_, it.shutdown_timeout_,
                    it.log_level_);
  };
  return tie(a) == tie(b);
}

using Builder = InstanceSettings::Builder;

Builder& Builder::SetId(std::string id) {
  settings_.id_ = std::move(id);
  return *this;
}

Builder& Builder::SetLocation(std::string region, std::string failure_domain) {
  settings_.region_ = std::move(region);
  settings_.failure_domain_ = std::move(failure_domain);
  return *this;
}

Builder& Builder::SetCallerEndpoint(Endpoint endpoint, TlsFiles tls) {
  settings_.caller_endpoint_ = std::move(endpoint);
  settings_.caller_tls_ = std::move(tls);
  return *this;
}

Builder& Builder::SetPeerEndpoint(Endpoint endpoint, TlsFiles tls) {
  settings_.peer_endpoint_ = std::move(endpoint);
  settings_.peer_tls_ = std::move(tls);
  return *this;
}

Builder& Builder::SetObjectApi(std::string url, Duration timeout) {
  settings_.object_api_url_ = std::move(url);
  settings_.object_api_timeout_ = timeout;
  return *this;
}

Builder& Builder::SetHttpThreads(int threads) {
  settings_.http_threads_ = threads;
  return *this;
}

Builder& Builder::SetRequestLimits(int64_t max_body_bytes,
                                   int64_t max_header_bytes) {
  settings_.max_body_bytes_ = max_body_bytes;
  settings_.max_header_bytes_ = max_header_bytes;
  return *this;
}

Builder& Builder::SetTimings(Duration load_poll_interval,
                             Duration shutdown_timeout) {
  settings_.load_poll_interval_ = load_poll_interval;
  settings_.shutdown_timeout_ = shutdown_timeout;
  return *this;
}

Builder& Builder::SetLogLevel(std::string level) {
  settings_.log_level_ = std::move(level);
  return *this;
}

absl::StatusOr<InstanceSettings> Builder::Build() const {
  const InstanceSettings& it = settings_;
  if (it.id_.empty()) {
    return InvalidSetting("instance.id", "must not be empty");
  }
  if (it.id_.find('/') != std::string::npos) {
    // The id is a path segment of keys in the object API.
    return InvalidSetting("instance.id", "must not contain '/'");
  }
  if (it.region_.empty()) {
    return InvalidSetting("instance.region", "must not be empty");
  }
  if (it.failure_domain_.empty()) {
    return InvalidSetting("instance.failure_domain", "must not be empty");
  }
  if (it.object_api_url_.rfind("http://", 0) != 0 &&
      it.object_api_url_.rfind("https://", 0) != 0) {
    return InvalidSetting("object_api.url",
                          "must start with http:// or https://");
  }
  if (it.caller_endpoint_ == it.peer_endpoint_) {
    return InvalidSetting("peers.listen", "is the same as callers.listen");
  }
  if (!it.peer_tls_.enabled() && !it.peer_endpoint_.IsLoopback()) {
    return InvalidSetting(
        "peers.tls_certificate",
        "is required unless peers.listen is a loopback address");
  }
  if (it.peer_tls_.enabled() && it.peer_tls_.authority.empty()) {
    return InvalidSetting("peers.tls_authority",
                          "is required when peers.tls_certificate is set");
  }
  const auto millis = [](Duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
  };
  const absl::Status checks[] = {
      CheckTlsFiles("callers", it.caller_tls_),
      CheckTlsFiles("peers", it.peer_tls_),
      CheckRange("threads.http", it.http_threads_, 2, 256),
      CheckRange("callers.max_body_bytes", it.max_body_bytes_, 1024, 64 << 20),
      CheckRange("callers.max_header_bytes", it.max_header_bytes_, 1024,
                 1 << 20),
      CheckRange("object_api.timeout_ms", millis(it.object_api_timeout_), 10,
                 60000),
      CheckRange("targets.load_poll_ms", millis(it.load_poll_interval_), 10,
                 60000),
      CheckRange("callers.shutdown_bound_ms", millis(it.shutdown_timeout_), 0,
                 3600000),
  };
  for (const absl::Status& status : checks) {
    if (!status.ok()) {
      return status;
    }
  }
  if (it.log_level_ != "debug" && it.log_level_ != "info" &&
      it.log_level_ != "warn" && it.log_level_ != "error") {
    return InvalidSetting("log.level", "is not debug, info, warn or error");
  }
  return it;
}

}  // namespace endiveyard
