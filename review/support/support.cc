#include "support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace review {
namespace {

// A case that has not ended by then cannot run.
constexpr int64_t kMaxMs = 110000;

sockaddr_in ToAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool EqualsIgnoreCase(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         strncasecmp(a.c_str(), b.c_str(), a.size()) == 0;
}

std::string QueryValue(const std::string& path, const std::string& name) {
  const size_t query = path.find('?');
  if (query == std::string::npos) {
    return "";
  }
  const std::string text = "&" + path.substr(query + 1);
  const size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find('&', begin) - begin);
}

// Returns a port that is free on `ip`.
uint16_t FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToAddress(ip, 0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    close(fd);
    throw std::runtime_error("no free port on " + ip);
  }
  close(fd);
  return ntohs(address.sin_port);
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    throw std::runtime_error("cannot write " + path);
  }
}

Record::~Record() {
  std::fclose(file_);
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::fprintf(file_, "%8.3f s  %s\n",
               static_cast<double>(NowMs() - start_ms_) / 1000, text.c_str());
  std::fflush(file_);
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) {
      return value;
    }
  }
  return "";
}

std::string Message::Path() const {
  const size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

int Message::Status() const {
  return std::atoi(start_line.substr(start_line.find(' ') + 1).c_str());
}

Connection::~Connection() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

std::unique_ptr<Connection> Connection::Open(const std::string& ip,
                                             uint16_t port) {
  constexpr int kTimeoutMs = 1000;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = ToAddress(ip, port);
  int error = 0;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    error = errno;
    pollfd writable{fd, POLLOUT, 0};
    if (error == EINPROGRESS && poll(&writable, 1, kTimeoutMs) == 1) {
      socklen_t size = sizeof error;
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  SetNoDelay(fd);
  return std::make_unique<Connection>(fd);
}

bool Connection::Send(const std::string& bytes) {
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

bool Connection::IsReadable(int timeout_ms) {
  if (!buffer_.empty()) {
    return true;
  }
  pollfd readable{fd_, POLLIN, 0};
  return poll(&readable, 1, timeout_ms) == 1;
}

void Connection::Reset() {
  const linger option{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  close(fd_);
  fd_ = -1;
}

bool Connection::Fill(int64_t deadline_ms) {
  const int64_t left = deadline_ms - NowMs();
  pollfd readable{fd_, POLLIN, 0};
  if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) != 1) {
    return false;
  }
  char buf[16384];
  const ssize_t n = recv(fd_, buf, sizeof buf, 0);
  if (n <= 0) {
    closed_by_peer_ = true;
    return false;
  }
  buffer_.append(buf, static_cast<size_t>(n));
  return true;
}

bool Connection::ReadMessage(Message* message, int timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  *message = Message();
  const auto read_until = [&](const std::string& end, std::string* text) {
    size_t at = 0;
    while ((at = buffer_.find(end)) == std::string::npos) {
      if (!Fill(deadline)) {
        return false;
      }
    }
    *text = buffer_.substr(0, at);
    buffer_.erase(0, at + end.size());
    return true;
  };
  const auto read_bytes = [&](size_t size) {
    while (buffer_.size() < size) {
      if (!Fill(deadline)) {
        message->body += buffer_;
        buffer_.clear();
        return false;
      }
    }
    message->body += buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  };
  std::string line;
  if (!read_until("\r\n", &message->start_line)) {
    return false;
  }
  while (true) {
    if (!read_until("\r\n", &line)) {
      return false;
    }
    if (line.empty()) {
      break;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    message->headers.emplace_back(line.substr(0, colon), line.substr(value));
  }
  if (EqualsIgnoreCase(message->Header("Transfer-Encoding"), "chunked")) {
    while (true) {
      if (!read_until("\r\n", &line)) {
        return false;
      }
      const size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) {
        return read_until("\r\n", &line);
      }
      if (!read_bytes(size) || !read_until("\r\n", &line)) {
        return false;
      }
    }
  }
  return read_bytes(
      std::strtoul(message->Header("Content-Length").c_str(), nullptr, 10));
}

Listener::Listener(const std::string& ip, uint16_t port)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  constexpr int kBacklog = 512;
  sockaddr_in address = ToAddress(ip, port);
  socklen_t size = sizeof address;
  if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd_, kBacklog) != 0 ||
      getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot listen on " + ip);
  }
  port_ = ntohs(address.sin_port);
}

