#include "gateway/target_load_json.h"

namespace endiveyard {

using web::json::value;

TargetLoad ParseTargetLoad(const value& body) {
  TargetLoad load;
  ParseRole(body.at("role").as_string(), &load.role);
  load.model = body.at("model").as_string();
  load.version = body.at("version").as_string();
  for (const value& it : body.at("adapters").as_array()) {
    load.adapters.push_back(it.as_string());
  }
  load.queued_prefill_tokens =
      body.at("queued_prefill_tokens").as_number().to_int64();
  load.running_sequences = body.at("running_sequences").as_integer();
  load.free_cache_blocks = body.at("free_cache_blocks").as_number().to_int64();
  load.sequence = body.at("sequence").as_number().to_uint64();
  return load;
}

}  // namespace endiveyard
