#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "cli/command.h"
#include "endiveyard/placement/service_map_check.h"
#include "platform/object_decoding.h"

namespace endiveyard {
namespace {

namespace po = boost::program_options;

absl::StatusOr<ServiceMap> ReadServiceMap(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return absl::NotFoundError("cannot read the file");
  }
  return platform::DecodeServiceMap(text.str());
}

const char* NameOf(FindingKind kind) {
  switch (kind) {
    case FindingKind::kError:
      return "error";
    case FindingKind::kWarning:
      return "warning";
    case FindingKind::kChange:
      return "change";
  }
  return "error";
}

}  // namespace

int RunCheckConfigurationCommand(const Arguments& given) {
  // The file may be named without its option.
  Arguments arguments = given;
  if (!arguments.empty() && arguments.front().rfind('-', 0) != 0) {
    arguments.insert(arguments.begin(), "--file");
  }
  std::string path;
  std::string in_force_path;
  po::options_description options(
      "endiveyard check-configuration FILE [--against FILE]");
  options.add_options()("help", "print this text")(
      "file", po::value(&path)->required(),
      "configuration of the users' platform, as JSON")(
      "against", po::value(&in_force_path),
      "version in force, to which it is compared");
  po::variables_map values;
  int exit_code = kExitOk;
  if (!ParseArguments(options, arguments, &values, &exit_code)) {
    return exit_code;
  }
  const auto map = ReadServiceMap(path);
  if (!map.ok()) {
    std::cerr << path << ": " << map.status().message() << "\n";
    return kExitFailed;
  }
  std::vector<ConfigurationFinding> findings = CheckServiceMap(*map);
  if (!in_force_path.empty()) {
    const auto in_force = ReadServiceMap(in_force_path);
    if (!in_force.ok()) {
      std::cerr << in_force_path << ": " << in_force.status().message() << "\n";
      return kExitUsage;
    }
    for (ConfigurationFinding& it : CompareServiceMaps(*in_force, *map)) {
      findings.push_back(std::move(it));
    }
  }
  for (const ConfigurationFinding& it : findings) {
    std::cout << NameOf(it.kind) << ": " << it.subject << ": " << it.text
              << "\n";
  }
  const auto errors = std::count_if(
      findings.begin(), findings.end(),
      [](const auto& it) { return it.kind == FindingKind::kError; });
  std::cout << map->routes.size() << " routes, " << map->services.size()
            << " services, " << errors << " errors\n";
  return errors == 0 ? kExitOk : kExitFailed;
}

}  // namespace endiveyard
