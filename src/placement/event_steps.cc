#include "endiveyard/placement/event_steps.h"

#include <algorithm>

namespace endiveyard {
namespace {

// Older streams of a replica count for less beyond this number.
constexpr int kMaxCountedStreams = 64;
// Streams of events with one token each do not show how a replica counts, so
// that larger steps need to be in this part of its streams only.
constexpr int kStreamsByTokensDivisor = 8;
// Replicas that count by one, after which others of the group are expected to.
constexpr int kReplicasOfConvention = 2;

template <typename Replicas, typename Predicate>
int CountIf(const Replicas& replicas, const Predicate& has) {
  return static_cast<int>(
      std::count_if(replicas.begin(), replicas.end(),
                    [&](const auto& it) { return has(it.second); }));
}

}  // namespace

void EventSteps::Record(const StreamGroup& group,
                        uint64_t replica_key,
                        int64_t largest_step,
                        TimePoint now) {
  Streams* const streams =
      largest_step > 0 ? groups_.Add(group, replica_key, now) : nullptr;
  if (streams == nullptr) {
    return;
  }
  streams->last_at = now;
  if (largest_step > 1) {
    ++streams->by_tokens;
    streams->largest_step = std::max(streams->largest_step, largest_step);
  } else {
    ++streams->by_one;
  }
  if (streams->by_one + streams->by_tokens > kMaxCountedStreams) {
    streams->by_one /= 2;
    streams->by_tokens /= 2;
  }
}

bool EventSteps::CountTokens(const Streams& streams) {
  return streams.by_tokens >= kStreamsByTokens &&
         streams.by_tokens * kStreamsByTokensDivisor >=
             streams.by_one + streams.by_tokens;
}

bool EventSteps::CountByOne(const Streams& streams) {
  return streams.by_one >= kStreamsByOne && !CountTokens(streams);
}

bool EventSteps::CertainlyCountByOne(const Streams& streams) {
  return streams.by_one >= kStreamsOfCertainStep && !CountTokens(streams);
}

EventSteps::Streams EventSteps::SumOf(
    const StreamGroups<Streams>::Replicas& replicas) {
  Streams sum;
  for (const auto& [key, it] : replicas) {
    sum.largest_step = std::max(sum.largest_step, it.largest_step);
    sum.by_one += it.by_one;
    sum.by_tokens += it.by_tokens;
  }
  return sum;
}

EventStepRule EventSteps::RuleFor(const StreamGroup& group,
                                  uint64_t replica_key,
                                  TimePoint now) {
  const auto* const replicas = groups_.Find(group, now);
  if (replicas == nullptr) {
    return {};
  }
  const auto own = replicas->find(replica_key);
  if (own != replicas->end() && CountTokens(own->second)) {
    return {EventNumbering::kByTokens, own->second.largest_step};
  }
  if (own != replicas->end() && CertainlyCountByOne(own->second)) {
    return {EventNumbering::kByOne, 1};
  }
  const Streams all = SumOf(*replicas);
  if (CountIf(*replicas, CountTokens) > 0 || CountTokens(all)) {
    const bool is_mixed = CountIf(*replicas, CertainlyCountByOne) > 0;
    return {is_mixed ? EventNumbering::kUnknown : EventNumbering::kByTokens, 1};
  }
  const bool is_by_one =
      CertainlyCountByOne(all) ||
      CountIf(*replicas, CountByOne) >= kReplicasOfConvention;
  return {is_by_one ? EventNumbering::kByOne : EventNumbering::kUnknown, 1};
}

bool EventSteps::IsMixed(const StreamGroup& group, TimePoint now) {
  const auto* const replicas = groups_.Find(group, now);
  return replicas != nullptr && CountIf(*replicas, CountTokens) > 0 &&
         CountIf(*replicas, CertainlyCountByOne) > 0;
}

int64_t EventSteps::LargestStepOf(const StreamGroup& group, TimePoint now) {
  const auto* const replicas = groups_.Find(group, now);
  if (replicas == nullptr) {
    return 0;
  }
  const Streams all = SumOf(*replicas);
  return CountTokens(all) ? all.largest_step : CertainlyCountByOne(all) ? 1 : 0;
}

}  // namespace endiveyard
