#include "endiveyard/registry/registry_mirror.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// Backoff after failed calls. It is short at first, since the connection may
// just have been reset, and at most 800 ms, so that a registry that responds
// again is read well before it counts as stable (4 s).
constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
constexpr int kMaxBackoffDoublings = 4;
// After this many failures in a row, the pages that were read are too old.
constexpr int kMaxPageFailures = 8;

// Pause between pages after a refused one. It doubles with each refusal, and
// decreases by a quarter with each page that is read.
constexpr Duration kInitialPageDelay = std::chrono::milliseconds(8);
constexpr Duration kMaxPageDelay = std::chrono::milliseconds(200);
constexpr Duration kMinPageDelay = std::chrono::milliseconds(1);

// Time between a lost watch and its next response, and of the call itself.
constexpr Duration kWatchMargin = std::chrono::milliseconds(1500);
constexpr Duration kMinWatchTimeout = std::chrono::milliseconds(1000);
// Part of the registry's history that a watch takes. The next one continues
// from the revision at which it ended.
constexpr int kHistoryDivisor = 2;
// Limit of the platform.
constexpr Duration kMaxWatchTimeout = std::chrono::seconds(30);
// Timeout of a watch that only returns what has changed already.
constexpr Duration kRefreshTimeout = std::chrono::milliseconds(1);
// Minimum time between two refreshes, which bounds the calls of an instance.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
// Part of the time within which changes have to be applied.
constexpr int kBatchDelayDivisor = 6;
constexpr int kLongestBatchDelayDivisor = 3;

// Returns half of `duration`, and a part of the other half that depends on
// `hash`.
Duration WithJitter(Duration duration, uint64_t hash) {
  const Duration half = duration / 2;
  return half + Duration(static_cast<int64_t>(
                    hash % static_cast<uint64_t>(half.count() + 1)));
}

}  // namespace

MirrorTiming MakeMirrorTiming(Duration stable_time, Duration max_staleness) {
  MirrorTiming timing;
  timing.watch_timeout = std::clamp(stable_time + max_staleness - kWatchMargin,
                                    kMinWatchTimeout, kMaxWatchTimeout);
  timing.change_batch_delay = max_staleness / kBatchDelayDivisor;
  return timing;
}

MirrorTiming MakeRefreshedMirrorTiming(Duration history,
                                       Duration max_staleness) {
  MirrorTiming timing;
  timing.watch_timeout =
      std::clamp(history / kHistoryDivisor, kMinWatchTimeout, kMaxWatchTimeout);
  timing.change_batch_delay = max_staleness / kBatchDelayDivisor;
  return timing;
}

Duration LongestChangeBatchDelay(Duration max_staleness) {
  return max_staleness / kLongestBatchDelayDivisor;
}

MirrorAction MirrorPolicy::AfterPage() {
  failures_ = 0;
  page_delay_ = page_delay_ * 3 / 4;
  if (page_delay_ < kMinPageDelay) {
    page_delay_ = Duration(0);
  }
  const uint64_t hash = CombineDigests(seed_, ++calls_);
  return {MirrorAction::Kind::kListPage, WithJitter(page_delay_, hash), 0,
          true};
}

MirrorAction MirrorPolicy::AfterSuccess(int64_t revision, bool has_changes) {
  failures_ = 0;
  page_delay_ = Duration(0);
  return {MirrorAction::Kind::kWatch,
          has_changes ? timing_.change_batch_delay : Duration(0), revision,
          false};
}

Duration MirrorPolicy::NextBackoff() {
  const Duration backoff = std::min(
      kMaxBackoff,
      kInitialBackoff * (1 << std::min(failures_, kMaxBackoffDoublings)));
  ++failures_;
  const uint64_t hash = CombineDigests(seed_, static_cast<uint64_t>(failures_));
  return WithJitter(backoff, hash);
}

MirrorAction MirrorPolicy::AfterFailedPage(const absl::Status& status) {
  page_delay_ = std::clamp(2 * page_delay_, kInitialPageDelay, kMaxPageDelay);
  // Malformed pages are read again from the start: the list may have changed.
  const bool continues_list =
      absl::IsUnavailable(status) && failures_ < kMaxPageFailures;
  return {MirrorAction::Kind::kListPage, NextBackoff(), 0, continues_list};
}

MirrorAction MirrorPolicy::AfterFailedWatch(const absl::Status& status) {
  if (absl::IsOutOfRange(status) && failures_ == 0) {
    ++failures_;
    return {MirrorAction::Kind::kListPage, Duration(0), 0, false};
  }
  return {MirrorAction::Kind::kListPage, NextBackoff(), 0, false};
}

MirrorAction MirrorPolicy::AfterRestore() {
  page_delay_ = Duration(0);
  // All instances learn of a restore at the same moment.
  return {MirrorAction::Kind::kListPage, NextBackoff(), 0, false};
}

class RegistryMirror::Impl : public std::enable_shared_from_this<Impl> {
 public:
  using RefreshDone = std::function<void(const absl::Status&)>;

