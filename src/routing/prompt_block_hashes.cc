#include <cstdint>
#include <string_view>
#include <vector>

#include "endiveyard/base/digest.h"
#include "endiveyard/routing/target_router.h"

namespace endiveyard {

std::vector<uint64_t> PromptBlockHashes(std::string_view prompt) {
  std::vector<uint64_t> hashes;
  hashes.reserve(prompt.size() / kPromptBlockBytes);
  uint64_t hash = 0;
  while (prompt.size() >= kPromptBlockBytes) {
    hash = CombineDigests(hash, Digest64(prompt.substr(0, kPromptBlockBytes)));
    hashes.push_back(hash);
    prompt.remove_prefix(kPromptBlockBytes);
  }
  return hashes;
}

}  // namespace endiveyard