Listener::~Listener() {
  stopped_ = true;
  shutdown(fd_, SHUT_RDWR);
  if (thread_.joinable()) {
    thread_.join();
  }
  close(fd_);
}

void Listener::Start(Serve serve) {
  thread_ = std::thread([this, serve = std::move(serve)] {
    while (!stopped_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      SetNoDelay(fd);
      // The process ends without waiting for these threads.
      std::thread([serve, fd] {
        Connection connection(fd);
        serve(connection);
      }).detach();
    }
  });
}

Store::Store(const std::string& ip, Record* record)
    : record_(record), listener_(ip) {
  listener_.Start([this](Connection& connection) { Serve(connection); });
}

std::string Store::ObjectText(const std::string& name, const Object& object) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(object.revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
         object.spec + R"(,"status":null})";
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Object& object = objects_[{kind, name}];
  object = {++revision_, spec};
  events_.push_back({revision_, kind, ObjectText(name, object), false});
  changed_.notify_all();
  record_->Line("store: " + kind + "/" + name + " is written");
}

void Store::Delete(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = objects_.find({kind, name});
  if (it == objects_.end()) {
    return;
  }
  Object object = it->second;
  object.revision = ++revision_;
  events_.push_back({revision_, kind, ObjectText(name, object), true});
  objects_.erase(it);
  changed_.notify_all();
  record_->Line("store: " + kind + "/" + name + " is removed");
}

std::string Store::List(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string items;
  for (const auto& [key, object] : objects_) {
    if (key.first == kind) {
      items += (items.empty() ? "" : ",") + ObjectText(key.second, object);
    }
  }
  return R"({"items":[)" + items + R"(],"has_more":false,"current_rev":)" +
         std::to_string(revision_) + "}";
}

std::string Store::Watch(const std::string& kind,
                         int64_t revision,
                         int wait_ms) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::string events;
  const auto collect = [&] {
    events.clear();
    for (const Event& it : events_) {
      if (it.kind == kind && it.revision > revision) {
        events += std::string(events.empty() ? "" : ",") + R"({"deleted":)" +
                  (it.deleted ? "true" : "false") + R"(,"object":)" +
                  it.object + "}";
      }
    }
    return !events.empty();
  };
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
  return R"({"events":[)" + events + R"(],"current_rev":)" +
         std::to_string(revision_) + "}";
}

void Store::Serve(Connection& connection) {
  constexpr int kIdleMs = 60000;
  Message request;
  while (connection.ReadMessage(&request, kIdleMs)) {
    const std::string path = request.Path();
    const std::string prefix = "/objects/";
    std::string body;
    int status = 404;
    if (path.compare(0, prefix.size(), prefix) == 0) {
      status = 200;
      const std::string kind =
          path.substr(prefix.size(), path.find('?') - prefix.size());
      const std::string watch = QueryValue(path, "watch");
      body = watch.empty()
                 ? List(kind)
                 : Watch(kind, std::atoll(watch.c_str()),
                         std::atoi(QueryValue(path, "wait_ms").c_str()));
    }
    if (!connection.Send("HTTP/1.1 " + std::to_string(status) +
                         (status == 200 ? " OK" : " Not Found") +
                         "\r\nStore-Era: 1\r\nContent-Type: application/json"
                         "\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

Replica::Replica(const std::string& ip, std::string id, Record* record, Run run)
    : ip_(ip),
      id_(std::move(id)),
      record_(record),
      run_(std::move(run)),
      listener_(ip) {
  listener_.Start([this](Connection& connection) {
    constexpr int kIdleMs = 60000;
    Message request;
    while (connection.ReadMessage(&request, kIdleMs)) {
      const std::string expected = request.Header("Endiveyard-Expect-Instance");
      if (!expected.empty() && expected != id_) {
        connection.Send(
            "HTTP/1.1 421 Misdirected Request\r\nEndiveyard-Request-Id: " +
            request.Header("Endiveyard-Request-Id") +
            "\r\nEndiveyard-Replica-Id: " + id_ +
            "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      record_->Line(
          "replica " + id_ + ": gets " + request.start_line + ", id " +
          request.Header("Endiveyard-Request-Id") +
          (request.Header("Last-Event-Id").empty()
               ? ""
               : ", Last-Event-Id " + request.Header("Last-Event-Id")));
      run_(*this, request, connection);
    }
  });
}

std::string Replica::address() const {
  return ip_ + ":" + std::to_string(listener_.port());
}

std::string Replica::Spec(const std::string& service,
                          int slots,
                          bool is_engine) const {
  return R"({"service":")" + service + R"(","address":")" + address() +
         R"(","zone":"zone-a","version":"v1","slots":)" +
         std::to_string(slots) + R"(,"state":"ready","cold_remaining_ms":0)" +
         (is_engine
              ? R"(,"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}])"
              : "") +
         R"(,"sequence":1,"born":1790000000000})";
}

