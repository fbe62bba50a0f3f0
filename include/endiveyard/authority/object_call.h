#ifndef ENDIVEYARD_AUTHORITY_OBJECT_CALL_H_
#define ENDIVEYARD_AUTHORITY_OBJECT_CALL_H_

#include <cstdint>
#include <string>

namespace endiveyard {

// One read or conditional write that the object API thread has to send, once.
struct ObjectCall {
  uint64_t id = 0;
  bool write = false;
  std::string key;
  uint64_t if_version = 0;  // write: 0 means that the key must not exist
  std::string value;        // write
};

enum class ObjectOutcome {
  kOk,           // a read of a missing key is kOk with version 0
  kConflict,     // write: the version differs; nothing was written
  kUnknown,      // the call was sent; a write may still take effect
  kUnavailable,  // the call had no effect and never will
};

// Answer to the call with the same id. Every call gets exactly one.
struct ObjectResult {
  uint64_t id = 0;
  ObjectOutcome outcome = ObjectOutcome::kOk;
  uint64_t version = 0;  // kOk only
  std::string value;     // kOk of a read only
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTHORITY_OBJECT_CALL_H_
