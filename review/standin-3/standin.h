// Stand-ins of the third review: a store, replicas and callers that speak the
// platform's protocol over loopback sockets, and the processes under test.
#ifndef REVIEW_STANDIN_3_STANDIN_H_
#define REVIEW_STANDIN_3_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Seconds since the program started.
inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

inline void SleepUntil(double at) {
  SleepFor(at - Now());
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The record of a run: a line for all that was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record* const record = new Record;
    return *record;
  }
  void Open(const std::string& path) { file_ = fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    char text[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ != nullptr) {
      fprintf(file_, "%9.3f %s\n", Now(), text);
      fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string start_line;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Method() const {
    return start_line.substr(0, start_line.find(' '));
  }
  std::string Target() const {
    const size_t begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
  int Status() const {
    return start_line.size() > 12 ? atoi(start_line.c_str() + 9) : 0;
  }
};

// A TCP connection with blocking calls.
class Peer {
 public:
  explicit Peer(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Peer() { Close(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  static std::unique_ptr<Peer> Connect(const std::string& ip,
                                       int port,
                                       double timeout = 1.0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    int error = 0;
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
      pollfd poll_fd{fd, POLLOUT, 0};
      socklen_t length = sizeof error;
      if (poll(&poll_fd, 1, static_cast<int>(timeout * 1000)) != 1 ||
          getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
          error != 0) {
        close(fd);
        return nullptr;
      }
    }
    fcntl(fd, F_SETFL, 0);
    return std::make_unique<Peer>(fd);
  }

  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  // Reads more bytes. Returns false at the end, after an error or at `until`.
  bool Fill(double until) {
    pollfd poll_fd{fd_, POLLIN, 0};
    const double left = until - Now();
    if (left <= 0 ||
        poll(&poll_fd, 1, static_cast<int>(left * 1000) + 1) != 1) {
      timed_out_ = true;
      return false;
    }
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }

  bool ReadHead(Message* message, double until) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    *message = Message();
    std::istringstream lines(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      if (message->start_line.empty()) {
        message->start_line = line;
        continue;
      }
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message->headers.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
      }
    }
    return true;
  }

  bool ReadBody(Message* message, double until) {
    if (strcasecmp(message->Header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      while (true) {
        size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
          if (!Fill(until)) {
            return false;
          }
        }
        const size_t size = strtoul(buffer_.c_str(), nullptr, 16);
        const size_t whole = end + 2 + size + 2;
        while (buffer_.size() < whole) {
          if (!Fill(until)) {
            message->body += buffer_.substr(std::min(end + 2, buffer_.size()));
            return false;
          }
        }
        message->body += buffer_.substr(end + 2, size);
        buffer_.erase(0, whole);
        if (size == 0) {
          return true;
        }
      }
    }
    const size_t size =
        strtoul(message->Header("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill(until)) {
        return false;
      }
    }
    message->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

  bool Read(Message* message, double timeout) {
    const double until = Now() + timeout;
    timed_out_ = false;
    return ReadHead(message, until) && ReadBody(message, until);
  }

  // Returns once the other side has closed the connection.
  void AwaitEnd(double timeout) {
    const double until = Now() + timeout;
    while (Fill(until)) {
      buffer_.clear();
    }
  }

  bool timed_out() const { return timed_out_; }
  int fd() const { return fd_; }

 private:
  int fd_;
  std::string buffer_;
  bool timed_out_ = false;
};

// Accepts connections and serves each in a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Peer&)>;

  Listener(const std::string& ip, int port, Handler handler)
      : ip_(ip), handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t length = sizeof address;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd_, 512) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
      fprintf(stderr, "cannot listen at %s:%d\n", ip.c_str(), port);
      exit(2);
    }
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  const std::string& ip() const { return ip_; }
  int port() const { return port_; }
  std::string Address() const { return ip_ + ":" + std::to_string(port_); }

  // Closes the listener and all connections, as the end of a process does.
  // The object has to stay, since its threads still end.
  void Stop() {
    stopped_ = true;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int it : open_) {
      shutdown(it, SHUT_RDWR);
    }
  }
  bool stopped() const { return stopped_; }

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepFor(0.01);
        continue;
      }
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        Peer peer(fd);
        if (!stopped_) {
          handler_(peer);
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(fd);
        peer.Close();
      }).detach();
    }
  }

  const std::string ip_;
  const Handler handler_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::set<int> open_;
};

