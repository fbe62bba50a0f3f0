#include "endiveyard/load_exchange/load_report.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

LoadReport MakeReport() {
  LoadReport report;
  report.sender = 0x0a010026;
  report.sequence = 17;
  report.region = 99;
  report.work = {{1, 2, 3}, {0xffffffffffffffff, 64, 540000}};
  report.cached = {{5, 12000, {0x5c1e07a2, 7}}, {0xfffffffffffffffe, 0, {9}}};
  report.peers = {0x0a010027, 0x0a020001};
  return report;
}

}  // namespace

// Guards against a codec that changes a report.
BOOST_AUTO_TEST_CASE(ReportsSurviveTheWire) {
  const auto decoded = DecodeLoadReport(EncodeLoadReport(MakeReport()));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == MakeReport()));
}

// Guards against datagrams of strangers that end the process or are taken for
// a report: every prefix and every flipped byte.
BOOST_AUTO_TEST_CASE(AnyBytesAreSafe) {
  const std::string bytes = EncodeLoadReport(MakeReport());
  for (size_t n = 0; n < bytes.size(); ++n) {
    const auto cut = DecodeLoadReport(bytes.substr(0, n));
    BOOST_TEST((!cut || !(*cut == MakeReport())));
    for (const int bit : {1, 16, 128}) {
      std::string flipped = bytes;
      flipped[n] = static_cast<char>(flipped[n] ^ bit);
      (void)DecodeLoadReport(flipped);
    }
  }
  BOOST_TEST(!DecodeLoadReport(""));
  BOOST_TEST(!DecodeLoadReport("GET / HTTP/1.1\r\n\r\n"));
}

}  // namespace endiveyard
