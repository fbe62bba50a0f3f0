#ifndef ENDIVEYARD_BASE_DIGEST_H_
#define ENDIVEYARD_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

// 64-bit xxHash (XXH3) of `bytes`. Not for secrets. O(n).
uint64_t Digest64(std::string_view bytes, uint64_t seed = 0);

// Mixes two digests into one; not commutative.
uint64_t CombineDigests(uint64_t a, uint64_t b);

// Lower-case hexadecimal SHA-256 of `bytes`, used to store caller keys.
std::string Sha256Hex(std::string_view bytes);

// Picks the entry with the highest rendezvous weight for `key`, or -1 when
// `members` is empty. Removing another member never changes the result.
// O(members).
int RendezvousIndex(const std::vector<std::string>& members,
                    std::string_view key);

}  // namespace endiveyard

#endif  // ENDIVEYARD_BASE_DIGEST_H_
