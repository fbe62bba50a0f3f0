#ifndef ENDIVEYARD_PEER_PEER_OPTIONS_H_
#define ENDIVEYARD_PEER_PEER_OPTIONS_H_

#include <cstdint>
#include <string>

namespace endiveyard {

// PEM files for mutual TLS. If all paths are empty, connections are unencrypted
// and allowed on loopback addresses only.
struct PeerTlsFiles {
  std::string certificate;  // its common name is the name of this instance
  std::string private_key;
  std::string authority;  // CA that signs the certificates of all instances

  bool empty() const {
    return certificate.empty() && private_key.empty() && authority.empty();
  }
};

// Maximum size of a message between peers; a digest with a snapshot fits.
inline constexpr size_t kMaxPeerMessageBytes = 2 << 20;

// True for "127.x.y.z:port" and "[::1]:port". Host names are not resolved.
bool IsLoopbackAddress(const std::string& address);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PEER_PEER_OPTIONS_H_
