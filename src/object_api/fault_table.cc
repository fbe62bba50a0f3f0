#include "endiveyard/object_api/fault_table.h"

#include <utility>

namespace endiveyard {
namespace {

constexpr std::pair<ObjectCallKind, std::string_view> kCallNames[] = {
    {ObjectCallKind::kAny, "any"},
    {ObjectCallKind::kGet, "get"},
    {ObjectCallKind::kList, "list"},
    {ObjectCallKind::kPut, "put"},
    {ObjectCallKind::kDelete, "delete"},
    {ObjectCallKind::kWatch, "watch"},
    {ObjectCallKind::kInstances, "instances"},
};

constexpr std::pair<ObjectFault, std::string_view> kFaultNames[] = {
    {ObjectFault::kNone, "none"},
    {ObjectFault::kUnavailable, "unavailable"},
    {ObjectFault::kSlow, "slow"},
    {ObjectFault::kResponseLostAfterEffect, "answer_lost_after_effect"},
    {ObjectFault::kResponseLostBeforeEffect, "answer_lost_before_effect"},
    {ObjectFault::kRateLimited, "rate_limited"},
    {ObjectFault::kWatchGap, "watch_gap"},
};

}  // namespace

void FaultTable::Add(FaultRule rule) {
  rules_.push_back({std::move(rule), 0});
}

FaultRule FaultTable::NextFault(ObjectCallKind call, std::string_view key) {
  FaultRule chosen;
  for (RuleState& it : rules_) {
    const FaultRule& rule = it.rule;
    if ((rule.call != ObjectCallKind::kAny && rule.call != call) ||
        key.substr(0, rule.key_prefix.size()) != rule.key_prefix) {
      continue;
    }
    const uint64_t n = it.match_count++;
    const bool applies =
        n >= rule.skip && (rule.count == 0 || n - rule.skip < rule.count);
    if (applies && chosen.fault == ObjectFault::kNone) {
      chosen = rule;
    }
  }
  return chosen;
}

std::string_view ObjectCallName(ObjectCallKind call) {
  return kCallNames[static_cast<size_t>(call)].second;
}

std::string_view ObjectFaultName(ObjectFault fault) {
  return kFaultNames[static_cast<size_t>(fault)].second;
}

bool ParseObjectCall(std::string_view name, ObjectCallKind* call) {
  for (const auto& it : kCallNames) {
    if (it.second == name) {
      *call = it.first;
      return true;
    }
  }
  return false;
}

bool ParseObjectFault(std::string_view name, ObjectFault* fault) {
  for (const auto& it : kFaultNames) {
    if (it.second == name) {
      *fault = it.first;
      return true;
    }
  }
  return false;
}

}  // namespace endiveyard
