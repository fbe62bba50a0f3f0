#include "instance/target_orders.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>

#include <exception>
#include <memory>
#include <string>

#include "gateway/client_failure.h"
#include "gateway/target_load_json.h"

namespace endiveyard {
namespace {

using web::http::http_response;
using web::http::methods;
using web::http::status_codes;
using web::http::client::http_client;
using web::http::client::http_client_config;
using web::json::value;

constexpr std::chrono::seconds kOrderTimeout(10);
constexpr std::chrono::seconds kReadTimeout(2);

value MakeOrderBody(const SendOrder& order) {
  value body = value::object();
  body["fencing"] = value::number(order.fencing);
  body["order_id"] = value::string(order.order_id);
  if (order.fence_only) {
    body["kind"] = value::string("fence");
    return body;
  }
  body["kind"] = value::string("role");
  body["role"] = value::string(std::string(RoleName(order.plan.role)));
  body["model"] = value::string(order.plan.model);
  body["version"] = value::string(order.plan.version);
  if (!order.plan.adapters.empty()) {
    body["adapter"] = value::string(order.plan.adapters.front());
  }
  return body;
}

OrderOutcome OutcomeFromStatus(int status) {
  if (status == status_codes::OK) {
    return OrderOutcome::kApplied;
  }
  if (status == status_codes::Conflict) {
    return OrderOutcome::kStaleFencing;
  }
  return status >= 400 && status < 500 ? OrderOutcome::kRejected
                                       : OrderOutcome::kUnknown;
}

std::shared_ptr<http_client> MakeClient(const std::string& address,
                                        std::chrono::seconds timeout) {
  http_client_config config;
  config.set_timeout(timeout);
  return std::make_shared<http_client>("http://" + address, config);
}

}  // namespace

void SendTargetOrder(const SendOrder& order,
                     const std::function<void(OrderAnswered)>& callback) {
  OrderAnswered answer;
  answer.order_id = order.order_id;
  answer.target = order.target;
  if (BootClock::now() >= order.not_after) {
    answer.outcome = OrderOutcome::kNotSent;
    callback(answer);
    return;
  }
  const auto client = MakeClient(order.address, kOrderTimeout);
  client->request(methods::POST, "/v1/orders", MakeOrderBody(order))
      .then([client, answer, callback](pplx::task<http_response> task) mutable {
        try {
          answer.outcome = OutcomeFromStatus(task.get().status_code());
        } catch (const std::exception& error) {
          answer.outcome = ClassifyClientFailure(error.what()) ==
                                   AttemptFailure::kConnectFailed
                               ? OrderOutcome::kNotSent
                               : OrderOutcome::kUnknown;
        }
        callback(answer);
      });
}

void ReadTargetLoad(const ReadTargetState& read,
                    const std::function<void(TargetStateRead)>& callback) {
  const auto client = MakeClient(read.address, kReadTimeout);
  client->request(methods::GET, "/v1/load")
      .then([](http_response response) { return response.extract_json(); })
      .then([client, read, callback](pplx::task<value> task) {
        TargetStateRead state;
        state.read_id = read.read_id;
        state.target = read.target;
        try {
          const value body = task.get();
          state.load = ParseTargetLoad(body);
          state.ok =
              !body.has_field("changing") || !body.at("changing").as_bool();
        } catch (const std::exception&) {
          state.ok = false;
        }
        callback(state);
      });
}

}  // namespace endiveyard
