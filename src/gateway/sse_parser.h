#ifndef ENDIVEYARD_SRC_GATEWAY_SSE_PARSER_H_
#define ENDIVEYARD_SRC_GATEWAY_SSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

// Splits a byte stream of server-sent events into the payloads of their
// "data" fields. Other fields and comments are skipped.
class SseParser {
 public:
  // Longest event accepted; a longer one means a broken engine.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  // Appends the payloads completed by `bytes`. Returns false once an event
  // exceeds kMaxEventBytes; the stream cannot be used any more. O(bytes).
  bool Feed(std::string_view bytes, std::vector<std::string>* payloads);

 private:
  void TakeLine(std::string_view line, std::vector<std::string>* payloads);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_SSE_PARSER_H_
