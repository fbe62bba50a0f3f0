#ifndef ENDIVEYARD_OBJECT_API_FAULT_TABLE_H_
#define ENDIVEYARD_OBJECT_API_FAULT_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

enum class ObjectCallKind {
  kAny,
  kGet,
  kList,
  kPut,
  kDelete,
  kWatch,
  kInstances
};

enum class ObjectFault {
  kNone,
  kUnavailable,               // 503, no effect
  kSlow,                      // takes effect and responds after `delay`
  kResponseLostAfterEffect,   // takes effect, then closes the connection
  kResponseLostBeforeEffect,  // closes the connection without an effect
  kRateLimited,               // 429, no effect
  kWatchGap,                  // the watch reports a gap in the history
};

// Selects the calls that fail and how they fail.
struct FaultRule {
  ObjectFault fault = ObjectFault::kNone;
  ObjectCallKind call = ObjectCallKind::kAny;
  std::string key_prefix;  // the key or prefix of the call starts with it
  uint64_t skip = 0;       // matching calls that succeed first
  uint64_t count = 1;      // calls that fail after those; 0 = all
  Duration delay{0};       // kSlow
  Duration retry_after = std::chrono::seconds(1);  // kRateLimited
};

// Ordered fault rules of FakeObjectApi and ObjectApiStandin. The first rule
// that applies to a call determines its fault.
class FaultTable {
 public:
  void Add(FaultRule rule);
  void Clear() { rules_.clear(); }

  // Returns the rule that applies to the call, or a rule with kNone. Counts the
  // call against every rule that matches it. O(rules).
  FaultRule NextFault(ObjectCallKind call, std::string_view key);

 private:
  struct RuleState {
    FaultRule rule;
    uint64_t match_count = 0;
  };
  std::vector<RuleState> rules_;
};

std::string_view ObjectCallName(ObjectCallKind call);
std::string_view ObjectFaultName(ObjectFault fault);
bool ParseObjectCall(std::string_view name, ObjectCallKind* call);
bool ParseObjectFault(std::string_view name, ObjectFault* fault);

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_FAULT_TABLE_H_
