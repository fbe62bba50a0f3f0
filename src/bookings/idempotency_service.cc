#include "endiveyard/bookings/idempotency_service.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <optional>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "endiveyard/base/bounded_ring.h"
#include "endiveyard/object_api/log_calls.h"

namespace endiveyard {
namespace {

struct TickDue {};
struct StopRequested {
  TimePoint deadline;
};
using Message =
    std::variant<CommitIntent, RecordOutcome, TickDue, StopRequested>;

// Calls of a log. The result of each is an event of the same shard.
using LogCall =
    std::variant<CreateLogEntry, ReadLogEntries, ReadLogTruncationPoint>;

// Message queue shared with the timer callback, which may outlive the service.
struct Inbox {
  explicit Inbox(size_t capacity) : ring(capacity) {}
  BoundedRing<Message> ring;
  std::atomic<bool> tick_queued{false};
};

IdempotencyStepTime Now() {
  IdempotencyStepTime time;
  time.now = BootClock::now();
  time.wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  return time;
}

}  // namespace

class IdempotencyService::Impl {
 public:
  Impl(ObjectApi* api,
       TimerService* timers,
       IdempotencyServiceOptions options,
       Callback callback)
      : api_(api),
        options_(std::move(options)),
        callback_(std::move(callback)),
        // Capacity for the intent and the outcome of each open intent, one tick
        // and one stop request, so that producers never block.
        inbox_(std::make_shared<Inbox>(2 * options_.max_open_intents + 2)) {
    for (int n = 0; n < kIdempotencyShards; ++n) {
      shards_.push_back(
          MakeIdempotencyShard(n, options_.writer, options_.limits));
    }
    retry_times_.resize(kIdempotencyShards);
    thread_ = std::thread([this] { Run(); });
    timers->Subscribe(options_.tick_interval,
                      [inbox = inbox_](TimePoint /*now*/) {
                        if (!inbox->tick_queued.exchange(true) &&
                            !inbox->ring.TryPush(TickDue{})) {
                          inbox->tick_queued = false;
                        }
                      });
  }

  ~Impl() { Stop(Duration(0)); }

  bool Commit(CommitIntent intent) {
    if (stopping_) {
      return false;
    }
    if (open_intents_.fetch_add(1) >= options_.max_open_intents) {
      --open_intents_;
      return false;
    }
    if (!inbox_->ring.TryPush(std::move(intent))) {
      --open_intents_;
      return false;
    }
    return true;
  }

  void Record(RecordOutcome outcome) {
    // Cannot fail: each open intent takes up at most two places in the ring.
    inbox_->ring.TryPush(std::move(outcome));
  }

  bool Stop(Duration flush_timeout) {
    if (!thread_.joinable()) {
      return flushed_;
    }
    stopping_ = true;
    inbox_->ring.Push(StopRequested{BootClock::now() + flush_timeout});
    thread_.join();
    inbox_->ring.Close();
    // Handles messages that were queued after the stop request.
    while (std::optional<Message> message = inbox_->ring.Pop()) {
      if (const auto* intent = std::get_if<CommitIntent>(&*message)) {
        Refuse(intent->exchange);
      } else if (std::get_if<RecordOutcome>(&*message) != nullptr) {
        flushed_ = false;
      }
    }
    return flushed_;
  }

 private:
  void Run() {
    while (!ShouldEnd()) {
      // Blocks only if no call is queued; the next tick ends the wait.
      size_t n =
          std::max<size_t>(inbox_->ring.size(), queued_calls_.empty() ? 1 : 0);
      for (; n > 0; --n) {
        std::optional<Message> message = inbox_->ring.Pop();
        if (!message) {
          return;
        }
        std::visit([&](auto& it) { Handle(std::move(it)); }, *message);
      }
      if (!queued_calls_.empty()) {
        RunNextCall();
      }
    }
    flushed_ = IsFlushed();
    for (IdempotencyShard& it : shards_) {
      RefuseUnresolved(it);
    }
  }

  bool ShouldEnd() const {
    return stop_deadline_ &&
           (IsFlushed() || BootClock::now() >= *stop_deadline_);
  }

  bool IsFlushed() const {
    return std::all_of(
        shards_.begin(), shards_.end(),
        [](const IdempotencyShard& it) { return it.closing_intents.empty(); });
  }

  void Handle(CommitIntent intent) {
    const int shard = ShardOf(intent.house, intent.key);
    Step(shard, std::move(intent));
  }

  void Handle(RecordOutcome outcome) {
    const int shard = ShardOf(outcome.house, outcome.key);
    if (shards_[shard].running_intents.count(
            MakeIdempotencyKeyDigest(outcome.house, outcome.key)) > 0) {
      --open_intents_;
    }
    Step(shard, std::move(outcome));
  }

  void Handle(TickDue /*message*/) {
    inbox_->tick_queued = false;
    const IdempotencyStepTime time = Now();
    for (int n = 0; n < kIdempotencyShards; ++n) {
      if (retry_times_[n] && *retry_times_[n] <= time.now) {
        retry_times_[n].reset();
        Step(n, LogEvent(LogRetryTimerFired{}));
      }
      const IdempotencyShard& shard = shards_[n];
      if (!shard.pending_intents.empty() || !shard.waiting_intents.empty() ||
          !shard.queued_lines.empty()) {
        Step(n, IdempotencyTick{});
      }
    }
    if (time.now >= next_truncation_) {
      next_truncation_ = time.now + options_.truncation_interval;
      TruncateNextShard(time);
    }
  }

