#include "endiveyard/relay/target_call.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/platform_wire_protocol.h"

namespace endiveyard {

// Guards against a call that is used after its own handler has released it:
// Resume() called the handlers, and went on reading when they returned.
BOOST_AUTO_TEST_CASE(ResumeDoesNotCallHandlers) {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const platform::PlatformWireProtocol protocol;
  TargetClient client(io, protocol);
  bool released = false;
  TargetRequest request;
  request.ip = "127.0.0.1";
  request.port = acceptor.local_endpoint().port();
  request.method = "POST";
  request.path = "/";
  // The call owns the body, so that its deleter shows when the call is gone.
  request.body = std::shared_ptr<const std::string>(
      new std::string("body"), [&released](const std::string* body) {
        released = true;
        delete body;
      });
  std::shared_ptr<TargetCall> call;
  bool has_head = false;
  bool has_body = false;
  TargetCallHandlers handlers;
  handlers.on_head = [&](const TargetResponseHead&) {
    has_head = true;
    call->Pause();
    return true;
  };
  handlers.on_body = [&](std::string_view) {
    has_body = true;
    call->Cancel();
    call.reset();
  };
  call = client.Start(std::move(request), std::move(handlers));
  tcp::socket target(io);
  acceptor.accept(target);
  while (!has_head) {
    io.run_one();
    if (target.available() > 0) {
      asio::write(target,
                  asio::buffer(std::string(
                      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")));
      std::string received;
      asio::read_until(target, asio::dynamic_buffer(received), "body");
    }
  }
  BOOST_TEST(!has_body);
  call->Resume();
  BOOST_TEST(!has_body);
  BOOST_TEST(!released);
  io.restart();
  io.run();
  BOOST_TEST(has_body);
  BOOST_TEST(released);
}

// Guards against memory that grows with the requests of a connection that is in
// use for days: each connection keeps the ids that it has carried. Other ids
// share a connection until then.
BOOST_AUTO_TEST_CASE(ConnectionsAreClosedAfterTheirLastRequest) {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context io;
  const auto work_guard = asio::make_work_guard(io);
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const platform::PlatformWireProtocol protocol;
  TargetClientOptions options;
  options.max_requests_per_connection = 2;
  TargetClient client(io, protocol, options);
  int completed = 0;
  std::shared_ptr<TargetCall> call;
  const auto start = [&](const std::string& id) {
    TargetRequest request;
    request.ip = "127.0.0.1";
    request.port = acceptor.local_endpoint().port();
    request.method = "GET";
    request.path = "/";
    request.request_id = id;
    TargetCallHandlers handlers;
    handlers.on_head = [](const TargetResponseHead&) { return true; };
    handlers.on_body = [](std::string_view) {};
    handlers.on_end = [&completed](TransportStatus status, std::string_view) {
      completed += status == TransportStatus::kComplete ? 1 : 0;
    };
    call = client.Start(std::move(request), std::move(handlers));
  };
  const auto respond = [&](tcp::socket& target, const std::string& id) {
    const int before = completed;
    asio::write(target, asio::buffer("HTTP/1.1 200 OK\r\n"
                                     "Endiveyard-Request-Id: " +
                                     id + "\r\nContent-Length: 0\r\n\r\n"));
    while (completed == before) {
      io.run_one();
    }
  };
  start("r1");
  tcp::socket target(io);
  acceptor.accept(target);
  respond(target, "r1");
  start("r2");
  respond(target, "r2");
  // The connection ends after both requests.
  std::string received;
  boost::system::error_code ec;
  asio::read(target, asio::dynamic_buffer(received), ec);
  BOOST_TEST(ec == asio::error::eof);
  start("r3");
  tcp::socket other_target(io);
  acceptor.accept(other_target);
  respond(other_target, "r3");
  BOOST_TEST(completed == 3);
}

}  // namespace endiveyard
