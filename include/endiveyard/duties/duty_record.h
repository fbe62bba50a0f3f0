#ifndef ENDIVEYARD_DUTIES_DUTY_RECORD_H_
#define ENDIVEYARD_DUTIES_DUTY_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "endiveyard/authority/authority_records.h"
#include "endiveyard/duties/duty_calls.h"

namespace endiveyard {

// Value of the object `duty-shards/platform`: who holds the duties, and what
// was reported last.
struct DutyRecord {
  ShardRecord shard;
  int64_t era = 0;       // of the registry when it was written
  uint32_t address = 0;  // IPv4 of the latest owner
  // Recorded before it was sent, so that a successor repeats exactly this one.
  std::optional<UsageReport> usage;
  // Earlier windows are not reported: whether they were is not known.
  int64_t first_window = 0;
};

// Text form: that of the shard, followed by one `key=value` line per field.
// Parsing returns false for malformed text and ignores unknown keys. O(size).
std::string FormatDutyRecord(const DutyRecord& record);
bool ParseDutyRecord(std::string_view text, DutyRecord* record);

// JSON object that holds a text, the form of a registry object.
std::string EncodeTextObject(std::string_view text);
std::optional<std::string> DecodeTextObject(std::string_view json);

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_DUTY_RECORD_H_
