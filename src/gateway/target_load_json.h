#ifndef ENDIVEYARD_SRC_GATEWAY_TARGET_LOAD_JSON_H_
#define ENDIVEYARD_SRC_GATEWAY_TARGET_LOAD_JSON_H_

#include <cpprest/json.h>

#include "endiveyard/base/target.h"

namespace endiveyard {

// Parses the response body of GET /v1/load. Throws web::json::json_exception if
// a field is missing or has another type.
TargetLoad ParseTargetLoad(const web::json::value& body);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_GATEWAY_TARGET_LOAD_JSON_H_
