#ifndef ENDIVEYARD_PLACEMENT_CRASH_SUSPECTS_H_
#define ENDIVEYARD_PLACEMENT_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/prompt_shape.h"

namespace endiveyard {

// Key of something that requests have in common and that may crash a replica.
// 32 bits keep reports short.
using SuspectKey = uint32_t;

// Sorted, without duplicates.
using SuspectKeys = std::vector<SuspectKey>;

// Returns the keys of a request: one for each shared part of its prompt, and
// one for the request as a whole, since the same request may come again.
// `prompt` is null for requests without one.
SuspectKeys SuspectKeysOf(const PromptShape* prompt,
                          std::string_view host,
                          std::string_view path,
                          std::string_view body);

// A call whose connection the replica closed before the answer began, in
// reports to other instances. Ages are relative to the time of the report.
struct LostCall {
  SuspectKeys keys;
  Duration sent_age{};
  // The head of the response had arrived, so that the replica was at work on
  // this request.
  bool answering = false;

  bool operator==(const LostCall& other) const {
    return keys == other.keys && sent_age == other.sent_age &&
           answering == other.answering;
  }
};

// What an instance knows about the end of one replica incarnation.
struct CrashReport {
  uint64_t replica_key = 0;  // see EngineKey()
  Duration age{};
  bool alive = false;  // the replica responded after the losses
  std::vector<LostCall> calls;
  // Keys of requests that began their answer on some replica after the crash.
  SuspectKeys cleared;

  bool operator==(const CrashReport& other) const {
    return replica_key == other.replica_key && age == other.age &&
           alive == other.alive && calls == other.calls &&
           cleared == other.cleared;
  }
};

// Makes what a report says `age` older.
void AddAge(Duration age, CrashReport* report);

// Evidence that was not kept, or not told to others, for lack of space.
struct EvidenceLeftOut {
  size_t calls = 0;          // lost calls that were not kept
  size_t keys_of_calls = 0;  // their keys
  size_t calls_untold = 0;   // lost calls left out of a report

  bool operator==(const EvidenceLeftOut& other) const {
    return calls == other.calls && keys_of_calls == other.keys_of_calls &&
           calls_untold == other.calls_untold;
  }
};

// How a request relates to the crashes of the last minutes.
enum class CrashVerdict {
  kNone,
  kSuspect,  // may have crashed two replicas
  kCulprit,  // what it consists of has crashed three or more replicas
};

// Limits on what is kept and on what a report may contain.
inline constexpr size_t kMaxCrashes = 256;
inline constexpr size_t kMaxLostCallsPerCrash = 64;
// Limit on the keys of all lost calls together, which bounds their memory. A
// prompt has as many keys as its head has room for: some 1,300 in 16 KB.
inline constexpr size_t kMaxHeldKeys = 131072;
// A lost call with more keys is told to others without those that answers had:
// they are not what crashes replicas.
inline constexpr size_t kFewKeys = 64;
// Calls that only waited take no more than this part of the limit.
inline constexpr size_t kMaxHeldKeysOfWaitingCalls = kMaxHeldKeys / 2;
// Limits the keys of calls and the cleared keys each, so that a report fits
// into a datagram.
inline constexpr size_t kMaxKeysPerCrashReport = 256;
inline constexpr size_t kMaxClearedKeysPerCrash = 1536;
// Crashes count for this time. A culprit that is sent again after it adds new
// evidence.
inline constexpr Duration kCrashLifetime = std::chrono::minutes(10);
// Longest time for which a loss that is being checked does not count. Requests
// that crash replicas may be sent again for some seconds at most.
inline constexpr Duration kMaxDoubt = std::chrono::milliseconds(500);
// Crashes that need to be explained by one culprit.
inline constexpr int kCulpritCrashes = 3;
inline constexpr int kSuspectCrashes = 2;

// Finds out what requests that crash replicas have in common. The evidence is
// the calls that a replica lost before their answer began when it closed its
// connections. A key counts against a crash until a request with it begins its
// answer on any replica; a crash counts until the replica responds again. A key
// that is left in three crashes is a culprit, unless another key explains the
// crashes better; where several keys cannot be told apart, only requests with
// all of them are held responsible.
//
// The evidence of all instances is merged: each fact is only ever added, so
// that the order and the repetition of reports do not matter. Not thread-safe.
class CrashSuspects {
 public:
  // Records that the replica closed the connection of a call, sent at
  // `sent_at`, before the answer began.
  void RecordLostCall(uint64_t replica_key,
                      const SuspectKeys& keys,
                      TimePoint sent_at,
                      bool answering,
                      TimePoint now);
  // Records that a check of the replica begins after a loss, which counts as a
  // crash only after RecordCheck(), or after kMaxDoubt.
  void RecordDoubt(uint64_t replica_key, TimePoint now);
  // Records what a check that began at `begun_at`, after a loss, has shown:
  // whether the replica lives. A replica that lives has cut off its answers.
  void RecordCheck(uint64_t replica_key,
                   bool is_alive,
                   TimePoint begun_at,
                   TimePoint now);
  // Records that a request began its answer at `begun_at`, and that its replica
  // went on with it. Needed if there is evidence, or if the request has more
  // than kFewKeys.
  void RecordAnswer(const SuspectKeys& keys, TimePoint begun_at, TimePoint now);
  // Records a response of the replica to any call, sent at `sent_at`.
  void RecordSignOfLife(uint64_t replica_key, TimePoint sent_at, TimePoint now);

