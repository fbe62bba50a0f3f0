#include "endiveyard/duties/usage_sender.h"

#include <algorithm>
#include <string>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

constexpr Duration kMinSendInterval = std::chrono::milliseconds(400);
constexpr Duration kSendIntervalPerInstance = std::chrono::milliseconds(5);
// Out of the 8 KB/s of an instance, counts take at most this much.
constexpr double kMaxBytesPerSecond = 1500;
// Sizes in a datagram.
constexpr size_t kMessageBytes = 140;
constexpr size_t kWindowBytes = 16;
constexpr size_t kCustomerBytes = 14;
// Limit on the customers in one message: 7 KB, far below the limit on reports.
constexpr size_t kMaxCustomersPerMessage = kMaxCountedCustomers;

size_t BytesOf(const std::vector<WindowUsage>& windows) {
  size_t bytes = kMessageBytes;
  for (const WindowUsage& it : windows) {
    bytes += kWindowBytes + kCustomerBytes * it.customers.size();
  }
  return bytes;
}

std::vector<std::vector<WindowUsage>> Split(std::vector<WindowUsage> windows) {
  std::vector<std::vector<WindowUsage>> messages;
  size_t customers = 0;
  for (WindowUsage& it : windows) {
    if (messages.empty() ||
        customers + it.customers.size() > kMaxCustomersPerMessage) {
      messages.emplace_back();
      customers = 0;
    }
    customers += it.customers.size();
    messages.back().push_back(std::move(it));
  }
  return messages;
}

}  // namespace

Duration UsageSendInterval(size_t instances) {
  return std::max<Duration>(
      kMinSendInterval,
      kSendIntervalPerInstance * static_cast<int64_t>(instances));
}

UsageSender::UsageSender(uint32_t own_address)
    : phase_(static_cast<int64_t>(Digest64(std::to_string(own_address)) %
                                  10'000'000)) {}

std::vector<std::vector<WindowUsage>> UsageSender::Take(
    const UsageCounter& counter,
    const DutyHolderReport& holder,
    size_t instances,
    TimePoint now) {
  SetHolder(holder);
  std::vector<WindowUsage> windows = Unacknowledged(counter);
  if (windows.empty()) {
    return {};
  }
  const Duration interval = std::max(
      UsageSendInterval(instances),
      Duration(static_cast<int64_t>(
          1e6 * static_cast<double>(BytesOf(windows)) / kMaxBytesPerSecond)));
  // Each instance has its own points in time, so that the first messages after
  // the end of a window do not arrive together.
  const int64_t slot = (now.time_since_epoch() + phase_) / interval;
  if (slot == slot_ || now - last_sent_ < interval / 2) {
    return {};
  }
  slot_ = slot;
  last_sent_ = now;
  return Split(std::move(windows));
}

std::vector<std::vector<WindowUsage>> UsageSender::TakeLast(
    const UsageCounter& counter,
    const DutyHolderReport& holder) {
  SetHolder(holder);
  std::vector<WindowUsage> windows = Unacknowledged(counter);
  windows.push_back(counter.present());
  return Split(std::move(windows));
}

void UsageSender::RecordAcks(const UsageCounter& counter,
                             uint32_t holder,
                             const std::vector<int64_t>& windows) {
  if (holder != holder_) {
    return;
  }
  for (const WindowUsage& it : counter.ended()) {
    if (std::find(windows.begin(), windows.end(), it.window) != windows.end()) {
      acknowledged_.insert(it.window);
    }
  }
  while (acknowledged_.size() > 2 * kMaxToldWindows) {
    acknowledged_.erase(acknowledged_.begin());
  }
}

void UsageSender::SetHolder(const DutyHolderReport& holder) {
  if (holder.address != holder_ || holder.fencing_token != token_) {
    holder_ = holder.address;
    token_ = holder.fencing_token;
    acknowledged_.clear();
  }
}

std::vector<WindowUsage> UsageSender::Unacknowledged(
    const UsageCounter& counter) const {
  std::vector<WindowUsage> windows;
  for (const WindowUsage& it : counter.ended()) {
    if (acknowledged_.count(it.window) == 0) {
      windows.push_back(it);
    }
  }
  return windows;
}

}  // namespace endiveyard
