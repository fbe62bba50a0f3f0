#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/command.h"
#include "endiveyard/fleet/configuration_text.h"
#include "endiveyard/settings/instance_settings.h"

namespace endiveyard {

namespace po = boost::program_options;

int RunCheckCommand(const Arguments& arguments) {
  std::string settings_path;
  std::string fleet_path;
  po::options_description options("endiveyard check");
  options.add_options()("help", "print this text")(
      "settings", po::value(&settings_path), "instance settings file")(
      "fleet", po::value(&fleet_path), "fleet configuration file");
  po::variables_map values;
  int exit_code = kExitOk;
  if (!ParseArguments(options, arguments, &values, &exit_code)) {
    return exit_code;
  }
  if (settings_path.empty() && fleet_path.empty()) {
    std::cerr
        << "endiveyard check: expected --settings or --fleet, got neither\n";
    return kExitUsage;
  }
  if (!settings_path.empty()) {
    const auto settings = LoadInstanceSettings(settings_path);
    if (!settings.ok()) {
      std::cerr << settings.status().message() << "\n";
      exit_code = kExitUsage;
    }
  }
  if (!fleet_path.empty()) {
    std::ifstream file(fleet_path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
      std::cerr << fleet_path << ": cannot read the fleet configuration file\n";
      return kExitUsage;
    }
    const auto fleet = ParseFleetConfiguration(text.str());
    if (!fleet.ok()) {
      std::cerr << fleet_path << ": " << fleet.status().message() << "\n";
      exit_code = kExitUsage;
    }
  }
  if (exit_code == kExitOk) {
    std::cout << "ok\n";
  }
  return exit_code;
}

}  // namespace endiveyard
