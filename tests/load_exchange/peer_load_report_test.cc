#include "endiveyard/load_exchange/peer_load_report.h"

#include <algorithm>

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <boost/test/unit_test.hpp>

#include "load_exchange/generated/load_report.capnp.h"

namespace endiveyard {
namespace {

PeerLoadReport MakeReport() {
  PeerLoadReport report;
  report.sender = 0x0a010026;
  report.sequence = 17;
  report.region = 99;
  report.leaving = true;
  report.takes_requests = true;
  report.takes_last_requests = true;
  report.work = {{1, 2, 3}, {0xffffffffffffffff, 64, 540000}};
  report.scope = ReportScope::kRegion;
  report.interval = std::chrono::milliseconds(430);
  report.cached = {{0, {5, 12000, {0x5c1e07a2, 7}, {8}}},
                   {0x0a010029, {0xfffffffffffffffe, 0, {9}, {}}}};
  report.members = {{0x0a010027, 99, std::chrono::milliseconds(1250)},
                    {0x0a020001, 5, Duration(0), true}};
  report.profiles = {{77, {{51.125, 5.0}, 40, 12}}};
  report.crashes = {
      {0xfffffffffffffffd,
       std::chrono::milliseconds(1250),
       false,
       {{{3, 0xffffffff}, std::chrono::milliseconds(1700), true}, {}},
       {7}},
      {4, std::chrono::minutes(9), true, {}, {}}};
  report.rate_limits = {{0xfffffffffffffffc, 4.625, Duration(0)},
                        {6, std::nullopt, std::chrono::milliseconds(1500)}};
  report.leaving_replicas = {{0xfffffffffffffffb, Duration(0)},
                             {8, std::chrono::minutes(9)}};
  return report;
}

// Returns `bytes`, a report, as a build sends it that knows this many more
// fields, or fewer if the numbers are negative: words of numbers, and lists.
std::string ReportOfOtherBuild(const std::string& bytes, int words, int lists) {
  kj::ArrayInputStream in(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
  capnp::PackedMessageReader known(in);
  const capnp::AnyStruct::Reader from = known.getRoot<capnp::AnyStruct>();
  const auto resized = [](size_t size, int change) {
    return static_cast<uint16_t>(static_cast<int>(size) + change);
  };
  capnp::MallocMessageBuilder message;
  const size_t known_words = from.getDataSection().size() / sizeof(capnp::word);
  const size_t known_lists = from.getPointerSection().size();
  auto to = message.getRoot<capnp::AnyPointer>().initAsAnyStruct(
      resized(known_words, words), resized(known_lists, lists));
  auto numbers = to.getDataSection();
  std::fill(numbers.begin(), numbers.end(), kj::byte{0xff});
  std::copy_n(from.getDataSection().begin(),
              std::min(numbers.size(), from.getDataSection().size()),
              numbers.begin());
  auto pointers = to.getPointerSection();
  for (unsigned n = 0; n < pointers.size(); ++n) {
    if (n < known_lists) {
      pointers[n].set(from.getPointerSection()[n]);
    } else {
      pointers[n].setAs<capnp::Text>("of a later build");
    }
  }
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto array = out.getArray();
  return {reinterpret_cast<const char*>(array.begin()), array.size()};
}

}  // namespace

// Guards against reports that change when they are encoded and decoded.
BOOST_AUTO_TEST_CASE(EncodedReportsDecodeUnchanged) {
  const auto decoded = DecodePeerLoadReport(EncodePeerLoadReport(MakeReport()));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == MakeReport()));
}

