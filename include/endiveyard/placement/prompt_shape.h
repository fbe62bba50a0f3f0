#ifndef ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_
#define ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_

#include <cstdint>
#include <vector>

namespace endiveyard {

// One part of a prompt. Parts are shared between requests, except the last.
struct PromptPart {
  uint64_t id = 0;
  double tokens = 0;

  bool operator==(const PromptPart& other) const;
};

// The prompt of a request for an engine.
struct PromptShape {
  double prompt_tokens = 0;
  double max_output_tokens = 0;
  double expected_output_tokens = 0;
  std::vector<PromptPart> parts;

  bool operator==(const PromptShape& other) const;
};

// Returns the id that requests with the same shared parts have in common: that
// of the last part but one; 0 when the prompt has fewer than two parts.
uint64_t SharedPrefixKey(const PromptShape& prompt);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_PROMPT_SHAPE_H_
