#ifndef ENDIVEYARD_PLACEMENT_CACHE_VIEW_H_
#define ENDIVEYARD_PLACEMENT_CACHE_VIEW_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/prompt_shape.h"
#include "endiveyard/placement/replica_view.h"

namespace endiveyard {

// Prompt parts in the cache of one engine, as instances report them to each
// other.
struct CacheUpdate {
  uint64_t engine_key = 0;
  uint64_t added_tokens = 0;  // total added by calls of the sender
  std::vector<uint64_t> parts;
  // Parts of calls that are still in the queue of the engine.
  std::vector<uint64_t> pending_parts;

  bool operator==(const CacheUpdate& other) const {
    return engine_key == other.engine_key &&
           added_tokens == other.added_tokens && parts == other.parts &&
           pending_parts == other.pending_parts;
  }
};

// Returns the key of one incarnation of an engine: a restart empties the cache,
// so that the key depends on the start time.
uint64_t EngineKey(const Replica& engine);

// Estimates which engine has which prompt parts in its cache, based on the
// calls of this instance and on the updates from other instances. Engines evict
// the least recently used parts without notification, so a part counts as
// evicted once more tokens than fit into a cache were added after its last use.
// Not thread-safe.
class CacheView {
 public:
  // Records that a call that prefills `prompt` was sent to the engine. Its
  // parts count as cached from now on, since later calls queue behind this one,
  // but they cannot be copied yet. Tokens that were not cached count as added
  // to the cache.
  void RecordSent(uint64_t engine_key,
                  const PromptShape& prompt,
                  TimePoint now);
  // Records that the engine has prefilled `prompt`.
  void RecordPrefilled(uint64_t engine_key,
                       const PromptShape& prompt,
                       TimePoint now);
  // Applies an update from the instance `sender`. `in_order` is false for an
  // update that may arrive after later ones of the same sender, as those that
  // are relayed do: it never counts as one of a restarted sender.
  void ApplyPeerUpdate(uint64_t sender,
                       const CacheUpdate& update,
                       TimePoint now,
                       bool in_order = true);

  // Returns the tokens of the leading parts of `prompt` that are cached by the
  // engine, or will be once the calls sent to it have been prefilled.
  double CachedTokens(uint64_t engine_key,
                      const PromptShape& prompt,
                      TimePoint now) const;
  // Returns the tokens of the leading parts that another engine can copy now.
  double CopyableTokens(uint64_t engine_key,
                        const PromptShape& prompt,
                        TimePoint now) const;

  // Returns the updates to send to other instances, with at most `max_parts`
  // shared parts that were not announced recently, and marks these as
  // announced. A part is announced when it is sent to an engine, so that other
  // instances expect it there, and again when it is prefilled.
  std::vector<CacheUpdate> TakeUpdates(size_t max_parts);

  // Sets the tokens of cached parts that fit into the memory of an engine.
  void SetCapacity(uint64_t engine_key, double tokens);

  // Removes all engines that are not in `engine_keys`, which has to be sorted.
  void Retain(const std::vector<uint64_t>& engine_keys);

  // Returns the number of parts of all engines.
  size_t size() const;

 private:
  // Until the capacity of an engine is set: that of an engine without
  // properties in the configuration.
  static constexpr double kDefaultCapacityTokens = 384000;

  struct Part {
    TimePoint last_used{};
    // `total_added_tokens` of the engine at `last_used`.
    double added_at_last_use = 0;
    // `total_added_tokens` of the engine when the part was last announced.
    std::optional<double> added_at_announcement;
    bool prefilled = false;
    bool shared = false;
    bool announced_as_pending = false;
    // For a pending part of another instance: when it counts as lost unless it
    // was announced as prefilled.
    std::optional<TimePoint> pending_until;
  };
  struct Engine {
    double capacity_tokens = 0;
    double total_added_tokens = 0;  // by calls of all instances
    double local_added_tokens = 0;  // by calls of this instance
    // `local_added_tokens` in the last update that was sent.
    double announced_added_tokens = 0;
    // Tokens added by each other instance, from its last update.
    std::unordered_map<uint64_t, uint64_t> added_by_sender;
    std::unordered_map<uint64_t, Part> parts;

    bool Holds(const Part& part, TimePoint now) const;
    // Removes the `n` least recently used parts.
    void RemoveOldest(size_t n);
  };

  // Returns the engine, created on first use.
  Engine& EngineOf(uint64_t engine_key);
  // Adds the unannounced parts of the engine to `update`, as long as
  // `*max_parts` allows. Returns false if some are left.
  static bool AnnounceParts(Engine* engine,
                            size_t* max_parts,
                            CacheUpdate* update);

  template <typename Accept>
  double LeadingTokens(uint64_t engine_key,
                       const PromptShape& prompt,
                       const Accept& accept) const;
  void Record(uint64_t engine_key,
              const PromptShape& prompt,
              bool prefilled,
              TimePoint now);

  std::unordered_map<uint64_t, Engine> engines_;
  // Of all registered engines, while `engines_` has those that were used.
  std::unordered_map<uint64_t, double> capacity_tokens_;
  // Engines to which something was added since the last update.
  std::unordered_set<uint64_t> unannounced_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_CACHE_VIEW_H_
