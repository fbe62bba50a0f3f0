#include "endiveyard/placement/stream_versions.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// Streams are remembered for this long. Those that last longer are rare, and
// routes end them.
constexpr Duration kMemory = std::chrono::minutes(2);
// Limits on what is remembered: 16 streams a second for the time above, and as
// many from each of 16 instances.
constexpr size_t kMaxBegunStreams = 4096;
constexpr size_t kMaxToldStreams = 32768;
// Limit on the periods of a service. Beyond it, the oldest are joined.
constexpr size_t kMaxPeriods = 128;
constexpr int kReportCopies = 2;
// Other instances have seen a change of the replicas this much later.
constexpr Duration kViewDelay = std::chrono::seconds(5);
// Views are confirmed until a service has had a single version for this long.
constexpr Duration kConfirmedTime = std::chrono::seconds(20);
// A caller that has not taken up its stream after this time has left.
constexpr Duration kOpenTime = std::chrono::seconds(20);
// A stream may have begun this much earlier by the bounds of an instance that
// does not remember it.
constexpr Duration kBoundsMargin = std::chrono::seconds(8);
constexpr Duration kRemovalInterval = std::chrono::seconds(1);

// Returns the rank of a version for a stream if it had one replica. With n
// replicas, it is divided by n, and the version with the lowest rank is chosen:
// each gets streams in proportion to its replicas, and a change of the numbers
// moves no more streams than it has to.
double RankOfOneReplica(const std::string& version, uint64_t choice) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  // Above 0, so that the logarithm is finite.
  const double uniform =
      (static_cast<double>(Digest64(version, choice)) + 1) / (kRange + 1);
  return -std::log(uniform);
}

double Rank(double rank_of_one, int replicas) {
  return replicas > 0 ? rank_of_one / replicas
                      : std::numeric_limits<double>::infinity();
}

// Returns the versions that may have been chosen with any numbers of replicas
// between the extremes.
std::vector<std::string> ChoicesBetween(const VersionCounts& counts,
                                        uint64_t choice) {
  // No version with a higher rank was chosen.
  double bound = std::numeric_limits<double>::infinity();
  for (const auto& [version, count] : counts) {
    bound =
        std::min(bound, Rank(RankOfOneReplica(version, choice), count.least));
  }
  std::vector<std::string> choices;
  for (const auto& [version, count] : counts) {
    if (count.most > 0 &&
        Rank(RankOfOneReplica(version, choice), count.most) <= bound) {
      choices.push_back(version);
    }
  }
  return choices;
}

// Returns the versions that had a replica.
std::vector<std::string> VersionsIn(const VersionCounts& counts) {
  std::vector<std::string> versions;
  for (const auto& [version, count] : counts) {
    if (count.most > 0) {
      versions.push_back(version);
    }
  }
  return versions;
}

// Extends the extremes by those of another time.
void Join(VersionCounts* counts, const VersionCounts& others) {
  for (auto& [version, count] : *counts) {
    if (others.count(version) == 0) {
      count.least = 0;
    }
  }
  for (const auto& [version, other] : others) {
    const auto [it, added] = counts->insert({version, other});
    if (added) {
      it->second.least = 0;
    } else {
      it->second.least = std::min(it->second.least, other.least);
      it->second.most = std::max(it->second.most, other.most);
    }
  }
}

// Returns true if no number in `counts` lies outside those before and after.
bool AreBetween(const VersionCounts& counts,
                const VersionCounts& before,
                const VersionCounts& after) {
  VersionCounts joined = before;
  Join(&joined, after);
  return std::all_of(counts.begin(), counts.end(), [&joined](const auto& it) {
    const auto found = joined.find(it.first);
    return found == joined.end() ? it.second.most == 0
                                 : it.second.least >= found->second.least &&
                                       it.second.most <= found->second.most;
  });
}

}  // namespace

StreamId MakeStreamId(std::string_view service,
                      std::string_view request_id,
                      const std::optional<PromptShape>& prompt) {
  StreamId id;
  id.attempt = Digest64(request_id, Digest64(service));
  const uint64_t shared = prompt ? SharedPrefixKey(*prompt) : 0;
  id.choice = shared == 0 ? id.attempt : shared;
  return id;
}

std::map<std::string, VersionCounts> CountReplicas(
    const std::vector<const Replica*>& replicas) {
  std::map<std::string, VersionCounts> counts;
  for (const Replica* it : replicas) {
    if (it->stage != Stage::kPrefill) {
      counts[it->service][it->version];
    }
  }
  for (const Replica* it : replicas) {
    VersionCounts& versions = counts[it->service];
    if (const auto found = versions.find(it->version);
        found != versions.end()) {
      found->second.least = ++found->second.most;
    }
  }
  return counts;
}