// The platform's store. All answers state the era.
class Store {
 public:
  explicit Store(const std::string& ip)
      : listener_(ip, 0, [this](Peer& peer) { Serve(peer); }) {}

  std::string Address() const { return listener_.Address(); }

  // A write of the operator or of a replica.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Change({0, kind, name, spec, false});
    RECORD("store: accepted %s/%s revision=%lld %s", kind.c_str(), name.c_str(),
           static_cast<long long>(revision_), spec.substr(0, 200).c_str());
  }
  void Delete(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Change({0, kind, name, "null", true});
    RECORD("store: removed %s/%s revision=%lld", kind.c_str(), name.c_str(),
           static_cast<long long>(revision_));
  }

  // While silent, the store answers nothing; calls of that time, and those
  // whose answer falls into it, get no answer later either.
  void set_silent(bool silent) {
    const std::lock_guard<std::mutex> lock(mutex_);
    silent_ = silent;
    silences_ += silent ? 1 : 0;
    RECORD("store: %s", silent ? "silent" : "answers again");
    changed_.notify_all();
  }
  // Watches are cut off after they have waited for so long; 0 for never.
  void set_watch_cut(double seconds) { watch_cut_ = seconds; }
  void set_on_watch(std::function<void(const std::string& kind)> on_watch) {
    on_watch_ = std::move(on_watch);
  }

 private:
  struct Object {
    int64_t revision = 0;
    std::string kind, name, spec;
    bool deleted = false;
  };

  void Change(Object change) {
    change.revision = ++revision_;
    if (change.deleted) {
      objects_.erase({change.kind, change.name});
    } else {
      objects_[{change.kind, change.name}] = change;
    }
    history_.push_back(change);
    changed_.notify_all();
  }

  static std::string Text(const Object& it) {
    return "{\"metadata\":{\"name\":\"" + it.name +
           "\",\"revision\":" + std::to_string(it.revision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" +
           it.spec + ",\"status\":null}";
  }

  std::string Answer(const std::string& status, const std::string& body) const {
    return "HTTP/1.1 " + status +
           "\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  static std::string Query(const std::string& target, const std::string& name) {
    const size_t question = target.find('?');
    if (question == std::string::npos) {
      return "";
    }
    const std::string query = "&" + target.substr(question + 1);
    const size_t at = query.find("&" + name + "=");
    if (at == std::string::npos) {
      return "";
    }
    const size_t begin = at + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
  }

  std::string Watch(const std::string& kind,
                    int64_t since,
                    double wait,
                    bool* is_cut) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (on_watch_) {
      on_watch_(kind);
    }
    std::string events;
    const auto collect = [&] {
      events.clear();
      for (const Object& it : history_) {
        if (it.kind == kind && it.revision > since) {
          events += std::string(events.empty() ? "" : ",") +
                    "{\"deleted\":" + (it.deleted ? "true" : "false") +
                    ",\"object\":" + Text(it) + "}";
        }
      }
      return !events.empty();
    };
    const double cut = watch_cut_;
    const bool may_be_cut = cut > 0 && cut < wait;
    const bool has_events = changed_.wait_for(
        lock, std::chrono::duration<double>(may_be_cut ? cut : wait), collect);
    *is_cut = may_be_cut && !has_events;
    return Answer("200 OK", "{\"events\":[" + events + "],\"current_rev\":" +
                                std::to_string(revision_) + "}");
  }

  std::string Handle(const Message& request, bool* is_cut) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0) {
      return Answer("404 Not Found", "{}");
    }
    const std::string rest = path.substr(prefix.size());
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string method = request.Method();
    if (method == "GET" && !Query(target, "watch").empty()) {
      return Watch(kind, atoll(Query(target, "watch").c_str()),
                   atof(Query(target, "wait_ms").c_str()) / 1000, is_cut);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (method == "GET" && name.empty()) {
      std::string items;
      const std::string after = Query(target, "after");
      for (const auto& [key, it] : objects_) {
        if (key.first == kind && key.second > after) {
          items += (items.empty() ? "" : ",") + Text(it);
        }
      }
      return Answer("200 OK", "{\"items\":[" + items +
                                  "],\"has_more\":false,\"current_rev\":" +
                                  std::to_string(revision_) + "}");
    }
    const size_t spec_at = request.body.find("\"spec\":");
    std::string spec = "null";
    int64_t revision = -1;
    if (spec_at != std::string::npos) {
      spec = request.body.substr(spec_at + 7,
                                 request.body.rfind('}') - spec_at - 7);
      const std::string metadata = request.body.substr(0, spec_at);
      const size_t at = metadata.find("\"revision\":");
      revision = at == std::string::npos ? -1 : atoll(&metadata[at + 11]);
      const size_t name_at = metadata.find("\"name\":\"");
      if (name.empty() && name_at != std::string::npos) {
        name = metadata.substr(name_at + 8,
                               metadata.find('"', name_at + 8) - name_at - 8);
      }
    }
    const auto found = objects_.find({kind, name});
    if (method == "GET") {
      return found == objects_.end() ? Answer("404 Not Found", "{}")
                                     : Answer("200 OK", Text(found->second));
    }
    if (method == "POST") {
      if (found != objects_.end()) {
        return Answer("409 Conflict", Text(found->second));
      }
      Change({0, kind, name, spec, false});
      return Answer("201 Created", Text(objects_[{kind, name}]));
    }
    if (found == objects_.end()) {
      return Answer("404 Not Found", "{}");
    }
    if (method == "DELETE") {
      const std::string asked = Query(target, "revision");
      if (!asked.empty() && atoll(asked.c_str()) != found->second.revision) {
        return Answer("409 Conflict", Text(found->second));
      }
      Change({0, kind, name, "null", true});
      return Answer("200 OK", "{}");
    }
    if (revision > 0 && revision != found->second.revision) {
      return Answer("409 Conflict", Text(found->second));
    }
    if (spec != found->second.spec) {
      Change({0, kind, name, spec, false});
    }
    return Answer("200 OK", Text(objects_[{kind, name}]));
  }

  bool IsLost(uint64_t silences) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return silent_ || silences != silences_;
  }

  void Serve(Peer& peer) {
    Message request;
    while (peer.Read(&request, 60)) {
      uint64_t silences = 0;
      bool is_silent = false;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        silences = silences_;
        is_silent = silent_;
      }
      bool is_cut = false;
      std::string answer;
      if (!is_silent) {
        answer = Handle(request, &is_cut);
      }
      if (is_silent || IsLost(silences)) {
        RECORD("store: no answer to %s", request.start_line.c_str());
        peer.AwaitEnd(60);
        return;
      }
      if (is_cut) {
        return;
      }
      SleepFor(0.004);
      if (!peer.Send(answer)) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Object> objects_;
  std::deque<Object> history_;
  int64_t revision_ = 100;
  bool silent_ = false;
  uint64_t silences_ = 0;
  std::atomic<double> watch_cut_{0};
  std::function<void(const std::string& kind)> on_watch_;
  Listener listener_;
};