  Impl(RegistryClient* client,
       std::string kind,
       uint64_t seed,
       MirrorTiming timing,
       RegistryEra* registry_era,
       MirrorHandlers handlers)
      : client_(client),
        kind_(std::move(kind)),
        timing_(timing),
        policy_(seed, timing),
        registry_era_(registry_era),
        handlers_(std::move(handlers)) {}

  void set_change_batch_delay(Duration delay) {
    policy_.set_change_batch_delay(delay);
  }

  void Start() {
    const std::weak_ptr<Impl> weak = weak_from_this();
    registry_era_->Subscribe([weak](int64_t era, int64_t /*before*/) {
      if (const auto self = weak.lock()) {
        self->OnRestore(era);
      }
    });
    Perform(policy_.FirstAction());
  }

  MirrorPosition position() const {
    return {era_, revision_.value_or(0), last_change_};
  }

  void Refresh(RefreshDone done) {
    awaiting_refresh_.push_back(std::move(done));
    if (!refresh_pending_) {
      StartRefresh();
    }
  }

 private:
  // Supersedes the action before, whose pending call or delay is abandoned.
  void Perform(const MirrorAction& action) {
    const uint64_t step = ++step_;
    is_watching_ = false;
    if (action.delay > Duration(0)) {
      const std::weak_ptr<Impl> weak = weak_from_this();
      MirrorAction undelayed = action;
      undelayed.delay = Duration(0);
      handlers_.schedule(action.delay, [weak, undelayed, step] {
        const auto self = weak.lock();
        if (self && self->step_ == step) {
          self->Perform(undelayed);
        }
      });
      return;
    }
    if (action.kind == MirrorAction::Kind::kListPage) {
      revision_.reset();
      if (!action.continues_list) {
        list_ = RegistryList();
        era_ = 0;
        last_change_ = 0;
      }
      ListPage();
    } else {
      Watch(action.revision);
    }
  }

  // Returns false if the answer cannot be combined with what was read before,
  // in which case a new list has begun.
  bool AcceptEra(int64_t era) {
    if (era_ == 0) {
      era_ = era;
    }
    const uint64_t step = step_;
    if (!registry_era_->Record(era)) {
      handlers_.on_failure(
          absl::UnavailableError("answer is from before a restore"));
      Perform(policy_.AfterRestore());
    }
    return step == step_;
  }

  void OnRestore(int64_t era) {
    // Nothing was read yet, or the answer that revealed the restore begins this
    // list.
    if (era_ != 0 && era_ != era) {
      Perform(policy_.AfterRestore());
    }
  }

  void ListPage() {
    const std::weak_ptr<Impl> weak = weak_from_this();
    const std::string after =
        list_.items.empty() ? std::string() : list_.items.back().name;
    client_->ListPage(
        kind_, after, [weak, step = step_](absl::StatusOr<RegistryPage> page) {
          const auto self = weak.lock();
          if (!self || self->step_ != step) {
            return;
          }
          if (!page.ok()) {
            self->handlers_.on_failure(page.status());
            self->Perform(self->policy_.AfterFailedPage(page.status()));
            self->FailRefreshes(page.status());
            return;
          }
          self->HandlePage(*std::move(page));
        });
  }

  void HandlePage(RegistryPage page) {
    if (!AcceptEra(page.era)) {
      return;
    }
    // The revision of the first page is kept: a watch from it reports the
    // changes that were made between the pages.
    if (list_.items.empty()) {
      list_.revision = page.revision;
      list_.era = page.era;
    }
    for (RegistryObject& it : page.items) {
      last_change_ = std::max(last_change_, it.revision);
      list_.items.push_back(std::move(it));
    }
    handlers_.on_success();
    if (page.has_more) {
      Perform(policy_.AfterPage());
      return;
    }
    const RegistryList list = std::move(list_);
    list_ = RegistryList();
    handlers_.on_list(list);
    revision_ = list.revision;
    RecordCurrent();
    Perform(policy_.AfterSuccess(list.revision, false));
    if (!refresh_pending_) {
      StartRefresh();
    }
  }

  // While a list is read, its end starts the refresh.
  void StartRefresh() {
    if (awaiting_refresh_.empty() || !revision_) {
      return;
    }
    refresh_pending_ = true;
    std::vector<RefreshDone> served;
    served.swap(awaiting_refresh_);
    const std::weak_ptr<Impl> weak = weak_from_this();
    client_->Watch(kind_, *revision_, kRefreshTimeout,
                   [weak, served = std::move(served), revision = *revision_](
                       const absl::StatusOr<RegistryChanges>& changes) {
                     if (const auto self = weak.lock()) {
                       self->OnRefreshed(served, revision, changes);
                     }
                   });
    const auto next = [weak] {
      if (const auto self = weak.lock()) {
        self->refresh_pending_ = false;
        self->StartRefresh();
      }
    };
    handlers_.schedule(kRefreshInterval, next);
  }

