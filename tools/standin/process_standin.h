#ifndef ENDIVEYARD_TOOLS_STANDIN_PROCESS_STANDIN_H_
#define ENDIVEYARD_TOOLS_STANDIN_PROCESS_STANDIN_H_

namespace endiveyard {

// Blocks SIGINT and SIGTERM in the calling thread and the threads that it
// starts later. Call before any thread starts.
void BlockStopSignals();

// Blocks until SIGINT or SIGTERM arrives.
void WaitForStopSignal();

}  // namespace endiveyard

#endif  // ENDIVEYARD_TOOLS_STANDIN_PROCESS_STANDIN_H_