// A request that reached a replica.
struct Arrival {
  double at = 0;
  std::string id;
  std::string replica;
  std::string prefill;  // "prefill" for a call that only reads the prompt
};

// What all replicas of a run have got.
class Arrivals {
 public:
  void Add(Arrival arrival) {
    const std::lock_guard<std::mutex> lock(mutex_);
    all_.push_back(std::move(arrival));
  }
  std::vector<Arrival> All() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return all_;
  }

 private:
  std::mutex mutex_;
  std::vector<Arrival> all_;
};

// A replica of a plain service.
class Replica {
 public:
  struct Options {
    std::string id, service, zone, ip;
    double work = 0.02;
    int slots = 6;
    std::string version = "v1";
    int port = 0;           // 0: a free one
    std::string more_spec;  // further fields of the entry
  };
  // Returns true if it has answered the request itself.
  using Answerer = std::function<bool(Replica&, Peer&, const Message&)>;

  Replica(Options options, Arrivals* arrivals, Answerer answerer = nullptr)
      : options_(std::move(options)),
        born_(UnixMs()),
        arrivals_(arrivals),
        answerer_(std::move(answerer)),
        listener_(options_.ip, options_.port, [this](Peer& peer) {
          Serve(peer);
        }) {}

  const std::string& id() const { return options_.id; }
  const Options& options() const { return options_; }
  int port() const { return listener_.port(); }
  // Ends the replica, with all its connections.
  void Stop() { listener_.Stop(); }
  bool stopped() const { return listener_.stopped(); }