  void OnRefreshed(const std::vector<RefreshDone>& served,
                   int64_t revision,
                   const absl::StatusOr<RegistryChanges>& changes) {
    if (revision_ != revision) {
      // The watch has returned meanwhile, or a list has begun.
      awaiting_refresh_.insert(awaiting_refresh_.begin(), served.begin(),
                               served.end());
      if (!refresh_pending_) {
        StartRefresh();
      }
      return;
    }
    if (!changes.ok()) {
      handlers_.on_failure(changes.status());
      Perform(policy_.AfterFailedWatch(changes.status()));
      EndRefresh(served, changes.status());
      return;
    }
    if (!AcceptEra(changes->era)) {
      EndRefresh(served, absl::UnavailableError("registry was restored"));
      return;
    }
    if (!IsCurrent(*changes)) {
      EndRefresh(served, OldAnswerError());
      return;
    }
    if (is_watching_ && !changes->objects.empty() &&
        handlers_.on_silent_watch) {
      handlers_.on_silent_watch();
    }
    ApplyChanges(*changes);
    // Without changes, the watch in progress goes on.
    if (!changes->objects.empty()) {
      Perform(policy_.AfterSuccess(changes->revision, true));
    }
    EndRefresh(served, absl::OkStatus());
  }

  static void EndRefresh(const std::vector<RefreshDone>& served,
                         const absl::Status& status) {
    for (const RefreshDone& it : served) {
      it(status);
    }
  }

  void FailRefreshes(const absl::Status& status) {
    std::vector<RefreshDone> failed;
    failed.swap(awaiting_refresh_);
    EndRefresh(failed, status);
  }

  void ApplyChanges(const RegistryChanges& changes) {
    handlers_.on_success();
    for (const RegistryObject& it : changes.objects) {
      last_change_ = std::max(last_change_, it.revision);
      handlers_.on_change(it);
    }
    revision_ = changes.revision;
    RecordCurrent();
  }

  void RecordCurrent() {
    if (handlers_.on_current) {
      handlers_.on_current();
    }
  }

  // Within an era, revisions only rise. A watch that has ended may be overtaken
  // by a refresh.
  bool IsOvertaken(const RegistryChanges& changes) const {
    return revision_ && changes.revision < *revision_;
  }

  // Returns false if the answer is older than what is known, in which case a
  // new list has begun.
  bool IsCurrent(const RegistryChanges& changes) {
    if (!IsOvertaken(changes)) {
      return true;
    }
    handlers_.on_failure(OldAnswerError());
    Perform(policy_.AfterFailedWatch(OldAnswerError()));
    return false;
  }

  static absl::Status OldAnswerError() {
    return absl::UnavailableError("answer is older than what is known");
  }

  void Watch(int64_t revision) {
    is_watching_ = true;
    const std::weak_ptr<Impl> weak = weak_from_this();
    client_->Watch(
        kind_, revision, timing_.watch_timeout,
        [weak, step = step_](const absl::StatusOr<RegistryChanges>& changes) {
          const auto self = weak.lock();
          if (!self || self->step_ != step) {
            return;
          }
          if (!changes.ok()) {
            self->handlers_.on_failure(changes.status());
            self->Perform(self->policy_.AfterFailedWatch(changes.status()));
            return;
          }
          if (!self->AcceptEra(changes->era)) {
            return;
          }
          if (changes->objects.empty() && self->IsOvertaken(*changes)) {
            self->Perform(self->policy_.AfterSuccess(*self->revision_, false));
            return;
          }
          if (!self->IsCurrent(*changes)) {
            return;
          }
          self->ApplyChanges(*changes);
          self->Perform(self->policy_.AfterSuccess(changes->revision,
                                                   !changes->objects.empty()));
        });
  }

  RegistryClient* client_;
  const std::string kind_;
  const MirrorTiming timing_;
  MirrorPolicy policy_;
  RegistryEra* registry_era_;
  RegistryList list_;                // the pages that were read
  int64_t era_ = 0;                  // of the list and the changes after it
  uint64_t step_ = 0;                // number of the present action
  std::optional<int64_t> revision_;  // of what is known; none while listing
  int64_t last_change_ = 0;          // see MirrorPosition
  std::vector<RefreshDone> awaiting_refresh_;
  bool is_watching_ = false;
  // A refresh was sent less than kRefreshInterval ago.
  bool refresh_pending_ = false;
  MirrorHandlers handlers_;
};

RegistryMirror::RegistryMirror(RegistryClient* client,
                               std::string kind,
                               uint64_t seed,
                               MirrorTiming timing,
                               RegistryEra* era,
                               MirrorHandlers handlers)
    : impl_(std::make_shared<Impl>(client,
                                   std::move(kind),
                                   seed,
                                   timing,
                                   era,
                                   std::move(handlers))) {}

RegistryMirror::~RegistryMirror() = default;

void RegistryMirror::Start() {
  impl_->Start();
}

void RegistryMirror::set_change_batch_delay(Duration delay) {
  impl_->set_change_batch_delay(delay);
}

void RegistryMirror::Refresh(std::function<void(const absl::Status&)> done) {
  impl_->Refresh(std::move(done));
}

MirrorPosition RegistryMirror::position() const {
  return impl_->position();
}

}  // namespace endiveyard
