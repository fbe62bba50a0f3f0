#include "endiveyard/duties/usage_reporter.h"

#include <algorithm>
#include <utility>

#include "endiveyard/duties/usage_counter.h"
#include "endiveyard/duties/usage_sender.h"

namespace endiveyard {
namespace {

// The earliest report of a window: clocks of instances differ by the time that
// their datagrams take.
constexpr Duration kMinReportDelay = std::chrono::milliseconds(500);
// The latest one, before it is due: the time for a second call after a timeout.
constexpr Duration kCallReserve = std::chrono::seconds(2);
constexpr Duration kRetryInterval = std::chrono::seconds(1);
// A report is of no use to the platform later than this after its window.
constexpr Duration kMaxReportAge = std::chrono::seconds(30);

}  // namespace

UsageReporter::UsageReporter(UsageReporterOptions options,
                             std::function<void(const UsageEvent&)> on_event)
    : options_(options),
      window_ms_(std::max<int64_t>(
          1,
          std::chrono::duration_cast<std::chrono::milliseconds>(options.window)
              .count())),
      on_event_(std::move(on_event)) {}

void UsageReporter::Tick(DutyCalls* calls,
                         const UsageReporterView& view,
                         TimePoint now) {
  if (started_in_ == 0) {
    started_in_ = view.unix_ms / window_ms_;
  }
  RecordEra(view.era, view);
  if (call_->open) {
    return;
  }
  if (const auto outcome = std::exchange(call_->outcome, std::nullopt)) {
    ApplyAnswer(*outcome, calls->LastUsageReport(), view, now);
  }
  const std::optional<uint64_t> token = calls->Token(now);
  if (!token || token == refused_token_) {
    return;
  }
  if (token != token_) {
    RecordEra(static_cast<int64_t>(*token >> kTokenEraShift), view);
    TakeUp(*token, calls->LastUsageReport(), view, now);
  }
  DropOldWindows(view);
  SkipRefusedWindows(*calls, view);
  if (now < retry_at_) {
    return;
  }
  const bool is_repeated = pending_.has_value();
  if (!is_repeated) {
    pending_ = NextReport(view, now);
  }
  if (!pending_) {
    return;
  }
  if (is_repeated) {
    Notify(UsageEventKind::kRepeated, *pending_, 0, view);
  }
  call_->open = true;
  calls->SendUsageReport(*pending_, [call = call_](DutyCallOutcome outcome) {
    call->open = false;
    call->outcome = outcome;
  });
}

void UsageReporter::RecordEra(int64_t era, const UsageReporterView& view) {
  if (era <= era_) {
    return;
  }
  // The first era begins with the deployment.
  if (era_ != 0 || era > 1) {
    era_floor_ = view.unix_ms / window_ms_;
  }
  era_ = era;
}

void UsageReporter::TakeUp(uint64_t token,
                           const std::optional<UsageReport>& recorded,
                           const UsageReporterView& view,
                           TimePoint now) {
  const bool was_last_holder = token_ && *token_ >= view.highest_other_token;
  token_ = token;
  held_since_ = now;
  retry_at_ = now;
  if (recorded && (!next_ || recorded->window >= *next_)) {
    // The former holder may have got no answer.
    pending_ = recorded;
    next_ = recorded->window;
    return;
  }
  if (was_last_holder) {
    return;  // goes on by what it remembers
  }
  pending_.reset();
  if (!next_ && era_floor_ == 0) {
    next_ = std::max(
        view.collector->EarliestWindow().value_or(view.unix_ms / window_ms_),
        started_in_ - static_cast<int64_t>(kMaxToldWindows));
    return;
  }
  next_ = std::max(next_.value_or(era_floor_), era_floor_);
}

void UsageReporter::ApplyAnswer(DutyCallOutcome outcome,
                                const std::optional<UsageReport>& recorded,
                                const UsageReporterView& view,
                                TimePoint now) {
  if (!pending_) {
    return;
  }
  switch (outcome) {
    case DutyCallOutcome::kAccepted:
      Notify(
          UsageEventKind::kAccepted, *pending_,
          static_cast<int64_t>(view.collector->SenderCount(pending_->window)),
          view);
      next_ = std::max(pending_->window + 1, era_floor_);
      pending_.reset();
      return;
    case DutyCallOutcome::kConflict:
      refused_token_ = token_;
      return;
    case DutyCallOutcome::kRejected:
    case DutyCallOutcome::kUnknown:
      retry_at_ = now + kRetryInterval;
      if (recorded && recorded->window >= pending_->window) {
        // Of another holder, if it differs.
        pending_ = recorded;
        next_ = recorded->window;
      }
      return;
  }
}

void UsageReporter::DropOldWindows(const UsageReporterView& view) {
  const auto is_old = [this, &view](int64_t window) {
    return SinceEnd(window, view) > kMaxReportAge;
  };
  if (pending_ && is_old(pending_->window)) {
    Notify(UsageEventKind::kDropped, *pending_, 0, view);
    next_ = std::max(pending_->window + 1, era_floor_);
    pending_.reset();
  }
  if (pending_ || !is_old(*next_)) {
    return;
  }
  // One event for all of them: after an outage of hours, there are thousands.
  const int64_t first = *next_;
  next_ = (view.unix_ms -
           std::chrono::duration_cast<std::chrono::milliseconds>(kMaxReportAge)
               .count()) /
          window_ms_;
  UsageReport dropped;
  dropped.window = first;
  Notify(UsageEventKind::kDropped, dropped, 0, view);
}

void UsageReporter::SkipRefusedWindows(const DutyCalls& calls,
                                       const UsageReporterView& view) {
  const int64_t first = calls.FirstUsageWindow();
  if (pending_ && pending_->window < first &&
      !(calls.LastUsageReport() == pending_)) {
    Notify(UsageEventKind::kDropped, *pending_, 0, view);
    pending_.reset();
  }
  if (!pending_) {
    next_ = std::max(*next_, first);
  }
}

std::optional<UsageReport> UsageReporter::NextReport(
    const UsageReporterView& view,
    TimePoint now) {
  const Duration since_end = SinceEnd(*next_, view);
  if (since_end < kMinReportDelay) {
    return std::nullopt;
  }
  const size_t missing = view.collector->MissingCount(*next_, *view.live, now);
  // Instances have just begun to tell a new holder their counts.
  const Duration settling_time = 3 * UsageSendInterval(view.live->size());
  if (missing > 0 && (since_end < options_.late - kCallReserve ||
                      now - held_since_ < settling_time)) {
    return std::nullopt;
  }
  UsageReport report;
  report.window = *next_;
  if (view.collector->SenderCount(*next_) == 0) {
    // Instances keep four windows. Without a holder for longer, the counts are
    // gone, and a report without any would say that nothing was used.
    Notify(UsageEventKind::kDropped, report, 0, view);
    ++*next_;
    return std::nullopt;
  }
  UsageReport unknown;
  unknown.window = *next_;
  for (const auto& [key, requests] : view.collector->Sum(*next_)) {
    if (const auto name = view.name_of(key)) {
      report.counts[*name] += requests;
    } else {
      unknown.counts[std::to_string(key)] = requests;
    }
  }
  if (!unknown.counts.empty()) {
    Notify(UsageEventKind::kUnknownCustomer, unknown, 0, view);
  }
  if (missing > 0) {
    Notify(UsageEventKind::kIncomplete, report, static_cast<int64_t>(missing),
           view);
  }
  return report;
}

void UsageReporter::Notify(UsageEventKind kind,
                           const UsageReport& report,
                           int64_t instances,
                           const UsageReporterView& view) {
  UsageEvent event;
  event.kind = kind;
  event.window = report.window;
  event.customers = static_cast<int64_t>(report.counts.size());
  for (const auto& [name, requests] : report.counts) {
    event.requests += requests;
  }
  event.instances = instances;
  event.since_end = SinceEnd(report.window, view);
  on_event_(event);
}

Duration UsageReporter::SinceEnd(int64_t window,
                                 const UsageReporterView& view) const {
  return std::chrono::milliseconds(view.unix_ms - (window + 1) * window_ms_);
}

}  // namespace endiveyard
