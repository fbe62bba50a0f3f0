#include "peer/peer_tls.h"

#include <arpa/inet.h>

#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace endiveyard {
namespace {

absl::Status ReadFile(const std::string& path, std::string* contents) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream buffer;
  buffer << file.rdbuf();
  *contents = buffer.str();
  if (!file || contents->empty()) {
    return absl::InvalidArgumentError(
        absl::StrCat("TLS file ", path, " cannot be read or is empty"));
  }
  return absl::OkStatus();
}

}  // namespace

bool IsLoopbackAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const std::string host = address.substr(0, colon);
  in_addr parsed{};
  return host == "[::1]" || (inet_pton(AF_INET, host.c_str(), &parsed) == 1 &&
                             (ntohl(parsed.s_addr) >> 24) == 127);
}

absl::Status ReadTlsFiles(const PeerTlsFiles& files, PeerTlsPem* pem) {
  absl::Status status = ReadFile(files.certificate, &pem->certificate);
  if (status.ok()) {
    status = ReadFile(files.private_key, &pem->private_key);
  }
  if (status.ok()) {
    status = ReadFile(files.authority, &pem->authority);
  }
  return status;
}

kj::Own<kj::TlsContext> MakeTlsContext(const PeerTlsPem& pem,
                                       kj::Timer& timer,
                                       kj::Duration handshake_timeout) {
  const kj::TlsCertificate authority(kj::StringPtr(pem.authority.c_str()));
  const kj::TlsKeypair keypair{
      kj::TlsPrivateKey(kj::StringPtr(pem.private_key.c_str())),
      kj::TlsCertificate(kj::StringPtr(pem.certificate.c_str()))};
  kj::TlsContext::Options options;
  options.useSystemTrustStore = false;
  options.verifyClients = true;
  options.trustedCertificates = kj::arrayPtr(&authority, 1);
  options.minVersion = kj::TlsVersion::TLS_1_2;
  options.defaultKeypair = keypair;
  options.timer = timer;
  options.acceptTimeout = handshake_timeout;
  return kj::heap<kj::TlsContext>(options);
}

std::string PeerCommonName(kj::PeerIdentity& identity) {
  auto* tls = dynamic_cast<kj::TlsPeerIdentity*>(&identity);
  if (tls == nullptr || !tls->hasCertificate()) {
    return "";
  }
  return tls->getCommonName().cStr();
}

}  // namespace endiveyard
