#include "endiveyard/bookings/idempotency_shard.h"

#include <algorithm>

namespace endiveyard {
namespace {

int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Applies one event to a shard and collects the resulting actions.
class Step {
 public:
  Step(IdempotencyShard* shard, IdempotencyStepTime time)
      : shard_(*shard), time_(time) {}

  std::vector<IdempotencyAction> TakeActions() { return std::move(actions_); }

  void Handle(const CommitIntent& event) {
    if (!shard_.started) {
      shard_.started = true;
      AdvanceLog(LogStarted{});
    }
    AdmitIntent({event, MakeIdempotencyKeyDigest(event.house, event.key)});
    StartBatchIfDue();
  }

  void Handle(const RecordOutcome& event) {
    const IdempotencyKeyDigest key =
        MakeIdempotencyKeyDigest(event.house, event.key);
    const auto running = shard_.running_intents.find(key);
    if (running == shard_.running_intents.end()) {
      return;  // not an intent of this process, or already closed
    }
    IdempotencyLogLine line;
    line.key = key;
    line.intent = running->second;
    line.kind = event.ran ? IdempotencyLogLineKind::kResult
                          : IdempotencyLogLineKind::kNotRun;
    line.stored =
        event.ran && event.body.size() <= shard_.limits.max_stored_body_bytes;
    if (line.stored) {
      line.status = event.status;
      line.content_type = event.content_type;
      line.body = event.body;
    }
    shard_.closing_intents[key] = running->second;
    shard_.running_intents.erase(running);
    shard_.queued_lines.push_front(std::move(line));
    StartBatchIfDue();
  }

  void Handle(const IdempotencyTick& /*event*/) {
    ResolveOverdueIntents();
    DropExpiredRecords();
    StartBatchIfDue();
  }

  void Handle(const LogEvent& event) {
    AdvanceLog(event);
    StartBatchIfDue();
  }

 private:
  void Resolve(ExchangeId exchange, IntentState state) {
    IntentResolved resolved;
    resolved.exchange = exchange;
    resolved.state = state;
    actions_.emplace_back(ResolveIntent{std::move(resolved)});
  }

  bool IsExpired(const IdempotencyRecord& record, int64_t wall_ms) const {
    return wall_ms - record.wall_ms >= ToMillis(shard_.limits.retention);
  }

  // Returns the record that prevents a new intent from being committed at
  // `wall_ms`, or nullptr.
  const IdempotencyRecord* FindBlockingRecord(const IdempotencyKeyDigest& key,
                                              int64_t wall_ms) const {
    const auto it = shard_.records.find(key);
    if (it == shard_.records.end() ||
        it->second.state == IdempotencyRecordState::kNotRun ||
        IsExpired(it->second, wall_ms)) {
      return nullptr;
    }
    return &it->second;
  }

  // Answers a request that `record` blocks.
  void ResolveByRecord(ExchangeId exchange,
                       const IdempotencyKeyDigest& key,
                       uint64_t fingerprint,
                       const IdempotencyRecord& record) {
    IntentResolved resolved;
    resolved.exchange = exchange;
    resolved.state = IntentState::kUnknown;
    if (record.fingerprint != fingerprint) {
      resolved.state = IntentState::kKeyReused;
    } else if (record.state == IdempotencyRecordState::kResult) {
      resolved.state = IntentState::kStoredAnswer;
      const size_t end = record.answer->find('\0');
      resolved.status = record.status;
      resolved.content_type = record.answer->substr(0, end);
      resolved.body = record.answer->substr(end + 1);
    } else if (record.state == IdempotencyRecordState::kOpen &&
               (shard_.running_intents.count(key) > 0 ||
                shard_.closing_intents.count(key) > 0)) {
      resolved.state = IntentState::kInProgress;
    }
    actions_.emplace_back(ResolveIntent{std::move(resolved)});
  }

  bool IsOwn(const IdempotencyRecord& record) const {
    return shard_.writers[record.writer] == shard_.log.writer;
  }

