#include "relay/message_parser.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

namespace endiveyard {
namespace {

constexpr size_t kTrailerLimit = 80000;

// Feeds `bytes` in pieces of random sizes, as a connection does. Returns the
// first error.
template <typename Parser>
boost::system::error_code Parse(const std::string& bytes,
                                std::mt19937* random,
                                Parser* parser) {
  std::uniform_int_distribution<size_t> draw(1, 40000);
  std::string buffer;
  size_t at = 0;
  while (!parser->is_done()) {
    boost::system::error_code ec;
    const size_t n = parser->put(boost::asio::buffer(buffer), ec);
    buffer.erase(0, n);
    if (ec && ec != boost::beast::http::error::need_more) {
      return ec;
    }
    if (n == 0 && at == bytes.size()) {
      return ec;
    }
    const size_t piece = std::min(draw(*random), bytes.size() - at);
    buffer += bytes.substr(at, piece);
    at += piece;
  }
  return {};
}

// Returns a response with some damage: long fields, bytes of its own anywhere,
// parts left out.
std::string DamagedResponse(std::mt19937* random) {
  const auto below = [random](size_t n) {
    return std::uniform_int_distribution<size_t>(0, n - 1)(*random);
  };
  const auto text = [&](size_t most) {
    return std::string(below(most), static_cast<char>('a' + below(26)));
  };
  const auto field = [&] {
    const size_t longest = below(3) == 0 ? 70000 : 20;
    return "x" + text(longest) + ": " + text(longest) + "\r\n";
  };
  std::string bytes = "HTTP/1.1 200 " + text(20) + "\r\n" + field() + field() +
                      "Transfer-Encoding: chunked\r\n\r\n3;" + text(70000) +
                      "\r\nabc\r\n0\r\n" + field() + field() + "\r\n";
  for (size_t n = below(3); n > 0; --n) {
    const size_t at = below(bytes.size());
    if (below(2) == 0) {
      bytes[at] = static_cast<char>(below(256));
    } else {
      bytes.erase(at, below(100));
    }
  }
  return bytes;
}

}  // namespace

// Guards against an exception of the parser at bytes of a peer, which ends the
// process.
BOOST_AUTO_TEST_CASE(NoBytesMakeTheParserThrow) {
  int complete = 0;
  for (uint32_t seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    const std::string bytes = DamagedResponse(&random);
    BOOST_TEST_CONTEXT("seed " << seed) {
      MessageParser<false> parser;
      parser.header_limit(200000);
      parser.trailer_limit(kTrailerLimit);
      parser.body_limit(1000);
      BOOST_CHECK_NO_THROW(Parse(bytes, &random, &parser));
      complete += parser.is_done() ? 1 : 0;
    }
  }
  BOOST_TEST(complete > 100);
}

// Guards against fields that are lost, or that move between the head and the
// trailers, wherever the message is split into reads.
BOOST_AUTO_TEST_CASE(MessagesAreParsedForEverySplit) {
  const std::string bytes =
      "POST /a?b HTTP/1.1\r\nHost: h\r\nX: 1\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX: 2\r\nY: 3\r\n\r\n";
  for (uint32_t seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    MessageParser<true> parser;
    parser.trailer_limit(4);
    BOOST_TEST(!Parse(bytes, &random, &parser));
    const ParsedMessage& message = parser.message();
    BOOST_TEST(message.method == "POST");
    BOOST_TEST(message.target == "/a?b");
    BOOST_TEST(message.body == "abcde");
    BOOST_TEST(
        (message.headers == HeaderList{{"Host", "h"},
                                       {"X", "1"},
                                       {"Transfer-Encoding", "chunked"}}));
    BOOST_TEST((message.trailers == HeaderList{{"X", "2"}, {"Y", "3"}}));
    MessageParser<true> limited;
    limited.trailer_limit(3);
    BOOST_CHECK(Parse(bytes, &random, &limited) ==
                boost::beast::http::error::header_limit);
  }
}

}  // namespace endiveyard
