#ifndef ENDIVEYARD_BASE_TARGET_H_
#define ENDIVEYARD_BASE_TARGET_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace endiveyard {

enum class TargetKind { kEngine, kService };

// Phases of inference that an engine serves: both, prefill only or decode only.
enum class Role { kMixed, kPrefill, kDecode };

// State of a target in the list of targets.
enum class ListedState { kLive, kLeaving };

// A target as the platform lists it. The list may lag behind the actual state.
struct TargetInfo {
  std::string id;
  TargetKind kind = TargetKind::kEngine;
  std::string house;
  std::string service;
  std::string address;  // "host:port"
  std::string region;
  std::string failure_domain;
  ListedState state = ListedState::kLive;
  bool checks_fencing = true;

  friend bool operator==(const TargetInfo& a, const TargetInfo& b) {
    return std::tie(a.id, a.kind, a.house, a.service, a.address, a.region,
                    a.failure_domain, a.state, a.checks_fencing) ==
           std::tie(b.id, b.kind, b.house, b.service, b.address, b.region,
                    b.failure_domain, b.state, b.checks_fencing);
  }
  friend bool operator!=(const TargetInfo& a, const TargetInfo& b) {
    return !(a == b);
  }
};

// Load as last reported by the target itself; it may be out of date.
struct TargetLoad {
  Role role = Role::kMixed;
  std::string model;
  std::vector<std::string> adapters;
  std::string version;
  int64_t queued_prefill_tokens = 0;
  int running_sequences = 0;
  int64_t free_cache_blocks = 0;
  uint64_t sequence = 0;  // increases with each report of a target

  friend bool operator==(const TargetLoad& a, const TargetLoad& b) {
    return std::tie(a.role, a.model, a.adapters, a.version,
                    a.queued_prefill_tokens, a.running_sequences,
                    a.free_cache_blocks, a.sequence) ==
           std::tie(b.role, b.model, b.adapters, b.version,
                    b.queued_prefill_tokens, b.running_sequences,
                    b.free_cache_blocks, b.sequence);
  }
  friend bool operator!=(const TargetLoad& a, const TargetLoad& b) {
    return !(a == b);
  }
};

std::string_view RoleName(Role role);

// Parses "mixed", "prefill" or "decode"; returns false for anything else.
bool ParseRole(std::string_view name, Role* role);

}  // namespace endiveyard

#endif  // ENDIVEYARD_BASE_TARGET_H_
