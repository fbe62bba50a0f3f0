#include "endiveyard/object_api/fault_table.h"

#include <utility>

namespace endiveyard {
namespace {

constexpr std::pair<ObjectCall, std::string_view> kCallNames[] = {
    {ObjectCall::kAny, "any"},
    {ObjectCall::kGet, "get"},
    {ObjectCall::kList, "list"},
    {ObjectCall::kPut, "put"},
    {ObjectCall::kDelete, "delete"},
    {ObjectCall::kWatch, "watch"},
    {ObjectCall::kInstances, "instances"},
};

constexpr std::pair<ObjectFault, std::string_view> kFaultNames[] = {
    {ObjectFault::kNone, "none"},
    {ObjectFault::kUnavailable, "unavailable"},
    {ObjectFault::kSlow, "slow"},
    {ObjectFault::kAnswerLostAfterEffect, "answer_lost_after_effect"},
    {ObjectFault::kAnswerLostBeforeEffect, "answer_lost_before_effect"},
    {ObjectFault::kRateLimited, "rate_limited"},
    {ObjectFault::kWatchGap, "watch_gap"},
};

}  // namespace

void FaultTable::Add(FaultRule rule) {
  rows_.push_back({std::move(rule), 0});
}

FaultRule FaultTable::Next(ObjectCall call, std::string_view key) {
  FaultRule chosen;
  for (Row& it : rows_) {
    const FaultRule& rule = it.rule;
    if ((rule.call != ObjectCall::kAny && rule.call != call) ||
        key.substr(0, rule.key_prefix.size()) != rule.key_prefix) {
      continue;
    }
    const uint64_t n = it.matched++;
    const bool applies =
        n >= rule.skip && (rule.count == 0 || n - rule.skip < rule.count);
    if (applies && chosen.fault == ObjectFault::kNone) {
      chosen = rule;
    }
  }
  return chosen;
}

std::string_view ObjectCallName(ObjectCall call) {
  return kCallNames[static_cast<size_t>(call)].second;
}

std::string_view ObjectFaultName(ObjectFault fault) {
  return kFaultNames[static_cast<size_t>(fault)].second;
}

bool ParseObjectCall(std::string_view name, ObjectCall* call) {
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
