#include "endiveyard/placement/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// Bytes that were on their way when a replica ended do not prove that it is
// alive. Delays between regions and a busy event loop stay well below this.
constexpr Duration kSignOfLifeDelay = std::chrono::milliseconds(500);
// A replica that answers a new call after this time may be another process with
// the same id, whose registration is not known yet.
constexpr Duration kMinRestartTime = std::chrono::seconds(2);
// Replicas that end within this time of each other, with calls that were all
// sent before, have one cause outside of the requests, such as a failure
// domain that lost power.
constexpr Duration kSimultaneousLosses = std::chrono::milliseconds(100);
// Reports that contain a fact after it was learned.
constexpr int kReportsPerFact = 3;
// All that is known about a crash is reported for this time, and then only what
// explains it.
constexpr Duration kRecentCrash = std::chrono::seconds(30);
// Crashes are not learned from others shortly before they expire, so that
// instances do not return them to each other.
constexpr Duration kExpiryMargin = std::chrono::seconds(10);

// Places for keys that answers had: a quarter of a megabyte.
constexpr size_t kAnsweredKeys = 16384;

SuspectKey ToKey(uint64_t digest) {
  return static_cast<SuspectKey>(digest & 0xffffffffu);
}

void SortKeys(SuspectKeys* keys) {
  std::sort(keys->begin(), keys->end());
  keys->erase(std::unique(keys->begin(), keys->end()), keys->end());
}

// Returns the number of keys in the report, counting at least one.
size_t KeysOf(const CrashReport& report) {
  size_t keys = 1 + report.cleared.size();
  for (const LostCall& it : report.calls) {
    keys += it.keys.size();
  }
  return keys;
}

bool Contains(const SuspectKeys& keys, SuspectKey key) {
  return std::binary_search(keys.begin(), keys.end(), key);
}

// Returns false if `keys` has the key already.
bool Insert(SuspectKeys* keys, SuspectKey key) {
  const auto it = std::lower_bound(keys->begin(), keys->end(), key);
  if (it != keys->end() && *it == key) {
    return false;
  }
  keys->insert(it, key);
  return true;
}

void RemoveKeys(const SuspectKeys& removed, SuspectKeys* keys) {
  if (!removed.empty()) {
    keys->erase(
        std::remove_if(keys->begin(), keys->end(),
                       [&](SuspectKey it) { return Contains(removed, it); }),
        keys->end());
  }
}

// Returns how many of `crashes`, in order of time, were not simultaneous with
// the one before, unless `key` was sent again in between.
template <typename Crash>
int CountSeparate(SuspectKey key, const std::vector<Crash*>& crashes) {
  int count = 0;
  TimePoint previous{};
  for (const Crash* crash : crashes) {
    const bool sent_again = std::any_of(
        crash->calls.begin(), crash->calls.end(), [&](const auto& it) {
          return it.sent_at > previous && Contains(it.keys, key);
        });
    if (count == 0 || crash->at - previous >= kSimultaneousLosses ||
        sent_again) {
      ++count;
      previous = crash->at;
    }
  }
  return count;
}

// Returns the keys that, in each of `crashes`, some call shares with `key`.
template <typename Crash>
SuspectKeys SignatureOf(SuspectKey key, const std::vector<Crash*>& crashes) {
  SuspectKeys signature;
  for (size_t n = 0; n < crashes.size(); ++n) {
    SuspectKeys companions;
    for (const auto& it : crashes[n]->calls) {
      if (Contains(it.keys, key)) {
        companions.insert(companions.end(), it.keys.begin(), it.keys.end());
      }
    }
    SortKeys(&companions);
    if (n == 0) {
      signature = std::move(companions);
      continue;
    }
    SuspectKeys common;
    std::set_intersection(signature.begin(), signature.end(),
                          companions.begin(), companions.end(),
                          std::back_inserter(common));
    signature = std::move(common);
  }
  return signature;
}

}  // namespace

void AddAge(Duration age, CrashReport* report) {
  report->age += age;
  for (LostCall& it : report->calls) {
    it.sent_age += age;
  }
}

