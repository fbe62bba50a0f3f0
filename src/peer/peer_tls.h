#ifndef ENDIVEYARD_SRC_PEER_PEER_TLS_H_
#define ENDIVEYARD_SRC_PEER_PEER_TLS_H_

#include <kj/async-io.h>
#include <kj/compat/tls.h>

#include <string>

#include "absl/status/status.h"
#include "endiveyard/peer/peer_options.h"

namespace endiveyard {

// Contents of PeerTlsFiles.
struct PeerTlsPem {
  std::string certificate;
  std::string private_key;
  std::string authority;
};

absl::Status ReadTlsFiles(const PeerTlsFiles& files, PeerTlsPem* pem);

// Creates a context for mutual TLS that trusts certificates of the authority
// only. Throws kj::Exception if `pem` is malformed.
kj::Own<kj::TlsContext> MakeTlsContext(const PeerTlsPem& pem,
                                       kj::Timer& timer,
                                       kj::Duration handshake_timeout);

// Returns the common name in the peer's verified certificate, or an empty
// string if there is no certificate.
std::string PeerCommonName(kj::PeerIdentity& identity);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_PEER_PEER_TLS_H_