  std::string Spec(const std::string& state) const {
    return "{\"service\":\"" + options_.service + "\",\"address\":\"" +
           listener_.Address() + "\",\"zone\":\"" + options_.zone +
           "\",\"version\":\"" + options_.version +
           "\",\"slots\":" + std::to_string(options_.slots) + ",\"state\":\"" +
           state + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" +
           std::to_string(born_) + options_.more_spec + "}";
  }

  std::string CommonHeaders(const Message& request) const {
    return "Endiveyard-Request-Id: " + request.Header("Endiveyard-Request-Id") +
           "\r\nEndiveyard-Response-Signature: s." +
           request.Header("Endiveyard-Request-Id") + "." + options_.id +
           "\r\nEndiveyard-Replica-Load: " + std::to_string(running_) + ",0," +
           std::to_string(options_.slots) + "\r\n" +
           (leaving_ ? "Server-Leaving: 1\r\n" : "");
  }

  void set_leaving(bool leaving) { leaving_ = leaving; }

 private:
  void Serve(Peer& peer) {
    Message request;
    while (peer.Read(&request, 30)) {
      const std::string expected = request.Header("Endiveyard-Expect-Instance");
      if (!expected.empty() && expected != options_.id) {
        peer.Send(
            "HTTP/1.1 421 Misdirected Request\r\nEndiveyard-Replica-Id: " +
            options_.id + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (request.Target() == "/report") {
        const std::string report =
            "{\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,"
            "\"adapters\":[]}],\"busy\":false,\"sequence\":1,\"waiting\":0,"
            "\"running\":" +
            std::to_string(running_) +
            ",\"kv_used\":1000,\"kv_total\":540532,\"kv_handles\":0,\"born\":" +
            std::to_string(born_) + "}";
        peer.Send(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: " +
            std::to_string(report.size()) + "\r\n\r\n" + report);
        continue;
      }
      if (request.Target() == "/healthz") {
        peer.Send("HTTP/1.1 200 OK\r\nEndiveyard-Replica-Id: " + options_.id +
                  "\r\n" + (leaving_ ? "Server-Leaving: 1\r\n" : "") +
                  "Content-Length: 0\r\n\r\n");
        continue;
      }
      const std::string id = request.Header("Endiveyard-Request-Id");
      arrivals_->Add(
          {Now(), id, options_.id, request.Header("Endiveyard-Stage")});
      RECORD("replica %s: got %s", options_.id.c_str(), id.c_str());
      ++running_;
      const bool is_answered = answerer_ && answerer_(*this, peer, request);
      if (!is_answered) {
        SleepFor(options_.work);
        const std::string body = "ran " + id + " at " + options_.id;
        peer.Send("HTTP/1.1 200 OK\r\n" + CommonHeaders(request) +
                  "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
      }
      --running_;
    }
  }

  const Options options_;
  const int64_t born_;
  Arrivals* const arrivals_;
  const Answerer answerer_;
  std::atomic<bool> leaving_{false};
  std::atomic<int> running_{0};
  Listener listener_;
};

// Finds a port that is free at all of `ips`, for TCP and UDP.
inline int FindPort(const std::vector<std::string>& ips) {
  std::random_device random;
  for (int n = 0; n < 200; ++n) {
    const int port = 20000 + static_cast<int>(random() % 12000);
    bool is_free = true;
    for (const std::string& ip : ips) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = socket(AF_INET, type, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        is_free = is_free && bind(fd, reinterpret_cast<sockaddr*>(&address),
                                  sizeof address) == 0;
        close(fd);
      }
    }
    if (is_free) {
      return port;
    }
  }
  fprintf(stderr, "no free port\n");
  exit(2);
}

// A process of the system.
class Front {
 public:
  struct Options {
    std::string binary, folder, name, ip, zone, store;
    std::vector<std::string> seeds;  // addresses
    int front_port = 0, ready_port = 0, control_port = 0, peer_port = 0;
    int metrics_port = 0;
  };

  explicit Front(Options options) : options_(std::move(options)) {
    std::string seeds;
    for (const std::string& it : options_.seeds) {
      seeds += (seeds.empty() ? "" : ",") + it;
    }
    std::ofstream out(SettingsPath());
    out << "node=" << options_.name
        << "\nrole=front\nmachine_class=front\nserves=front,control\nip="
        << options_.ip << "\nzone=" << options_.zone << "\nregion=region-"
        << options_.zone
        << "\nzones.zone-a=region-zone-a\nzones.zone-b=region-zone-b\n"
           "zones.zone-c=region-zone-c\nlisten.front="
        << options_.ip << ":" << options_.front_port
        << "\nlisten.ready_address=" << options_.ip << ":"
        << options_.ready_port << "\nlisten.control=" << options_.ip << ":"
        << options_.control_port
        << "\ninternal_port_range=" << options_.peer_port << ","
        << options_.peer_port + 15 << "\nseeds=" << seeds
        << "\nbootstrap=true\ncounts_toward_tolerance=false\n"
           "limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\n"
           "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
           "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
           "contracts=base,drain,config,cost,retry,recover,split,stream,engine,"
           "platform\nfault_tolerance.machines=1\nfault_tolerance.zones=0\n"
           "fault_tolerance.regions=0\nbounds.seed_lag_s=3\n"
           "bounds.addr_reuse_s=2\nbounds.stable_ms=4000\nbounds.ack_ms=5000\n"
           "bounds.catch_up_s=4\nbounds.drain_ms=2500\nbounds.grace_s=8\n"
           "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2500\n"
           "bounds.downgrade_slack_ms=250\nbounds.max_stretch_ms=6000\n"
           "bounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\n"
           "bounds.retry_slack=56\nbounds.recovery_s=12\n"
           "bounds.transit_ms=250\nbounds.retry_after_s=7.7\n"
           "bounds.require_fencing=true\nbounds.lease_ms=3000\n"
           "bounds.thaw_ms=300\nplatform.form=objects\n"
           "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
           "platform.history_s=20\nplatform.value_bytes=1048576\n"
           "platform.ttl_min_ms=1000\nplatform.address="
        << options_.store << "\n";
  }

  std::string SettingsPath() const {
    return options_.folder + "/" + options_.name + ".conf";
  }
  std::string LogPath() const {
    return options_.folder + "/" + options_.name + ".log";
  }

  void Start() {
    const std::string setting = "ENDIVEYARD_CONFIG=" + SettingsPath();
    const std::string log = LogPath();
    const std::string port = std::to_string(options_.metrics_port);
    const char* const arguments[] = {options_.binary.c_str(), "front",
                                     "--metrics-port", port.c_str(), nullptr};
    const char* const environment[] = {setting.c_str(), "LANG=C.UTF-8",
                                       nullptr};
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(127);
      }
      const int fd =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      execve(arguments[0], const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
      _exit(127);
    }
    RECORD("%s: started", options_.name.c_str());
  }

  bool AwaitReady(double timeout) const {
    const double until = Now() + timeout;
    while (Now() < until) {
      if (IsReady()) {
        return true;
      }
      SleepFor(0.05);
    }
    return false;
  }

  bool IsReady() const {
    const auto peer = Peer::Connect(options_.ip, options_.ready_port);
    Message answer;
    return peer && peer->Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           peer->Read(&answer, 1) && answer.Status() == 200;
  }

  // Returns true once the process has ended, and records how.
  bool HasEnded() {
    if (pid_ <= 0) {
      return true;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) {
      return false;
    }
    RECORD("%s: ended by itself, %s %d", options_.name.c_str(),
           WIFSIGNALED(status) ? "signal" : "status",
           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    pid_ = 0;
    return true;
  }

  void Signal(int signal) {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }

  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }

  const std::string& name() const { return options_.name; }
  const std::string& ip() const { return options_.ip; }
  int port() const { return options_.front_port; }

 private:
  const Options options_;
  pid_t pid_ = 0;
};

// What a caller saw of one attempt.
struct Attempt {
  std::string id;
  double sent = 0;
  double ended = 0;
  int status = 0;          // 0: none
  bool is_kept = false;    // the connection had carried a request before
  bool is_closed = false;  // the connection ended without a whole answer
  bool is_late = false;    // no answer within the time of the caller
  std::string body;
  Headers headers;
};

// A caller that keeps its connection.
class Caller {
 public:
  Caller(std::string name, const Front& front)
      : name_(std::move(name)), front_(front) {}

