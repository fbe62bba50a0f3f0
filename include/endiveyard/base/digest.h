#ifndef ENDIVEYARD_BASE_DIGEST_H_
#define ENDIVEYARD_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

// 64-bit xxHash (XXH3) of `bytes`. Not cryptographic. O(n).
uint64_t Digest64(std::string_view bytes, uint64_t seed = 0);

// Combines two digests into one. The order of the arguments matters.
uint64_t CombineDigests(uint64_t a, uint64_t b);

// Lower-case hexadecimal SHA-256 of `bytes`; caller keys are stored in this
// form.
std::string Sha256Hex(std::string_view bytes);

// Rendezvous hashing: returns the index of the member with the highest weight
// for `key`, or -1 if `members` is empty. Removing another member does not
// change which member is chosen.
// O(members).
int RendezvousIndex(const std::vector<std::string>& members,
                    std::string_view key);

}  // namespace endiveyard

#endif  // ENDIVEYARD_BASE_DIGEST_H_
