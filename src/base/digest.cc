#include "endiveyard/base/digest.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace endiveyard {

uint64_t Digest64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t CombineDigests(uint64_t a, uint64_t b) {
  const std::array<uint64_t, 2> pair = {a, b};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         buf.data());
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(buf.size() * 2);
  for (unsigned char it : buf) {
    hex.push_back(kHexDigits[it >> 4]);
    hex.push_back(kHexDigits[it & 0xf]);
  }
  return hex;
}

int RendezvousIndex(const std::vector<std::string>& members,
                    std::string_view key) {
  int best = -1;
  uint64_t best_weight = 0;
  const uint64_t key_digest = Digest64(key);
  for (size_t i = 0; i < members.size(); ++i) {
    const uint64_t weight = Digest64(members[i], key_digest);
    if (best < 0 || weight > best_weight) {
      best = static_cast<int>(i);
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace endiveyard