SuspectKeys SuspectKeysOf(const PromptShape* prompt,
                          std::string_view host,
                          std::string_view path,
                          std::string_view body) {
  constexpr uint64_t kPartSeed = 1;
  constexpr uint64_t kRequestSeed = 2;
  SuspectKeys keys;
  keys.push_back(ToKey(CombineDigests(
      CombineDigests(Digest64(host, kRequestSeed), Digest64(path)),
      Digest64(body))));
  // The last part belongs to this request or its session only.
  const std::vector<uint64_t> shared =
      prompt == nullptr ? std::vector<uint64_t>() : SharedPartIds(*prompt);
  keys.reserve(1 + shared.size());
  for (const uint64_t id : shared) {
    keys.push_back(ToKey(Digest64(
        std::string_view(reinterpret_cast<const char*>(&id), sizeof id),
        kPartSeed)));
  }
  SortKeys(&keys);
  return keys;
}

CrashSuspects::Crash* CrashSuspects::CrashOf(uint64_t replica_key,
                                             TimePoint at) {
  const auto it = crashes_.find(replica_key);
  if (it != crashes_.end()) {
    Crash& crash = it->second;
    if (crash.alive && at > crash.at + kSignOfLifeDelay) {
      // The replica had survived the losses before.
      crash = Crash();
      crash.at = at;
    }
    return &crash;
  }
  if (crashes_.size() >= kMaxCrashes) {
    // The oldest one that explains nothing. When many replicas end at once,
    // the evidence against requests stays.
    const auto rank = [](const auto& entry) {
      return std::pair(entry.second.explained, entry.second.at);
    };
    crashes_.erase(std::min_element(
        crashes_.begin(), crashes_.end(),
        [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
    changed_ = true;
  }
  Crash& crash = crashes_[replica_key];
  crash.at = at;
  return &crash;
}

bool CrashSuspects::AddCall(Crash* crash, Call call) {
  const auto includes = [](const Call& a, const Call& b) {
    return (a.answering || !b.answering) &&
           std::includes(a.keys.begin(), a.keys.end(), b.keys.begin(),
                         b.keys.end());
  };
  // Reports leave out keys that are cleared. The key of the request itself
  // tells calls with the same parts apart.
  RemoveKeys(crash->cleared, &call.keys);
  std::vector<Call>& calls = crash->calls;
  for (auto it = calls.begin(); it != calls.end(); ++it) {
    if (includes(*it, call)) {
      return false;
    }
    if (includes(call, *it)) {
      calls.erase(it);
      break;
    }
  }
  if ((calls.size() >= kMaxLostCallsPerCrash &&
       (!call.answering || calls.back().answering)) ||
      !MakeRoomFor(call, crash)) {
    ++left_out_.calls;
    left_out_.keys_of_calls += call.keys.size();
    return false;
  }
  if (calls.size() >= kMaxLostCallsPerCrash) {
    ++left_out_.calls;
    left_out_.keys_of_calls += calls.back().keys.size();
    calls.pop_back();
  }
  calls.insert(call.answering ? calls.begin() : calls.end(), std::move(call));
  return true;
}

size_t CrashSuspects::HeldKeys() const {
  size_t keys = 0;
  for (const auto& [replica_key, crash] : crashes_) {
    keys += crash.cleared.size();
    for (const Call& it : crash.calls) {
      keys += it.keys.size();
    }
  }
  return keys;
}

bool CrashSuspects::MakeRoomFor(const Call& call, const Crash* crash) {
  const size_t limit =
      call.answering ? kMaxHeldKeys : kMaxHeldKeysOfWaitingCalls;
  max_held_keys_ += call.keys.size();
  if (max_held_keys_ <= limit) {
    return true;
  }
  size_t held = HeldKeys();
  max_held_keys_ = held + call.keys.size();
  if (max_held_keys_ <= limit) {
    return true;
  }
  if (!call.answering || call.keys.size() > limit) {
    return false;
  }
  const auto drop = [&](Call* it) {
    held -= it->keys.size();
    ++left_out_.calls;
    left_out_.keys_of_calls += it->keys.size();
    it->keys.clear();
  };
  std::vector<Crash*> by_age;
  for (auto& [replica_key, other] : crashes_) {
    for (Call& it : other.calls) {
      if (!it.answering && !it.keys.empty()) {
        drop(&it);
      }
    }
    if (!other.explained && &other != crash) {
      by_age.push_back(&other);
    }
  }
  std::sort(by_age.begin(), by_age.end(),
            [](const Crash* a, const Crash* b) { return a->at < b->at; });
  for (Crash* it : by_age) {
    if (held + call.keys.size() <= limit) {
      break;
    }
    std::for_each(it->calls.begin(), it->calls.end(),
                  [&](Call& lost) { drop(&lost); });
    held -= it->cleared.size();
    it->cleared.clear();
  }
  changed_ = true;
  return held + call.keys.size() <= limit;
}

void CrashSuspects::MarkChanged(Crash* crash) {
  crash->reports_left = kReportsPerFact;
  changed_ = true;
}

void CrashSuspects::RecordLostCall(uint64_t replica_key,
                                   const SuspectKeys& keys,
                                   TimePoint sent_at,
                                   bool answering,
                                   TimePoint now) {
  Crash* crash = CrashOf(replica_key, now);
  if (AddCall(crash, {keys, sent_at, answering})) {
    MarkChanged(crash);
  }
}

void CrashSuspects::RecordDoubt(uint64_t replica_key, TimePoint now) {
  const auto it = crashes_.find(replica_key);
  if (it != crashes_.end() && !it->second.alive) {
    it->second.in_doubt_until = now + kMaxDoubt;
    changed_ = true;
  }
}

void CrashSuspects::RecordCheck(uint64_t replica_key,
                                bool is_alive,
                                TimePoint begun_at,
                                TimePoint now) {
  const auto it = crashes_.find(replica_key);
  if (it == crashes_.end() || it->second.alive || begun_at < it->second.at) {
    return;
  }
  Crash& crash = it->second;
  crash.in_doubt_until = {};
  // A later answer may come from another process with the same id.
  crash.alive = is_alive && now < crash.at + kMinRestartTime;
  MarkChanged(&crash);
}

void CrashSuspects::RecordAnswer(const SuspectKeys& keys,
                                 TimePoint begun_at,
                                 TimePoint now) {
  if (keys.size() > kFewKeys) {
    answered_.resize(kAnsweredKeys);
    for (const SuspectKey it : keys) {
      answered_[it % kAnsweredKeys] = {it, now};
    }
  }
  if (crashes_.empty()) {
    return;
  }
  Update(now);
  for (const SuspectKey key : keys) {
    const auto it = crashes_by_key_.find(key);
    if (it == crashes_by_key_.end()) {
      continue;
    }
    for (Crash* crash : it->second) {
      if (crash->at < begun_at && Insert(&crash->cleared, key)) {
        ++max_held_keys_;
        MarkChanged(crash);
      }
    }
  }
}

void CrashSuspects::RecordSignOfLife(uint64_t replica_key,
                                     TimePoint sent_at,
                                     TimePoint now) {
  const auto it = crashes_.find(replica_key);
  if (it == crashes_.end() || it->second.alive) {
    return;
  }
  Crash& crash = it->second;
  const bool restarted =
      sent_at > crash.at && now >= crash.at + kMinRestartTime;
  if (now > crash.at + kSignOfLifeDelay && !restarted) {
    crash.alive = true;
    MarkChanged(&crash);
  }
}

CrashVerdict CrashSuspects::Judge(const SuspectKeys& keys, TimePoint now) {
  Update(now);
  CrashVerdict verdict = CrashVerdict::kNone;
  for (const Explanation& it : explanations_) {
    if (!std::includes(keys.begin(), keys.end(), it.signature.begin(),
                       it.signature.end())) {
      continue;
    }
    if (it.crashes >= kCulpritCrashes) {
      return CrashVerdict::kCulprit;
    }
    verdict = CrashVerdict::kSuspect;
  }
  return verdict;
}

void CrashSuspects::RemoveExpired(TimePoint now) {
  next_expiry_ = now + kCrashLifetime;
  for (auto it = crashes_.begin(); it != crashes_.end();) {
    const TimePoint expiry = it->second.at + kCrashLifetime;
    if (expiry <= now) {
      it = crashes_.erase(it);
      changed_ = true;
      continue;
    }
    next_expiry_ = std::min(next_expiry_, expiry);
    ++it;
  }
}

void CrashSuspects::Update(TimePoint now) {
  if (now >= next_expiry_) {
    RemoveExpired(now);
  }
  if (!changed_ && now < next_doubt_end_) {
    return;
  }
  changed_ = false;
  next_doubt_end_ = TimePoint::max();
  std::vector<Crash*> by_time;
  for (auto& [replica_key, crash] : crashes_) {
    crash.explained = false;
    crash.culprit_known = false;
    if (now < crash.in_doubt_until) {
      next_doubt_end_ = std::min(next_doubt_end_, crash.in_doubt_until);
    } else if (!crash.alive) {
      by_time.push_back(&crash);
    }
  }
  std::sort(by_time.begin(), by_time.end(),
            [](const Crash* a, const Crash* b) { return a->at < b->at; });
  crashes_by_key_.clear();
  for (Crash* crash : by_time) {
    for (Call& it : crash->calls) {
      RemoveKeys(crash->cleared, &it.keys);
      for (const SuspectKey key : it.keys) {
        std::vector<Crash*>& crashes = crashes_by_key_[key];
        if (crashes.empty() || crashes.back() != crash) {
          crashes.push_back(crash);
        }
      }
    }
  }
  Explain();
}

std::vector<SuspectKey> CrashSuspects::Candidates() const {
  std::unordered_map<SuspectKey, uint64_t> calls_of_key;  // digests
  uint64_t number = 0;
  for (const auto& [replica_key, crash] : crashes_) {
    for (const Call& call : crash.calls) {
      ++number;
      for (const SuspectKey key : call.keys) {
        const auto it = crashes_by_key_.find(key);
        if (it != crashes_by_key_.end() &&
            it->second.size() >= static_cast<size_t>(kSuspectCrashes)) {
          uint64_t& digest = calls_of_key[key];
          digest = CombineDigests(digest, number);
        }
      }
    }
  }
  std::unordered_map<uint64_t, SuspectKey> by_calls;
  for (const auto& [key, digest] : calls_of_key) {
    const auto [it, is_new] = by_calls.emplace(digest, key);
    it->second = std::min(it->second, key);
  }
  std::vector<SuspectKey> candidates;
  candidates.reserve(by_calls.size());
  for (const auto& [digest, key] : by_calls) {
    candidates.push_back(key);
  }
  return candidates;
}

CrashSuspects::Rank CrashSuspects::RankOf(SuspectKey key,
                                          const std::vector<Crash*>& crashes) {
  const auto likely =
      std::count_if(crashes.begin(), crashes.end(), [key](const Crash* crash) {
        return std::any_of(
            crash->calls.begin(), crash->calls.end(), [&](const Call& it) {
              return crash->IsLikely(it) && Contains(it.keys, key);
            });
      });
  return {CountSeparate(key, crashes), static_cast<int>(likely)};
}

void CrashSuspects::Explain() {
  explanations_.clear();
  std::map<SuspectKey, std::vector<Crash*>> unexplained;
  for (const SuspectKey it : Candidates()) {
    unexplained.emplace(it, crashes_by_key_.at(it));
  }
  // The keys that explain the most crashes come first. Crashes that they
  // explain do not count against other keys.
  while (!unexplained.empty()) {
    std::map<SuspectKey, Rank> ranks;
    Rank highest;
    for (const auto& [key, crashes] : unexplained) {
      ranks[key] = RankOf(key, crashes);
      highest = std::max(highest, ranks[key]);
    }
    if (highest.first < kSuspectCrashes) {
      return;
    }
    std::set<Crash*> explained;
    for (const auto& [key, rank] : ranks) {
      if (rank < highest) {
        continue;
      }
      const std::vector<Crash*>& crashes = unexplained[key];
      Explanation explanation{SignatureOf(key, crashes), highest.first};
      const bool known = std::any_of(
          explanations_.begin(), explanations_.end(), [&](const auto& it) {
            return it.signature == explanation.signature;
          });
      if (!known) {
        explanations_.push_back(std::move(explanation));
      }
      explained.insert(crashes.begin(), crashes.end());
    }
    for (Crash* it : explained) {
      it->explained = true;
      it->culprit_known = highest.first >= kCulpritCrashes;
    }
    for (auto it = unexplained.begin(); it != unexplained.end();) {
      std::vector<Crash*>& crashes = it->second;
      crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                                   [&](Crash* crash) {
                                     return explained.count(crash) > 0;
                                   }),
                    crashes.end());
      it = crashes.empty() ? unexplained.erase(it) : std::next(it);
    }
  }
}

void CrashSuspects::ApplyReport(const CrashReport& report,
                                TimePoint now,
                                bool relay) {
  if (report.age < Duration(0) ||
      report.age >= kCrashLifetime - kExpiryMargin) {
    return;
  }
  const TimePoint at = now - report.age;
  const auto known = crashes_.find(report.replica_key);
  if (known != crashes_.end() && at + kSignOfLifeDelay < known->second.at) {
    return;  // about losses that the replica has survived
  }
  const bool added = known == crashes_.end();
  Crash* crash = CrashOf(report.replica_key, at);
  bool changed = added;
  size_t keys = 0;
  for (const LostCall& it : report.calls) {
    if (it.keys.size() > kMaxKeysPerCrashReport - keys) {
      ++left_out_.calls;
      left_out_.keys_of_calls += it.keys.size();
      continue;
    }
    keys += it.keys.size();
    Call call{it.keys, now - it.sent_age, it.answering};
    SortKeys(&call.keys);
    changed |= AddCall(crash, std::move(call));
  }
  const size_t cleared =
      std::min(report.cleared.size(), kMaxKeysPerCrashReport);
  for (size_t n = 0; n < cleared; ++n) {
    if (crash->cleared.size() < kMaxClearedKeysPerCrash) {
      changed |= Insert(&crash->cleared, report.cleared[n]);
      ++max_held_keys_;
    }
  }
  if (report.alive && !crash->alive) {
    crash->alive = true;
    changed = true;
  } else if (IsOutdated(*crash, report)) {
    // The sender has missed the news.
    crash->reports_left = std::max(crash->reports_left, 1);
  }
  // Reports make a crash appear later than it was, by their own delay.
  crash->at = std::min(crash->at, at);
  if (changed) {
    changed_ = true;
    if (relay) {
      MarkChanged(crash);
    }
  }
}

bool CrashSuspects::IsOutdated(const Crash& crash, const CrashReport& report) {
  return (crash.alive && !report.alive) ||
         std::any_of(report.calls.begin(), report.calls.end(),
                     [&](const LostCall& call) {
                       return std::any_of(call.keys.begin(), call.keys.end(),
                                          [&](SuspectKey key) {
                                            return Contains(crash.cleared, key);
                                          });
                     });
}

SuspectKeys CrashSuspects::ToldKeys(const SuspectKeys& keys,
                                    TimePoint now) const {
  SuspectKeys told = keys;
  if (keys.size() > kFewKeys && !answered_.empty()) {
    told.erase(std::remove_if(
                   told.begin(), told.end(),
                   [&](SuspectKey it) {
                     const AnsweredKey& slot = answered_[it % kAnsweredKeys];
                     return slot.key == it && now - slot.at < kCrashLifetime;
                   }),
               told.end());
  }
  return told;
}

CrashReport CrashSuspects::ReportOf(uint64_t replica_key,
                                    Crash* crash,
                                    TimePoint now) {
  CrashReport report;
  report.replica_key = replica_key;
  report.age = std::chrono::duration_cast<Duration>(now - crash->at);
  report.alive = crash->alive;
  if (crash->alive) {
    return report;
  }
  size_t keys = 0;
  for (const Call& it : crash->calls) {
    if (crash->culprit_known && !crash->IsLikely(it) &&
        !IsExplanation(it.keys)) {
      continue;
    }
    SuspectKeys left = it.keys;
    RemoveKeys(crash->cleared, &left);
    LostCall call{ToldKeys(left, now),
                  std::chrono::duration_cast<Duration>(now - it.sent_at),
                  it.answering};
    // A part of its keys would hold requests responsible that lack the others.
    if (keys + call.keys.size() > kMaxKeysPerCrashReport) {
      ++left_out_.calls_untold;
      continue;
    }
    keys += call.keys.size();
    if (!call.keys.empty()) {
      report.calls.push_back(std::move(call));
    }
  }
  const size_t cleared = crash->cleared.size();
  for (size_t n = 0; n < std::min(cleared, kMaxKeysPerCrashReport); ++n) {
    report.cleared.push_back(
        crash->cleared[(crash->next_cleared + n) % cleared]);
  }
  if (cleared > kMaxKeysPerCrashReport) {
    crash->next_cleared =
        (crash->next_cleared + kMaxKeysPerCrashReport) % cleared;
  }
  return report;
}

std::vector<CrashReport> CrashSuspects::TakeNews(size_t max_keys,
                                                 TimePoint now) {
  Update(now);
  std::vector<CrashReport> news;
  size_t keys = 0;
  for (auto& [replica_key, crash] : crashes_) {
    if (crash.reports_left == 0 || keys >= max_keys ||
        now < crash.in_doubt_until) {
      continue;
    }
    --crash.reports_left;
    news.push_back(ReportOf(replica_key, &crash, now));
    keys += KeysOf(news.back());
  }
  return news;
}

std::vector<CrashReport> CrashSuspects::Digest(size_t max_keys, TimePoint now) {
  Update(now);
  std::vector<std::pair<TimePoint, uint64_t>> by_time;
  for (const auto& [replica_key, crash] : crashes_) {
    if (!crash.alive && now >= crash.in_doubt_until &&
        (crash.explained || now - crash.at < kRecentCrash)) {
      by_time.emplace_back(crash.at, replica_key);
    }
  }
  std::sort(by_time.rbegin(), by_time.rend());
  std::vector<CrashReport> digest;
  size_t keys = 0;
  for (const auto& [at, replica_key] : by_time) {
    if (keys >= max_keys) {
      break;
    }
    CrashReport report = ReportOf(replica_key, &crashes_.at(replica_key), now);
    if (report.age >= kRecentCrash) {
      report.cleared.clear();
      report.calls.erase(
          std::remove_if(
              report.calls.begin(), report.calls.end(),
              [this](const LostCall& it) { return !IsExplanation(it.keys); }),
          report.calls.end());
    }
    RemoveLoneWaitingCalls(crashes_.at(replica_key), &report);
    keys += KeysOf(report);
    digest.push_back(std::move(report));
  }
  return digest;
}

void CrashSuspects::RemoveLoneWaitingCalls(const Crash& crash,
                                           CrashReport* report) const {
  if (crash.calls.empty() || !crash.calls.front().answering) {
    return;
  }
  const auto is_lone = [this](SuspectKey key) {
    const auto it = crashes_by_key_.find(key);
    return it == crashes_by_key_.end() || it->second.size() < 2;
  };
  report->calls.erase(std::remove_if(report->calls.begin(), report->calls.end(),
                                     [&](const LostCall& it) {
                                       return !it.answering &&
                                              std::all_of(it.keys.begin(),
                                                          it.keys.end(),
                                                          is_lone);
                                     }),
                      report->calls.end());
}

bool CrashSuspects::IsExplanation(const SuspectKeys& keys) const {
  return std::any_of(explanations_.begin(), explanations_.end(),
                     [&keys](const Explanation& it) {
                       return std::includes(keys.begin(), keys.end(),
                                            it.signature.begin(),
                                            it.signature.end());
                     });
}

}  // namespace endiveyard
