#ifndef ENDIVEYARD_ADMISSION_RETRY_BUDGET_H_
#define ENDIVEYARD_ADMISSION_RETRY_BUDGET_H_

namespace endiveyard {

// Retries that each first attempt adds to the budget.
inline constexpr double kRetryCreditPerFirstAttempt = 0.1;
// Upper bound of the budget, in retries.
inline constexpr double kMaxRetryCredit = 100;

// Retries that one instance may still send. The budget starts full, so that a
// new instance can resume the streams of a failed target.
struct RetryBudget {
  double credit = kMaxRetryCredit;
};

void CreditFirstAttempt(RetryBudget* budget);

// Consumes one retry; returns false if the budget has none left.
bool TryConsumeRetry(RetryBudget* budget);

}  // namespace endiveyard

#endif  // ENDIVEYARD_ADMISSION_RETRY_BUDGET_H_