// An instance in a large fleet has work on 500 engines. Guards against a report
// that exceeds the limits of its receivers, which would drop it.
BOOST_AUTO_TEST_CASE(LargestReportIsWithinTheLimits) {
  PeerLoadReport report = MakeReport();
  for (uint64_t n = 0; n < 500; ++n) {
    const uint64_t key = n * 0x9e3779b97f4a7c15;
    report.work.push_back({key, 64, 540000});
    report.cached.push_back({0, {~key, 1000000000, {}, {}}});
  }
  for (uint64_t n = 0; n < 48; ++n) {
    report.cached[2].update.parts.push_back(0x5c1e07a2 + n);
  }
  for (uint32_t n = 0; n < 48; ++n) {
    report.rate_limits.push_back(
        {~static_cast<uint64_t>(n), 4000000, std::chrono::minutes(1)});
  }
  for (uint32_t n = 0; n < 32; ++n) {
    report.leaving_replicas.push_back(
        {~static_cast<uint64_t>(n), std::chrono::minutes(9)});
  }
  for (uint64_t n = 0; n < 4; ++n) {
    report.paces.push_back({~n, std::chrono::milliseconds(500), 12.34, 123.45});
  }
  for (uint32_t n = 0; n < 8; ++n) {
    SuspectKeys keys;
    for (uint32_t key = 0; key < 16; ++key) {
      keys.push_back(0x9e3779b9 * (16 * n + key));
    }
    report.crashes.push_back({~static_cast<uint64_t>(n),
                              Duration(0),
                              false,
                              {{keys, {}, true}},
                              {}});
  }
  // The last crash of a report may have more keys than the others together.
  CrashReport& largest = report.crashes.emplace_back();
  for (uint32_t n = 0; n < kMaxKeysPerCrashReport; ++n) {
    const SuspectKey key = 0x85ebca6b * (n + 1);
    largest.cleared.push_back(~key);
    if (n % (kMaxKeysPerCrashReport / kMaxLostCallsPerCrash) == 0) {
      largest.calls.push_back({{}, {}, false});
    }
    largest.calls.back().keys.push_back(key);
  }
  const std::string bytes = EncodePeerLoadReport(report);
  BOOST_TEST(bytes.size() <= kMaxPeerLoadReportBytes);
  // Paces take the space of rate limits.
  PeerLoadReport with_paces = report;
  with_paces.rate_limits.resize(16);  // of 48
  for (uint64_t n = 4; n < 32; ++n) {
    with_paces.paces.push_back(
        {~n, std::chrono::milliseconds(500), 12.34, 123.45});
  }
  BOOST_TEST(EncodePeerLoadReport(with_paces).size() <=
             kMaxPeerLoadReportBytes);
  const auto decoded = DecodePeerLoadReport(bytes);
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == report));
}

// Guards against a report of a later build that is dropped or read differently.
BOOST_AUTO_TEST_CASE(FieldsOfLaterBuildsAreIgnored) {
  const std::string bytes = EncodePeerLoadReport(MakeReport());
  const auto decoded = DecodePeerLoadReport(ReportOfOtherBuild(bytes, 2, 2));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == MakeReport()));
}

// Guards against a report of an earlier build that is dropped, or whose sender
// is taken for one that takes forwarded requests or tells of its streams.
BOOST_AUTO_TEST_CASE(FieldsThatEarlierBuildsLackAreEmpty) {
  PeerLoadReport report = MakeReport();
  report.streams = {{21, 22}};
  // Without the list of streams and the four fields after it, as before
  // 9f6e6aa. The flags that came with it
  // and later are bits that were 0.
  report.registry_lost = false;
  report.takes_requests = false;
  report.takes_last_requests = false;
  PeerLoadReport expected = report;
  expected.streams.clear();
  expected.tells_streams = false;
  const auto decoded = DecodePeerLoadReport(
      ReportOfOtherBuild(EncodePeerLoadReport(report), 0, -5));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == expected));
}

// Guards against forged figures that make an engine look busy without limit.
BOOST_AUTO_TEST_CASE(FiguresOfReportsAreBounded) {
  PeerLoadReport report = MakeReport();
  report.interval = std::chrono::hours(24);
  report.work = {{1, 4000000000u, 4000000000u}};
  const auto decoded = DecodePeerLoadReport(EncodePeerLoadReport(report));
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->work.at(0).calls <= 10000u);
  BOOST_TEST(decoded->work.at(0).pending_prefill_tokens <= 5000000u);
  BOOST_TEST((decoded->interval <= std::chrono::seconds(10)));
}