  // Answers the intent, queues it for a batch, or lets it wait for a catch-up.
  void AdmitIntent(WaitingIntent candidate) {
    const CommitIntent& request = candidate.request;
    const auto pending = shard_.pending_intents.find(candidate.key);
    if (pending != shard_.pending_intents.end()) {
      ResolveByPending(request, &pending->second);
      return;
    }
    const IdempotencyRecord* record =
        FindBlockingRecord(candidate.key, time_.wall_ms);
    const bool open_at_other_writer =
        record != nullptr && record->state == IdempotencyRecordState::kOpen &&
        !IsOwn(*record);
    if (!shard_.caught_up || open_at_other_writer) {
      // The outcome of the other writer may be at the end of the log.
      if (shard_.waiting_intents.size() >= shard_.limits.max_queued_intents) {
        Resolve(request.exchange, IntentState::kUnavailable);
        return;
      }
      shard_.waiting_intents.push_back(std::move(candidate));
      if (shard_.caught_up && !shard_.refreshing) {
        shard_.refreshing = true;
        AdvanceLog(LogCatchUpRequested{});
      }
      return;
    }
    ResolveOrQueue(request, candidate.key, record);
  }

  // Answers a request whose key has a pending intent, or lets the request take
  // over the intent.
  void ResolveByPending(const CommitIntent& request, PendingIntent* pending) {
    if (!pending->abandoned) {
      Resolve(request.exchange, pending->fingerprint == request.fingerprint
                                    ? IntentState::kInProgress
                                    : IntentState::kKeyReused);
      return;
    }
    if (pending->fingerprint != request.fingerprint) {
      Resolve(request.exchange, IntentState::kUnavailable);
      return;
    }
    // The request of the abandoned intent was never dispatched, so the repeat
    // may take over the intent.
    pending->abandoned = false;
    pending->exchange = request.exchange;
    pending->give_up_at = request.give_up_at;
  }

  // Answers the request by `record`, or queues a new intent if it is nullptr.
  void ResolveOrQueue(const CommitIntent& request,
                      const IdempotencyKeyDigest& key,
                      const IdempotencyRecord* record) {
    if (record != nullptr) {
      ResolveByRecord(request.exchange, key, request.fingerprint, *record);
      return;
    }
    if (shard_.pending_intents.size() >= shard_.limits.max_queued_intents) {
      Resolve(request.exchange, IntentState::kUnavailable);
      return;
    }
    PendingIntent pending;
    pending.intent = ++shard_.last_intent;
    pending.fingerprint = request.fingerprint;
    pending.exchange = request.exchange;
    pending.give_up_at = request.give_up_at;
    IdempotencyLogLine line;
    line.kind = IdempotencyLogLineKind::kIntent;
    line.key = key;
    line.intent = pending.intent;
    line.fingerprint = request.fingerprint;
    shard_.pending_intents.emplace(key, pending);
    shard_.queued_lines.push_back(std::move(line));
  }

  // Answers the intents whose `give_up_at` has passed.
  void ResolveOverdueIntents() {
    for (auto it = shard_.pending_intents.begin();
         it != shard_.pending_intents.end();) {
      PendingIntent& pending = it->second;
      if (pending.abandoned || pending.give_up_at > time_.now) {
        ++it;
        continue;
      }
      // Not committed, hence not dispatched; an intent that is committed after
      // this is closed as not run.
      Resolve(pending.exchange, IntentState::kUnavailable);
      if (pending.in_batch) {
        pending.abandoned = true;
        ++it;
        continue;
      }
      const uint64_t intent = pending.intent;
      shard_.queued_lines.erase(
          std::remove_if(shard_.queued_lines.begin(), shard_.queued_lines.end(),
                         [&](const IdempotencyLogLine& line) {
                           return line.kind ==
                                      IdempotencyLogLineKind::kIntent &&
                                  line.intent == intent;
                         }),
          shard_.queued_lines.end());
      it = shard_.pending_intents.erase(it);
    }
    std::vector<WaitingIntent> waiting;
    waiting.swap(shard_.waiting_intents);
    for (WaitingIntent& it : waiting) {
      if (it.request.give_up_at > time_.now) {
        shard_.waiting_intents.push_back(std::move(it));
        continue;
      }
      const IdempotencyRecord* record =
          FindBlockingRecord(it.key, time_.wall_ms);
      if (record != nullptr) {
        ResolveByRecord(it.request.exchange, it.key, it.request.fingerprint,
                        *record);
      } else {
        Resolve(it.request.exchange, IntentState::kUnavailable);
      }
    }
  }

  void DropExpiredRecords() {
    const int64_t latest_expired_ms = time_.wall_ms -
                                      ToMillis(shard_.limits.retention) -
                                      ToMillis(kIdempotencyTruncationDelay);
    while (!shard_.records_by_entry.empty()) {
      const auto it =
          shard_.records.find(shard_.records_by_entry.front().second);
      const bool current =
          it != shard_.records.end() &&
          it->second.entry == shard_.records_by_entry.front().first;
      if (current && it->second.wall_ms > latest_expired_ms) {
        break;
      }
      if (current) {
        shard_.records.erase(it);
      }
      shard_.records_by_entry.pop_front();
    }
    // Of the entries that may be truncated, only the last one is needed.
    auto& times = shard_.entry_times;
    while (times.size() > 1 && times[1].second <= latest_expired_ms) {
      times.pop_front();
    }
  }

