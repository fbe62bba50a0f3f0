#include "cli/command.h"

int main(int argc, char** argv) {
  return endiveyard::RunProgram(
      {
          {"front", "run an instance on the users' platform",
           endiveyard::RunFrontCommand},
          {"serve", "run an instance", endiveyard::RunServeCommand},
          {"check", "check instance settings and fleet configuration files",
           endiveyard::RunCheckCommand},
          {"check-configuration",
           "check a configuration of the users' platform before it is sent",
           endiveyard::RunCheckConfigurationCommand},
          {"explain", "show how an instance would route a request",
           endiveyard::RunExplainCommand},
          {"explain-log", "print the log lines of one request in order",
           endiveyard::RunExplainLogCommand},
          {"bench", "send load and report latency, goodput and errors",
           endiveyard::RunBenchCommand},
          {"config",
           "show, compare or apply the fleet configuration, or list its "
           "history",
           endiveyard::RunConfigCommand},
          {"status", "show the state of an instance",
           endiveyard::RunStatusCommand},
      },
      argc, argv);
}
