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
  int change_ms = 500;  // time that an order takes
  bool exit_on_crash = false;
};

// Faults, set through POST /admin/faults with the same names. A count of -1
// means never.
struct EngineFaults {
  int crash_after_tokens = -1;
  int stall_after_tokens = -1;
  int truncate_after_tokens = -1;
  int jump_after_tokens = -1;
  int repeat_after_tokens = -1;
  bool wrong_id = false;
  bool refuse = false;   // answers 503 as a leaving engine does
  std::string crash_on;  // crashes on a prompt that contains this text
};

struct EngineStats {
  int64_t started = 0;
  int64_t finished = 0;
  int64_t cancelled = 0;
  int64_t aborted = 0;  // sequences cut by a crash or an order
  int64_t orders_applied = 0;
  int64_t orders_refused = 0;
  uint64_t highest_fencing = 0;
};

// Stand-in for one engine: streams tokens that are a function of prompt and
// index, so that a resumed stream can be checked token by token.
class EngineStandin {
 public:
  explicit EngineStandin(EngineOptions options);
  ~EngineStandin();
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

  void SetFaults(const EngineFaults& faults);
  EngineStats stats() const;

  // Text of token `index` of the answer to `prompt`.
  static std::string TokenText(const std::string& prompt, int index);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

int RunEngineStandin(int argc, char** argv);

}  // namespace endiveyard

#endif  // ENDIVEYARD_TOOLS_STANDIN_ENGINE_STANDIN_H_
