#ifndef ENDIVEYARD_PLACEMENT_STREAM_VERSIONS_H_
#define ENDIVEYARD_PLACEMENT_STREAM_VERSIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/prompt_shape.h"
#include "endiveyard/placement/replica_view.h"

namespace endiveyard {

// The fewest and the most replicas of a software version that a service had at
// the same time.
struct VersionCount {
  int least = 0;
  int most = 0;

  bool operator==(const VersionCount& other) const {
    return least == other.least && most == other.most;
  }
};

// By version. A version that is not listed had no replica.
using VersionCounts = std::map<std::string, VersionCount>;

// The numbers of replicas from `since` until the next period.
struct VersionPeriod {
  TimePoint since{};
  VersionCounts counts;

  bool operator==(const VersionPeriod& other) const {
    return since == other.since && counts == other.counts;
  }
};

// By service, in order of time.
using VersionPeriods = std::map<std::string, std::vector<VersionPeriod>>;

// Returns the numbers of `replicas`, by service. All replicas of a version that
// can run requests count, also those that only prefill prompts for the others:
// they add to what it can take.
std::map<std::string, VersionCounts> CountReplicas(
    const std::vector<const Replica*>& replicas);

// In a report, the version of a stream that did not begin where others were
// told. Builds that do not know it take it for a second one that differs.
inline constexpr uint64_t kWithdrawnVersion = 0;

// A stream and the digest of the version that began it, as told to other
// instances.
struct StreamReport {
  uint64_t stream = 0;
  uint64_t version = 0;

  bool operator==(const StreamReport& other) const {
    return stream == other.stream && version == other.version;
  }
};

// Keys of a stream.
struct StreamId {
  // Of the attempt that has begun it.
  uint64_t attempt = 0;
  // Streams with the same choice are begun at the same version, as far as the
  // replicas do not change.
  uint64_t choice = 0;
};

// Returns the keys of the stream that the attempt `request_id` has begun.
// Streams with the same shared parts of the prompt, which later attempts send
// as well, get the same choice, so that these are cached at one version.
StreamId MakeStreamId(std::string_view service,
                      std::string_view request_id,
                      const std::optional<PromptShape>& prompt);

// Chooses the software version that begins a stream, and finds out which one
// has begun a stream that a caller takes up again at any instance.
//
// The version of a new stream follows from its key and from the numbers of
// replicas of each version, by weighted rendezvous hashing. All instances with
// the same view choose the same version, so that the key is the record: nothing
// has to be told or kept, and the answer survives the loss of all instances.
// Views change, though, and differ for some time. Only a version that the key
// yields for all numbers of replicas that any instance may have seen since the
// stream began is certain. Where several are possible, what this instance or
// another one remembers decides, and without that, nobody knows.
//
// Not thread-safe. Memory is bounded.
class StreamVersions {
 public:
  // Records the replicas that accept new work.
  void RecordReplicas(const ReplicaView& view, TimePoint now);
  // Records one of the changes that led to the view which RecordReplicas() gets
  // next: the numbers of replicas between two changes count as well. Each
  // argument is the replica if it accepted new work, or null.
  void RecordChange(const Replica* before, const Replica* after);
  // False while other instances may see changes of the replicas that this one
  // does not. Then, the numbers of replicas say nothing.
  void set_is_view_current(bool is_current) { is_view_current_ = is_current; }
  bool is_view_current() const { return is_view_current_; }
  // Sets how much later than others an instance that knows of a single version
  // may see a change: it does not confirm its view, see MustConfirmView().
  void set_single_version_delay(Duration delay) {
    single_version_delay_ = delay;
  }
  // Returns true if a service has, or had until recently, several versions. An
  // instance that does not notice that it no longer hears of changes begins
  // streams at versions that others do not compute.
  bool MustConfirmView(TimePoint now) const;
  // Records what is known of the time before the first call of
  // RecordReplicas(). What the last period of a service became until that call
  // is not known, so that it is joined with what this instance saw first.
  void RecordPast(const VersionPeriods& past);
  // Returns what is known of the numbers of replicas, at most since `since`.
  VersionPeriods PeriodsSince(TimePoint since) const;

  // Returns the version for a new stream; nullopt if the service has no
  // replica that runs requests. An attempt with the same id that was to begin
  // earlier keeps its version while that has replicas: instances that were told
  // of it would take up the stream there.
  std::optional<std::string> Choose(const std::string& service,
                                    const StreamId& stream) const;
  // Returns the version that began the stream within `max_age`, or nullopt if
  // that is in doubt. The stream was begun at the version that Choose()
  // returned to some instance.
  std::optional<std::string> Find(const std::string& service,
                                  const StreamId& stream,
                                  Duration max_age,
                                  TimePoint now) const;

