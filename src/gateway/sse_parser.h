#ifndef ENDIVEYARD_SRC_GATEWAY_SSE_PARSER_H_
#define ENDIVEYARD_SRC_GATEWAY_SSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

// Parses a byte stream of server-sent events (SSE) into the payloads of their
// "data" fields. Other fields and comments are skipped.
class SseParser {
 public:
  // Longest event accepted. Bounds the memory used for an engine that never
  // ends an event.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  // Appends the payloads of the events that `bytes` completes. Returns false if
  // an event exceeds kMaxEventBytes; the parser must not be used afterwards.
  // O(bytes).
  bool Feed(std::string_view bytes, std::vector<std::string>* payloads);

 private:
  void ProcessLine(std::string_view line, std::vector<std::string>* payloads);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_SSE_PARSER_H_
