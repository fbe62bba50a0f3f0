#include "endiveyard/admission/retry_budget.h"

#include <algorithm>

namespace endiveyard {

void CreditFirstAttempt(RetryBudget* budget) {
  budget->credit =
      std::min(kMaxRetryCredit, budget->credit + kRetryCreditPerFirstAttempt);
}

bool TryConsumeRetry(RetryBudget* budget) {
  // Ten additions of 0.1 may sum to slightly less than 1 in floating point.
  if (budget->credit < 1 - 1e-9) {
    return false;
  }
  budget->credit = std::max(0.0, budget->credit - 1);
  return true;
}

}  // namespace endiveyard
