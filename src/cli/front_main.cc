#include "cli/command.h"

// The program that the users' platform starts: the command `front` without the
// libraries that only other commands need. Until they are loaded, a SIGHUP ends
// a process.
int main(int argc, char** argv) {
  return endiveyard::RunProgram(
      {{"front", "run an instance on the users' platform",
        endiveyard::RunFrontCommand}},
      argc, argv);
}