  Attempt Send(const std::string& method,
               const std::string& path,
               const std::string& body = "",
               int deadline_ms = 2500,
               const std::string& more_headers = "") {
    Attempt attempt;
    attempt.id = name_ + "-" + std::to_string(++count_);
    attempt.is_kept = peer_ != nullptr;
    if (!peer_) {
      peer_ = Peer::Connect(front_.ip(), front_.port());
    }
    attempt.sent = attempt.ended = Now();
    RECORD("caller %s: sends %s to %s", name_.c_str(), attempt.id.c_str(),
           front_.name().c_str());
    const std::string text =
        method + " " + path +
        " HTTP/1.1\r\nHost: desk.example\r\nEndiveyard-Request-Id: " +
        attempt.id +
        "\r\nEndiveyard-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
        more_headers +
        (method == "POST"
             ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
             : "") +
        "\r\n" + body;
    Message answer;
    if (!peer_ || !peer_->Send(text)) {
      attempt.is_closed = true;
    } else if (!peer_->Read(&answer, deadline_ms / 1000.0 + 1)) {
      attempt.is_late = peer_->timed_out();
      attempt.is_closed = !attempt.is_late;
      attempt.status = answer.Status();
      attempt.body = answer.body;
    } else {
      attempt.status = answer.Status();
      attempt.body = answer.body;
      attempt.headers = answer.headers;
    }
    attempt.ended = Now();
    RECORD("caller %s: %s status=%d%s%s %s", name_.c_str(), attempt.id.c_str(),
           attempt.status, attempt.is_closed ? " closed" : "",
           attempt.is_late ? " late" : "", attempt.body.substr(0, 60).c_str());
    if (attempt.is_closed || attempt.is_late ||
        answer.Header("Connection") == "close") {
      peer_.reset();
    }
    return attempt;
  }

