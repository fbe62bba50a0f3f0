#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdlib>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "endiveyard/relay/sse_splitter.h"

// The splitter against a simple reader of whole streams that is written after
// the standard (HTML, "Server-sent events"), for random streams and splits.
namespace endiveyard {
namespace {

struct Expected {
  std::string forwarded;
  std::vector<size_t> ends;  // of the events in `forwarded`
  std::optional<int64_t> last_id;
  bool is_position_known = true;
  bool has_gap = false;
  bool is_overlong = false;
  bool has_partial_event = false;
};

struct Line {
  std::string text;
  std::string end;
};

std::vector<Line> LinesOf(const std::string& stream, std::string* rest) {
  std::vector<Line> lines;
  Line line;
  for (size_t n = 0; n < stream.size(); ++n) {
    if (stream[n] != '\r' && stream[n] != '\n') {
      line.text += stream[n];
      continue;
    }
    line.end = stream[n];
    if (stream[n] == '\r' && n + 1 < stream.size() && stream[n + 1] == '\n') {
      line.end = "\r\n";
      ++n;
    }
    lines.push_back(std::exchange(line, {}));
  }
  *rest = line.text;
  return lines;
}

bool IsNumber(std::string text, int64_t* number) {
  text.erase(0, std::min(text.find_first_not_of(' '), text.size()));
  const size_t digits = text.compare(0, 1, "-") == 0 ? 1 : 0;
  if (text.size() == digits ||
      text.find_first_not_of("0123456789", digits) != std::string::npos) {
    return false;
  }
  errno = 0;
  *number = std::strtoll(text.c_str(), nullptr, 10);
  return errno == 0;
}

// Reads the whole stream, of which the caller has what ends with `last_id`. An
// event whose id is more than one above the one before it is out of sequence,
// which the next id shows, unless the target numbers events by tokens.
Expected Read(const std::string& stream,
              std::optional<int64_t> last_id,
              bool by_tokens) {
  Expected expected;
  expected.last_id = last_id;
  std::optional<int64_t> held_id;
  bool confirmed = last_id.has_value();
  std::string rest;
  std::string event;
  std::optional<std::string> id;
  bool has_data = false;
  bool has_text = false;  // in any event so far
  std::vector<Line> lines = LinesOf(stream, &rest);
  // More bytes may belong to a line end at the end of a stream whose last line
  // with text ended in CRLF.
  const auto last_text =
      std::find_if(lines.rbegin(), lines.rend(),
                   [](const Line& it) { return !it.text.empty(); });
  if (rest.empty() && last_text != lines.rend() && last_text->end == "\r\n" &&
      lines.back().text.empty() && lines.back().end == "\r") {
    rest = "\r";
    lines.pop_back();
  }
  for (const Line& it : lines) {
    if (!it.text.empty() &&
        event.size() + it.text.size() > SseSplitter::kMaxEventBytes) {
      expected.is_overlong = true;
      return expected;
    }
    event += it.text + it.end;
    has_text = has_text || !it.text.empty();
    if (!it.text.empty()) {
      const size_t colon = it.text.find(':');
      const std::string name = it.text.substr(0, colon);
      std::string value =
          colon == std::string::npos ? "" : it.text.substr(colon + 1);
      value.erase(0, value.compare(0, 1, " ") == 0 ? 1 : 0);
      has_data = has_data || name == "data";
      if (name == "id") {
        id = value;
      }
      continue;
    }
    if (!has_text) {
      continue;  // empty lines before the first event
    }
    int64_t number = 0;
    const bool is_number = id && IsNumber(*id, &number);
    const bool rises =
        !id || (is_number && (!expected.last_id || number > *expected.last_id));
    if (!rises || (id && held_id)) {
      expected.has_gap = true;
      const bool refutes_held = rises && held_id && number <= *held_id;
      expected.is_position_known =
          expected.is_position_known &&
          (!expected.last_id || confirmed || refutes_held);
      return expected;
    }
    const bool is_one =
        id && expected.last_id && number - 1 == *expected.last_id;
    if (id && expected.last_id && !is_one && !by_tokens) {
      held_id = number;
    } else if (id) {
      confirmed = is_one;
      expected.last_id = number;
    } else if (has_data) {
      expected.is_position_known = false;
    }
    // What is held is passed on by nothing that follows here.
    const std::string complete = std::exchange(event, "");
    if (!held_id) {
      expected.forwarded += complete;
      expected.ends.push_back(expected.forwarded.size());
    }
    id.reset();
    has_data = false;
  }
  event += rest;
  expected.is_overlong = !rest.empty() && rest != "\r" &&
                         event.size() > SseSplitter::kMaxEventBytes;
  expected.has_partial_event = !expected.is_overlong && !event.empty();
  return expected;
}

class StreamWriter {
 public:
  explicit StreamWriter(uint64_t seed) : random_(seed) {}

  int Draw(int max) {
    return std::uniform_int_distribution<int>(0, max)(random_);
  }

  std::string Stream() {
    const std::string ends[] = {"\n", "\r\n", "\r", ""};
    end_ = ends[Draw(3)];  // empty: mixed
    next_id_ = Draw(9) == 0 ? Draw(20) : 1;
    std::string stream;
    for (int n = Draw(8); n >= 0; --n) {
      stream += Event();
    }
    if (Draw(3) == 0) {
      stream.resize(static_cast<size_t>(Draw(static_cast<int>(stream.size()))));
    }
    return stream;
  }

  // Splits `bytes` at random.
  std::vector<std::string> Split(const std::string& bytes) {
    const int longest[] = {1, 3, 40, 4096, 100000};
    const int max = longest[Draw(bytes.size() > 1000 ? 4 : 2)];
    std::vector<std::string> pieces;
    for (size_t n = 0; n < bytes.size();) {
      const int size = 1 + Draw(max - 1);
      pieces.push_back(bytes.substr(n, static_cast<size_t>(size)));
      n += pieces.back().size();
    }
    return pieces;
  }

