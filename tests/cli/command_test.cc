#include "cli/command.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace endiveyard {
namespace {

// Runs an event loop with one handler that finds its own state to be wrong.
int RunLoopWithFault(const Arguments& /*arguments*/) {
  boost::asio::io_context io;
  bool has_gone_on = false;
  boost::asio::post(io, [] { throw std::logic_error("wrong state"); });
  boost::asio::post(io, [&] { has_gone_on = true; });
  io.run();
  return has_gone_on ? kExitOk : kExitUsage;
}

}  // namespace

// Guards against a process that goes on with a state that may be wrong: an
// exception of a handler ends it with a status that says so.
BOOST_AUTO_TEST_CASE(ExceptionsOfHandlersEndTheProcess) {
  const char* const arguments[] = {"endiveyard", "loop"};
  BOOST_TEST(RunProgram({{"loop", "", RunLoopWithFault}}, 2,
                        const_cast<char**>(arguments)) == kExitFailed);
}

}  // namespace endiveyard
