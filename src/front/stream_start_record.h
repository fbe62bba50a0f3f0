#ifndef ENDIVEYARD_SRC_FRONT_STREAM_START_RECORD_H_
#define ENDIVEYARD_SRC_FRONT_STREAM_START_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/placement/stream_starts.h"

namespace endiveyard {

// Where streams begin, with the time at which an instance last confirmed it
// (Unix ms), as one object in the registry.
using RecordedStreamStarts = std::map<StreamStart, int64_t>;

// Entries that were confirmed longer ago are confirmed again, or dropped.
inline constexpr Duration kStreamStartConfirmationInterval =
    std::chrono::hours(1);
inline constexpr Duration kRecordedStreamStartLifetime = std::chrono::hours(24);

std::string EncodeStreamStarts(const RecordedStreamStarts& starts);

// Returns the entries of a record. What cannot be read is left out, and so are
// entries beyond the limits of StreamStarts.
RecordedStreamStarts DecodeStreamStarts(std::string_view text);

// Returns `recorded` without old entries and with what was learned. The result
// equals `recorded` if there is nothing to write. In a full record, an entry
// replaces the one that was confirmed longest ago, if that is due again.
RecordedStreamStarts MergeStreamStarts(const RecordedStreamStarts& recorded,
                                       const std::vector<StreamStart>& learned,
                                       int64_t unix_ms);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_STREAM_START_RECORD_H_