 private:
  const std::string name_;
  const Front& front_;
  int count_ = 0;
  std::unique_ptr<Peer> peer_;
};

// A deployment: the store, two or more processes, a folder for their files.
class Deployment {
 public:
  Deployment(const std::string& binary, int fronts) {
    const char* const parent = getenv("REVIEW_TMP");
    folder_ = std::string(parent == nullptr ? "/tmp" : parent) + "/run-XXXXXX";
    if (mkdtemp(folder_.data()) == nullptr) {
      fprintf(stderr, "cannot make a temporary folder\n");
      exit(2);
    }
    std::random_device random;
    net_ = "127." + std::to_string(20 + random() % 200) + "." +
           std::to_string(random() % 250) + ".";
    store_ = std::make_unique<Store>(net_ + "1");
    std::vector<std::string> ips;
    for (int n = 0; n < fronts; ++n) {
      ips.push_back(net_ + std::to_string(10 + n));
    }
    Front::Options options;
    options.front_port = FindPort(ips);
    options.ready_port = FindPort(ips);
    options.control_port = FindPort(ips);
    options.peer_port = FindPort(ips);
    options.metrics_port = FindPort(ips);
    options.binary = binary;
    options.folder = folder_;
    options.store = store_->Address();
    for (const std::string& it : ips) {
      options.seeds.push_back(it + ":" + std::to_string(options.control_port));
    }
    for (int n = 0; n < fronts; ++n) {
      options.name = "front-" + std::to_string(n + 1);
      options.ip = ips[static_cast<size_t>(n)];
      options.zone = std::string("zone-") + static_cast<char>('a' + n % 3);
      fronts_.push_back(std::make_unique<Front>(options));
    }
  }

