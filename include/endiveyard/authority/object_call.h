#ifndef ENDIVEYARD_AUTHORITY_OBJECT_CALL_H_
#define ENDIVEYARD_AUTHORITY_OBJECT_CALL_H_

#include <cstdint>
#include <string>

namespace endiveyard {

// A read or a conditional write for the object API thread, to be sent once.
struct ObjectCall {
  uint64_t id = 0;
  bool write = false;
  std::string key;
  uint64_t if_version = 0;  // writes only; 0: the key must not exist
  std::string value;        // writes only
};

enum class ObjectOutcome {
  kOk,           // reading a missing key gives kOk and version 0
  kConflict,     // the version differs; nothing was written
  kUnknown,      // the call was sent; a write may still take effect
  kUnavailable,  // the call has no effect, now or later
};

// Result of the call with the same id. Every call gets exactly one.
struct ObjectResult {
  uint64_t id = 0;
  ObjectOutcome outcome = ObjectOutcome::kOk;
  uint64_t version = 0;  // kOk only
  std::string value;     // kOk of reads only
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTHORITY_OBJECT_CALL_H_