void StreamVersions::RecordReplicas(const ReplicaView& view, TimePoint now) {
  std::map<std::string, VersionCounts> counts = CountReplicas(view.Usable());
  if (!first_view_at_) {
    first_view_at_ = now;
  }
  for (const auto& [name, periods] : services_) {
    counts.insert({name, {}});
  }
  for (auto& [name, current] : counts) {
    Periods& periods = services_[name];
    if (periods.empty() && *first_view_at_ < now) {
      // The service had no replicas, or was forgotten after kMemory.
      periods.push_back({std::max(*first_view_at_, now - kMemory), {}});
    }
    if (const auto recent = recent_.find(name);
        recent != recent_.end() &&
        !AreBetween(recent->second.extremes, periods.back().counts, current)) {
      periods.push_back({now, std::move(recent->second.extremes)});
    }
    if (periods.empty() || !(periods.back().counts == current)) {
      periods.push_back({now, std::move(current)});
    }
    while (periods.size() > kMaxPeriods) {
      Join(&periods[1].counts, periods[0].counts);
      periods[1].since = periods[0].since;
      periods.pop_front();
    }
    // The period that was in force at the beginning of the memory is kept.
    while (periods.size() > 1 && now - periods[1].since > kMemory) {
      periods.pop_front();
    }
    if (periods.back().counts.empty() && now - periods.back().since > kMemory) {
      services_.erase(name);
    }
  }
  recent_.clear();
  RemoveOld(now);
}

void StreamVersions::RecordChange(const Replica* before, const Replica* after) {
  if (before != nullptr && after != nullptr &&
      before->service == after->service && before->version == after->version) {
    return;
  }
  if (before != nullptr) {
    AddRecent(*before, -1);
  }
  if (after != nullptr) {
    AddRecent(*after, 1);
  }
}

void StreamVersions::AddRecent(const Replica& replica, int change) {
  const auto it = services_.find(replica.service);
  if (it == services_.end() || it->second.empty()) {
    return;  // RecordReplicas() tells of the first ones
  }
  const auto [recent, added] = recent_.insert({replica.service, {}});
  RecentCounts& counts = recent->second;
  if (added) {
    for (const auto& [version, count] : it->second.back().counts) {
      counts.last[version] = count.most;
      counts.extremes[version] = {count.most, count.most};
    }
  }
  int& last = counts.last[replica.version];
  last = std::max(0, last + change);
  VersionCount& extreme = counts.extremes[replica.version];
  extreme.least = std::min(extreme.least, last);
  extreme.most = std::max(extreme.most, last);
}

void StreamVersions::RecordPast(const VersionPeriods& past) {
  if (!first_view_at_) {
    return;
  }
  for (const auto& [name, earlier] : past) {
    Periods& periods = services_[name];
    if (periods.empty()) {
      periods.push_back({*first_view_at_, {}});
    }
    const VersionPeriod first = periods.front();
    std::vector<VersionPeriod> added;
    for (const VersionPeriod& it : earlier) {
      if (it.since < first.since) {
        added.push_back(it);
      } else if (!added.empty()) {
        // Clocks differ: it began before, at an unknown time.
        Join(&added.back().counts, it.counts);
      }
    }
    if (added.empty()) {
      continue;
    }
    Join(&added.back().counts, first.counts);
    periods.insert(periods.begin(), added.begin(), added.end());
  }
}

VersionPeriods StreamVersions::PeriodsSince(TimePoint since) const {
  VersionPeriods known;
  for (const auto& [name, periods] : services_) {
    for (size_t n = 0; n < periods.size(); ++n) {
      const bool has_ended =
          n + 1 < periods.size() && periods[n + 1].since <= since;
      if (!has_ended) {
        known[name].push_back(periods[n]);
      }
    }
  }
  return known;
}

bool StreamVersions::IsVersionOfAttempt(uint64_t attempt,
                                        const std::string& version) const {
  if (const auto it = begun_.find(attempt); it != begun_.end()) {
    return it->second.version == version;
  }
  if (const auto it = withdrawn_.find(attempt); it != withdrawn_.end()) {
    return it->second.version == Digest64(version);
  }
  const auto told = told_.find(attempt);
  return told != told_.end() && !told->second.conflicting &&
         told->second.version == Digest64(version);
}

std::optional<std::string> StreamVersions::Choose(
    const std::string& service,
    const StreamId& stream) const {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.empty()) {
    return std::nullopt;
  }
  std::optional<std::string> chosen;
  double best = std::numeric_limits<double>::infinity();
  for (const auto& [version, count] : it->second.back().counts) {
    if (count.most > 0 && IsVersionOfAttempt(stream.attempt, version)) {
      return version;
    }
    const double rank =
        Rank(RankOfOneReplica(version, stream.choice), count.most);
    if (rank < best) {
      best = rank;
      chosen = version;
    }
  }
  return chosen;
}

