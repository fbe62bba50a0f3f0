#include "instance/instance_status.h"

#include <cpprest/json.h>

namespace endiveyard {

std::string FormatInstanceStatus(const InstanceStatus& status) {
  using web::json::value;
  value body = value::object(/*keep_order=*/true);
  body["instance"] = value::string(status.instance);
  body["configuration_version"] = value::number(status.configuration_version);
  body["live_peers"] = value::number(static_cast<uint64_t>(status.live_peers));
  body["holds_lease"] = value::boolean(status.holds_lease);
  body["owned_shards"] =
      value::number(static_cast<uint64_t>(status.owned_shards));
  body["open_exchanges"] =
      value::number(static_cast<uint64_t>(status.open_exchanges));
  return body.serialize();
}

}  // namespace endiveyard
