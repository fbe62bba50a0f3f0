#ifndef ENDIVEYARD_OBJECT_API_LOG_CALLS_H_
#define ENDIVEYARD_OBJECT_API_LOG_CALLS_H_

#include <cstdint>
#include <string>

#include "endiveyard/base/time_point.h"
#include "endiveyard/object_api/object_api.h"
#include "endiveyard/object_log/log_truncation.h"
#include "endiveyard/object_log/object_log.h"

namespace endiveyard {

// These functions execute one call of a sequenced log. Each blocks for up to
// `timeout` and returns the event to pass to StepLog().
LogEntryCreateDone RunLogCall(ObjectApi* api,
                              const CreateLogEntry& call,
                              Duration timeout);
LogEntriesRead RunLogCall(ObjectApi* api,
                          const ReadLogEntries& call,
                          Duration timeout);
LogTruncationPointRead RunLogCall(ObjectApi* api,
                                  const ReadLogTruncationPoint& call,
                                  Duration timeout);

// Executes one call of a truncation and returns the event to pass to
// StepTruncation(). Precondition: `call` is not TruncationEnded.
TruncationEvent RunTruncationCall(ObjectApi* api,
                                  const TruncationAction& call,
                                  Duration timeout);

// Runs one truncation to its end; see StepTruncation(). Returns false if it
// has to be repeated. Makes up to 104 blocking calls.
bool RunTruncation(ObjectApi* api,
                   const std::string& log,
                   uint64_t through,
                   Duration timeout);

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_LOG_CALLS_H_
