#include <iostream>

#include "cli/command.h"
#include "cli/instance_query.h"

namespace endiveyard {

namespace po = boost::program_options;

int RunStatusCommand(const Arguments& arguments) {
  std::string url = "http://127.0.0.1:8080";
  po::options_description options("endiveyard status");
  options.add_options()("help", "print this text")("url", po::value(&url),
                                                   "URL of the instance");
  po::variables_map values;
  int exit_code = kExitOk;
  if (!ParseArguments(options, arguments, &values, &exit_code)) {
    return exit_code;
  }
  const auto response = QueryInstance(url, "GET", "/status", "", "");
  if (!response.ok()) {
    std::cerr << response.status().message() << "\n";
    return kExitFailed;
  }
  std::cout << *response << "\n";
  return kExitOk;
}

}  // namespace endiveyard
