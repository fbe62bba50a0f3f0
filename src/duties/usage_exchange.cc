#include "endiveyard/duties/usage_exchange.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

// Acknowledgements of a holder per second: 2.5 KB/s of the 8 KB/s. In a fleet
// of 370, each instance gets one in 15 s, for all its windows, and repeats them
// until then.
constexpr double kAcksPerSecond = 25;
constexpr double kMaxAckBurst = 15;
// Limits the memory for customers of former configurations.
constexpr size_t kMaxNames = 4096;

}  // namespace

UsageExchange::UsageExchange(const UsageExchangeOptions& options,
                             UsageExchangeHandlers handlers,
                             int64_t unix_ms,
                             TimePoint now)
    : options_(options),
      handlers_(std::move(handlers)),
      counter_(&clock_, options_.reporter.window),
      holder_view_(options_.own_address, now),
      sender_(options_.own_address),
      collector_(options_.reporter.window),
      reporter_(options_.reporter, handlers_.on_event),
      ack_allowance_(kMaxAckBurst),
      allowance_at_(now) {
  clock_.RecordOwn(unix_ms, now);
}

void UsageExchange::AddCustomers(const std::vector<std::string>& names) {
  for (const std::string& it : names) {
    if (names_.size() < kMaxNames) {
      names_.emplace(Digest64(it), it);
    }
  }
}

void UsageExchange::RecordStart(std::string_view customer, TimePoint now) {
  counter_.RecordStart(customer, now);
}

void UsageExchange::RecordReport(const UsagePeerReport& report, TimePoint now) {
  clock_.RecordPeer(report.statement.sender, report.statement.unix_ms, now);
  holder_view_.RecordReport(report.duty_holder, now);
  sender_.RecordAcks(counter_, report.statement.sender, report.acks);
  const std::vector<int64_t> complete =
      collector_.Record(report.statement, clock_.UnixMs(now), now);
  if (is_holder_ && !complete.empty()) {
    acks_[report.statement.sender].insert(complete.begin(), complete.end());
    SendAcks(now);
  }
}

void UsageExchange::Tick(const UsageTick& tick,
                         DutyCalls* calls,
                         TimePoint now) {
  clock_.RecordOwn(tick.unix_ms, now);
  counter_.Advance(now);
  const std::optional<uint64_t> token =
      calls == nullptr ? std::nullopt : calls->Token(now);
  is_holder_ = token.has_value();
  if (token) {
    holder_view_.RecordOwn(*token, now);
  } else {
    acks_.clear();
  }
  const DutyHolderReport holder = holder_view_.Current(now);
  if (holder.address != 0) {
    SendCounts(sender_.Take(counter_, holder, tick.live.size(), now),
               holder.address, now);
  }
  SendAcks(now);
  if (calls != nullptr) {
    UsageReporterView view;
    view.collector = &collector_;
    view.live = &tick.live;
    view.name_of = [this](uint64_t key) -> std::optional<std::string> {
      const auto it = names_.find(key);
      return it == names_.end() ? std::nullopt : std::optional(it->second);
    };
    view.unix_ms = clock_.UnixMs(now);
    view.era = tick.era;
    view.highest_other_token = holder_view_.highest_other_token();
    reporter_.Tick(calls, view, now);
  }
}

void UsageExchange::SendLast(TimePoint now) {
  counter_.Advance(now);
  const DutyHolderReport holder = holder_view_.Current(now);
  if (holder.address != 0) {
    SendCounts(sender_.TakeLast(counter_, holder), holder.address, now);
  }
}

void UsageExchange::SendCounts(std::vector<std::vector<WindowUsage>> messages,
                               uint32_t holder,
                               TimePoint now) {
  for (std::vector<WindowUsage>& it : messages) {
    if (holder == options_.own_address) {
      sender_.RecordAcks(counter_, holder, RecordOwnCounts(std::move(it), now));
    } else {
      handlers_.send(holder, {std::move(it), {}});
    }
  }
}

std::vector<int64_t> UsageExchange::RecordOwnCounts(
    std::vector<WindowUsage> usage,
    TimePoint now) {
  UsageStatement statement;
  statement.sender = options_.own_address;
  statement.sequence = ++own_sequence_;
  statement.unix_ms = clock_.UnixMs(now);
  statement.usage = std::move(usage);
  return collector_.Record(statement, clock_.UnixMs(now), now);
}

void UsageExchange::SendAcks(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - allowance_at_).count();
  allowance_at_ = now;
  ack_allowance_ =
      std::min(kMaxAckBurst, ack_allowance_ + seconds * kAcksPerSecond);
  for (auto it = acks_.begin(); it != acks_.end() && ack_allowance_ >= 1;
       it = acks_.erase(it)) {
    --ack_allowance_;
    handlers_.send(it->first, {{}, {it->second.begin(), it->second.end()}});
  }
}

}  // namespace endiveyard