  std::string ReplicaIp(int n) const { return net_ + std::to_string(100 + n); }
  Store& store() { return *store_; }
  Arrivals& arrivals() { return arrivals_; }
  std::vector<std::unique_ptr<Front>>& fronts() { return fronts_; }
  const std::string& folder() const { return folder_; }

  // Starts a replica, at an address of its own unless `options` names one.
  Replica& AddReplica(Replica::Options options,
                      Replica::Answerer answerer = nullptr) {
    if (options.ip.empty()) {
      options.ip = ReplicaIp(static_cast<int>(replicas_.size()));
    }
    replicas_.push_back(std::make_unique<Replica>(
        std::move(options), &arrivals_, std::move(answerer)));
    return *replicas_.back();
  }

  void StartFronts() {
    for (const auto& it : fronts_) {
      it->Start();
    }
    for (const auto& it : fronts_) {
      if (!it->AwaitReady(10)) {
        End(2, it->name() + " did not get ready");
      }
    }
  }

  // Ends all processes and the program.
  [[noreturn]] void End(int status, const std::string& verdict) {
    for (const auto& it : fronts_) {
      it->Kill();
    }
    RECORD("verdict: %s", verdict.c_str());
    printf("%s\n", verdict.c_str());
    fflush(stdout);
    if (getenv("KEEP_LOGS") == nullptr) {
      const std::string command = "rm -rf '" + folder_ + "'";
      if (system(command.c_str()) != 0) {
        fprintf(stderr, "cannot remove %s\n", folder_.c_str());
      }
    } else {
      printf("logs: %s\n", folder_.c_str());
      fflush(stdout);
    }
    _exit(status);
  }

 private:
  std::string folder_;
  std::string net_;
  Arrivals arrivals_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Front>> fronts_;
  std::vector<std::unique_ptr<Replica>> replicas_;
};

// A configuration with two routes to the plain service "desk".
inline std::string DeskConfiguration(int version) {
  const std::string route =
      ",\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\","
      "\"timeout_ms\":2500,\"session_affinity\":false,\"resumable\":false}";
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-read\",\"host\":\"desk.example\","
         "\"path_prefix\":\"/read/\",\"kind\":\"safe\",\"max_attempts\":2" +
         route +
         ",{\"name\":\"r-order\",\"host\":\"desk.example\",\"path_prefix\":"
         "\"/order/\",\"kind\":\"unsafe\",\"max_attempts\":2" +
         route +
         "],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\","
         "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// The arguments of a case: --binary FILE --trouble 0|1 --record FILE.
struct Arguments {
  std::string binary = "target/endiveyard-front";
  bool trouble = true;
};

inline Arguments ParseArguments(int argc, char** argv) {
  Arguments arguments;
  for (int n = 1; n + 1 < argc; n += 2) {
    const std::string name = argv[n];
    if (name == "--binary") {
      arguments.binary = argv[n + 1];
    } else if (name == "--trouble") {
      arguments.trouble = std::string(argv[n + 1]) != "0";
    } else if (name == "--record") {
      Record::Get().Open(argv[n + 1]);
    }
  }
  Now();
  signal(SIGPIPE, SIG_IGN);
  alarm(115);  // ends the program, and with it the processes that it started
  return arguments;
}

}  // namespace review

#endif  // REVIEW_STANDIN_3_STANDIN_H_
