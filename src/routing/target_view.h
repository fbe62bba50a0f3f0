#ifndef ENDIVEYARD_ROUTING_TARGET_VIEW_H_
#define ENDIVEYARD_ROUTING_TARGET_VIEW_H_

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

// One attempt of this instance that is running on a target.
struct InFlightAttempt {
  uint64_t key = 0;
  TimePoint started;
  int64_t uncached_tokens = 0;
  double queued_tokens = 0;  // estimate when the attempt started
  double decode_wait_seconds = 0;
  bool suspect = false;
  bool prefilled = false;  // its first token has arrived
};

// Targets of one house, service, model, adapter and role in one region. The
// first `open` members may get new work.
struct TargetBucket {
  struct Member {
    uint32_t slot = 0;
    uint32_t membership = 0;  // index in Target::memberships
  };

  std::string region;
  std::vector<Member> members;
  size_t open = 0;
};

// What this instance knows about one target.
struct Target {
  struct Membership {
    TargetBucket* bucket = nullptr;
    uint32_t position = 0;
  };

  TargetInfo info;
  TargetLoad load;
  uint32_t slot = 0;
  uint32_t cache_epoch = 0;
  uint64_t cache_salt = 0;  // separates the prefixes of houses and services
  bool listed = false;
  bool reported = false;  // `load` holds a report
  bool numbered = false;  // older numbers than `load.sequence` are stale
  bool leaving = false;
  bool draining = false;
  bool lost = false;
  TimePoint lost_at;
  TimePoint retry_at;  // a lost target opens again
  bool open = false;   // in the open part of its buckets
  uint8_t stale_reports = 0;
  uint8_t stale_batches = 0;
  uint64_t last_stale_report = 0;
  uint64_t next_cache_event = 0;  // 0: unknown
  int limit = INT32_MAX;
  int suspects = 0;
  // Change of the running sequences since the last report.
  int running_delta = 0;
  // Tokens waiting for prefill at `backlog_at`; drains with the learnt rate.
  double backlog_tokens = 0;
  TimePoint backlog_at;
  double seconds_per_token = 0;
  // Share of time with a prefill queue, from the reports.
  double busy_share = 0;
  TimePoint reported_at;
  std::vector<InFlightAttempt> in_flight;
  std::vector<Membership> memberships;
};

// Returns the salt that Target::cache_salt has for a house and service.
uint64_t CacheSalt(std::string_view house, std::string_view service);

// Targets by id and an index by house, service, model, adapter, role and
// region, in which the targets that may get new work come first. All changes
// are O(adapters), apart from ReplaceList().
class TargetView {
 public:
  using Buckets = std::vector<std::unique_ptr<TargetBucket>>;

  // `seconds_per_token` is the prefill time of a target not yet measured.
  explicit TargetView(double seconds_per_token);

  // Returns the target, also if it is no longer listed but still has attempts
  // in flight, or nullptr.
  Target* Find(std::string_view id);
  const Target* Find(std::string_view id) const;
  Target& At(uint32_t slot) { return targets_[slot]; }
  const Target& At(uint32_t slot) const { return targets_[slot]; }
  size_t slots() const { return targets_.size(); }

  void ReplaceList(const std::vector<TargetInfo>& targets);
  // Applies to a target that is not listed yet as well.
  void MarkLeaving(std::string_view id);
  // Updates the index after a change of `load`.
  void Reindex(Target& target);
  // Moves the target between the open and the closed part of its buckets.
  void UpdateOpen(Target& target);
  // Releases an unlisted target once nothing is in flight on it.
  void ReleaseIfUnused(Target& target);

  // Returns one bucket per region, or nullptr. An empty model or adapter
  // means any. `unreported` selects targets whose model is not known yet.
  const Buckets* FindBuckets(const RouteRequest& request,
                             Role role,
                             bool unreported) const;

 private:
  Target& Create(std::string_view id);
  void JoinBucket(Target& target,
                  std::string_view model,
                  std::string_view adapter);
  void LeaveBuckets(Target& target);
  void SwapMembers(TargetBucket& bucket, size_t a, size_t b);

  double initial_seconds_per_token_;
  std::deque<Target> targets_;
  std::vector<uint32_t> free_slots_;
  std::unordered_map<std::string, uint32_t> slot_by_id_;
  std::unordered_map<uint64_t, Buckets> groups_;
  // Leaving targets that are not listed at present.
  std::vector<std::string> leaving_unlisted_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ROUTING_TARGET_VIEW_H_
