#ifndef ENDIVEYARD_SERVING_DELIVERED_TOKENS_H_
#define ENDIVEYARD_SERVING_DELIVERED_TOKENS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

// Tokens delivered to the caller, stored in two buffers. A vector of strings
// would take at least 32 bytes for each token of every open stream.
class DeliveredTokens {
 public:
  void Append(std::string_view token) {
    text_.append(token);
    ends_.push_back(static_cast<uint32_t>(text_.size()));
  }
  int size() const { return static_cast<int>(ends_.size()); }
  bool empty() const { return ends_.empty(); }

  std::vector<std::string> ToVector() const {
    std::vector<std::string> tokens;
    tokens.reserve(ends_.size());
    size_t begin = 0;
    for (const uint32_t end : ends_) {
      tokens.push_back(text_.substr(begin, end - begin));
      begin = end;
    }
    return tokens;
  }

 private:
  std::string text_;
  std::vector<uint32_t> ends_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SERVING_DELIVERED_TOKENS_H_
