#ifndef ENDIVEYARD_PEER_PEER_OPTIONS_H_
#define ENDIVEYARD_PEER_PEER_OPTIONS_H_

#include <cstdint>
#include <string>

namespace endiveyard {

// Files in PEM format for mutual TLS. All empty: plain connections, which
// are allowed on loopback addresses only.
struct PeerTlsFiles {
  std::string certificate;  // common name: the name of this instance
  std::string private_key;
  std::string authority;  // signs the certificates of all instances

  bool empty() const {
    return certificate.empty() && private_key.empty() && authority.empty();
  }
};

// Largest message between peers: a snapshot and the rest of a digest.
inline constexpr size_t kMaxPeerMessageBytes = 2 << 20;

// True for "127.x.y.z:port" and "[::1]:port". Host names are not resolved.
bool IsLoopbackAddress(const std::string& address);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PEER_PEER_OPTIONS_H_
