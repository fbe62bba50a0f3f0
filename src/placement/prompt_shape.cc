#include "endiveyard/placement/prompt_shape.h"

#include <cinttypes>
#include <cstdio>

#include <algorithm>

#include <tuple>

namespace endiveyard {

bool PromptPart::operator==(const PromptPart& other) const {
  return id == other.id && tokens == other.tokens;
}

bool PromptShape::operator==(const PromptShape& other) const {
  return std::tie(prompt_tokens, max_output_tokens, expected_output_tokens,
                  parts) == std::tie(other.prompt_tokens,
                                     other.max_output_tokens,
                                     other.expected_output_tokens, other.parts);
}

double SharedTokens(const PromptShape& prompt) {
  return prompt.parts.empty()
             ? 0
             : std::max(0.0, prompt.prompt_tokens - prompt.parts.back().tokens);
}

double UnsharedTokens(const PromptShape& prompt) {
  return prompt.prompt_tokens - SharedTokens(prompt);
}

uint64_t SharedPrefixKey(const PromptShape& prompt) {
  return prompt.parts.size() < 2 ? 0 : prompt.parts[prompt.parts.size() - 2].id;
}

std::string SharedPartsText(const PromptShape& prompt) {
  std::string text;
  for (size_t n = 0; n + 1 < prompt.parts.size(); ++n) {
    char buf[20];
    const int size = std::snprintf(buf, sizeof buf, "%s%" PRIx64,
                                   n > 0 ? "," : "", prompt.parts[n].id);
    text.append(buf, static_cast<size_t>(size));
  }
  return text;
}

}  // namespace endiveyard
