#include "endiveyard/telemetry/json_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <string>

#include "endiveyard/telemetry/log_event_numbers.h"

namespace endiveyard {
namespace {

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

// A pipe whose reading end the test empties when it wants to.
struct Pipe {
  Pipe() { BOOST_REQUIRE_EQUAL(pipe2(fds, O_CLOEXEC | O_NONBLOCK), 0); }
  ~Pipe() {
    close(fds[0]);
    close(fds[1]);
  }
  std::string ReadAll() {
    std::string text;
    char buf[65536];
    for (ssize_t n = 0; (n = read(fds[0], buf, sizeof buf)) > 0;) {
      text.append(buf, static_cast<size_t>(n));
    }
    return text;
  }
  int fds[2] = {-1, -1};
};

JsonLogOptions OptionsFor(const Pipe& pipe) {
  JsonLogOptions options;
  options.fd = pipe.fds[1];
  return options;
}

size_t Lines(const std::string& text) {
  return static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
}

}  // namespace

// Guards against a line that breaks because of what a caller put into a name.
BOOST_AUTO_TEST_CASE(OneEventIsOneJsonLine) {
  Pipe pipe;
  JsonLog log("i\"1", OptionsFor(pipe));
  JsonFields fields;
  fields.Text("request", "a\"b\\c\nd").Integer("n", 3).Flag("kept", true);
  log.Log(kLogRequestPlaced, fields, At(1000));
  log.Flush(At(1000));
  const std::string text = pipe.ReadAll();
  BOOST_TEST(Lines(text) == 1u);
  BOOST_TEST(text.find("\"event\":901,\"name\":\"request_placed\"") !=
             std::string::npos);
  BOOST_TEST(
      text.find("\"request\":\"a\\\"b\\\\c d\",\"n\":3,\"kept\":true}") !=
      std::string::npos);
}

// Guards against a volume that grows with the load: lines of requests beyond
// the bound are counted, lines about the process are written all the same.
BOOST_AUTO_TEST_CASE(RequestLinesAreBoundedAndCounted) {
  Pipe pipe;
  JsonLogOptions options = OptionsFor(pipe);
  options.max_lines_per_second = 10;
  JsonLog log("i", options);
  for (int n = 0; n < 50; ++n) {
    log.Log(kLogRequestFinished, JsonFields(), At(1000 + n));
  }
  log.Log(kLogRegistryLost, JsonFields(), At(1100));
  log.Flush(At(1100));
  BOOST_TEST(Lines(pipe.ReadAll()) == 11u);
  log.Flush(At(2500));
  const std::string counts = pipe.ReadAll();
  BOOST_TEST(counts.find("\"of_event\":903,\"count\":40") != std::string::npos);
  BOOST_TEST(log.suppressed() == 40u);
}

// Guards against an instance that waits for a slow reader of its log.
BOOST_AUTO_TEST_CASE(ASlowReaderBlocksNothing) {
  Pipe pipe;
  JsonLogOptions options = OptionsFor(pipe);
  options.max_lines_per_second = 1000000;
  options.max_buffered_bytes = 20000;
  JsonLog log("i", options);
  JsonFields fields;
  fields.Text("text", std::string(200, 'x'));
  for (int n = 0; n < 2000; ++n) {
    log.Log(kLogRequestFinished, fields, At(1000));
  }
  BOOST_TEST(log.suppressed() > 0u);
  // Nothing that was taken is lost once the reader goes on.
  size_t lines = 0;
  for (int n = 0; n < 20; ++n) {
    lines += Lines(pipe.ReadAll());
    log.Flush(At(1100));
  }
  BOOST_TEST(lines + log.suppressed() == 2000u);
}

}  // namespace endiveyard