  void Handle(StopRequested message) { stop_deadline_ = message.deadline; }

  static int ShardOf(const std::string& house, const std::string& key) {
    return IdempotencyShardOf(MakeIdempotencyKeyDigest(house, key));
  }

  void Step(int shard, const IdempotencyEvent& event) {
    for (IdempotencyAction& it :
         StepIdempotencyShard(&shards_[shard], event, Now())) {
      std::visit([&](auto& action) { Execute(shard, std::move(action)); }, it);
    }
  }

  void Execute(int /*shard*/, ResolveIntent it) {
    if (it.resolved.state != IntentState::kCommitted) {
      --open_intents_;
    }
    callback_(std::move(it.resolved));
  }
  void Execute(int shard, CreateLogEntry it) {
    queued_calls_.emplace_back(shard, std::move(it));
  }
  void Execute(int shard, ReadLogEntries it) {
    queued_calls_.emplace_back(shard, std::move(it));
  }
  void Execute(int shard, ReadLogTruncationPoint it) {
    queued_calls_.emplace_back(shard, std::move(it));
  }
  void Execute(int shard, ScheduleLogRetry it) {
    retry_times_[shard] = BootClock::now() + it.delay;
  }

  // Runs the oldest queued call. A log has at most one queued, so shards take
  // turns.
  void RunNextCall() {
    const auto [shard, call] = std::move(queued_calls_.front());
    queued_calls_.pop_front();
    if (shard == kTruncationCall) {
      ContinueTruncation();
      return;
    }
    const LogEvent event = std::visit(
        [&](const auto& it) -> LogEvent {
          return RunLogCall(api_, it, options_.call_timeout);
        },
        call);
    Step(shard, event);
  }

  // Starts the truncation of the next shard if it has expired entries. Checks
  // one shard at a time, so that concurrent instances are spread over shards.
  void TruncateNextShard(IdempotencyStepTime time) {
    last_checked_shard_ = (last_checked_shard_ + 1) % kIdempotencyShards;
    IdempotencyShard& shard = shards_[last_checked_shard_];
    if (!shard.caught_up) {
      return;
    }
    Step(last_checked_shard_, IdempotencyTick{});
    const uint64_t through = LastTruncatableEntry(shard, time.wall_ms);
    if (through == 0 || truncation_) {
      return;
    }
    truncation_.emplace();
    truncation_->log = shard.log.name;
    truncation_->through = through;
    truncation_action_ = StepTruncation(&*truncation_, TruncationStarted{});
    queued_calls_.emplace_back(kTruncationCall, LogCall());
  }

  // Runs one call of the truncation and queues the next one after the calls of
  // the logs.
  void ContinueTruncation() {
    truncation_action_ = StepTruncation(
        &*truncation_,
        RunTruncationCall(api_, truncation_action_, options_.call_timeout));
    if (std::get_if<TruncationEnded>(&truncation_action_) != nullptr) {
      truncation_.reset();
      return;
    }
    queued_calls_.emplace_back(kTruncationCall, LogCall());
  }

  // Answers the intents that were not committed and now never will be.
  void RefuseUnresolved(const IdempotencyShard& shard) {
    for (const auto& it : shard.pending_intents) {
      if (!it.second.abandoned) {
        Refuse(it.second.exchange);
      }
    }
    for (const WaitingIntent& it : shard.waiting_intents) {
      Refuse(it.request.exchange);
    }
  }

  void Refuse(ExchangeId exchange) {
    IntentResolved resolved;
    resolved.exchange = exchange;
    resolved.state = IntentState::kUnavailable;
    callback_(std::move(resolved));
  }

  // Marks a queued call as the next step of `truncation_`.
  static constexpr int kTruncationCall = -1;

  ObjectApi* api_;
  IdempotencyServiceOptions options_;
  Callback callback_;
  std::shared_ptr<Inbox> inbox_;
  std::atomic<size_t> open_intents_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> flushed_{false};

  // Used only by the thread of the service.
  std::vector<IdempotencyShard> shards_;
  std::vector<std::optional<TimePoint>> retry_times_;
  std::deque<std::pair<int, LogCall>> queued_calls_;
  std::optional<TimePoint> stop_deadline_;
  TimePoint next_truncation_;
  int last_checked_shard_ = 0;
  std::optional<TruncationState> truncation_;
  TruncationAction truncation_action_;

  std::thread thread_;
};

IdempotencyService::IdempotencyService(ObjectApi* api,
                                       TimerService* timers,
                                       IdempotencyServiceOptions options,
                                       Callback callback)
    : impl_(std::make_unique<Impl>(api,
                                   timers,
                                   std::move(options),
                                   std::move(callback))) {}
IdempotencyService::~IdempotencyService() = default;

bool IdempotencyService::Commit(CommitIntent intent) {
  return impl_->Commit(std::move(intent));
}

void IdempotencyService::Record(RecordOutcome outcome) {
  impl_->Record(std::move(outcome));
}

bool IdempotencyService::Stop(Duration flush_timeout) {
  return impl_->Stop(flush_timeout);
}

}  // namespace endiveyard
