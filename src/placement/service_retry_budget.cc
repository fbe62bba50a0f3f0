#include "endiveyard/placement/service_retry_budget.h"

#include <algorithm>

namespace endiveyard {

ServiceRetryBudget::Window& ServiceRetryBudget::RemoveExpired(
    const std::string& service,
    TimePoint now) {
  Window& window = windows_[service];
  for (std::deque<TimePoint>* it : {&window.requests, &window.retries}) {
    while (!it->empty() && now - it->front() >= bound_.window) {
      it->pop_front();
    }
  }
  return window;
}

void ServiceRetryBudget::RecordRequest(const std::string& service,
                                       TimePoint now) {
  RemoveExpired(service, now).requests.push_back(now);
}

void ServiceRetryBudget::RecordInstanceCount(size_t instances, TimePoint now) {
  // An instance that knows of no other may be cut off from all of them.
  if (instances <= 1 && instance_count_ == 0) {
    return;
  }
  if (instances >= instance_count_ ||
      now - instance_count_at_ >= kInstanceCountMemory) {
    instance_count_ = instances;
    instance_count_at_ = now;
  }
}

void ServiceRetryBudget::RecordCounted(TimePoint until, TimePoint now) {
  if (counted_until_ && now >= *counted_until_ && now < until) {
    recounted_at_ = now;
  }
  counted_until_ = until;
}

bool ServiceRetryBudget::IsCountedByAll(TimePoint now) const {
  const bool is_counted = !counted_until_ || now < *counted_until_;
  const bool is_known_again =
      !recounted_at_ ||
      now - *recounted_at_ >= kWindowsUntilRecounted * bound_.window;
  return is_counted && is_known_again;
}

double ServiceRetryBudget::SlackShare(TimePoint now) const {
  // One retry is always possible, unless there are more instances than retries.
  if (instance_count_ == 0) {
    const auto heard = static_cast<double>(heard_count_);
    return bound_.slack > 0 && bound_.slack < heard
               ? bound_.slack * kUsableSlackShare / heard
               : 1;
  }
  const bool is_counted = IsCountedByAll(now);
  const double usable = is_counted ? kUsableSlackShare : 1 - kUsableSlackShare;
  const double share =
      bound_.slack * usable / static_cast<double>(instance_count_);
  const bool more_instances_than_retries =
      bound_.slack > 0 && bound_.slack < static_cast<double>(instance_count_);
  return is_counted && !more_instances_than_retries ? std::max(1.0, share)
                                                    : share;
}

bool ServiceRetryBudget::InFirstWindow(TimePoint now) const {
  return started_at_ && now - *started_at_ < bound_.window;
}

double ServiceRetryBudget::Remaining(const std::string& service,
                                     TimePoint now) {
  const Window& window = RemoveExpired(service, now);
  const bool in_first_window = InFirstWindow(now);
  const double ratio_share =
      in_first_window ? kUsableRatioShareAfterStart : kUsableRatioShare;
  const double earned =
      bound_.ratio * ratio_share * static_cast<double>(window.requests.size());
  return earned + (in_first_window ? 0 : SlackShare(now)) -
         static_cast<double>(window.retries.size());
}

bool ServiceRetryBudget::TryConsume(const std::string& service, TimePoint now) {
  if (Remaining(service, now) < 1) {
    return false;
  }
  windows_[service].retries.push_back(now);
  return true;
}

}  // namespace endiveyard
