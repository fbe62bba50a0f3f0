#ifndef ENDIVEYARD_SRC_FRONT_STREAM_RECORD_H_
#define ENDIVEYARD_SRC_FRONT_STREAM_RECORD_H_

#include <string>
#include <string_view>
#include <vector>

#include "endiveyard/placement/stream_versions.h"

namespace endiveyard {

// The streams of one instance, as an object in the registry.

// Limit on the streams of one process that are recorded: 8 KB. A record may
// hold those of the process before as well.
inline constexpr size_t kMaxRecordedStreams = 500;

// Returns JSON: the keys of the streams by the digest of their version, in
// hexadecimal.
std::string EncodeStreamRecord(const std::vector<StreamReport>& streams);

// Returns the streams of a record. What cannot be read is left out.
std::vector<StreamReport> DecodeStreamRecord(std::string_view text);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_STREAM_RECORD_H_
