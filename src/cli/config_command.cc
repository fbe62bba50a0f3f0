#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/command.h"
#include "endiveyard/base/digest.h"
#include "endiveyard/base/error_kind.h"
#include "endiveyard/fleet/configuration_delta.h"
#include "endiveyard/fleet/configuration_text.h"
#include "endiveyard/instance/configuration_store.h"
#include "endiveyard/object_api/http_object_api.h"

namespace endiveyard {
namespace {

namespace po = boost::program_options;

struct ConfigOptions {
  std::string object_api = "127.0.0.1:9000";
  std::string file;
  std::string author;
  uint64_t base_version = 0;
  bool has_base_version = false;
};

int ReportError(const absl::Status& status) {
  std::cerr << status.message() << "\n";
  return kExitFailed;
}

absl::StatusOr<FleetConfiguration> ReadConfigurationFile(
    const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return MakeError(ErrorKind::kInvalidSettings,
                     path + ": cannot read the configuration file");
  }
  return ParseFleetConfiguration(text.str());
}

int PrintConfiguration(const ReplicaState& state) {
  std::cout << "# version " << state.version << "\n"
            << FormatFleetConfiguration(state.configuration);
  return kExitOk;
}

int PrintDiff(const ReplicaState& state, const ConfigOptions& options) {
  const auto desired = ReadConfigurationFile(options.file);
  if (!desired.ok()) {
    return ReportError(desired.status());
  }
  const auto delta = DiffConfigurations(state.configuration, *desired);
  for (const std::string& it : DescribeDelta(state.configuration, delta)) {
    std::cout << it << "\n";
  }
  return kExitOk;
}

int PrintHistory(const ReplicaState& state) {
  for (const ConfigurationEdit& it : state.edits) {
    std::cout << it.version << "\t" << it.author << "\t" << it.edit_id << "\n";
  }
  return kExitOk;
}

int ApplyConfiguration(ConfigurationStore& store,
                       const ReplicaState& state,
                       const ConfigOptions& options) {
  if (options.has_base_version && options.base_version != state.version) {
    std::cerr << "conflict: version " << state.version
              << " is in force, but the edit is based on version "
              << options.base_version << "\n";
    return kExitFailed;
  }
  const auto desired = ReadConfigurationFile(options.file);
  if (!desired.ok()) {
    return ReportError(desired.status());
  }
  EditRequested request;
  request.base_version = state.version;
  request.base = state.configuration;
  request.author = options.author;
  request.delta = FormatConfigurationDelta(
      DiffConfigurations(state.configuration, *desired));
  // Unique among writers: if the response is lost, the store looks for this id
  // in the log to find out whether the edit was appended.
  request.edit_id =
      Sha256Hex(options.author + std::to_string(getpid()) +
                std::to_string(BootClock::now().time_since_epoch().count()) +
                request.delta)
          .substr(0, 16);
  EditorOptions editor_options;
  editor_options.seed = Digest64(request.edit_id);
  const EditFinished finished = store.Edit(request, editor_options);
  if (finished.outcome == EditOutcome::kAccepted) {
    std::cout << "accepted as version " << finished.version << "\n";
    return kExitOk;
  }
  std::cerr << EditOutcomeName(finished.outcome) << "\n";
  for (const std::string& it : finished.explanation) {
    std::cerr << "  " << it << "\n";
  }
  return kExitFailed;
}

}  // namespace

int RunConfigCommand(const Arguments& arguments) {
  const std::string subcommand = arguments.empty() ? "" : arguments[0];
  ConfigOptions config;
  po::options_description options("endiveyard config get|diff|apply|history");
  options.add_options()("help", "print this text")(
      "object-api", po::value(&config.object_api), "IP:PORT")(
      "file", po::value(&config.file), "configuration file in TOML")(
      "author", po::value(&config.author)->default_value("operator"),
      "name shown in the history")(
      "base", po::value(&config.base_version),
      "version that the file is based on; the edit is refused if another "
      "version is in force");
  po::variables_map values;
  int exit_code = kExitOk;
  const bool has_subcommand = subcommand == "get" || subcommand == "diff" ||
                              subcommand == "apply" || subcommand == "history";
  const Arguments option_arguments(arguments.begin() + (has_subcommand ? 1 : 0),
                                   arguments.end());
  if (!ParseArguments(options, option_arguments, &values, &exit_code)) {
    return exit_code;
  }
  if (!has_subcommand || ((subcommand == "diff" || subcommand == "apply") &&
                          config.file.empty())) {
    std::cerr << options;
    return kExitUsage;
  }
  config.has_base_version = values.count("base") != 0;
  HttpObjectApi api(config.object_api);
  ConfigurationStore store(&api, kObjectCallTimeout);
  const auto state = store.ReadAll(BootClock::now());
  if (!state.ok()) {
    return ReportError(state.status());
  }
  if (subcommand == "get") {
    return PrintConfiguration(*state);
  }
  if (subcommand == "diff") {
    return PrintDiff(*state, config);
  }
  if (subcommand == "history") {
    return PrintHistory(*state);
  }
  return ApplyConfiguration(store, *state, config);
}

}  // namespace endiveyard
