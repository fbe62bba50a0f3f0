#ifndef ENDIVEYARD_SRC_GATEWAY_ENGINE_EVENT_H_
#define ENDIVEYARD_SRC_GATEWAY_ENGINE_EVENT_H_

#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

// One event in the response stream of an engine.
struct EngineEvent {
  bool done = false;  // this is the end marker "[DONE]"
  std::string id;
  int index = 0;  // position of the first of `tokens` in the response
  std::vector<std::string> tokens;
  std::string finish_reason;  // set on the last event
  int prompt_tokens = 0;
  std::string kv_handle;
};

// Parses the payload of one event. Returns false if it is malformed or has no
// `id`, `index` or `tokens`. O(payload).
bool ParseEngineEvent(std::string_view payload, EngineEvent* event);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_ENGINE_EVENT_H_
