#include "endiveyard/placement/cache_view.h"

#include <algorithm>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// Parts that were not used for this time count as evicted, however few tokens
// were added since.
constexpr Duration kPartLifetime = std::chrono::seconds(60);
// A part in use is announced again after this share of a cache was added, since
// instances may have started and datagrams may have been lost in the meantime.
constexpr double kReannounceShare = 0.25;
// A call of another instance that has not prefilled its prompt after this time
// has probably failed.
constexpr Duration kPendingLifetime = std::chrono::seconds(4);
// Limits the memory for one engine; the least recently used parts are removed
// first.
constexpr size_t kMaxPartsPerEngine = 4096;

// Limits what forged reports can add. The largest fleet has 12,000 replicas.
constexpr size_t kMaxEngines = 20000;
// Limits the senders that forged reports can add. The largest fleet has 370
// instances.
constexpr size_t kMaxSenders = 1000;

}  // namespace

bool CacheView::Engine::Holds(const Part& part, TimePoint now) const {
  if (!part.prefilled && part.pending_until && now >= *part.pending_until) {
    return false;
  }
  return total_added_tokens - part.added_at_last_use < capacity_tokens &&
         now - part.last_used < kPartLifetime;
}

void CacheView::Engine::RemoveOldest(size_t n) {
  std::vector<std::pair<TimePoint, uint64_t>> by_last_use;
  by_last_use.reserve(parts.size());
  for (const auto& [id, part] : parts) {
    by_last_use.emplace_back(part.last_used, id);
  }
  const auto end = by_last_use.begin() + static_cast<std::ptrdiff_t>(n);
  std::nth_element(by_last_use.begin(), end, by_last_use.end());
  for (auto it = by_last_use.begin(); it != end; ++it) {
    parts.erase(it->second);
  }
}

uint64_t EngineKey(const Replica& engine) {
  // 32 bits keep reports short, and rarely coincide among 12,000 engines.
  return Digest64(engine.id, static_cast<uint64_t>(engine.started_unix_ms)) &
         0xffffffffu;
}

CacheView::Engine& CacheView::EngineOf(uint64_t engine_key) {
  const auto [it, added] = engines_.try_emplace(engine_key);
  if (added) {
    const auto capacity = capacity_tokens_.find(engine_key);
    it->second.capacity_tokens = capacity == capacity_tokens_.end()
                                     ? kDefaultCapacityTokens
                                     : capacity->second;
  }
  return it->second;
}

void CacheView::RecordSent(uint64_t engine_key,
                           const PromptShape& prompt,
                           TimePoint now) {
  Engine& engine = EngineOf(engine_key);
  const double added = prompt.prompt_tokens -
                       CachedTokens(engine_key, prompt, now) +
                       prompt.expected_output_tokens;
  engine.total_added_tokens += added;
  engine.local_added_tokens += added;
  Record(engine_key, prompt, false, now);
}

void CacheView::RecordPrefilled(uint64_t engine_key,
                                const PromptShape& prompt,
                                TimePoint now) {
  Record(engine_key, prompt, true, now);
}

void CacheView::Record(uint64_t engine_key,
                       const PromptShape& prompt,
                       bool prefilled,
                       TimePoint now) {
  Engine& engine = EngineOf(engine_key);
  unannounced_.insert(engine_key);
  auto& parts = engine.parts;
  for (size_t n = 0; n < prompt.parts.size(); ++n) {
    Part& part = parts[prompt.parts[n].id];
    if (!engine.Holds(part, now)) {
      part = Part();
    }
    part.last_used = now;
    part.added_at_last_use = engine.total_added_tokens;
    part.prefilled = part.prefilled || prefilled;
    part.shared = n + 1 < prompt.parts.size();
  }
  if (parts.size() > kMaxPartsPerEngine) {
    engine.RemoveOldest(kMaxPartsPerEngine / 4);
  }
}

