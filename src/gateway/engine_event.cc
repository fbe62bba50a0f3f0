#include "gateway/engine_event.h"

#include <simdjson.h>

#include <limits>

namespace endiveyard {
namespace {

std::string StringOrEmpty(const simdjson::dom::element& element) {
  std::string_view text;
  return element.get(text) == simdjson::SUCCESS ? std::string(text) : "";
}

}  // namespace

bool ParseEngineEvent(std::string_view payload, EngineEvent* event) {
  *event = EngineEvent();
  if (payload == "[DONE]") {
    event->done = true;
    return true;
  }
  // Not shared between threads, since it owns the buffers that it parses into.
  thread_local simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (parser.parse(payload.data(), payload.size()).get(root) !=
      simdjson::SUCCESS) {
    return false;
  }
  simdjson::dom::element element;
  std::string_view id;
  int64_t index = 0;
  simdjson::dom::array tokens;
  if (root["id"].get(id) != simdjson::SUCCESS ||
      root["index"].get(index) != simdjson::SUCCESS ||
      root["tokens"].get(tokens) != simdjson::SUCCESS || index < 0 ||
      index > std::numeric_limits<int>::max()) {
    return false;
  }
  event->id = std::string(id);
  event->index = static_cast<int>(index);
  for (const simdjson::dom::element it : tokens) {
    if (!it.is_string()) {
      return false;
    }
    event->tokens.push_back(StringOrEmpty(it));
  }
  if (root["choices"].at(0)["finish_reason"].get(element) ==
      simdjson::SUCCESS) {
    event->finish_reason = StringOrEmpty(element);
  }
  int64_t prompt_tokens = 0;
  if (root["usage"]["prompt_tokens"].get(prompt_tokens) == simdjson::SUCCESS) {
    event->prompt_tokens = static_cast<int>(prompt_tokens);
  }
  if (root["kv_handle"].get(element) == simdjson::SUCCESS) {
    event->kv_handle = StringOrEmpty(element);
  }
  return true;
}

}  // namespace endiveyard
