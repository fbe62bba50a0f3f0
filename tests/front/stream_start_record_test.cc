#include "front/stream_start_record.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

constexpr int64_t kUnixMs = 1790000000000;
constexpr int64_t kHourMs = 3600 * 1000;

StreamStart StartOf(const std::string& version, int64_t first_id) {
  return {{"a \"service\"", version, "chat"}, first_id};
}

}  // namespace

// Guards against a record that says something else to its reader than to its
// writer.
BOOST_AUTO_TEST_CASE(StreamStartsAreReadAsWritten) {
  const RecordedStreamStarts written = {{StartOf("v1", 1), kUnixMs},
                                        {StartOf("v1", 1000), kUnixMs - 7},
                                        {StartOf("v2", 0), kUnixMs}};
  BOOST_TEST((DecodeStreamStarts(EncodeStreamStarts(written)) == written));
}

// Guards against records that cannot be read, are of another build or hold
// values out of range: such entries count as unknown, the others hold.
BOOST_AUTO_TEST_CASE(MalformedStreamStartsAreLeftOut) {
  const std::string good =
      R"({"service":"s","version":"v","route":"r","first_id":1,)"
      R"("confirmed_ms":5,"later_field":{}})";
  for (const std::string entry :
       {"7", "{}", "[]", R"({"service":"s","version":"v","route":"r"})",
        R"({"service":"s","version":"v","route":"r","first_id":-1,)"
        R"("confirmed_ms":5})",
        R"({"service":"s","version":"v","route":7,"first_id":1,)"
        R"("confirmed_ms":5})",
        R"({"service":"s","version":"v","route":"r","first_id":1e300,)"
        R"("confirmed_ms":5})"}) {
    std::string text = "{\"starts\":[";
    text.append(entry).append(",").append(good).append("]}");
    const auto starts = DecodeStreamStarts(text);
    BOOST_TEST((starts == RecordedStreamStarts{{{{"s", "v", "r"}, 1}, 5}}),
               entry);
  }
  for (const char* text : {"", "{", "[]", "{\"starts\":{}}"}) {
    BOOST_TEST(DecodeStreamStarts(text).empty(), text);
  }
}

// Guards against instances that write the record again and again: because their
// clocks differ, or because it is full.
BOOST_AUTO_TEST_CASE(RecordsAreMergedOnlyForNews) {
  const StreamStart start = StartOf("v1", 1);
  const RecordedStreamStarts recorded = {{start, kUnixMs}};
  for (const int64_t now_ms : {kUnixMs - 48 * kHourMs, kUnixMs + 1000}) {
    BOOST_TEST((MergeStreamStarts(recorded, {start}, now_ms) == recorded));
  }
  BOOST_TEST((MergeStreamStarts(recorded, {start}, kUnixMs + kHourMs) ==
              RecordedStreamStarts{{start, kUnixMs + kHourMs}}));
  BOOST_TEST(MergeStreamStarts(recorded, {}, kUnixMs + 24 * kHourMs).empty());

  RecordedStreamStarts full;
  for (size_t n = 0; n < kMaxStreamGroups * kMaxKnownFirstIds; ++n) {
    full[StartOf("v" + std::to_string(n), 1)] =
        kUnixMs + static_cast<int64_t>(n);
  }
  const StreamStart added = StartOf("next", 1);
  BOOST_TEST((MergeStreamStarts(full, {added}, kUnixMs + kHourMs / 2) == full));
  const auto merged = MergeStreamStarts(full, {added}, kUnixMs + kHourMs);
  BOOST_TEST(merged.size() == full.size());
  BOOST_TEST(merged.count(added) == 1);
  BOOST_TEST(merged.count(StartOf("v0", 1)) == 0);
  const StreamStart future = StartOf("v1", 1);
  full[future] = kUnixMs + 10000 * kHourMs;
  BOOST_TEST(MergeStreamStarts(full, {added}, kUnixMs).count(future) == 0);
}

}  // namespace endiveyard