  void StartBatchIfDue() {
    if (shard_.queued_lines.empty() || shard_.log.batch || !shard_.caught_up ||
        (shard_.has_batch_started &&
         time_.now - shard_.batch_started < shard_.limits.batch_interval)) {
      return;
    }
    std::vector<std::string> lines;
    size_t bytes = 0;
    while (!shard_.queued_lines.empty()) {
      IdempotencyLogLine& line = shard_.queued_lines.front();
      std::string text = FormatIdempotencyLogLine(line);
      if (!lines.empty() &&
          bytes + text.size() > shard_.limits.max_batch_bytes) {
        break;
      }
      bytes += text.size() + 1;
      lines.push_back(std::move(text));
      if (line.kind == IdempotencyLogLineKind::kIntent) {
        shard_.pending_intents.at(line.key).in_batch = true;
      }
      shard_.batch_lines.push_back(std::move(line));
      shard_.queued_lines.pop_front();
    }
    shard_.batch_started = time_.now;
    shard_.has_batch_started = true;
    AdvanceLog(LogAppendRequested{
        ++shard_.last_batch, FormatIdempotencyBatch(time_.wall_ms, lines)});
  }

  void AdvanceLog(const LogEvent& event) {
    for (LogAction& it : StepLog(&shard_.log, event, time_.now)) {
      std::visit([&](auto& action) { Execute(std::move(action)); }, it);
    }
  }

  void Execute(CreateLogEntry it) { actions_.emplace_back(std::move(it)); }
  void Execute(ReadLogEntries it) { actions_.emplace_back(std::move(it)); }
  void Execute(ReadLogTruncationPoint it) {
    actions_.emplace_back(std::move(it));
  }
  void Execute(ScheduleLogRetry it) { actions_.emplace_back(it); }

  void Execute(const ApplyLogEntry& it) {
    IdempotencyBatch batch;
    if (!ParseIdempotencyBatch(it.entry.payload, &batch)) {
      return;
    }
    shard_.entry_times.emplace_back(it.entry.number, batch.wall_ms);
    for (const IdempotencyLogLine& line : batch.lines) {
      ApplyLine(it.entry, batch.wall_ms, line);
    }
  }

  uint32_t WriterIndex(const std::string& writer) {
    const auto [it, added] = shard_.writer_index.emplace(
        writer, static_cast<uint32_t>(shard_.writers.size()));
    if (added) {
      shard_.writers.push_back(writer);
    }
    return it->second;
  }

  // All instances apply the same lines in the same order and thus agree on
  // which intent owns a key.
  void ApplyLine(const LogEntry& entry,
                 int64_t wall_ms,
                 const IdempotencyLogLine& line) {
    const bool own = entry.writer == shard_.log.writer;
    if (line.kind == IdempotencyLogLineKind::kIntent) {
      const IdempotencyRecord* blocking = FindBlockingRecord(line.key, wall_ms);
      if (blocking == nullptr) {
        IdempotencyRecord record;
        record.fingerprint = line.fingerprint;
        record.intent = line.intent;
        record.entry = entry.number;
        record.wall_ms = wall_ms;
        record.writer = WriterIndex(entry.writer);
        shard_.records[line.key] = std::move(record);
        shard_.records_by_entry.emplace_back(entry.number, line.key);
      }
      if (own) {
        FinishPendingIntent(line, blocking);
      }
      return;
    }
    if (own) {
      shard_.closing_intents.erase(line.key);
    }
    const auto it = shard_.records.find(line.key);
    if (it == shard_.records.end() ||
        it->second.state != IdempotencyRecordState::kOpen ||
        it->second.intent != line.intent ||
        shard_.writers[it->second.writer] != entry.writer) {
      return;
    }
    if (line.kind == IdempotencyLogLineKind::kNotRun) {
      it->second.state = IdempotencyRecordState::kNotRun;
    } else if (line.stored) {
      it->second.state = IdempotencyRecordState::kResult;
      it->second.status = static_cast<int16_t>(line.status);
      std::string answer;
      answer.reserve(line.content_type.size() + 1 + line.body.size());
      // A content type is a header value and thus contains no NUL.
      answer.append(line.content_type).push_back('\0');
      answer.append(line.body);
      it->second.answer =
          std::make_shared<const std::string>(std::move(answer));
    } else {
      it->second.state = IdempotencyRecordState::kRanNoAnswer;
    }
  }

