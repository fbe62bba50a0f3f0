#include <exception>
#include <iostream>
#include <string>

#include "standin/engine_standin.h"
#include "standin/object_api_standin.h"
#include "standin/service_standin.h"

namespace {

using RunFunction = int (*)(int, char**);

struct StandinCommand {
  const char* name;
  RunFunction run;
};

constexpr StandinCommand kStandins[] = {
    {"engine", endiveyard::RunEngineStandin},
    {"service", endiveyard::RunServiceStandin},
    {"object-api", endiveyard::RunObjectApiStandin},
};

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  try {
    for (const StandinCommand& it : kStandins) {
      if (name == it.name) {
        return it.run(argc - 1, argv + 1);
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "standin " << name << ": " << error.what() << "\n";
    return 1;
  }
  std::cerr << "usage: standin engine|service|object-api [OPTIONS]\n";
  return 2;
}
