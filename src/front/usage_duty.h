#ifndef ENDIVEYARD_SRC_FRONT_USAGE_DUTY_H_
#define ENDIVEYARD_SRC_FRONT_USAGE_DUTY_H_

#include <cstdint>
#include <functional>
#include <string>

#include "endiveyard/duties/duty_calls.h"
#include "endiveyard/duties/usage_exchange.h"
#include "endiveyard/load_exchange/load_exchange.h"
#include "endiveyard/placement/customer_table.h"
#include "endiveyard/telemetry/json_log.h"
#include "endiveyard/telemetry/metrics.h"

namespace endiveyard {

// Connects the usage of one instance to the load exchange, the log and the
// metrics. Has to outlive the load exchange.
class UsageDuty {
 public:
  // `unix_ms` reads the clock of this machine.
  UsageDuty(const UsageReporterOptions& options,
            LoadExchange* load_exchange,
            JsonLog* log,
            Metrics* metrics,
            std::function<int64_t()> unix_ms);

  // Sets who makes the calls of the duties, which has to outlive this object;
  // null by default, so that nothing is reported.
  void set_calls(DutyCalls* calls) { calls_ = calls; }
  // Counts a request of a customer whose first output goes to the caller.
  void RecordStart(const std::string& customer, TimePoint now);
  void SetCustomers(const CustomerTable& customers);
  // Has to be called several times a second. `era` is that of the registry.
  void Tick(int64_t era, TimePoint now);
  // Tells the holder all counts at once, since the process is about to exit.
  void SendLast(TimePoint now) { exchange_.SendLast(now); }

 private:
  UsageExchangeHandlers MakeHandlers();
  void LogEvent(const UsageEvent& event);

  LoadExchange& load_exchange_;
  JsonLog& log_;
  Metrics& metrics_;
  const std::function<int64_t()> unix_ms_;
  UsageExchange exchange_;
  DutyCalls* calls_ = nullptr;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_USAGE_DUTY_H_
