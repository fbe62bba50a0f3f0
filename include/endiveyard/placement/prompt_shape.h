#ifndef ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_
#define ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_

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

// Size and parts of the prompt of a request, and the size of its output.
struct PromptShape {
  double prompt_tokens = 0;
  double max_output_tokens = 0;
  double expected_output_tokens = 0;
  std::vector<PromptPart> parts;

  bool operator==(const PromptShape& other) const;
};

// Returns the tokens of the parts that are shared with other requests, and
// those of the rest.
double SharedTokens(const PromptShape& prompt);
double UnsharedTokens(const PromptShape& prompt);

// Returns a key that requests with the same shared parts have in common: the id
// of the second to last part, or 0 if the prompt has fewer than two parts.
uint64_t SharedPrefixKey(const PromptShape& prompt);

// Returns the ids of the shared parts in hexadecimal, separated by commas, for
// logs.
std::string SharedPartsText(const PromptShape& prompt);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_