bool StreamVersions::MustConfirmView(TimePoint now) const {
  return std::any_of(services_.begin(), services_.end(), [now](const auto& it) {
    const Periods& periods = it.second;
    for (size_t n = 0; n < periods.size(); ++n) {
      const bool has_ended =
          n + 1 < periods.size() && now - periods[n + 1].since > kConfirmedTime;
      if (!has_ended && periods[n].counts.size() > 1) {
        return true;
      }
    }
    return false;
  });
}

std::optional<VersionCounts> StreamVersions::CountsSince(
    const std::string& service,
    TimePoint since) const {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.empty() ||
      since < it->second.front().since || !is_view_current_) {
    return std::nullopt;
  }
  const Periods& periods = it->second;
  std::optional<VersionCounts> joined;
  for (size_t n = 0; n < periods.size(); ++n) {
    const Duration delay =
        periods[n].counts.size() == 1 ? single_version_delay_ : Duration(0);
    const bool has_ended =
        n + 1 < periods.size() && periods[n + 1].since <= since - delay;
    if (has_ended) {
      continue;
    }
    if (joined) {
      Join(&*joined, periods[n].counts);
    } else {
      joined = periods[n].counts;
    }
  }
  return joined;
}

std::vector<std::string> StreamVersions::PossibleVersions(
    const std::string& service,
    uint64_t choice,
    Duration max_age,
    TimePoint now) const {
  const bool by_rank =
      !other_rules_at_ || *other_rules_at_ + kViewDelay < now - max_age;
  if (const auto counts = CountsSince(service, now - max_age)) {
    return by_rank ? ChoicesBetween(*counts, choice) : VersionsIn(*counts);
  }
  std::set<std::string> known;
  if (const auto it = services_.find(service); it != services_.end()) {
    for (const VersionPeriod& period : it->second) {
      for (const auto& [version, count] : period.counts) {
        known.insert(version);
      }
    }
  }
  return {known.begin(), known.end()};
}

std::optional<std::string> StreamVersions::Find(const std::string& service,
                                                const StreamId& stream,
                                                Duration max_age,
                                                TimePoint now) const {
  std::optional<std::string> remembered =
      FindRemembered(service, stream, max_age, now);
  if (remembered || told_.count(stream.attempt) > 0) {
    return remembered;
  }
  // One known version is not the only possible one if the past is not known.
  const std::vector<std::string> possible =
      PossibleVersions(service, stream.choice, max_age, now);
  const bool is_certain =
      possible.size() == 1 && CountsSince(service, now - max_age);
  return is_certain ? std::optional(possible.front()) : std::nullopt;
}

std::optional<std::string> StreamVersions::FindRemembered(
    const std::string& service,
    const StreamId& stream,
    Duration max_age,
    TimePoint now) const {
  if (const auto it = begun_.find(stream.attempt); it != begun_.end()) {
    return it->second.version;
  }
  const auto told = told_.find(stream.attempt);
  if (told == told_.end() || told->second.conflicting ||
      told->second.withdrawn) {
    return std::nullopt;
  }
  // What others tell only selects among the possible versions: reports are not
  // authenticated.
  for (const std::string& it :
       PossibleVersions(service, stream.choice, max_age, now)) {
    if (Digest64(it) == told->second.version) {
      return it;
    }
  }
  return std::nullopt;
}

std::optional<std::string> StreamVersions::FindOnly(const std::string& service,
                                                    Duration max_age,
                                                    TimePoint now) const {
  const auto counts = CountsSince(service, now - max_age);
  if (!counts || counts->size() != 1) {
    return std::nullopt;
  }
  return counts->begin()->first;
}

void StreamVersions::RecordBegun(const std::string& service,
                                 const StreamId& stream,
                                 const std::string& version,
                                 TimePoint now) {
  RemoveOld(now);
  if (const auto it = withdrawn_.find(stream.attempt);
      it != withdrawn_.end() && it->second.version == Digest64(version)) {
    withdrawn_.erase(it);
  }
  const auto it = begun_.find(stream.attempt);
  if (it == begun_.end()) {
    if (begun_.size() < kMaxBegunStreams) {
      begun_.insert({stream.attempt,
                     {service, stream.choice, version, now, kReportCopies}});
    }
  } else if (it->second.version != version) {
    it->second.version = version;
    it->second.reports_left = kReportCopies;
    it->second.conflicting = true;
  }
  if (!is_view_current_ && on_untold_stream_) {
    on_untold_stream_();
  }
}