 private:
  std::string End() {
    const std::string ends[] = {"\n", "\r\n", "\r"};
    return end_.empty() ? ends[Draw(2)] : end_;
  }

  std::string Id() {
    const std::string number = std::to_string(next_id_);
    constexpr int kRare = 40;
    switch (Draw(kRare)) {
      case 0:
        return "id: 0" + number;
      case 1:
        return "id: +" + number;
      case 2:
        return "id:  " + number;
      case 3:
        return "id: " + number + " ";
      case 4:
        return "id:";
      case 5:
        return "id";
      case 6:
        return "id: 99999999999999999999";
      case 7:
        return "id: 9223372036854775807";
      case 8:
        return "id: -9223372036854775808";
      case 9:
        return "id: " + number + std::string(1, '\0');
      case 10:
        return "id: " + std::to_string(next_id_ + 1 - Draw(2));
      case 11:
        return "id: " + number + End() + "id: x";
      case 12:
        return "id: x" + End() + "id: " + number;
      case 13:
        return "id:" + number;
      default:
        return "id: " + number;
    }
  }

  std::string Event() {
    constexpr int kRare = 30;
    const int kind = Draw(kRare);
    if (kind == 0) {
      return ": between" + End() + End();
    }
    if (kind == 1) {
      return End();
    }
    std::string event;
    const auto add = [&event, this](const std::string& line) {
      event += line + End();
    };
    if (Draw(9) == 0) {
      add("endiveyard-weight-versions: 3");
    }
    if (kind != 2) {
      add(Id());
      ++next_id_;
    }
    for (int n = Draw(3); n > 0; --n) {
      const std::string lines[] = {"data: a",  "data:",       "data",
                                   ": within", "idle: 7",     "dataset: x",
                                   "retry: 3", "event: id: 9"};
      add(lines[Draw(std::size(lines) - 1)]);
    }
    if (kind == 3 && Draw(3) == 0) {
      // About as long as events may be.
      const size_t size =
          SseSplitter::kMaxEventBytes - 12 + static_cast<size_t>(Draw(16));
      add("data: " + std::string(size - std::min(size, event.size()), 'y'));
    }
    return event + End();
  }

  std::mt19937_64 random_;
  std::string end_;
  int64_t next_id_ = 1;
};

std::string Shown(const std::string& bytes) {
  constexpr size_t kMaxShown = 300;
  std::string shown;
  for (const char c : bytes.substr(0, kMaxShown)) {
    shown += c == '\n' ? "\\n" : c == '\r' ? "\\r" : std::string(1, c);
  }
  return shown;
}

}  // namespace

// Guards against events whose bytes are changed, lost or cut, and against a
// position other than that of the caller, depending on how a stream is written
// and split into reads.
BOOST_AUTO_TEST_CASE(AnySplitGivesTheEventsOfTheStandard) {
  constexpr uint64_t kStreams = 10000;
  int gaps = 0;
  int overlong = 0;
  int whole = 0;
  for (uint64_t seed = 1; seed <= kStreams; ++seed) {
    StreamWriter writer(seed);
    const std::string stream = writer.Stream();
    SseSplitter splitter;
    std::optional<int64_t> before;
    if (writer.Draw(4) == 0) {
      before = writer.Draw(2);
      splitter.StartAfter(*before);
    }
    const bool by_tokens = writer.Draw(2) == 0;
    constexpr auto kLargest = std::numeric_limits<int64_t>::max();
    splitter.BeginRun(by_tokens
                          ? EventStepRule{EventNumbering::kByTokens, kLargest}
                          : EventStepRule{EventNumbering::kByOne, 1});
    const Expected expected = Read(stream, before, by_tokens);
    BOOST_TEST_CONTEXT("seed " << seed << ": " << Shown(stream)) {
      std::string forwarded;
      for (const std::string& it : writer.Split(stream)) {
        forwarded += splitter.Feed(it);
        // An event may end before the LF of its last line end.
        const bool at_end =
            forwarded.empty() ||
            forwarded.size() == expected.forwarded.size() ||
            std::any_of(expected.ends.begin(), expected.ends.end(),
                        [&](size_t end) {
                          return end == forwarded.size() ||
                                 (end == forwarded.size() + 1 &&
                                  forwarded.back() == '\r' &&
                                  stream[forwarded.size()] == '\n');
                        });
        BOOST_TEST_REQUIRE(at_end);
        if (splitter.has_gap() || splitter.is_overlong()) {
          break;
        }
      }
      BOOST_TEST_REQUIRE((forwarded == expected.forwarded));
      BOOST_TEST_REQUIRE(splitter.has_gap() == expected.has_gap);
      BOOST_TEST_REQUIRE(splitter.is_overlong() == expected.is_overlong);
      BOOST_TEST_REQUIRE((splitter.last_id() == expected.last_id));
      BOOST_TEST_REQUIRE(splitter.is_position_known() ==
                         expected.is_position_known);
      BOOST_TEST_REQUIRE(splitter.has_partial_event() ==
                         expected.has_partial_event);
    }
    gaps += expected.has_gap ? 1 : 0;
    overlong += expected.is_overlong ? 1 : 0;
    whole += !expected.has_gap && !expected.has_partial_event ? 1 : 0;
  }
  // The streams are of all kinds.
  constexpr int kMinOfEach = 100;
  BOOST_TEST(gaps > kMinOfEach);
  BOOST_TEST(overlong > kMinOfEach);
  BOOST_TEST(whole > kMinOfEach);
}

}  // namespace endiveyard
