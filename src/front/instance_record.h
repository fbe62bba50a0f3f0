#ifndef ENDIVEYARD_SRC_FRONT_INSTANCE_RECORD_H_
#define ENDIVEYARD_SRC_FRONT_INSTANCE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveyard {

// That an instance runs, as an object in the registry.
struct InstanceRecord {
  std::string ip;
  int64_t written_ms = 0;  // Unix time
  // What the instance tells those that do not hear it, as text without control
  // characters; may be empty.
  std::string report;

  bool operator==(const InstanceRecord& other) const {
    return ip == other.ip && written_ms == other.written_ms &&
           report == other.report;
  }
};

// Returns JSON.
std::string EncodeInstanceRecord(const InstanceRecord& record);

// Returns nullopt if the text is not the record of an instance.
std::optional<InstanceRecord> DecodeInstanceRecord(std::string_view text);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_INSTANCE_RECORD_H_
