#include "endiveyard/admission/retry_budget.h"

#include <algorithm>

namespace endiveyard {

void EarnFromFirstAttempt(RetryBudget* budget) {
  budget->saved =
      std::min(kMaxSavedRetries, budget->saved + kRetryEarnedPerFirstAttempt);
}

bool SpendRetry(RetryBudget* budget) {
  // Ten tenths may sum to slightly less than 1.
  if (budget->saved < 1 - 1e-9) {
    return false;
  }
  budget->saved = std::max(0.0, budget->saved - 1);
  return true;
}

}  // namespace endiveyard
