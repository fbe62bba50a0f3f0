#ifndef ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_
#define ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace endiveyard {

// One part of a prompt. All parts but the last are shared between requests.
struct PromptPart {
  uint64_t id = 0;
  double tokens = 0;

  bool operator==(const PromptPart& other) const;
};

// Parts of a prompt by which it is placed. Looking up more of them at each
// engine takes too long.
inline constexpr size_t kMaxPlacedParts = 64;

// Size and parts of the prompt of a request, and the size of its output.
struct PromptShape {
  double prompt_tokens = 0;
  double max_output_tokens = 0;
  double expected_output_tokens = 0;
  // The first parts, by which requests are placed, see kMaxPlacedParts.
  std::vector<PromptPart> parts;
  // Ids of the parts after them.
  std::vector<uint64_t> further_part_ids{};

  bool operator==(const PromptShape& other) const;
};

// Returns the tokens of the parts that are shared with other requests, and
// those of the rest.
double SharedTokens(const PromptShape& prompt);
double UnsharedTokens(const PromptShape& prompt);

// Returns a key that requests with the same shared parts have in common: the id
// of the second to last part, or 0 if the prompt has fewer than two parts.
uint64_t SharedPrefixKey(const PromptShape& prompt);

// Returns the ids of all parts but the last one, which belongs to the request
// or its session only.
std::vector<uint64_t> SharedPartIds(const PromptShape& prompt);

// Returns the ids of the first `max_parts` shared parts in hexadecimal,
// separated by commas, for logs.
std::string SharedPartsText(const PromptShape& prompt,
                            size_t max_parts = kMaxPlacedParts);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_
