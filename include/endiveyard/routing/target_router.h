#ifndef ENDIVEYARD_ROUTING_TARGET_ROUTER_H_
#define ENDIVEYARD_ROUTING_TARGET_ROUTER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/base/target.h"
#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Bytes of prompt text covered by one block hash.
inline constexpr size_t kPromptBlockBytes = 1024;

// Estimated prompt bytes per token; prompts are routed without a tokenizer.
inline constexpr int kBytesPerToken = 4;

// Returns the chained hashes of the full blocks of `prompt`: entry i covers
// blocks 0 to i. O(prompt bytes).
std::vector<uint64_t> PromptBlockHashes(std::string_view prompt);

// The part of a completion that a target is chosen for.
enum class RoutePhase { kPrefillAndDecode, kPrefill, kDecode };

// Input of one routing decision.
struct RouteRequest {
  std::string house;
  std::string service;
  std::string model;    // empty: any model
  std::string adapter;  // empty: no adapter needed
  RoutePhase phase = RoutePhase::kPrefillAndDecode;
  std::vector<uint64_t> prompt_blocks;  // from PromptBlockHashes()
  int64_t prompt_tokens = 0;
  TimePoint deadline;  // TimePoint(): none
  // The request may have crashed its engine before. It does not run on a
  // target together with another suspect.
  bool suspect = false;
  std::vector<std::string> excluded_targets;
};

// One target that was compared, with its estimated delays.
struct RouteCandidate {
  std::string target;
  std::string address;
  int64_t cached_tokens = 0;
  int64_t queued_tokens = 0;
  Duration prefill{0};
  Duration decode_wait{0};
  Duration network{0};
  Duration first_token{0};  // prefill + decode_wait + network
  // Delay that computing the uncached tokens adds to other requests. The
  // candidate with the lowest `first_token` + `delay_to_others` is chosen.
  Duration delay_to_others{0};
};

struct RouteDecision {
  bool found = false;
  RouteCandidate chosen;
  std::vector<RouteCandidate> considered;  // includes `chosen`
  // When not found: number of targets that serve such requests but are at their
  // concurrency limit, draining, leaving, lost, excluded or running another
  // suspect. 0 means that no known target serves the request.
  int matching_targets = 0;
};

struct TargetRouterOptions {
  std::string region;
  std::string failure_domain;
  uint64_t seed = 1;
  // Assumed prefill rate of a target until its rate has been measured.
  double prefill_tokens_per_second = 8000;
  Duration same_region_latency = std::chrono::milliseconds(1);
  Duration cross_region_latency = std::chrono::milliseconds(12);
  size_t max_prefix_entries = 200000;
  // Age of a load report when it arrives. Attempts of this instance that
  // started within this time before the arrival are added to the reported load.
  Duration expected_report_lag = std::chrono::milliseconds(500);
  // Delay of the first token for each sequence that runs on the target.
  Duration decode_wait_per_sequence = std::chrono::microseconds(300);
  // Upper limit of the delay to other requests per second of prefill. The
  // delay grows with the share of time that the targets have a prefill queue.
  double max_delay_to_others_factor = 8;
  // While all local targets are at their concurrency limits, other regions are
  // considered only if less than this time remains until the deadline.
  Duration cross_region_deadline_margin = std::chrono::seconds(2);
};

// Tracks the targets known to one instance and chooses among them by cached
// prefixes and load. Does no I/O, reads no clock and takes no locks.
class TargetRouter {
 public:
  explicit TargetRouter(TargetRouterOptions options);
  ~TargetRouter();
  TargetRouter(const TargetRouter&) = delete;
  TargetRouter& operator=(const TargetRouter&) = delete;

  // Replaces the list of targets from the platform. Targets that are not in it
  // are removed. O(targets).
  void ApplyTargetList(const std::vector<TargetInfo>& targets, TimePoint now);

  // Applies a load report. Reports whose sequence number is not higher than the
  // last one are ignored, until 3 in a row with ascending numbers indicate that
  // the target has restarted its numbering.
  void ApplyLoad(std::string_view target,
                 const TargetLoad& load,
                 TimePoint now);

  // Applies a batch of cache events, numbered from `sequence`; each stored or
  // evicted hash is one event. A gap in the numbers, or a third batch in a row
  // with old numbers, discards all cached prefixes known for the target before
  // this batch.
  void ApplyCacheEvents(std::string_view target,
                        uint64_t sequence,
                        const std::vector<uint64_t>& stored,
                        const std::vector<uint64_t>& evicted);

  // Excludes a target that is shutting down. It stays excluded while the list,
  // which lags, still has it as live, until it has been absent from a list.
  void MarkLeaving(std::string_view target);
  void SetDraining(std::string_view target, bool draining);
  // Sets the maximum number of attempts of this instance in flight on the
  // target. Values below 1 count as 1.
  void SetConcurrencyLimit(std::string_view target, int concurrency_limit);

  // Records the start of an attempt of this instance. The later calls identify
  // the attempt by the prompt, phase and deadline of `request`, which must be
  // the same in all calls.
  void RecordAttemptStart(std::string_view target,
                          const RouteRequest& request,
                          TimePoint now);
  // Records the end of an attempt. `first_token` is the measured time to the
  // first token, or negative if unknown.
  void RecordAttemptEnd(std::string_view target,
                        const RouteRequest& request,
                        Duration first_token,
                        TimePoint now);
  // Records that the first token of an attempt arrived after `first_token`.
  // Optional; updates the estimates earlier than RecordAttemptEnd().
  void RecordFirstToken(std::string_view target,
                        const RouteRequest& request,
                        Duration first_token,
                        TimePoint now);
  // Records that the target had only `cached_tokens` of the prompt in its
  // cache: removes longer prefixes of the prompt for this target.
  // O(prompt blocks).
  void RecordCachedTokens(std::string_view target,
                          const RouteRequest& request,
                          int64_t cached_tokens);
  // Marks the target as lost: discards its cached prefixes and excludes it
  // until `retry_at` or the next load report. Reports that arrive within
  // expected_report_lag after the loss are ignored, because the target may have
  // sent them before it.
  void MarkLost(std::string_view target, TimePoint retry_at);

  // Chooses the target with the lowest estimated first-token time plus delay to
  // other requests, among at most 4 holders of a prefix of the prompt and 4
  // random others. Targets of other regions are compared, up to the same
  // numbers, if no target of the own region is eligible and meets the deadline.
  // The run time does not depend on the number of targets.
  RouteDecision Choose(const RouteRequest& request, TimePoint now);

  // Makes the same choice as Choose() without advancing the random sequence or
  // changing later choices.
  RouteDecision Explain(const RouteRequest& request, TimePoint now) const;

  // Returns the entry of the target in the current list, or nullptr.
  const TargetInfo* Find(std::string_view target) const;
  // Returns the number of attempts of this instance in flight on the target; 0
  // if the target is unknown.
  int InFlight(std::string_view target) const;
  size_t prefix_entries() const;
  // Returns the estimated prefill rate in tokens per second; 0 if the target is
  // unknown.
  double PrefillRate(std::string_view target) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ROUTING_TARGET_ROUTER_H_