// Guards against untrusted datagrams that crash the process or are accepted as
// a report: every prefix of a report, and every byte with one of three bits
// flipped.
BOOST_AUTO_TEST_CASE(MalformedDatagramsAreSafeToDecode) {
  const std::string bytes = EncodePeerLoadReport(MakeReport());
  for (size_t n = 0; n < bytes.size(); ++n) {
    const auto truncated = DecodePeerLoadReport(bytes.substr(0, n));
    BOOST_TEST((!truncated || !(*truncated == MakeReport())));
    for (const int bit : {1, 16, 128}) {
      std::string flipped = bytes;
      flipped[n] = static_cast<char>(flipped[n] ^ bit);
      (void)DecodePeerLoadReport(flipped);
    }
  }
  BOOST_TEST(!DecodePeerLoadReport(""));
  BOOST_TEST(!DecodePeerLoadReport("GET / HTTP/1.1\r\n\r\n"));
}

// Guards against news of duties, usage and paces that are lost or changed on
// the way, and against reports that grow where there are none.
BOOST_AUTO_TEST_CASE(DutiesUsageAndPacesAreReadAsWritten) {
  PeerLoadReport report = MakeReport();
  const size_t bytes_without = EncodePeerLoadReport(report).size();
  report.map_version = int64_t{1} << 40;
  report.map_age = Duration(0);
  report.replica_change = int64_t{1} << 41;
  report.replica_era = 3;
  report.replica_age = std::chrono::milliseconds(700);
  report.unix_ms = 1796000000000;
  report.duty_holder = {7, uint64_t{5} << 32 | 2,
                        std::chrono::milliseconds(300)};
  report.usage = {{353445120, {{11, 412}, {12, 1}}}, {353445121, {}}};
  report.usage_acks = {353445119};
  report.paces = {{13, std::chrono::milliseconds(40), 2.5, std::nullopt},
                  {14, Duration(0), std::nullopt, 0.75}};
  const std::string bytes = EncodePeerLoadReport(report);
  const auto decoded = DecodePeerLoadReport(bytes);
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == report));
  BOOST_TEST(bytes_without < bytes.size());
  // The most that a report has.
  report = MakeReport();
  for (uint64_t n = 0; n < 32; ++n) {
    report.paces.push_back({~(n * 0x9e3779b97f4a7c15),
                            std::chrono::milliseconds(500), 2.5, 123.45});
  }
  const size_t paces_bytes =
      EncodePeerLoadReport(report).size() - bytes_without;
  BOOST_TEST_MESSAGE("bytes of 32 paces: " << paces_bytes);
  BOOST_TEST(paces_bytes <= 640u);
}

// Guards against counts and acknowledgements that are larger than their sender
// assumes, so that instances exceed their bytes per second.
BOOST_AUTO_TEST_CASE(UsageTakesTheAssumedBytes) {
  // As in usage_sender.cc, and for an acknowledgement of four windows.
  constexpr size_t kMessageBytes = 140;
  constexpr size_t kWindowBytes = 16;
  constexpr size_t kCustomerBytes = 14;
  constexpr size_t kDatagramHeaderBytes = 28;
  constexpr size_t kCustomers = 512;
  PeerLoadReport report;
  report.sender = 0x0a010026;
  report.sequence = uint64_t{1} << 30;
  report.region = 0xfffe;
  report.scope = ReportScope::kMembers;
  report.map_version = int64_t{1} << 30;
  report.map_age = std::chrono::milliseconds(2400);
  report.unix_ms = 1796000000123;
  report.duty_holder = {0x0a010027, uint64_t{5} << 32 | 77,
                        std::chrono::milliseconds(4300)};
  PeerLoadReport ack = report;
  for (int64_t n = 0; n < 4; ++n) {
    ack.usage_acks.push_back(353445120 + n);
  }
  BOOST_TEST(EncodePeerLoadReport(ack).size() + kDatagramHeaderBytes <=
             kMessageBytes);
  report.usage.resize(1);
  report.usage[0].window = 353445120;
  for (uint64_t n = 0; n < kCustomers; ++n) {
    report.usage[0].customers.push_back({~(n << 50), 70000});
  }
  const std::string bytes = EncodePeerLoadReport(report);
  BOOST_TEST(bytes.size() + kDatagramHeaderBytes <=
             kMessageBytes + kWindowBytes + kCustomerBytes * kCustomers);
  BOOST_TEST(DecodePeerLoadReport(bytes).has_value());
}

}  // namespace endiveyard
