#include "endiveyard/placement/repeat_budget.h"

#include <algorithm>

namespace endiveyard {

RepeatBudget::Window& RepeatBudget::Trim(const std::string& service,
                                         TimePoint now) {
  Window& window = windows_[service];
  for (std::deque<TimePoint>* it : {&window.requests, &window.repeats}) {
    while (!it->empty() && now - it->front() >= bound_.window) {
      it->pop_front();
    }
  }
  return window;
}

void RepeatBudget::CountRequest(const std::string& service, TimePoint now) {
  Trim(service, now).requests.push_back(now);
}

double RepeatBudget::Left(const std::string& service, TimePoint now) {
  const Window& window = Trim(service, now);
  const double earned = bound_.ratio * kSpentRatioShare *
                        static_cast<double>(window.requests.size());
  const double slack = std::max(1.0, bound_.slack * kSlackShare);
  return earned + slack - static_cast<double>(window.repeats.size());
}

bool RepeatBudget::TrySpend(const std::string& service, TimePoint now) {
  if (Left(service, now) < 1) {
    return false;
  }
  windows_[service].repeats.push_back(now);
  return true;
}

}  // namespace endiveyard
