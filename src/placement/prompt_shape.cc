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
                  parts, further_part_ids) ==
         std::tie(other.prompt_tokens, other.max_output_tokens,
                  other.expected_output_tokens, other.parts,
                  other.further_part_ids);
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

std::vector<uint64_t> SharedPartIds(const PromptShape& prompt) {
  std::vector<uint64_t> ids;
  ids.reserve(prompt.parts.size() + prompt.further_part_ids.size());
  for (const PromptPart& it : prompt.parts) {
    ids.push_back(it.id);
  }
  ids.insert(ids.end(), prompt.further_part_ids.begin(),
             prompt.further_part_ids.end());
  if (!ids.empty()) {
    ids.pop_back();
  }
  return ids;
}

std::string SharedPartsText(const PromptShape& prompt, size_t max_parts) {
  std::vector<uint64_t> ids = SharedPartIds(prompt);
  ids.resize(std::min(ids.size(), max_parts));
  std::string text;
  for (const uint64_t id : ids) {
    char buf[20];
    const int size = std::snprintf(buf, sizeof buf, "%s%" PRIx64,
                                   text.empty() ? "" : ",", id);
    text.append(buf, static_cast<size_t>(size));
  }
  return text;
}

}  // namespace endiveyard
