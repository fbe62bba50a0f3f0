#ifndef ENDIVEYARD_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define ENDIVEYARD_TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "endiveyard/fleet/fleet_configuration.h"
#include "endiveyard/gateway/gateway.h"
#include "standin/engine_standin.h"
#include "standin/service_standin.h"

namespace endiveyard {

// Configuration with one model service, one plain service and one caller.
FleetConfiguration TestConfiguration();

// Answer that a caller received.
struct CallerAnswer {
  int status = 0;
  std::string body;
  std::string retry_after;
  bool whole = true;  // false: the connection broke within the body
};

// A gateway with stand-ins on loopback. Ports are free ones of the system.
class GatewayFixture {
 public:
  explicit GatewayFixture(int engines);
  ~GatewayFixture();

  EngineStandin& engine(int n) { return *engines_[n]; }
  ServiceStandin& service() { return *service_; }
  Gateway& gateway() { return *gateway_; }

  CallerAnswer Send(const std::string& method,
                    const std::string& path,
                    const std::string& body,
                    const std::vector<std::string>& headers = {});

  // Sends raw bytes and returns all that comes back until the connection
  // closes or a whole answer with a Content-Length has arrived.
  std::string SendRaw(const std::string& bytes);

  // Outcomes that were recorded for bookings, in order.
  std::vector<RecordOutcome> outcomes() const;

  // Answers intents with this state; kCommitted by default.
  void SetIntentState(IntentState state);

 private:
  struct Shared;

  std::shared_ptr<Shared> shared_;
  std::vector<std::unique_ptr<EngineStandin>> engines_;
  std::unique_ptr<ServiceStandin> service_;
  std::unique_ptr<EventLogger> logger_;
  std::unique_ptr<Metrics> metrics_;
  std::unique_ptr<Gateway> gateway_;
  std::string url_;
  uint16_t port_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
