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
      "port for metrics on the address that callers connect to; 0 disables "
      "them")("check", "check the settings and exit");
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
  // All open requests have finished and there is no state to save. After a
  // normal return, the process hung until it was killed at the end of its grace
  // period; whether destructors or exit handlers of libraries block is not
  // known.
  std::_Exit(kExitOk);
}

}  // namespace endiveyard
