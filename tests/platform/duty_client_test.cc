#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "platform/http_duty_client.h"
#include "platform/http_registry_client.h"
#include "platform/platform_wire_protocol.h"

namespace endiveyard::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Accepts connections, and answers each with one response, or not at all.
struct Server {
  Server()
      : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        address{"127.0.0.1", acceptor.local_endpoint().port()},
        socket(io) {}

  // Returns the request of the next connection once `end` was received.
  std::string Receive(const std::string& end) {
    boost::system::error_code ec;
    acceptor.non_blocking(true);
    std::string received;
    for (int n = 0; n < 200 && received.find(end) == std::string::npos; ++n) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
      if (!socket.is_open()) {
        acceptor.accept(socket, ec);
      }
      char buf[4096];
      if (socket.is_open() && socket.available(ec) > 0) {
        received.append(buf, socket.read_some(asio::buffer(buf), ec));
      }
    }
    BOOST_REQUIRE(received.find(end) != std::string::npos);
    return received;
  }
  void Respond(const std::string& response) {
    asio::write(socket, asio::buffer(response));
  }

  asio::io_context io;
  tcp::acceptor acceptor;
  const Address address;
  tcp::socket socket;
  const PlatformWireProtocol protocol;
};

struct Call {
  std::optional<DutyCallEnd> end;
  DutyApi::Done Done() {
    return [this](DutyCallEnd how) {
      BOOST_TEST(!end.has_value());
      end = how;
    };
  }
};

}  // namespace

// Guards against bodies that the platform does not read.
BOOST_AUTO_TEST_CASE(DutyCallsAreEncoded) {
  BOOST_TEST(
      EncodeUsageReport({353445120, {{"fida11", 412}, {"hule930", 0}}}) ==
      R"({"window_index":353445120,"counts":{"fida11":412,"hule930":0}})");
  BOOST_TEST(EncodeScaleOrder({"huvo11a", "palermo-a", 6, false}) ==
             R"({"service":"huvo11a","zone":"palermo-a","desired_count":6})");
  BOOST_TEST(EncodeScaleOrder({"h", "z", 0, true}) ==
             R"({"service":"h","zone":"z","desired_count":0,"spot":true})");
}

// Guards against a refused call that is taken for one in doubt, and the other
// way around.
BOOST_AUTO_TEST_CASE(AnswersOfDutyCallsAreTold) {
  const std::pair<const char*, DutyCallEnd> answers[] = {
      {"200 OK", DutyCallEnd::kAccepted},
      {"409 Conflict", DutyCallEnd::kConflict},
      {"429 Too Many Requests", DutyCallEnd::kRefused},
      {"503 Service Unavailable", DutyCallEnd::kRefused},
      {"500 Internal Server Error", DutyCallEnd::kNoAnswer}};
  for (const auto& [status, expected] : answers) {
    Server server;
    HttpDutyClient client(server.io, server.protocol, server.address, "front-1",
                          std::chrono::seconds(1));
    Call call;
    client.SendUsageReport({7, {{"a", 1}}}, (uint64_t{2} << 32) + 5,
                           call.Done());
    const std::string request = server.Receive("{\"a\":1}}");
    for (const char* part :
         {"POST /usage HTTP/1.1\r\n", "Endiveyard-Lease-Holder: front-1\r\n",
          "Endiveyard-Fencing-Token: 8589934597\r\n"}) {
      BOOST_TEST(request.find(part) != std::string::npos, part);
    }
    server.Respond(std::string("HTTP/1.1 ") + status +
                   "\r\nContent-Length: 0\r\n\r\n");
    server.io.restart();
    server.io.run_for(std::chrono::milliseconds(500));
    BOOST_TEST((call.end == expected), status);
  }
}

// Guards against bytes of a call that arrive after its time-out, and against a
// call to an address where nobody listens that counts as sent.
BOOST_AUTO_TEST_CASE(DutyCallWithoutAnswerIsReset) {
  Server server;
  HttpDutyClient client(server.io, server.protocol, server.address, "front-1",
                        std::chrono::milliseconds(100));
  Call call;
  client.SendScaleOrder({"h", "z", 1, false}, 9, call.Done());
  server.Receive("}");
  server.io.restart();
  server.io.run_for(std::chrono::milliseconds(300));
  BOOST_TEST((call.end == DutyCallEnd::kNoAnswer));
  char byte = 0;
  boost::system::error_code ec;
  server.socket.read_some(asio::buffer(&byte, 1), ec);
  BOOST_TEST((ec == asio::error::connection_reset), ec.message());

  server.acceptor.close();
  Call refused;
  client.SendScaleOrder({"h", "z", 1, false}, 9, refused.Done());
  BOOST_TEST(!refused.end.has_value());
  server.io.restart();
  server.io.run_for(std::chrono::milliseconds(300));
  BOOST_TEST((refused.end == DutyCallEnd::kNotSent));
}

// Guards against a lease that is renewed with a revision, or counted to an era,
// that the registry has not stated.
BOOST_AUTO_TEST_CASE(WritesAnswerWithRevisionAndEra) {
  Server server;
  HttpRegistryClient client(server.io, server.protocol, server.address);
  const auto write = [&](int64_t revision, const std::string& response) {
    std::optional<RegistryAnswer> answer;
    RegistryObject object;
    object.name = "a";
    object.spec = "{\"text\":\"t\"}";
    object.revision = revision;
    client.WriteRecord("duty-leases", object,
                       [&](RegistryAnswer it) { answer = std::move(it); });
    server.socket = tcp::socket(server.io);
    const std::string request = server.Receive("\"t\"}}");
    BOOST_TEST(request.find(revision == 0
                                ? "POST /objects/duty-leases HTTP"
                                : "PUT /objects/duty-leases/a HTTP") == 0u);
    server.Respond(response);
    server.io.restart();
    server.io.run_for(std::chrono::milliseconds(200));
    BOOST_REQUIRE(answer.has_value());
    return *answer;
  };
  const std::string body =
      R"({"metadata":{"name":"a","revision":31},"spec":{}})";
  const auto written =
      write(0, "HTTP/1.1 201 Created\r\nStore-Era: 3\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
  BOOST_REQUIRE(written.object.ok());
  BOOST_TEST(written.object->revision == 31);
  BOOST_TEST(written.era == 3);
  const auto conflict = write(30,
                              "HTTP/1.1 409 Conflict\r\nStore-Era: 4\r\n"
                              "Content-Length: 0\r\n\r\n");
  BOOST_TEST(absl::IsAborted(conflict.object.status()));
  BOOST_TEST(conflict.era == 4);
  const auto unreadable = write(30,
                                "HTTP/1.1 200 OK\r\nStore-Era: 4\r\n"
                                "Content-Length: 0\r\n\r\n");
  BOOST_REQUIRE(unreadable.object.ok());
  BOOST_TEST(unreadable.object->revision == 0);
}

}  // namespace endiveyard::platform
