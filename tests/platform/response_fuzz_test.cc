#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "relay_fixture.h"

namespace endiveyard {
namespace {

constexpr int kRequests = 400;
constexpr int kEvents = 6;
constexpr int kMaxAttempts = 2;

enum class Framing { kLength, kChunks, kConnectionEnd, kCount };

// What a target does instead of sending a sound response.
enum class Fault {
  kNone,
  kRefusal,
  kError,
  kUnsigned,
  kGarbage,
  kCutByClose,
  kCutByReset,
  kBytesAfterEnd,
  kStaleResponseFirst,
  kEventMissing,
  kCount
};

std::string EventText(int id, bool crlf) {
  const std::string n = std::to_string(id);
  return crlf ? "id: " + n + "\r\ndata: e" + n + "\r\n\r\n"
              : "id: " + n + "\ndata: e" + n + "\n\n";
}

// The response of a target to one request, and what follows from it.
struct TargetResponse {
  std::string bytes;
  std::string body;
  bool closes = false;
  bool resets = false;
  bool may_have_run = true;
  // The body may be forwarded as a complete success.
  bool is_success = false;
};

// What the caller received until the end of its connection.
struct CallerView {
  int status = 0;
  bool complete = false;
  bool is_signed = false;
  std::string body;
};

CallerView ParseResponse(const std::string& bytes) {
  CallerView view;
  const size_t head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return view;
  }
  const std::string head = bytes.substr(0, head_end + 2);
  std::string rest = bytes.substr(head_end + 4);
  view.status = std::atoi(head.c_str() + head.find(' '));
  view.is_signed = Contains(head, "\r\nEndiveyard-Response-Signature: sig-");
  if (!Contains(head, "\r\nTransfer-Encoding: chunked\r\n")) {
    const size_t at = head.find("\r\nContent-Length: ");
    view.body = rest;
    view.complete =
        at != std::string::npos &&
        rest.size() == std::strtoul(head.c_str() + at + 18, nullptr, 10);
    return view;
  }
  while (true) {
    const size_t line_end = rest.find("\r\n");
    const size_t size = std::strtoul(rest.c_str(), nullptr, 16);
    if (line_end == std::string::npos || rest.size() < line_end + size + 4) {
      return view;
    }
    view.body += rest.substr(line_end + 2, size);
    rest.erase(0, line_end + size + 4);
    if (size == 0) {
      view.complete = rest.empty();
      return view;
    }
  }
}

// Plays requests one after the other: all sockets of the targets and of the
// caller are served by the thread of the test, as they become readable.
class Session {
 public:
  Session(RelayFixture* fixture, uint32_t seed)
      : fixture_(*fixture), random_(seed) {}

  void Play(int n) {
    const char* const kinds[] = {"safe", "unsafe", "stream", "once"};
    kind_ = kinds[Below(4)];
    id_ = "r" + std::to_string(n);
    path_ = "/" + kind_ + "/" + id_;
    runs_ = 0;
    bodies_.clear();
    const std::string received = Exchange();
    BOOST_TEST_MESSAGE("== " << id_ << " " << kind_ << "\n" << received);
    Check(ParseResponse(received));
  }

  int successes() const { return successes_; }

 private:
  bool streaming() const { return kind_ == "stream" || kind_ == "once"; }

  size_t Below(size_t n) {
    return std::uniform_int_distribution<size_t>(0, n - 1)(random_);
  }

  std::string Exchange() {
    TestConnection caller = fixture_.Connect();
    caller.Send(RequestHead("POST", path_, id_,
                            "Connection: close\r\nContent-Length: 0\r\n"));
    std::string received;
    while (true) {
      std::vector<pollfd> fds = {{caller.fd(), POLLIN, 0},
                                 {fixture_.first().fd(), POLLIN, 0},
                                 {fixture_.second().fd(), POLLIN, 0}};
      for (TestConnection& it : targets_) {
        fds.push_back({it.fd(), POLLIN, 0});
      }
      constexpr int kMaxWaitMs = 10000;
      BOOST_TEST_REQUIRE(poll(fds.data(), fds.size(), kMaxWaitMs) > 0);
      if (fds[0].revents != 0) {
        char buf[4096];
        const ssize_t size = recv(caller.fd(), buf, sizeof buf, 0);
        if (size <= 0) {
          return received;
        }
        received.append(buf, static_cast<size_t>(size));
      }
      for (size_t n = targets_.size(); n-- > 0;) {
        if (fds[n + 3].revents != 0 && !Serve(&targets_[n])) {
          targets_.erase(targets_.begin() + static_cast<ptrdiff_t>(n));
        }
      }
      if (fds[1].revents != 0) {
        Accept(&fixture_.first());
      }
      if (fds[2].revents != 0) {
        Accept(&fixture_.second());
      }
    }
  }