void StreamVersions::RecordCompleted(const StreamId& stream) {
  if (const auto it = begun_.find(stream.attempt); it != begun_.end()) {
    it->second.is_completed = true;
  }
}

bool StreamVersions::HaveNumbersChanged(const std::string& service,
                                        TimePoint since) const {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.size() < 2 ||
      it->second.back().since <= since) {
    return false;
  }
  const Periods& periods = it->second;
  std::set<std::string_view> versions;
  for (size_t n = 0; n < periods.size(); ++n) {
    const bool has_ended =
        n + 1 < periods.size() && periods[n + 1].since <= since;
    for (const auto& [version, count] : periods[n].counts) {
      if (!has_ended) {
        versions.insert(version);
      }
    }
  }
  return versions.size() > 1;
}

std::vector<StreamReport> StreamVersions::OpenStreams(size_t max,
                                                      TimePoint now) const {
  std::vector<std::pair<TimePoint, StreamReport>> open;
  for (const auto& [stream, begun] : begun_) {
    if (!begun.is_completed && !begun.conflicting &&
        now - begun.at <= kOpenTime &&
        HaveNumbersChanged(begun.service, begun.at - kBoundsMargin)) {
      open.push_back({begun.at, {stream, Digest64(begun.version)}});
    }
  }
  if (open.size() > max) {
    std::nth_element(
        open.begin(), open.begin() + static_cast<std::ptrdiff_t>(max),
        open.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    open.resize(max);
  }
  std::vector<StreamReport> reports;
  reports.reserve(open.size());
  for (const auto& [at, report] : open) {
    reports.push_back(report);
  }
  std::sort(reports.begin(), reports.end(),
            [](const StreamReport& a, const StreamReport& b) {
              return a.stream < b.stream;
            });
  return reports;
}

void StreamVersions::RecordNotBegun(const StreamId& stream) {
  const auto it = begun_.find(stream.attempt);
  if (it == begun_.end()) {
    return;
  }
  const BegunStream begun = it->second;
  begun_.erase(it);
  const bool may_be_told =
      begun.reports_left < kReportCopies ||
      HaveNumbersChanged(begun.service, begun.at - kBoundsMargin);
  if (may_be_told && withdrawn_.size() < kMaxBegunStreams) {
    withdrawn_[stream.attempt] = {Digest64(begun.version), begun.at,
                                  kReportCopies};
  }
}

void StreamVersions::RecordPeerOfOtherRules(TimePoint now) {
  other_rules_at_ = now;
}

void StreamVersions::ApplyReport(const StreamReport& report, TimePoint now) {
  RemoveOld(now);
  if (told_.size() >= kMaxToldStreams) {
    return;
  }
  const auto [it, added] = told_.insert({report.stream, {report.version, now}});
  ToldStream& told = it->second;
  if (added) {
    return;
  }
  if (report.version == kWithdrawnVersion) {
    told.withdrawn = true;
  } else if (told.version != report.version) {
    // The withdrawn version may still be told by a record that is not replaced
    // yet.
    told.conflicting = told.conflicting || !told.withdrawn;
    told.version = report.version;
    told.withdrawn = false;
  }
}

std::vector<StreamReport> StreamVersions::TakeNews(size_t max, TimePoint now) {
  std::vector<StreamReport> news;
  for (auto& [stream, begun] : begun_) {
    if (news.size() >= max) {
      break;
    }
    if (begun.reports_left == 0) {
      continue;
    }
    const std::vector<std::string> possible = PossibleVersions(
        begun.service, begun.choice, now - begun.at + kViewDelay, now);
    if (!is_view_current_ || possible.size() != 1 ||
        possible.front() != begun.version) {
      --begun.reports_left;
      news.push_back({stream, Digest64(begun.version)});
    }
  }
  for (auto& [stream, withdrawn] : withdrawn_) {
    if (news.size() < max && withdrawn.reports_left > 0) {
      --withdrawn.reports_left;
      news.push_back({stream, kWithdrawnVersion});
    }
  }
  return news;
}

void StreamVersions::TellAgain() {
  for (auto& [attempt, begun] : begun_) {
    begun.reports_left = kReportCopies;
  }
}

void StreamVersions::RemoveOld(TimePoint now) {
  if (now < next_removal_) {
    return;
  }
  next_removal_ = now + kRemovalInterval;
  const auto remove_old = [now](auto* streams) {
    for (auto it = streams->begin(); it != streams->end();) {
      it = now - it->second.at > kMemory ? streams->erase(it) : std::next(it);
    }
  };
  remove_old(&begun_);
  remove_old(&told_);
  remove_old(&withdrawn_);
}

}  // namespace endiveyard