std::string SuccessHead(const Message& request) {
  const std::string id = request.Header("Endiveyard-Request-Id");
  return "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Response-Signature: signature-of-" + id + "\r\n";
}

std::string Success(const Message& request, const std::string& body) {
  return SuccessHead(request) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Front::Front(Options options, Record* record)
    : options_(std::move(options)),
      record_(record),
      port_(FreePort(options_.ip)),
      ready_port_(FreePort(options_.ip)) {
  const std::string base = options_.folder + "/" + options_.name;
  std::ofstream out(base + ".conf");
  const uint16_t control_port = FreePort(options_.ip);
  std::string seeds;
  for (const std::string& it : options_.seed_ips) {
    seeds +=
        (seeds.empty() ? "" : ",") + it + ":" + std::to_string(control_port);
  }
  out << "node=" << options_.name << "\nrole=front\nmachine_class=front\n"
      << "serves=front,control\nip=" << options_.ip
      << "\nzone=" << options_.zone << "\nregion=region-a\nzones."
      << options_.zone << "=region-a\nlisten.front=" << options_.ip << ":"
      << port_ << "\nlisten.ready_address=" << options_.ip << ":" << ready_port_
      << "\nlisten.control=" << options_.ip << ":" << control_port
      << "\ninternal_port_range=7380,7395\nseeds=" << seeds
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
         "bounds.retry_slack=56\nbounds.recovery_s=12\nbounds.transit_ms=250\n"
         "bounds.retry_after_s=7.7\nbounds.require_fencing=true\n"
         "bounds.lease_ms=3000\nbounds.thaw_ms=300\nplatform.address="
      << options_.store_ip << ":" << options_.store_port
      << "\nplatform.form=objects\nplatform.writes_per_s=400\n"
         "platform.reads_per_s=2000\nplatform.history_s=20\n"
         "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
}

Front::~Front() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Front::Start() {
  const std::string base = options_.folder + "/" + options_.name;
  const std::string setting = "ENDIVEYARD_CONFIG=" + base + ".conf";
  const char* path = std::getenv("PATH");
  const std::string path_setting =
      std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
  const std::string log = base + ".log";
  // The line `run` of the role in deploy/system.toml.
  const char* const arguments[] = {"target/endiveyard", "front",
                                   "--metrics-port", "9464", nullptr};
  const char* const environment[] = {setting.c_str(), path_setting.c_str(),
                                     "LANG=C.UTF-8", "HOME=/tmp", nullptr};
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    // The process ends with the case, whatever ends that.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t signals;
    sigemptyset(&signals);
    sigprocmask(SIG_SETMASK, &signals, nullptr);
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
  record_->Line("process " + options_.name + " is started");
}

bool Front::RestartIfEnded() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  ++ends_by_itself_;
  record_->Line("process " + options_.name + " has ended by itself, " +
                (WIFSIGNALED(status)
                     ? "signal " + std::to_string(WTERMSIG(status)) + " (" +
                           strsignal(WTERMSIG(status)) + ")"
                     : "exit code " + std::to_string(WEXITSTATUS(status))));
  constexpr int kRestartDelayMs = 500;
  SleepMs(kRestartDelayMs);
  Start();
  return true;
}