  void Accept(TestTarget* target) {
    targets_.push_back(target->AcceptConnection());
    const int no_delay = 1;  // each piece is a segment
    setsockopt(targets_.back().fd(), IPPROTO_TCP, TCP_NODELAY, &no_delay,
               sizeof no_delay);
  }

  // Answers a request. Returns false if the connection has ended.
  bool Serve(TestConnection* target) {
    std::string request;
    try {
      request = target->ReadMessage();
    } catch (const std::runtime_error&) {
      return false;
    }
    if (IsProbe(request)) {
      return SendInPieces(target, ResponseToProbe(request));
    }
    BOOST_TEST(request.find("POST " + path_ + " HTTP/1.1\r\n") == 0U);
    int after = 0;
    const size_t at = request.find("Last-Event-Id: ");
    if (at != std::string::npos) {
      after = std::atoi(request.c_str() + at + 15);
    }
    const TargetResponse response = MakeResponse(after);
    BOOST_TEST_MESSAGE("-- target " << id_ << " after " << after << "\n"
                                    << response.bytes << "\n--");
    runs_ += response.may_have_run ? 1 : 0;
    if (response.is_success) {
      bodies_.push_back(response.body);
    }
    if (!SendInPieces(target, response.bytes)) {
      return false;
    }
    if (response.resets) {
      target->Reset();
    }
    return !response.closes && !response.resets;
  }

  bool SendInPieces(TestConnection* target, const std::string& bytes) {
    constexpr size_t kMaxPieceBytes = 120;
    for (size_t sent = 0; sent < bytes.size();) {
      const size_t size =
          std::min(bytes.size() - sent, 1 + Below(kMaxPieceBytes));
      if (send(target->fd(), bytes.data() + sent, size, MSG_NOSIGNAL) < 0) {
        return false;
      }
      sent += size;
      if (Below(4) == 0) {
        WaitUntilRead();
      }
    }
    return true;
  }

  // Returns when the relay has read what was sent, so that what follows comes
  // in a later read: its event loop has looked for bytes once in two turns.
  void WaitUntilRead() {
    for (int n = 0; n < 2; ++n) {
      fixture_.RunOnRelayThread([](RoutingState&) {});
    }
  }

  std::string Frame(Framing framing,
                    const std::string& head,
                    const std::string& body) {
    if (framing == Framing::kLength) {
      return head + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    }
    if (framing == Framing::kConnectionEnd) {
      return head + "\r\n" + body;
    }
    std::string bytes = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (size_t n = 0; n < body.size();) {
      constexpr size_t kMaxChunkBytes = 40;
      const size_t size = std::min(body.size() - n, 1 + Below(kMaxChunkBytes));
      std::string chunk = EncodeChunk(body.substr(n, size));
      if (Below(3) == 0) {
        chunk.insert(chunk.find('\r'), ";extension=\"a;b\"");
      }
      bytes += chunk;
      n += size;
    }
    return bytes + "0\r\n" + (Below(3) == 0 ? "Trailer: x\r\n" : "") + "\r\n";
  }

  std::string Head(const std::string& status,
                   const std::string& id,
                   bool is_signed) const {
    return "HTTP/1.1 " + status + "\r\nEndiveyard-Request-Id: " + id + "\r\n" +
           (is_signed ? "Endiveyard-Response-Signature: sig-" + id + "\r\n"
                      : "");
  }