  CrashVerdict Judge(const SuspectKeys& keys, TimePoint now);
  // Returns true if no evidence is held, so that Judge() need not be called.
  bool empty() const { return crashes_.empty(); }

  // Applies the report of another instance. `relay` makes what is new part of
  // the own reports. What is beyond the limits on a report is left out, as its
  // sender is faulty.
  void ApplyReport(const CrashReport& report, TimePoint now, bool relay);
  // Returns what was learned recently, each fact several times, since reports
  // may be lost; at most about `max_keys` keys.
  std::vector<CrashReport> TakeNews(size_t max_keys, TimePoint now);
  // Returns what an instance that knows nothing needs, latest crashes first,
  // with at most about `max_keys` keys.
  std::vector<CrashReport> Digest(size_t max_keys, TimePoint now);
  // Returns what was left out since the last call; resets it.
  EvidenceLeftOut TakeLeftOut() { return std::exchange(left_out_, {}); }

 private:
  struct Call {
    SuspectKeys keys;
    TimePoint sent_at{};
    bool answering = false;
  };
  struct Crash {
    TimePoint at{};  // earliest loss of a call
    bool alive = false;
    // Does not count before: the replica may have cut off its answers and live.
    TimePoint in_doubt_until{};
    // Those that the replica was answering come first.
    std::vector<Call> calls;
    SuspectKeys cleared;
    int reports_left = 0;
    // First of the cleared keys in the next report, which take turns.
    size_t next_cleared = 0;
    bool explained = false;      // by one of `explanations_`
    bool culprit_known = false;  // by one with kCulpritCrashes or more

    // False for calls that only waited while others were being answered.
    bool IsLikely(const Call& call) const {
      return call.answering || !calls.front().answering;
    }
  };
  // The keys that cannot be told apart from one that is left in `crashes`
  // separate crashes, including that key.
  struct Explanation {
    SuspectKeys signature;
    int crashes = 0;
  };
  // For each key, the crashes that it is left in, in order of time.
  using CrashesByKey = std::unordered_map<SuspectKey, std::vector<Crash*>>;

  Crash* CrashOf(uint64_t replica_key, TimePoint at);
  // Returns false if the crash has the call, or one that says as much, already,
  // or if it is not kept.
  bool AddCall(Crash* crash, Call call);
  // Makes room for `call`, at the expense of calls that only waited and then of
  // the oldest crashes that explain nothing, but for `crash`. Returns false if
  // there is none.
  bool MakeRoomFor(const Call& call, const Crash* crash);
  // O(calls).
  size_t HeldKeys() const;
  void MarkChanged(Crash* crash);
  void RemoveExpired(TimePoint now);
  // Derives `crashes_by_key_` and `explanations_` from the evidence.
  void Update(TimePoint now);
  void Explain();
  // Returns one key of each set of keys that the same calls have, and that so
  // cannot be told apart, if it is left in two crashes or more.
  std::vector<SuspectKey> Candidates() const;
  // Separate crashes that the key may have caused, and crashes where a likely
  // call has it.
  using Rank = std::pair<int, int>;
  static Rank RankOf(SuspectKey key, const std::vector<Crash*>& crashes);
  // Returns true if a call with these keys is part of an explanation.
  bool IsExplanation(const SuspectKeys& keys) const;
  // Returns true if the report lacks what clears its replica or its calls.
  static bool IsOutdated(const Crash& crash, const CrashReport& report);
  CrashReport ReportOf(uint64_t replica_key, Crash* crash, TimePoint now);
  // Leaves out keys that an answer had, unless there are few keys.
  SuspectKeys ToldKeys(const SuspectKeys& keys, TimePoint now) const;
  // Leaves out the calls that are less likely and have no key in another crash.
  void RemoveLoneWaitingCalls(const Crash& crash, CrashReport* report) const;

  std::map<uint64_t, Crash> crashes_;
  CrashesByKey crashes_by_key_;
  std::vector<Explanation> explanations_;
  // When a request with a key last began its answer, for requests with many.
  // Keys share places by their last bits, and the latest one counts.
  struct AnsweredKey {
    SuspectKey key = 0;
    TimePoint at{};
  };
  std::vector<AnsweredKey> answered_;
  // At least HeldKeys(): counts what was added since that was last called.
  size_t max_held_keys_ = 0;
  EvidenceLeftOut left_out_;
  bool changed_ = false;
  TimePoint next_expiry_{};
  TimePoint next_doubt_end_ = TimePoint::max();
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_CRASH_SUSPECTS_H_
