#ifndef ENDIVEYARD_PLACEMENT_REPLICA_VIEW_H_
#define ENDIVEYARD_PLACEMENT_REPLICA_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// The stage of a request that an engine runs. kWhole stands for all stages and
// is used for plain services, too.
enum class Stage { kWhole, kPrefill, kDecode };

// Slots of a replica that did not register any.
inline constexpr int kDefaultSlots = 64;

// A registered target. The id and the start time identify an incarnation: a
// replica may restart with the same id, without its former state.
struct Replica {
  std::string id;
  std::string service;
  std::string ip;
  uint16_t port = 0;
  std::string failure_domain;
  std::string version;  // of its software; compared for equality only
  int slots = 0;
  bool draining = false;
  Stage stage = Stage::kWhole;
  int64_t started_unix_ms = 0;  // 0: not in the registration
  bool spot = false;            // may be reclaimed
  // Time from the registration until it ends, while it drains because it is
  // reclaimed.
  std::optional<Duration> leaves_in;

  bool operator==(const Replica& other) const;
};

// Returns true if `current`, the present registration, accepts the work that
// was placed at `placed`: it is not draining, has the same service, stage and
// version, and has not restarted.
bool AcceptsWork(const Replica& current, const Replica& placed);

// Returns "IP:PORT" of the replica.
std::string AddressOf(const Replica& replica);

// Entries that expired while the registry was unavailable are registered again
// within this time after its recovery; the platform documents "about two
// seconds".
inline constexpr Duration kExpiredEntryGracePeriod = std::chrono::seconds(2);

// Time after which a registry removes the entry of a replica that has ended:
// three heartbeats of 1.2 s, the platform's default, and a margin.
inline constexpr Duration kDefaultEntryLifetime =
    std::chrono::milliseconds(4600);
// Shortest time that a registry is away when entries lapse: the last of three
// heartbeats may have been written just before.
inline constexpr Duration kDefaultShortestLapse =
    std::chrono::milliseconds(2400);

// Limit on the removed replicas that are remembered. Beyond it, the one that
// was removed first is forgotten.
inline constexpr size_t kMaxRemovedReplicas = 16384;

// Replicas that may receive work, as listed by a registry that may be
// temporarily unavailable, or restored from a copy that lists what has ended
// since. A replica that has begun to drain does so until its process ends.
class ReplicaView {
 public:
  // Replaces the view by a complete list. Replicas that are not in the list are
  // removed as by Remove(). In the list of a later `era`, see RegistryClient, a
  // replica that was removed before gets no work until the registry would have
  // removed its entry.
  void Reset(const std::vector<Replica>& replicas,
             TimePoint now,
             int64_t era = 0);
  // Applies a change that was made after the last list.
  void Put(const Replica& replica);
  // Removes the replica, immediately or, if the registry is unavailable or has
  // recovered recently and the replica is not draining, after the grace period.
  void Remove(const std::string& id, TimePoint now);

  // Record that a registry call failed or succeeded. A failure after which the
  // registry is found to have answered all the while but for less than the
  // shortest lapse, such as that of a single watch, is no outage: no entry has
  // lapsed.
  void RecordRegistryFailure();
  void RecordRegistrySuccess(TimePoint now);
  // Records that the registry has answered another instance. Has no effect
  // while own calls fail.
  void RecordRegistryAnswer(TimePoint at);

  // Removes the entries whose grace period has ended. Returns their ids.
  std::vector<std::string> Expire(TimePoint now);

  void set_entry_lifetime(Duration lifetime) { entry_lifetime_ = lifetime; }
  // Sets the time that the registry has to be away for entries to lapse.
  void set_shortest_lapse(Duration time) { shortest_lapse_ = time; }

  // Returns the replica if it is registered, draining or not.
  const Replica* Find(std::string_view id) const;

  // Returns the replicas of `service`, draining or not, in order of id.
  std::vector<const Replica*> Registered(std::string_view service) const;

  // Returns the replicas of `service` that accept new work, in order of id.
  std::vector<const Replica*> Usable(std::string_view service) const;

  // Returns the replicas of all services that accept new work.
  std::vector<const Replica*> Usable() const;

  size_t size() const { return replicas_.size(); }
  size_t removed_size() const { return removed_.size(); }

 private:
  struct Entry {
    Replica replica;
    // Removed from the registry, possibly because it expired during an outage.
    bool removal_pending = false;
    // Removed before the registry was restored from a copy that lists it.
    bool unconfirmed = false;
  };
  // An incarnation that was removed from the view.
  struct Removed {
    int64_t started_unix_ms = 0;
    bool draining = false;
    int64_t era = 0;
    TimePoint at{};
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // Returns the entry for a registration, which may be out of date.
  Entry MakeEntry(const Replica& replica, bool is_change);
  Entries::iterator Erase(Entries::iterator it, TimePoint now);

  Entries replicas_;
  std::map<std::string, Removed, std::less<>> removed_;
  Duration entry_lifetime_ = kDefaultEntryLifetime;
  Duration shortest_lapse_ = kDefaultShortestLapse;
  int64_t era_ = 0;
  std::optional<TimePoint> restored_at_;
  bool registry_unavailable_ = false;
  std::optional<TimePoint> registry_answered_at_;
  std::optional<TimePoint> registry_recovered_at_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_REPLICA_VIEW_H_
