#ifndef ENDIVEYARD_TOOLS_STANDIN_ENGINE_STANDIN_H_
#define ENDIVEYARD_TOOLS_STANDIN_ENGINE_STANDIN_H_

#include <cstdint>
#include <memory>
#include <string>

#include "endiveyard/base/target.h"

namespace endiveyard {

struct EngineOptions {
  std::string listen = "127.0.0.1:9100";
  std::string model = "setola-7b";
  Role role = Role::kMixed;
  bool checks_fencing = true;
  int token_interval_ms = 10;
  int tokens_per_event = 1;
  double prefill_tokens_per_second = 8000;
  int change_ms = 500;  // time to apply an order
  bool exit_on_crash = false;
};

// Injected faults. POST /admin/faults takes fields of the same names. A count
// of -1 disables the fault.
struct EngineFaults {
  int crash_after_tokens = -1;
  int stall_after_tokens = -1;
  int truncate_after_tokens = -1;
  int jump_after_tokens = -1;
  int repeat_after_tokens = -1;
  bool wrong_id = false;
  bool refuse = false;   // responds with 503 as a leaving engine does
  std::string crash_on;  // crashes if a prompt contains this text
};

struct EngineStats {
  int64_t started = 0;
  int64_t finished = 0;
  int64_t cancelled = 0;
  int64_t aborted = 0;  // sequences ended early by a crash or an order
  int64_t orders_applied = 0;
  int64_t orders_refused = 0;
  uint64_t highest_fencing = 0;
};

// Stand-in for one engine. Each token it streams is a function of the prompt
// and the token index, so tests can check a resumed stream token by token.
class EngineStandin {
 public:
  explicit EngineStandin(EngineOptions options);
  ~EngineStandin();
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

  void SetFaults(const EngineFaults& faults);
  EngineStats stats() const;

  // Returns the text of token `index` of the completion of `prompt`.
  static std::string TokenText(const std::string& prompt, int index);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

int RunEngineStandin(int argc, char** argv);

}  // namespace endiveyard

#endif  // ENDIVEYARD_TOOLS_STANDIN_ENGINE_STANDIN_H_