bool Front::WaitUntilReady(int timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  while (NowMs() < deadline) {
    const auto connection = Connection::Open(options_.ip, ready_port_);
    Message response;
    if (connection != nullptr &&
        connection->Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        connection->ReadMessage(&response, 1000) && response.Status() == 200) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

void Front::Signal(int signal) {
  record_->Line("process " + options_.name + " gets signal " +
                std::to_string(signal));
  kill(pid_, signal);
}

bool Front::WaitForEnd(int timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  while (NowMs() < deadline) {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      record_->Line("process " + options_.name + " has ended");
      pid_ = -1;
      return true;
    }
    SleepMs(20);
  }
  return false;
}

Case::Case(const std::string& folder) : record_(folder + "/record.txt") {
  std::signal(SIGPIPE, SIG_IGN);
  std::set_terminate([] { std::_Exit(kCannotRun); });
  // One thread waits for signals, so that an interrupted case cleans up, too.
  sigset_t signals;
  sigemptyset(&signals);
  for (const int it : {SIGINT, SIGTERM, SIGHUP}) {
    sigaddset(&signals, it);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([this, signals] {
    const timespec limit{kMaxMs / 1000, 0};
    sigtimedwait(&signals, nullptr, &limit);
    record_.Line("interrupted, or over its time");
    End(kCannotRun);
  }).detach();
  const char* trouble = std::getenv("TROUBLE");
  trouble_ = trouble == nullptr || std::string(trouble) != "0";
  const int pid = getpid();
  network_ = "127." + std::to_string(16 + pid / 250 % 200) + "." +
             std::to_string(1 + pid % 250) + ".";
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  temporary_folder_ = pattern;
}

void Case::End(int exit_code) {
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(temporary_folder_, ec);
  }
  std::_Exit(exit_code);
}

std::string Case::Ip(int n) const {
  return network_ + std::to_string(n);
}

std::string ConfigurationSpec(int version,
                              const std::vector<Route>& routes,
                              const std::vector<std::string>& plain_services,
                              const std::vector<std::string>& engine_services) {
  std::string text =
      R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (const Route& it : routes) {
    text += std::string(&it == &routes.front() ? "" : ",") + R"({"name":"r)" +
            it.path_prefix.substr(1, it.path_prefix.size() - 2) +
            R"(","host":")" + kHost + R"(","path_prefix":")" + it.path_prefix +
            R"(","kind":")" + it.kind + R"(","timeout_ms":)" +
            std::to_string(it.timeout_ms) + R"(,"target_latency_ms":)" +
            std::to_string(it.target_latency_ms) +
            R"(,"priority":1,"service":")" + it.service +
            R"(","max_attempts":)" + std::to_string(it.max_attempts);
    if (it.kind == "streaming") {
      text += std::string(R"(,"session_affinity":true,"resumable":)") +
              (it.resumable ? "true" : "false") + R"(,"target_gap_ms":300)";
    }
    text += "}";
  }
  text += R"(],"services":[)";
  std::string services;
  for (const std::string& it : plain_services) {
    services += std::string(services.empty() ? "" : ",") + R"({"name":")" + it +
                R"(","health_path":"/healthz","max_connections":110})";
  }
  for (const std::string& it : engine_services) {
    services += std::string(services.empty() ? "" : ",") + R"({"name":")" + it +
                R"(","health_path":"/healthz","max_connections":370,"engine":)"
                R"({"slots":64,"kv_tokens":540532,"kv_bytes":35136,)"
                R"("link_mbps":1100000,"handle_ttl_s":5}})";
  }
  text += services +
          R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  return text;
}

std::string Request(const std::string& method,
                    const std::string& path,
                    const std::string& id,
                    int deadline_ms,
                    const std::string& more_headers,
                    const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
         more_headers +
         (method == "GET"
              ? std::string()
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

}  // namespace review
