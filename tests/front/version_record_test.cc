#include "front/version_record.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

TimePoint At(int64_t seconds) {
  return TimePointFromMicros(seconds * 1000000);
}

constexpr int64_t kUnixMs = 1790000000000;

}  // namespace

// Guards against a record that says something else to its reader than to its
// writer, whose clocks differ.
BOOST_AUTO_TEST_CASE(RecordsAreReadWithAMarginForClocks) {
  const VersionPeriods written = {
      {"a \"service\"",
       {{At(10), {{"v1", {3, 4}}}},
        {At(50), {{"v1", {1, 2}}, {"v2", {0, 9}}}}}},
      {"other", {{At(60), {}}}}};
  const std::string text = EncodeVersionRecord(written, At(100), kUnixMs);
  // The process that reads has another steady clock, and reads 5 s later.
  const VersionPeriods read =
      DecodeVersionRecord(text, At(1000), kUnixMs + 5000);
  const VersionPeriods expected = {
      {"a \"service\"",
       {{At(908), {{"v1", {3, 4}}}},
        {At(948), {{"v1", {1, 2}}, {"v2", {0, 9}}}}}},
      {"other", {{At(958), {}}}}};
  BOOST_TEST((read == expected));
  // Times in the future are now.
  const VersionPeriods early =
      DecodeVersionRecord(text, At(1000), kUnixMs - 300000);
  BOOST_TEST((early.at("other").front().since == At(1000)));
}

// Guards against records that cannot be read, or hold numbers that are out of
// range: their services count as unknown.
BOOST_AUTO_TEST_CASE(MalformedRecordsAreUnknown) {
  for (const char* text :
       {"", "[]", "{", "{\"services\":[]}", "{\"services\":{\"a\":{}}}",
        R"({"services":{"a":[{"since_ms":"1","versions":{}}]}})",
        R"({"services":{"a":[{"since_ms":1}]}})",
        R"({"services":{"a":[{"since_ms":1,"versions":{"v":[2,1]}}]}})",
        R"({"services":{"a":[{"since_ms":1,"versions":{"v":[-1,1]}}]}})",
        R"({"services":{"a":[{"since_ms":1,"versions":{"v":[1,1e300]}}]}})",
        R"({"services":{"a":[{"since_ms":1,"versions":{"v":[1]}}]}})"}) {
    BOOST_TEST(DecodeVersionRecord(text, At(1), kUnixMs).empty(), text);
  }
  // Periods that are not in order.
  BOOST_TEST(
      DecodeVersionRecord(
          R"({"services":{"a":[{"since_ms":1789999999000,"versions":{}},)"
          R"({"since_ms":1789999990000,"versions":{}}]}})",
          At(1000), kUnixMs)
          .empty());
  // The other services hold.
  BOOST_TEST(DecodeVersionRecord(
                 R"({"services":{"a":7,"b":[{"since_ms":-9,"versions":{}}]}})",
                 At(1), kUnixMs)
                 .count("b") == 1u);
}

// Guards against the record of a later build that cannot be read.
BOOST_AUTO_TEST_CASE(FieldsOfLaterBuildsInRecordsAreIgnored) {
  const VersionPeriods read = DecodeVersionRecord(
      R"({"format":2,"services":{"s":[{"since_ms":1789999990000,"by":"i-1",)"
      R"("versions":{"v1":[2,3]}}]},"more":[{}]})",
      At(100), kUnixMs);
  BOOST_TEST((read == VersionPeriods{{"s", {{At(93), {{"v1", {2, 3}}}}}}}));
}

// Guards against a write for each replica that comes or goes where that does
// not matter.
BOOST_AUTO_TEST_CASE(NumbersOfASingleVersionAreNotRecorded) {
  const auto one = [](VersionCounts counts) {
    return VersionPeriods{{"s", {{At(1), std::move(counts)}}}};
  };
  BOOST_TEST(!NeedsRecording({}, {}));
  BOOST_TEST(!NeedsRecording({}, one({})));
  BOOST_TEST(NeedsRecording({}, one({{"v1", {3, 3}}})));
  BOOST_TEST(!NeedsRecording(one({{"v1", {3, 3}}}), one({{"v1", {2, 2}}})));
  BOOST_TEST(NeedsRecording(one({{"v1", {3, 3}}}), one({{"v2", {3, 3}}})));
  BOOST_TEST(NeedsRecording(one({{"v1", {3, 3}}}),
                            one({{"v1", {3, 3}}, {"v2", {1, 1}}})));
  BOOST_TEST(NeedsRecording(one({{"v1", {3, 3}}, {"v2", {1, 1}}}),
                            one({{"v1", {2, 2}}, {"v2", {1, 1}}})));
}

// Guards against a record of an earlier era that passes for a present one, and
// against records of builds that state none.
BOOST_AUTO_TEST_CASE(EraOfARecordIsRead) {
  const TimePoint now = TimePointFromMicros(1000000000);
  BOOST_TEST(DecodeVersionRecordEra(EncodeVersionRecord({}, now, 1, 7)) == 7);
  BOOST_TEST(DecodeVersionRecordEra(EncodeVersionRecord({}, now, 1)) == 0);
  BOOST_TEST(DecodeVersionRecordEra("{\"services\":{}}") == 0);
  BOOST_TEST(DecodeVersionRecordEra("no record") == 0);
}

}  // namespace endiveyard
