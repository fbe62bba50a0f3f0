#ifndef ENDIVEYARD_ROUTING_TARGET_TABLE_H_
#define ENDIVEYARD_ROUTING_TARGET_TABLE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endiveyard/base/target.h"
#include "endiveyard/base/time_point.h"
#include "endiveyard/routing/target_router.h"

namespace endiveyard {

// An attempt of this instance that is in flight on a target.
struct InFlightAttempt {
  uint64_t key = 0;
  TimePoint started;
  int64_t uncached_tokens = 0;
  double queued_tokens = 0;  // estimated when the attempt started
  double decode_wait_seconds = 0;
  bool suspect = false;
  bool prefilled = false;  // its first token has arrived
};

// Targets of one house, service, model, adapter and role in one region. The
// first `available_count` members accept new requests.
struct TargetPool {
  struct Member {
    uint32_t slot = 0;
    uint32_t membership = 0;  // index in Target::memberships
  };

  std::string region;
  std::vector<Member> members;
  size_t available_count = 0;
};

// State of one target as known to this instance.
struct Target {
  struct Membership {
    TargetPool* pool = nullptr;
    uint32_t position = 0;
  };

  TargetInfo info;
  TargetLoad load;
  uint32_t slot = 0;
  uint32_t cache_epoch = 0;  // see PrefixHolder
  uint64_t cache_salt = 0;   // separates the prefixes of houses and services
  bool listed = false;
  bool has_report = false;    // `load` is from a report
  bool has_sequence = false;  // reports up to `load.sequence` are stale
  bool leaving = false;
  bool draining = false;
  bool lost = false;
  TimePoint lost_at;
  TimePoint retry_at;         // when a lost target becomes available again
  bool available = false;     // among the available members of its pools
  uint8_t stale_reports = 0;  // consecutive, with ascending numbers
  uint8_t stale_event_batches = 0;
  uint64_t last_stale_report = 0;
  uint64_t next_cache_event = 0;  // expected sequence number; 0: unknown
  int concurrency_limit = INT32_MAX;
  int suspects_in_flight = 0;
  // Change of the running sequences since the last report.
  int running_sequences_delta = 0;
  // Tokens waiting for prefill at `queue_estimated_at`; decreases at the
  // estimated prefill rate.
  double estimated_queue_tokens = 0;
  TimePoint queue_estimated_at;
  // Inverse of the estimated prefill rate.
  double prefill_seconds_per_token = 0;
  // Share of time with a prefill queue, averaged over the reports.
  double busy_share = 0;
  TimePoint reported_at;
  std::vector<InFlightAttempt> in_flight;
  std::vector<Membership> memberships;
};

// Returns the value of Target::cache_salt for a house and service.
uint64_t CacheSalt(std::string_view house, std::string_view service);

// All known targets by id, and in pools by house, service, model, adapter, role
// and region. All changes are O(adapters), apart from ApplyTargetList().
class TargetTable {
 public:
  using Pools = std::vector<std::unique_ptr<TargetPool>>;

  // `prefill_seconds_per_token` is assumed for targets without measurements.
  explicit TargetTable(double prefill_seconds_per_token);

  // Returns the target or nullptr. Finds unlisted targets while they have
  // attempts in flight.
  Target* Find(std::string_view id);
  const Target* Find(std::string_view id) const;
  Target& At(uint32_t slot) { return targets_[slot]; }
  const Target& At(uint32_t slot) const { return targets_[slot]; }
  size_t slots() const { return targets_.size(); }

  void ApplyTargetList(const std::vector<TargetInfo>& targets);
  // Also remembers targets that are not listed yet.
  void MarkLeaving(std::string_view id);
  // Updates the pools of the target after a change of its `info` or `load`.
  void UpdatePools(Target& target);
  // Updates Target::available and the position of the target in its pools.
  void UpdateAvailability(Target& target);
  // Removes the target if it is not listed and has no attempts in flight.
  void RemoveIfUnused(Target& target);

  // Returns one pool per region, or nullptr. An empty model or adapter matches
  // every target. `unreported` selects targets without a load report, whose
  // model is unknown.
  const Pools* FindPools(const RouteRequest& request,
                         Role role,
                         bool unreported) const;

 private:
  Target& Create(std::string_view id);
  void AddToPool(Target& target,
                 std::string_view model,
                 std::string_view adapter);
  void RemoveFromPools(Target& target);
  void SwapMembers(TargetPool& pool, size_t a, size_t b);

  double initial_prefill_seconds_per_token_;
  std::deque<Target> targets_;
  std::vector<uint32_t> free_slots_;
  std::unordered_map<std::string, uint32_t> slot_by_id_;
  std::unordered_map<uint64_t, Pools> pools_by_key_;
  // Leaving targets that are not listed.
  std::vector<std::string> leaving_unlisted_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ROUTING_TARGET_TABLE_H_
