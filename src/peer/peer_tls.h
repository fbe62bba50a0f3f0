#ifndef ENDIVEYARD_SRC_PEER_PEER_TLS_H_
#define ENDIVEYARD_SRC_PEER_PEER_TLS_H_

#include <kj/async-io.h>
#include <kj/compat/tls.h>

#include <string>

#include "absl/status/status.h"
#include "endiveyard/peer/peer_options.h"

namespace endiveyard {

// Contents of the files, read before the thread starts.
struct PeerTlsTexts {
  std::string certificate;
  std::string private_key;
  std::string authority;
};

absl::Status ReadTlsFiles(const PeerTlsFiles& files, PeerTlsTexts* texts);

// Context that trusts only the authority and requires a certificate from
// both sides. Throws kj::Exception on malformed files.
kj::Own<kj::TlsContext> MakeTlsContext(const PeerTlsTexts& texts,
                                       kj::Timer& timer,
                                       kj::Duration accept_timeout);

// Common name of the verified peer, or an empty string without one.
std::string CommonNameOf(kj::PeerIdentity& identity);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_PEER_PEER_TLS_H_