void CacheView::ApplyPeerUpdate(uint64_t sender,
                                const CacheUpdate& update,
                                TimePoint now,
                                bool in_order) {
  if (engines_.size() >= kMaxEngines &&
      engines_.count(update.engine_key) == 0) {
    return;
  }
  Engine& engine = EngineOf(update.engine_key);
  // Updates carry totals, since some are lost and few are sent to other
  // regions. A total below the previous one comes from a sender that has
  // restarted.
  if (engine.added_by_sender.size() < kMaxSenders ||
      engine.added_by_sender.count(sender) > 0) {
    uint64_t& previous = engine.added_by_sender[sender];
    if (update.added_tokens >= previous) {
      engine.total_added_tokens +=
          static_cast<double>(update.added_tokens - previous);
      previous = update.added_tokens;
    } else if (in_order) {
      engine.total_added_tokens += static_cast<double>(update.added_tokens);
      previous = update.added_tokens;
    }
  }
  auto& parts = engine.parts;
  for (const uint64_t it : update.parts) {
    if (parts.size() >= kMaxPartsPerEngine && parts.count(it) == 0) {
      return;
    }
    Part& part = parts[it];
    part.last_used = now;
    part.added_at_last_use = engine.total_added_tokens;
    part.added_at_announcement = engine.total_added_tokens;
    part.prefilled = true;
    part.shared = true;
  }
  for (const uint64_t it : update.pending_parts) {
    if (parts.size() >= kMaxPartsPerEngine && parts.count(it) == 0) {
      return;
    }
    Part& part = parts[it];
    if (part.last_used != TimePoint() && engine.Holds(part, now)) {
      continue;
    }
    part = Part();
    part.last_used = now;
    part.added_at_last_use = engine.total_added_tokens;
    part.shared = true;
    part.announced_as_pending = true;
    part.pending_until = now + kPendingLifetime;
  }
}

template <typename Accept>
double CacheView::LeadingTokens(uint64_t engine_key,
                                const PromptShape& prompt,
                                const Accept& accept) const {
  const auto engine = engines_.find(engine_key);
  if (engine == engines_.end()) {
    return 0;
  }
  double tokens = 0;
  for (const PromptPart& it : prompt.parts) {
    const auto part = engine->second.parts.find(it.id);
    if (part == engine->second.parts.end() ||
        !accept(engine->second, part->second)) {
      break;
    }
    tokens += it.tokens;
  }
  return std::min(tokens, std::max(0.0, prompt.prompt_tokens - 1));
}

double CacheView::CachedTokens(uint64_t engine_key,
                               const PromptShape& prompt,
                               TimePoint now) const {
  return LeadingTokens(engine_key, prompt,
                       [now](const Engine& engine, const Part& part) {
                         return engine.Holds(part, now);
                       });
}

double CacheView::CopyableTokens(uint64_t engine_key,
                                 const PromptShape& prompt,
                                 TimePoint now) const {
  return LeadingTokens(engine_key, prompt,
                       [now](const Engine& engine, const Part& part) {
                         return part.prefilled && engine.Holds(part, now);
                       });
}

bool CacheView::AnnounceParts(Engine* engine,
                              size_t* max_parts,
                              CacheUpdate* update) {
  for (auto& [id, part] : engine->parts) {
    const bool announced =
        part.added_at_announcement &&
        part.added_at_last_use - *part.added_at_announcement <
            engine->capacity_tokens * kReannounceShare;
    const bool is_new = part.prefilled || !part.announced_as_pending;
    if (!part.shared || announced || !is_new) {
      continue;
    }
    if (*max_parts == 0) {
      return false;
    }
    --*max_parts;
    if (part.prefilled) {
      update->parts.push_back(id);
      part.added_at_announcement = engine->total_added_tokens;
    } else {
      update->pending_parts.push_back(id);
      part.announced_as_pending = true;
    }
  }
  return true;
}

std::vector<CacheUpdate> CacheView::TakeUpdates(size_t max_parts) {
  std::vector<CacheUpdate> updates;
  for (auto it = unannounced_.begin(); it != unannounced_.end();) {
    const auto found = engines_.find(*it);
    if (found == engines_.end()) {
      it = unannounced_.erase(it);
      continue;
    }
    Engine& engine = found->second;
    CacheUpdate update;
    update.engine_key = *it;
    update.added_tokens = static_cast<uint64_t>(engine.local_added_tokens);
    const bool complete = AnnounceParts(&engine, &max_parts, &update);
    if (engine.local_added_tokens > engine.announced_added_tokens ||
        !update.parts.empty() || !update.pending_parts.empty()) {
      engine.announced_added_tokens = engine.local_added_tokens;
      updates.push_back(std::move(update));
    }
    it = complete ? unannounced_.erase(it) : std::next(it);
  }
  return updates;
}

void CacheView::SetCapacity(uint64_t engine_key, double tokens) {
  capacity_tokens_[engine_key] = tokens;
  if (const auto it = engines_.find(engine_key); it != engines_.end()) {
    it->second.capacity_tokens = tokens;
  }
}

void CacheView::Retain(const std::vector<uint64_t>& engine_keys) {
  const auto retain = [&engine_keys](auto* entries) {
    for (auto it = entries->begin(); it != entries->end();) {
      it = std::binary_search(engine_keys.begin(), engine_keys.end(), it->first)
               ? std::next(it)
               : entries->erase(it);
    }
  };
  retain(&engines_);
  retain(&capacity_tokens_);
}

size_t CacheView::size() const {
  size_t n = 0;
  for (const auto& [engine_key, engine] : engines_) {
    n += engine.parts.size();
  }
  return n;
}

}  // namespace endiveyard