  // Finishes a pending intent that is now in the log. It is committed unless
  // `blocking` prevents it.
  void FinishPendingIntent(const IdempotencyLogLine& line,
                           const IdempotencyRecord* blocking) {
    const auto it = shard_.pending_intents.find(line.key);
    if (it == shard_.pending_intents.end() ||
        it->second.intent != line.intent) {
      return;
    }
    const PendingIntent pending = it->second;
    shard_.pending_intents.erase(it);
    if (blocking != nullptr) {
      if (!pending.abandoned) {
        ResolveByRecord(pending.exchange, line.key, line.fingerprint,
                        *blocking);
      }
      return;
    }
    if (!pending.abandoned) {
      shard_.running_intents[line.key] = line.intent;
      Resolve(pending.exchange, IntentState::kCommitted);
      return;
    }
    IdempotencyLogLine not_run;
    not_run.kind = IdempotencyLogLineKind::kNotRun;
    not_run.key = line.key;
    not_run.intent = line.intent;
    shard_.closing_intents[line.key] = line.intent;
    shard_.queued_lines.push_front(std::move(not_run));
  }

  void Execute(const LogBatchCommitted& /*it*/) { shard_.batch_lines.clear(); }

  void Execute(const LogBatchRejected& /*it*/) { DropBatch(); }

  void Execute(const LogBatchLost& /*it*/) { DropBatch(); }

  // Discards a batch that is not written again. The requests of its intents
  // were not dispatched; its outcomes are lost, so that the state of their keys
  // remains unknown.
  void DropBatch() {
    std::vector<IdempotencyLogLine> lines;
    lines.swap(shard_.batch_lines);
    for (const IdempotencyLogLine& line : lines) {
      shard_.closing_intents.erase(line.key);
      const auto it = shard_.pending_intents.find(line.key);
      if (line.kind != IdempotencyLogLineKind::kIntent ||
          it == shard_.pending_intents.end()) {
        continue;
      }
      if (!it->second.abandoned) {
        Resolve(it->second.exchange, IntentState::kUnavailable);
      }
      shard_.pending_intents.erase(it);
    }
  }

  void Execute(const LogCaughtUp& /*it*/) {
    shard_.caught_up = true;
    shard_.refreshing = false;
    std::vector<WaitingIntent> waiting;
    waiting.swap(shard_.waiting_intents);
    for (const WaitingIntent& it : waiting) {
      const auto pending = shard_.pending_intents.find(it.key);
      if (pending != shard_.pending_intents.end()) {
        ResolveByPending(it.request, &pending->second);
      } else {
        ResolveOrQueue(it.request, it.key,
                       FindBlockingRecord(it.key, time_.wall_ms));
      }
    }
  }

  void Execute(const LogSnapshotNeeded& it) {
    // Truncated entries are older than the retention, so that their records are
    // dropped and no snapshot is needed.
    for (auto record = shard_.records.begin();
         record != shard_.records.end();) {
      const auto current = record++;
      if (current->second.entry <= it.truncated_through) {
        shard_.records.erase(current);
      }
    }
    AdvanceLog(LogRestored{it.truncated_through});
  }

  IdempotencyShard& shard_;
  IdempotencyStepTime time_;
  std::vector<IdempotencyAction> actions_;
};

}  // namespace

IdempotencyShard MakeIdempotencyShard(int shard,
                                      const std::string& writer,
                                      const IdempotencyLimits& limits) {
  IdempotencyShard out;
  out.limits = limits;
  out.log = MakeLogState(IdempotencyLogName(shard), writer);
  return out;
}

std::vector<IdempotencyAction> StepIdempotencyShard(
    IdempotencyShard* shard,
    const IdempotencyEvent& event,
    IdempotencyStepTime time) {
  Step step(shard, time);
  std::visit([&](const auto& it) { step.Handle(it); }, event);
  return step.TakeActions();
}

uint64_t LastTruncatableEntry(const IdempotencyShard& shard, int64_t wall_ms) {
  const int64_t latest_expired_ms = wall_ms - ToMillis(shard.limits.retention) -
                                    ToMillis(kIdempotencyTruncationDelay);
  uint64_t through = 0;
  for (const auto& [number, entry_ms] : shard.entry_times) {
    if (entry_ms > latest_expired_ms) {
      break;
    }
    through = number;
  }
  return through;
}

}  // namespace endiveyard
