#include <algorithm>
#include <fstream>
#include <iostream>

#include "cli/command.h"
#include "endiveyard/telemetry/request_log_lines.h"

namespace endiveyard {

namespace po = boost::program_options;

int RunExplainLogCommand(const Arguments& arguments) {
  std::string id;
  std::vector<std::string> files;
  po::options_description options("endiveyard explain-log");
  options.add_options()("help", "print this text")(
      "request", po::value(&id)->required(), "id of the request")(
      "log", po::value(&files)->required()->multitoken(),
      "log files of the instances");
  po::variables_map values;
  int exit_code = kExitOk;
  if (!ParseArguments(options, arguments, &values, &exit_code)) {
    return exit_code;
  }
  std::vector<RequestLogLine> lines;
  for (const std::string& it : files) {
    std::ifstream file(it);
    if (!file) {
      std::cerr << "endiveyard: cannot read log file " << it << "\n";
      return kExitFailed;
    }
    CollectRequestLogLines(file, id, &lines);
  }
  std::stable_sort(lines.begin(), lines.end());
  for (const RequestLogLine& it : lines) {
    std::cout << it.text << "\n";
  }
  if (lines.empty()) {
    std::cerr << "endiveyard: no log line for request " << id << "\n";
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace endiveyard
