#include <cstdlib>
#include <iostream>

#include "cli/command.h"
#include "endiveyard/front/front_instance.h"
#include "platform/process_settings.h"

namespace endiveyard {

namespace po = boost::program_options;

int RunFrontCommand(const Arguments& arguments) {
  uint16_t metrics_port = 0;
  po::options_description options("endiveyard front");
  options.add_options()("help", "print this text")(
      "metrics-port", po::value(&metrics_port)->default_value(0),
      "port of the metrics on the callers' address; 0 serves none")(
      "check", "check the settings and end");
  po::variables_map values;
  int exit_code = kExitOk;
  if (!ParseArguments(options, arguments, &values, &exit_code)) {
    return exit_code;
  }
  const auto settings = platform::LoadProcessSettings();
  if (!settings.ok()) {
    std::cerr << "endiveyard: " << settings.status().message() << "\n";
    return kExitUsage;
  }
  if (values.count("check") > 0) {
    std::cout << "settings of " << settings->instance << " are valid\n";
    return kExitOk;
  }
  FrontInstance instance(*settings, metrics_port);
  if (const absl::Status status = instance.Run(); !status.ok()) {
    std::cerr << "endiveyard: " << status.message() << "\n";
    return kExitFailed;
  }
  // Open requests are finished and nothing has to last. With an orderly end,
  // the process stayed until it was killed at the end of its grace; whether our
  // destructors or exit handlers of libraries held it is not known.
  std::_Exit(kExitOk);
}

}  // namespace endiveyard