  TargetResponse MakeResponse(int after) {
    TargetResponse response;
    const auto framing =
        static_cast<Framing>(Below(static_cast<size_t>(Framing::kCount)));
    // Half of the responses are sound, so that exchanges get further.
    const auto fault =
        Below(2) == 0
            ? Fault::kNone
            : static_cast<Fault>(Below(static_cast<size_t>(Fault::kCount)));
    if (streaming()) {
      const bool crlf = Below(2) == 0;
      // No page says with which id a stream begins, so that a first event that
      // is missing cannot be detected.
      const int first = after > 0 ? after + 1 : 2;
      const int missing = fault == Fault::kEventMissing
                              ? first + static_cast<int>(Below(kEvents))
                              : 0;
      for (int n = after + 1; n <= kEvents; ++n) {
        if (n != missing) {
          response.body += EventText(n, crlf);
        }
      }
    } else {
      constexpr size_t kMaxBodyBytes = 2000;
      response.body = "b" + std::string(Below(kMaxBodyBytes), 'x') + id_;
    }
    response.closes = framing == Framing::kConnectionEnd;
    response.is_success = true;
    const std::string head = Head("200 OK", id_, true);
    response.bytes = Frame(framing, head, response.body);
    switch (fault) {
      case Fault::kRefusal:
        response.bytes = Frame(
            Framing::kLength,
            Head("503 Busy", id_, false) + "Endiveyard-Not-Executed: 1\r\n",
            "busy");
        response.may_have_run = response.is_success = false;
        response.closes = false;
        break;
      case Fault::kError:
        response.bytes =
            Frame(Framing::kLength, Head("500 Failed", id_, true), "failed");
        response.is_success = response.closes = false;
        break;
      case Fault::kUnsigned:
        response.bytes =
            Frame(framing, Head("200 OK", id_, false), response.body);
        response.is_success = false;
        break;
      case Fault::kGarbage:
        for (char& it : response.bytes) {
          it = static_cast<char>(Below(256));
        }
        response.is_success = false;
        response.closes = true;
        break;
      case Fault::kCutByClose:
      case Fault::kCutByReset: {
        const size_t size = Below(response.bytes.size());
        const size_t head_size = head.size() + 2;
        response.bytes.resize(size);
        response.closes = true;
        response.resets = fault == Fault::kCutByReset;
        // Without framing, an orderly end looks like the end of the body.
        response.is_success = framing == Framing::kConnectionEnd &&
                              !response.resets && size > head_size;
        response.body = response.is_success ? response.bytes.substr(head_size)
                                            : std::string();
        break;
      }
      case Fault::kBytesAfterEnd:
        response.bytes +=
            framing == Framing::kConnectionEnd
                ? ""
                : Frame(Framing::kLength, Head("200 OK", id_, true), "again");
        break;
      case Fault::kStaleResponseFirst:
        response.bytes =
            Frame(Framing::kLength, Head("200 OK", "old", true), "stale") +
            response.bytes;
        break;
      case Fault::kEventMissing:
      case Fault::kNone:
      case Fault::kCount:
        break;
    }
    return response;
  }

  void Check(const CallerView& view) {
    BOOST_TEST_CONTEXT("request " << id_ << ", " << kind_ << ", status "
                                  << view.status) {
      const bool promises = view.status == 503 || view.status == 429 ||
                            view.status == 408 || view.status == 421;
      BOOST_TEST(view.status != 0);
      BOOST_TEST(!(promises && runs_ > 0));
      const bool repeatable = kind_ == "safe" || kind_ == "stream";
      BOOST_TEST(runs_ <= (repeatable ? kMaxAttempts : 1));
      if (view.status != 200) {
        BOOST_TEST(view.complete);
        return;
      }
      BOOST_TEST(view.is_signed);
      if (streaming()) {
        CheckEvents(view);
      } else {
        BOOST_TEST(view.complete);
        BOOST_TEST((std::find(bodies_.begin(), bodies_.end(), view.body) !=
                    bodies_.end()));
      }
      ++successes_;
    }
  }

  // The caller gets events in order, each as it was sent. The last one comes
  // before a complete end, unless the target itself ended the stream earlier.
  void CheckEvents(const CallerView& view) const {
    std::string body = view.body;
    int id = 0;
    while (!body.empty()) {
      ++id;
      std::string event = EventText(id, false);
      if (body.compare(0, event.size(), event) != 0) {
        event = EventText(id, true);
      }
      BOOST_TEST_REQUIRE(body.compare(0, event.size(), event) == 0);
      body.erase(0, event.size());
    }
    if (view.complete && id != kEvents) {
      const bool ended_by_target = std::any_of(
          bodies_.begin(), bodies_.end(), [&](const std::string& it) {
            return !Contains(it, "data: e" + std::to_string(kEvents)) &&
                   (it.empty() || Contains(it, "data: e" + std::to_string(id)));
          });
      BOOST_TEST(ended_by_target);
    }
  }

  RelayFixture& fixture_;
  std::mt19937 random_;
  std::vector<TestConnection> targets_;
  std::string kind_;
  std::string id_;
  std::string path_;
  int runs_ = 0;  // targets that may have run the request
  std::vector<std::string> bodies_;
  int successes_ = 0;
};

}  // namespace

// Guards against responses that are lost, mixed, completed or repeated wrongly
// where a target cuts or damages them: each request gets a truthful answer.
BOOST_FIXTURE_TEST_CASE(DamagedResponsesAreNeverTakenForSoundOnes,
                        RelayFixture) {
  RunOnRelayThread([this](RoutingState&) {
    RetryBound bound;
    bound.ratio = 1;
    bound.slack = 1 << 20;
    relay().set_retry_bound(bound);
  });
  for (const uint32_t seed : {1U, 2U, 3U}) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Session session(this, seed);
      for (int n = 0; n < kRequests; ++n) {
        session.Play(n);
        // Forgets the failures, so that no target is left out.
        RestartTargets();
      }
      BOOST_TEST(session.successes() > kRequests / 2);
      size_t open = 0;
      RunOnRelayThread([&](RoutingState&) { open = relay().open_exchanges(); });
      BOOST_TEST(open == 0U);
    }
  }
}

}  // namespace endiveyard
