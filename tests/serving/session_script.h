#ifndef TESTS_SERVING_SESSION_SCRIPT_H_
#define TESTS_SERVING_SESSION_SCRIPT_H_

#include <string>
#include <vector>

namespace endiveyard {

struct SessionResult {
  std::string transcript;
  std::vector<std::string> violations;
};

// Runs a script of timed events and returns every action that the cores took.
// Each line is "@MILLISECONDS INSTANCE EVENT ARGUMENTS"; "#" starts a comment.
// The events are those of RunEvent() in session_script.cc. Intents go to one
// log that all instances of the session share.
SessionResult RunSession(const std::string& script);

}  // namespace endiveyard

#endif  // TESTS_SERVING_SESSION_SCRIPT_H_
