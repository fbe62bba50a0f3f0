#ifndef ENDIVEYARD_DUTIES_DUTY_HOLDER_H_
#define ENDIVEYARD_DUTIES_DUTY_HOLDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "endiveyard/duties/duty_authority.h"
#include "endiveyard/duties/duty_calls.h"
#include "endiveyard/registry/registry_client.h"

namespace endiveyard {

// Sends the calls of the duties to the platform. Each call is sent once; its
// callback runs once, on the event loop thread, never within the call, at the
// latest after the call timeout. The connection of a call without an answer is
// reset, so that bytes in transit are lost.
class DutyApi {
 public:
  using Done = std::function<void(DutyCallEnd)>;

  virtual ~DutyApi() = default;
  virtual void SendUsageReport(const UsageReport& report,
                               uint64_t token,
                               Done done) = 0;
  virtual void SendScaleOrder(const ScaleOrder& order,
                              uint64_t token,
                              Done done) = 0;
};

struct DutyHolderOptions {
  DutyOptions duty;
  std::string lease_kind;  // of the registry objects, one for each instance
  std::string shard_kind;  // of the registry object that names the holder
  double calls_per_second = 50;  // that the platform takes
};

struct DutyHolderHandlers {
  std::function<TimePoint()> now;
  std::function<int64_t()> unix_ms;
  // Runs an action later on the event loop.
  std::function<void(std::function<void()> action)> post;
  std::function<void(const DutyEvent& event)> on_event;
  // A call to the platform has ended; `duty` is "usage" or "scale".
  std::function<void(const char* duty, DutyCallEnd end)> on_call;
};

// Holds the duties while this instance owns them, and takes them when their
// holder is gone. At most one instance has a token at any time.
class DutyHolder : public DutyCalls {
 public:
  // `registry` and `api` have to outlive the holder.
  DutyHolder(RegistryRecordClient* registry,
             DutyApi* api,
             DutyHolderOptions options,
             DutyHolderHandlers handlers);
  ~DutyHolder() override;
  DutyHolder(const DutyHolder&) = delete;
  DutyHolder& operator=(const DutyHolder&) = delete;

  // Makes the calls to the registry that are due; to be called every 100 ms.
  void Tick(const DutyInputs& inputs);
  // Records the era that another reader of the registry has seen.
  void RecordEra(int64_t era);
  // Stops all calls, and releases the duties once no call is in doubt.
  void Leave();
  // True once nothing is left to be released.
  bool HasLeft() const;
  // Returns the token of this instance if it holds the duties, also while it
  // may not start calls.
  std::optional<uint64_t> HeldToken() const;

  std::optional<uint64_t> Token(TimePoint now) const override;
  void SendScaleOrder(const ScaleOrder& order,
                      std::function<void(DutyCallOutcome)> done) override;
  void SendUsageReport(const UsageReport& report,
                       std::function<void(DutyCallOutcome)> done) override;
  std::optional<UsageReport> LastUsageReport() const override;
  int64_t FirstUsageWindow() const override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_DUTY_HOLDER_H_
