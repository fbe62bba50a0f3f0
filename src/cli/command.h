#ifndef ENDIVEYARD_SRC_CLI_COMMAND_H_
#define ENDIVEYARD_SRC_CLI_COMMAND_H_

#include <string>
#include <vector>

#include <boost/program_options.hpp>

namespace endiveyard {

// Exit codes of every command.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;  // the command was valid but failed
inline constexpr int kExitUsage = 2;   // invalid command line or settings

using Arguments = std::vector<std::string>;

struct CommandEntry {
  const char* name;
  const char* summary;
  int (*run)(const Arguments&);
};

// Runs the command that the first argument names, and returns the exit code of
// the program.
int RunProgram(const std::vector<CommandEntry>& commands,
               int argc,
               char** argv);

// Parses `arguments` into `values`. Returns false if the command has to end
// with
// `*exit_code`, since the help text or an error message was printed.
bool ParseArguments(const boost::program_options::options_description& options,
                    const Arguments& arguments,
                    boost::program_options::variables_map* values,
                    int* exit_code);

int RunExplainLogCommand(const Arguments& arguments);
int RunFrontCommand(const Arguments& arguments);
int RunServeCommand(const Arguments& arguments);
int RunCheckCommand(const Arguments& arguments);
int RunCheckConfigurationCommand(const Arguments& arguments);
int RunExplainCommand(const Arguments& arguments);
int RunBenchCommand(const Arguments& arguments);
int RunConfigCommand(const Arguments& arguments);
int RunStatusCommand(const Arguments& arguments);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_CLI_COMMAND_H_
