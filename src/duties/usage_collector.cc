#include "endiveyard/duties/usage_collector.h"

#include <algorithm>

#include "endiveyard/duties/usage_counter.h"

namespace endiveyard {
namespace {

// Counts are kept this long after the end of their window: until its report is
// given up.
constexpr int64_t kKeptMs = 35'000;
// Limits the memory that forged reports can take. The largest fleet has 370
// instances, and 30 customers in 8 windows take 90,000 entries there.
constexpr size_t kMaxSenders = 2000;
constexpr size_t kMaxEntries = 250'000;
// An instance that leaves is waited for while it was heard within this time.
constexpr Duration kHeardTime = std::chrono::seconds(2);
// A process that replaces another one is heard later than this after it; an
// earlier report with a lower sequence was overtaken.
constexpr Duration kMinRestartTime = std::chrono::milliseconds(1500);
// A report is overtaken by fewer others of its sender than this. Its clock
// alone does not tell, since it may have been set back in between.
constexpr uint64_t kMaxOvertaken = 64;
// Reports of the former process may arrive for this time after a restart. The
// clock of the sender tells them apart, unless it was set back by more.
constexpr Duration kRestartDoubtTime = std::chrono::seconds(10);

void Add(const std::vector<CustomerUsage>& counts,
         std::vector<CustomerUsage>* sums) {
  for (const CustomerUsage& it : counts) {
    const auto same = std::find_if(
        sums->begin(), sums->end(), [&it](const CustomerUsage& other) {
          return other.customer_key == it.customer_key;
        });
    if (same != sums->end()) {
      same->requests += it.requests;
    } else {
      sums->push_back(it);
    }
  }
}

}  // namespace

UsageCollector::UsageCollector(Duration window)
    : window_ms_(std::max<int64_t>(
          1,
          std::chrono::duration_cast<std::chrono::milliseconds>(window)
              .count())) {}

std::vector<int64_t> UsageCollector::Record(const UsageStatement& statement,
                                            int64_t unix_ms,
                                            TimePoint now) {
  Expire(unix_ms, now);
  if (!RecordSender(statement, now)) {
    return {};
  }
  std::vector<int64_t> complete;
  for (const WindowUsage& it : statement.usage) {
    // The window that has not ended is told by an instance that may exit.
    const bool has_ended = it.window < unix_ms / window_ms_;
    if (it.window > unix_ms / window_ms_ ||
        it.window < (unix_ms - kKeptMs) / window_ms_ ||
        it.customers.size() > kMaxCountedCustomers) {
      continue;
    }
    Share& share = windows_[it.window][statement.sender];
    if (entries_ - share.present.size() + it.customers.size() > kMaxEntries) {
      continue;
    }
    entries_ += it.customers.size();
    entries_ -= share.present.size();
    share.present = it.customers;
    share.complete = has_ended;
    if (has_ended) {
      complete.push_back(it.window);
    }
  }
  return complete;
}

bool UsageCollector::RecordSender(const UsageStatement& statement,
                                  TimePoint now) {
  const auto it = senders_.find(statement.sender);
  if (it == senders_.end()) {
    if (senders_.size() >= kMaxSenders) {
      return false;
    }
    senders_[statement.sender] = {statement.sequence, statement.unix_ms, now,
                                  std::nullopt};
    return true;
  }
  Sender& sender = it->second;
  if (statement.sequence < sender.sequence) {
    if ((statement.unix_ms <= sender.unix_ms ||
         sender.sequence - statement.sequence < kMaxOvertaken) &&
        now - sender.heard_at < kMinRestartTime) {
      return false;
    }
    KeepFormerCounts(statement.sender);
    sender.restarted_at = now;
  } else if (sender.restarted_at &&
             now - *sender.restarted_at < kRestartDoubtTime &&
             statement.unix_ms < sender.unix_ms) {
    return false;  // of the former process
  }
  sender.sequence = statement.sequence;
  sender.unix_ms = statement.unix_ms;
  sender.heard_at = now;
  return true;
}

void UsageCollector::KeepFormerCounts(uint32_t sender) {
  for (auto& [window, shares] : windows_) {
    const auto it = shares.find(sender);
    if (it != shares.end()) {
      Share& share = it->second;
      entries_ -= share.former.size() + share.present.size();
      Add(share.present, &share.former);
      share.present.clear();
      share.complete = false;
      entries_ += share.former.size();
    }
  }
}

size_t UsageCollector::MissingCount(int64_t window,
                                    const std::vector<uint32_t>& live,
                                    TimePoint now) const {
  static const std::map<uint32_t, Share> kNone;
  const auto shares_of = [this](int64_t number) -> const auto& {
    const auto it = windows_.find(number);
    return it == windows_.end() ? kNone : it->second;
  };
  const auto& shares = shares_of(window);
  const auto is_missing = [&shares](uint32_t sender) {
    const auto it = shares.find(sender);
    return it == shares.end() || !it->second.complete;
  };
  size_t missing =
      static_cast<size_t>(std::count_if(live.begin(), live.end(), is_missing));
  // `live` is in order.
  for (const auto& [address, it] : senders_) {
    if (now - it.heard_at < kHeardTime && is_missing(address) &&
        !std::binary_search(live.begin(), live.end(), address) &&
        (shares.count(address) > 0 ||
         shares_of(window - 1).count(address) > 0)) {
      ++missing;
    }
  }
  return missing;
}

std::map<uint64_t, int64_t> UsageCollector::Sum(int64_t window) const {
  std::map<uint64_t, int64_t> sums;
  const auto found = windows_.find(window);
  if (found != windows_.end()) {
    for (const auto& [sender, share] : found->second) {
      for (const auto* counts : {&share.former, &share.present}) {
        for (const CustomerUsage& it : *counts) {
          sums[it.customer_key] += it.requests;
        }
      }
    }
  }
  return sums;
}

size_t UsageCollector::SenderCount(int64_t window) const {
  const auto it = windows_.find(window);
  return it == windows_.end() ? 0 : it->second.size();
}

std::optional<int64_t> UsageCollector::EarliestWindow() const {
  for (const auto& [window, shares] : windows_) {
    for (const auto& [sender, it] : shares) {
      if (!it.former.empty() || !it.present.empty()) {
        return window;
      }
    }
  }
  return std::nullopt;
}

void UsageCollector::Expire(int64_t unix_ms, TimePoint now) {
  const int64_t first = (unix_ms - kKeptMs) / window_ms_;
  while (!windows_.empty() && windows_.begin()->first < first) {
    for (const auto& [sender, it] : windows_.begin()->second) {
      entries_ -= it.former.size() + it.present.size();
    }
    windows_.erase(windows_.begin());
  }
  if (senders_.size() >= kMaxSenders) {
    constexpr Duration kMaxSilence = std::chrono::minutes(1);
    for (auto it = senders_.begin(); it != senders_.end();) {
      it = now - it->second.heard_at > kMaxSilence ? senders_.erase(it)
                                                   : std::next(it);
    }
  }
}

}  // namespace endiveyard
