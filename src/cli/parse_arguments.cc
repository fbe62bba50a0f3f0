#include <iostream>

#include "cli/command.h"

namespace endiveyard {

namespace po = boost::program_options;

bool ParseArguments(const po::options_description& options,
                    const Arguments& arguments,
                    po::variables_map* values,
                    int* exit_code) {
  try {
    po::store(po::command_line_parser(arguments).options(options).run(),
              *values);
    if (values->count("help") != 0) {
      std::cout << options;
      *exit_code = kExitOk;
      return false;
    }
    po::notify(*values);
  } catch (const po::error& error) {
    std::cerr << "endiveyard: " << error.what() << "\n" << options;
    *exit_code = kExitUsage;
    return false;
  }
  return true;
}

}  // namespace endiveyard
