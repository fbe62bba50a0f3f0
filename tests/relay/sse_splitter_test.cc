#include "endiveyard/relay/sse_splitter.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <sstream>
#include <string>

namespace endiveyard {

// Guards against events being cut or merged, wherever the stream is split into
// reads.
BOOST_AUTO_TEST_CASE(EventsAreWholeForEverySplit) {
  const std::string stream =
      "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: three\n\n";
  for (size_t n = 0; n <= stream.size(); ++n) {
    SseSplitter splitter;
    const std::string first = splitter.Feed(stream.substr(0, n));
    BOOST_TEST(!splitter.has_gap());
    BOOST_TEST((first.empty() || first.back() == '\n'));
    const std::string second = splitter.Feed(stream.substr(n));
    BOOST_TEST(!splitter.has_gap());
    BOOST_TEST(first + second == stream);
    BOOST_TEST(splitter.last_id().value_or(0) == 3);
    BOOST_TEST(!splitter.has_partial_event());
  }
}

// Guards against a resumed stream that leaves out an event, or repeats one that
// the caller already has.
BOOST_AUTO_TEST_CASE(MissingAndRepeatedEventsAreGaps) {
  SseSplitter splitter;
  splitter.StartAfter(4);
  splitter.Feed("id: 5\n\n");
  BOOST_TEST(!splitter.has_gap());
  // The next id tells a missing event from a damaged id, for what is learned of
  // the target. Until then, nothing is passed on.
  BOOST_TEST(splitter.Feed("id: 7\n\n").empty());
  BOOST_TEST(splitter.IsEndInDoubt());
  BOOST_TEST(splitter.Feed("id: 8\n\n").empty());
  BOOST_TEST(splitter.has_gap());
  BOOST_TEST(splitter.last_id().value_or(0) == 5);
  SseSplitter repeated;
  repeated.StartAfter(4);
  repeated.Feed("id: 4\n\n");
  BOOST_TEST(repeated.has_gap());
}

// Guards against events that are lost or forwarded although they are out of
// sequence: those before a gap are returned, and the last id is that of the
// last returned event.
BOOST_AUTO_TEST_CASE(EventsAreReturnedUpToAGap) {
  for (const char* wrong :
       {"id: 9\n\n", "id: 2\n\n", "id: x\n\n", "id: 3x\n\n", "id\n\n"}) {
    SseSplitter splitter;
    BOOST_TEST(splitter.Feed("id: 1\n\nid: 2\n\n" + std::string(wrong) +
                             "id: 4\n\nid: 5") == "id: 1\n\nid: 2\n\n");
    BOOST_TEST(splitter.has_gap());
    BOOST_TEST(splitter.last_id().value_or(0) == 2);
    BOOST_TEST(splitter.is_position_known());
    BOOST_TEST(!splitter.has_partial_event());
    BOOST_TEST(splitter.Feed("id:3\n\nid: 4\r\n\r\n") ==
               "id:3\n\nid: 4\r\n\r\n");
    BOOST_TEST(!splitter.has_gap());
  }
}

// Guards against sound streams that are cut: ids only have to increase, and an
// event may have several tokens.
BOOST_AUTO_TEST_CASE(EventsNumberedByTokensPass) {
  for (const char* ids : {"3 6 9 12", "10 20 30", "2 5 6 7 9", "1 4 8 9 10",
                          "0 7 9 10 11", "5 9223372036854775807"}) {
    BOOST_TEST_CONTEXT(ids) {
      std::istringstream in(ids);
      SseSplitter splitter;
      std::string sent;
      std::string forwarded;
      for (std::string id; in >> id;) {
        const std::string event = "id: " + id + "\ndata: a\n\n";
        sent += event;
        forwarded += splitter.Feed(event);
        BOOST_TEST(!splitter.has_gap());
      }
      BOOST_TEST(!splitter.IsEndInDoubt());
      BOOST_TEST(forwarded + splitter.TakeHeldEvent() == sent);
      BOOST_TEST(!splitter.has_partial_event());
      BOOST_TEST(splitter.is_position_known());
    }
  }
}

// Guards against events that wait where the target is known to number by
// tokens, or the stream has shown it.
BOOST_AUTO_TEST_CASE(OnlyUnusualStepsAreHeld) {
  SseSplitter known;
  known.BeginRun({EventNumbering::kByTokens, 4});
  for (const char* event : {"id: 1\n\n", "id: 5\n\n", "id: 6\n\n"}) {
    BOOST_TEST(known.Feed(event) == event);
  }
  BOOST_TEST(known.Feed("id: 15\n\n: wait\n\n").empty());
  BOOST_TEST(known.has_held_event());
  BOOST_TEST(!known.has_partial_event());
  BOOST_TEST(known.Feed("id: 16\n\n") == "id: 15\n\n: wait\n\nid: 16\n\n");
  BOOST_TEST(known.LargestStepOfRun(false) == 9);
  SseSplitter unknown;
  unknown.Feed("id: 3\n\nid: 6\n\nid: 9\n\n");
  BOOST_TEST(unknown.Feed("id: 12\n\n") == "id: 12\n\n");
}

// Guards against a damaged id that is passed on, or after which a stream is
// resumed, where events are numbered by tokens.
BOOST_AUTO_TEST_CASE(DamagedIdsAmongLargerStepsAreGaps) {
  SseSplitter splitter;
  BOOST_TEST(splitter.Feed("id: 3\n\nid: 6\n\nid: 90\n\nid: 12\n\n") ==
             "id: 3\n\nid: 6\n\n");
  BOOST_TEST(splitter.has_gap());
  BOOST_TEST(splitter.last_id().value_or(0) == 6);
  BOOST_TEST(splitter.is_position_known());
  // Which one is wrong cannot be told here.
  SseSplitter equal;
  equal.BeginRun({EventNumbering::kByTokens, 4});
  BOOST_TEST(equal.Feed("id: 3\n\nid: 7\n\nid: 7\n\n") == "id: 3\n\nid: 7\n\n");
  BOOST_TEST(equal.has_gap());
  BOOST_TEST(!equal.is_position_known());
  // A response that breaks off is resumed before what is in doubt.
  SseSplitter cut;
  BOOST_TEST(cut.Feed("id: 3\n\nid: 90\n\n") == "id: 3\n\n");
  cut.DropPartialEvent();
  BOOST_TEST(cut.last_id().value_or(0) == 3);
  BOOST_TEST(cut.is_position_known());
}

// Guards against a sound stream that is cut at the same event by each target:
// two that agree on an id are right.
BOOST_AUTO_TEST_CASE(IdsOnWhichTwoRunsAgreePass) {
  SseSplitter splitter;
  splitter.BeginRun({});
  BOOST_TEST(splitter.Feed("id: 1\n\nid: 2\n\nid: 5\n\nid: 6\n\n") ==
             "id: 1\n\nid: 2\n\n");
  BOOST_TEST(splitter.has_gap());
  splitter.BeginRun({});
  BOOST_TEST(splitter.Feed("id: 5\n\nid: 6\n\n") == "id: 5\n\nid: 6\n\n");
  // Not where events of other streams are numbered by one.
  const EventStepRule by_one = {EventNumbering::kByOne, 1};
  SseSplitter missing;
  missing.Feed("id: 1\n\nid: 2\n\nid: 5\n\nid: 6\n\n");
  missing.BeginRun(by_one);
  BOOST_TEST(missing.Feed("id: 5\n\nid: 6\n\n").empty());
  BOOST_TEST(missing.has_gap());
  SseSplitter other;
  other.Feed("id: 1\n\nid: 2\n\nid: 5\n\nid: 6\n\n");
  other.BeginRun({});
  BOOST_TEST(other.Feed("id: 3\n\nid: 5\n\nid: 6\n\n") == "id: 3\n\n");
  BOOST_TEST(other.has_gap());
}

// Guards against memory that a target takes with what follows a held event.
BOOST_AUTO_TEST_CASE(HeldEventsAreBounded) {
  SseSplitter splitter;
  splitter.Feed("id: 3\n\nid: 6\n\n");
  const std::string comment =
      ":" + std::string(SseSplitter::kMaxEventBytes / 2, 'x') + "\n\n";
  constexpr int kMaxComments = 6;
  int n = 0;
  while (!splitter.is_overlong() && n <= kMaxComments) {
    BOOST_TEST(splitter.Feed(comment).empty());
    ++n;
  }
  BOOST_TEST(n <= kMaxComments);
  BOOST_TEST(!splitter.has_partial_event());
}

// Guards against a stream that is resumed where its position means another one.
BOOST_AUTO_TEST_CASE(StreamsGoOnWhereTheyAreNumberedAlike) {
  const EventStepRule by_one = {EventNumbering::kByOne, 1};
  const EventStepRule by_tokens = {EventNumbering::kByTokens, 4};
  SseSplitter tokens;
  tokens.Feed("id: 3\n\nid: 6\n\nid: 9\n\n");
  BOOST_TEST(!tokens.IsNumberedLike(by_one));
  BOOST_TEST(tokens.IsNumberedLike(by_tokens));
  BOOST_TEST(tokens.IsNumberedLike({}));
  SseSplitter ones;
  ones.BeginRun(by_one);
  ones.Feed("id: 1\n\nid: 2\n\n");
  BOOST_TEST(ones.IsNumberedLike(by_one));
  BOOST_TEST(!ones.IsNumberedLike(by_tokens));
}

// Guards against a stream that is resumed after an id which may be wrong
// itself: the first one, if the second one does not follow it, or none at all.
BOOST_AUTO_TEST_CASE(PositionIsUnknownWhereTheLastIdIsInDoubt) {
  SseSplitter doubtful;
  BOOST_TEST(doubtful.Feed("id: 9\n\nid: 2\n\n") == "id: 9\n\n");
  BOOST_TEST(doubtful.has_gap());
  BOOST_TEST(!doubtful.is_position_known());
  SseSplitter resumed;
  resumed.StartAfter(4);
  BOOST_TEST(resumed.Feed("id: 9\n\n").empty());
  BOOST_TEST(resumed.is_position_known());
  SseSplitter unnumbered;
  unnumbered.Feed("id: 1\ndata: a\n\n: a comment\n\n");
  BOOST_TEST(unnumbered.is_position_known());
  unnumbered.Feed("data: b\n\n");
  BOOST_TEST(!unnumbered.has_gap());
  BOOST_TEST(!unnumbered.is_position_known());
}

// Guards against an overflow after the largest id, which any target can send:
// nothing follows it.
BOOST_AUTO_TEST_CASE(NothingFollowsTheLargestId) {
  const std::string largest = "id: 9223372036854775807\n\n";
  for (const char* next : {"id: -9223372036854775808\n\n", "id: 0\n\n"}) {
    SseSplitter splitter;
    BOOST_TEST(splitter.Feed(largest) == largest);
    BOOST_TEST(splitter.Feed(next).empty());
    BOOST_TEST(splitter.has_gap());
  }
}

// Guards against a position other than that of the caller, for whom the last id
// of an event counts.
BOOST_AUTO_TEST_CASE(TheLastIdOfAnEventCounts) {
  SseSplitter corrected;
  corrected.Feed("id: 1\n\nid: 9\nid: 2\n\n");
  BOOST_TEST(!corrected.has_gap());
  BOOST_TEST(corrected.last_id().value_or(0) == 2);
  for (const char* wrong : {"id: 2\nid: x\n\n", "id: 2\nid\n\n"}) {
    SseSplitter splitter;
    BOOST_TEST(splitter.Feed("id: 1\n\n" + std::string(wrong)) == "id: 1\n\n");
    BOOST_TEST(splitter.has_gap());
  }
}

// Guards against a partial event of a failed target being merged with the
// stream of the next target.
BOOST_AUTO_TEST_CASE(PartialEventsOfALostTargetAreDropped) {
  SseSplitter splitter;
  BOOST_TEST(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") ==
             "id: 1\ndata: a\n\n");
  BOOST_TEST(splitter.has_partial_event());
  splitter.DropPartialEvent();
  BOOST_TEST(splitter.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(!splitter.has_gap());
}

// Guards against a target that takes memory, or quadratic time, with bytes that
// never end an event: the splitter keeps a bounded number of bytes and scans
// each byte a bounded number of times.
BOOST_AUTO_TEST_CASE(EventsWithoutEndAreBounded) {
  SseSplitter splitter;
  const std::string piece(16384, 'x');
  BOOST_TEST(splitter.Feed("id: 1\n\n") == "id: 1\n\n");
  size_t fed = 0;
  while (!splitter.is_overlong()) {
    BOOST_TEST_REQUIRE(fed <= SseSplitter::kMaxEventBytes);
    BOOST_TEST(splitter.Feed(piece).empty());
    fed += piece.size();
  }
  BOOST_TEST(!splitter.has_partial_event());
  BOOST_TEST(splitter.last_id().value_or(0) == 1);
  // An event of the largest size passes, in any pieces.
  SseSplitter whole;
  std::string event = "id: 1\ndata: ";
  event.append(SseSplitter::kMaxEventBytes - event.size(), 'y');
  std::string forwarded;
  for (const char c : event) {
    forwarded += whole.Feed(std::string(1, c));
    BOOST_TEST_REQUIRE(!whole.is_overlong());
  }
  forwarded += whole.Feed("\n\n");
  BOOST_TEST((forwarded == event + "\n\n"));
}

// Guards against events that pass or not depending on the reads in which they
// arrive: one that is too long never does, also if it comes as a whole.
BOOST_AUTO_TEST_CASE(ReadsDoNotDecideWhetherAnEventIsTooLong) {
  const std::string first = "id: 1\n\n";
  std::string event = "id: 2\ndata: ";
  event.append(SseSplitter::kMaxEventBytes - event.size(), 'y');
  for (const bool too_long : {false, true}) {
    const std::string sent = event + (too_long ? "yy\n\n" : "\r\n\n");
    const std::string stream = first + sent;
    for (const size_t size : {size_t{1}, size_t{16384}, stream.size()}) {
      SseSplitter splitter;
      std::string forwarded;
      for (size_t n = 0; n < stream.size() && !splitter.is_overlong();
           n += size) {
        forwarded += splitter.Feed(stream.substr(n, size));
      }
      BOOST_TEST((forwarded == (too_long ? first : stream)));
      BOOST_TEST(splitter.is_overlong() == too_long);
      BOOST_TEST(!splitter.has_partial_event());
    }
  }
}

// Guards against a whole stream that counts as broken off in an event, because
// more than one empty line follows its last event.
BOOST_AUTO_TEST_CASE(SurplusEmptyLinesAreNoPartialEvent) {
  const std::string event = "id: 1\ndata: a\n\n";
  for (const char* surplus : {"\n", "\r\n", "\n\n\n"}) {
    SseSplitter splitter;
    BOOST_TEST(splitter.Feed(event + surplus) == event + surplus);
    BOOST_TEST(!splitter.has_partial_event());
    BOOST_TEST(splitter.is_position_known());
    BOOST_TEST(splitter.Feed("id: 2\n\n") == "id: 2\n\n");
    BOOST_TEST(!splitter.has_gap());
  }
}

// Guards against streams that never pass because their lines end with carriage
// returns, and against a position other than that of the caller, for whom a
// carriage return in an event ends a line. No event waits for the next one.
BOOST_AUTO_TEST_CASE(CarriageReturnsEndLines) {
  SseSplitter splitter;
  BOOST_TEST(splitter.Feed("id: 1\rdata: a\r\r") == "id: 1\rdata: a\r\r");
  BOOST_TEST(!splitter.has_partial_event());
  BOOST_TEST(splitter.Feed("id: 2\r\rid: 3\r") == "id: 2\r\r");
  BOOST_TEST(splitter.Feed("\r") == "id: 3\r\r");
  BOOST_TEST(splitter.last_id().value_or(0) == 3);
  // The rest of a line end that came apart.
  BOOST_TEST(splitter.Feed("\nid: 4\n\n") == "\nid: 4\n\n");
  BOOST_TEST(!splitter.has_gap());
  BOOST_TEST(splitter.Feed("data: b\rid: 5\n\n") == "data: b\rid: 5\n\n");
  BOOST_TEST(splitter.last_id().value_or(0) == 5);
  BOOST_TEST(splitter.is_position_known());
}

// The same for the largest id, where a caller names it.
BOOST_AUTO_TEST_CASE(NothingFollowsTheLargestIdThatACallerNames) {
  SseSplitter splitter;
  splitter.StartAfter(std::numeric_limits<int64_t>::max());
  BOOST_TEST(splitter.Feed("id: -9223372036854775808\n\n").empty());
  BOOST_TEST(splitter.has_gap());
}

// Guards against empty lines that begin an answer, or fill the memory, where no
// event ever follows. They are passed on with the first one.
BOOST_AUTO_TEST_CASE(EmptyLinesAloneAreNoEvent) {
  SseSplitter splitter;
  BOOST_TEST(splitter.Feed("\n\r\n").empty());
  BOOST_TEST(splitter.has_partial_event());
  BOOST_TEST(splitter.Feed("\nid: 1\n\n") == "\n\r\n\nid: 1\n\n");
  splitter.DropPartialEvent();
  BOOST_TEST(splitter.Feed("\n").empty());
  SseSplitter endless;
  endless.Feed(std::string(SseSplitter::kMaxEventBytes, '\n'));
  BOOST_TEST(!endless.is_overlong());
  endless.Feed("\n");
  BOOST_TEST(endless.is_overlong());
}

}  // namespace endiveyard