  // Returns the version that began the stream if this instance or another one
  // remembers it. Needs no current view of the replicas.
  std::optional<std::string> FindRemembered(const std::string& service,
                                            const StreamId& stream,
                                            Duration max_age,
                                            TimePoint now) const;

  // Returns the version of all replicas within `max_age`, or nullopt if there
  // was more than one, or none.
  std::optional<std::string> FindOnly(const std::string& service,
                                      Duration max_age,
                                      TimePoint now) const;

  // Records that the stream is to begin at a replica of `version`, or at
  // another one than before.
  void RecordBegun(const std::string& service,
                   const StreamId& stream,
                   const std::string& version,
                   TimePoint now);
  // Records that the attempt has ended without any event, so that the stream,
  // if another attempt with the same id has begun it, may be of another
  // version. TakeNews() returns it without a version if others may have been
  // told of it.
  void RecordNotBegun(const StreamId& stream);

  // Records that an instance lives whose build begins streams at any version,
  // and tells of none. Versions of streams that it may have begun cannot be
  // computed.
  void RecordPeerOfOtherRules(TimePoint now);
  // Records that the caller has got all of the stream.
  void RecordCompleted(const StreamId& stream);
  // Returns the streams that callers of this instance may take up and whose
  // version others may not be able to compute, since the numbers of replicas
  // change: the last `max`, in order of their keys.
  std::vector<StreamReport> OpenStreams(size_t max, TimePoint now) const;

  // Records what another instance tells of its streams.
  void ApplyReport(const StreamReport& report, TimePoint now);
  // Returns own streams whose version others cannot be certain of, each some
  // times, since reports may be lost; at most `max` of them.
  std::vector<StreamReport> TakeNews(size_t max, TimePoint now);

  // Sets what to call when a stream begins of which others cannot know, since
  // the view of this instance is not current: they have to be told before the
  // caller can turn to them.
  void set_on_untold_stream(std::function<void()> on_untold_stream) {
    on_untold_stream_ = std::move(on_untold_stream);
  }

  // Makes TakeNews() return streams again that it has returned before: an
  // instance has started, which was not told.
  void TellAgain();

  size_t remembered_services() const { return services_.size(); }
  size_t remembered_streams() const {
    return begun_.size() + told_.size() + withdrawn_.size();
  }

 private:
  // In order of time. Nothing is known before the first one.
  using Periods = std::deque<VersionPeriod>;
  struct BegunStream {
    std::string service;
    uint64_t choice = 0;
    std::string version;
    TimePoint at{};
    int reports_left = 0;
    bool is_completed = false;
    bool conflicting = false;  // attempts with one id, at several versions
  };
  struct ToldStream {
    uint64_t version = 0;
    TimePoint at{};
    bool conflicting = false;  // instances differ
    bool withdrawn = false;    // not begun, unless at another version
  };
  // An attempt that others may have been told of and that has not begun.
  struct WithdrawnStream {
    uint64_t version = 0;
    TimePoint at{};
    int reports_left = 0;
  };

  // True if `version` is the one that is remembered of the attempt.
  bool IsVersionOfAttempt(uint64_t attempt, const std::string& version) const;
  // Returns the extremes of the numbers of replicas since `since`; nullopt if
  // they are not known for the whole time.
  std::optional<VersionCounts> CountsSince(const std::string& service,
                                           TimePoint since) const;
  // Returns the versions that are known of the service and may have begun the
  // stream.
  std::vector<std::string> PossibleVersions(const std::string& service,
                                            uint64_t choice,
                                            Duration max_age,
                                            TimePoint now) const;
  // Returns true if the service had several versions since `since`, and their
  // numbers of replicas have changed.
  bool HaveNumbersChanged(const std::string& service, TimePoint since) const;
  void RemoveOld(TimePoint now);

  // Numbers of replicas of a service since the last call of RecordReplicas().
  struct RecentCounts {
    std::map<std::string, int> last;
    VersionCounts extremes;
  };
  void AddRecent(const Replica& replica, int change);

  std::map<std::string, Periods> services_;
  std::map<std::string, RecentCounts> recent_;
  Duration single_version_delay_ = std::chrono::seconds(5);
  bool is_view_current_ = true;
  std::function<void()> on_untold_stream_;
  std::optional<TimePoint> first_view_at_;
  std::optional<TimePoint> other_rules_at_;  // when such a peer last lived
  std::unordered_map<uint64_t, BegunStream> begun_;
  std::unordered_map<uint64_t, ToldStream> told_;
  std::unordered_map<uint64_t, WithdrawnStream> withdrawn_;
  TimePoint next_removal_{};
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_STREAM_VERSIONS_H_
