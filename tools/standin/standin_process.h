#ifndef ENDIVEYARD_TOOLS_STANDIN_STANDIN_PROCESS_H_
#define ENDIVEYARD_TOOLS_STANDIN_STANDIN_PROCESS_H_

namespace endiveyard {

// Blocks SIGINT and SIGTERM for all threads started later. Call first.
void BlockStopSignals();

// Returns once SIGINT or SIGTERM arrives.
void WaitForStopSignal();

}  // namespace endiveyard

#endif  // ENDIVEYARD_TOOLS_STANDIN_STANDIN_PROCESS_H_
