#include <pplx/threadpool.h>
#include <signal.h>

#include <iostream>

#include "cli/command.h"
#include "endiveyard/instance/instance.h"
#include "endiveyard/settings/instance_settings.h"

namespace endiveyard {
namespace {

namespace po = boost::program_options;

sigset_t TerminationSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  return set;
}

}  // namespace

int RunServeCommand(const Arguments& arguments) {
  std::string settings_path;
  po::options_description options("endiveyard serve");
  options.add_options()("help", "print this text")(
      "settings", po::value(&settings_path)->required(),
      "instance settings file");
  po::variables_map values;
  int exit_code = kExitOk;
  if (!ParseArguments(options, arguments, &values, &exit_code)) {
    return exit_code;
  }
  const auto settings = LoadInstanceSettings(settings_path);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return kExitUsage;
  }
  // Threads that are started later inherit the mask, so that only sigwait()
  // below receives the signals.
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  crossplat::threadpool::initialize_with_threads(
      static_cast<size_t>(settings->http_threads()));
  Instance instance(*settings);
  if (const absl::Status status = instance.Start(); !status.ok()) {
    std::cerr << status.message() << "\n";
    return kExitFailed;
  }
  int received = 0;
  sigwait(&signals, &received);
  instance.Shutdown();
  return kExitOk;
}

}  // namespace endiveyard
