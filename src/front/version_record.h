#ifndef ENDIVEYARD_SRC_FRONT_VERSION_RECORD_H_
#define ENDIVEYARD_SRC_FRONT_VERSION_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "endiveyard/placement/stream_versions.h"

namespace endiveyard {

// The numbers of replicas by service and version over the last minutes, as an
// object in the registry: the memory of the fleet for the case that all
// instances end at once.

// Times of the writer may differ from those of the reader by this much: clocks
// of instances jump by some seconds.
inline constexpr Duration kMaxClockDifference = std::chrono::seconds(3);

// Returns JSON. `unix_ms` is the time of day at `now`, `era` that of the
// registry; 0 if that is not known.
std::string EncodeVersionRecord(const VersionPeriods& periods,
                                TimePoint now,
                                int64_t unix_ms,
                                int64_t era = 0);

// Returns the era in which the record was written; 0 if it states none.
int64_t DecodeVersionRecordEra(std::string_view text);

// Returns the periods of a record. Each begins later by kMaxClockDifference
// than it says, so that none is taken for ended before it was. Entries that
// cannot be read are left out together with their service; text that is no
// record has no periods.
VersionPeriods DecodeVersionRecord(std::string_view text,
                                   TimePoint now,
                                   int64_t unix_ms);

// Returns true if the numbers that are in force differ from the last recorded
// ones in a way that matters: those of a single version do not.
bool NeedsRecording(const VersionPeriods& recorded,
                    const VersionPeriods& current);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_VERSION_RECORD_H_
