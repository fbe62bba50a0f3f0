#include "cli/command.h"

#include <exception>
#include <iostream>

namespace endiveyard {
namespace {

void PrintUsage(const std::vector<CommandEntry>& commands, std::ostream& out) {
  out << "usage: endiveyard COMMAND [OPTIONS]\n\n";
  for (const CommandEntry& it : commands) {
    out << "  " << it.name << "\t" << it.summary << "\n";
  }
  out << "\nendiveyard COMMAND --help lists the options of a command.\n";
}

int Run(const std::vector<CommandEntry>& commands, const Arguments& arguments) {
  if (arguments.empty() || arguments[0] == "--help") {
    PrintUsage(commands, arguments.empty() ? std::cerr : std::cout);
    return arguments.empty() ? kExitUsage : kExitOk;
  }
  for (const CommandEntry& it : commands) {
    if (arguments[0] == it.name) {
      return it.run(Arguments(arguments.begin() + 1, arguments.end()));
    }
  }
  std::cerr << "endiveyard: unknown command '" << arguments[0] << "'\n";
  PrintUsage(commands, std::cerr);
  return kExitUsage;
}

}  // namespace

int RunProgram(const std::vector<CommandEntry>& commands,
               int argc,
               char** argv) {
  try {
    return Run(commands, Arguments(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "endiveyard: " << error.what() << "\n";
    return kExitFailed;
  }
}

}  // namespace endiveyard
