#ifndef ENDIVEYARD_REVIEW_SUPPORT_SUPPORT_H_
#define ENDIVEYARD_REVIEW_SUPPORT_SUPPORT_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins of the platform, of replicas and of clients, and the processes of
// the system, for the cases of the review. All addresses are loopback
// addresses.
namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

int64_t NowMs();  // steady clock
void SleepMs(int64_t ms);

// The lines of record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const int64_t start_ms_ = NowMs();
};

struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Path() const;  // of a request
  int Status() const;        // of a response
};

// A blocking HTTP/1.1 connection.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns nullptr if the connection is not established within a second.
  static std::unique_ptr<Connection> Open(const std::string& ip, uint16_t port);

  bool Send(const std::string& bytes);
  // Reads a head and the body that its headers announce: by length or in
  // chunks. Returns false if the connection ends or `timeout_ms` passes before
  // the end of the message. `message` then holds what was read.
  bool ReadMessage(Message* message, int timeout_ms);
  // True if the last ReadMessage() failed since the peer closed or reset the
  // connection.
  bool closed_by_peer() const { return closed_by_peer_; }
  // True if the peer has closed the connection, or has sent something.
  bool IsReadable(int timeout_ms);
  // Closes with a TCP reset.
  void Reset();

 private:
  bool Fill(int64_t deadline_ms);

  int fd_;
  std::string buffer_;
  bool closed_by_peer_ = false;
};

// Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Connection& connection)>;

  explicit Listener(const std::string& ip, uint16_t port = 0);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Start(Serve serve);
  uint16_t port() const { return port_; }

 private:
  int fd_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// The metadata store of the platform: lists, and watches that wait.
class Store {
 public:
  Store(const std::string& ip, Record* record);

  uint16_t port() const { return listener_.port(); }
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Delete(const std::string& kind, const std::string& name);

 private:
  struct Event {
    int64_t revision;
    std::string kind;
    std::string object;
    bool deleted;
  };
  struct Object {
    int64_t revision;
    std::string spec;
  };

  void Serve(Connection& connection);
  std::string List(const std::string& kind);
  std::string Watch(const std::string& kind, int64_t revision, int wait_ms);
  static std::string ObjectText(const std::string& name, const Object& object);

  Record* const record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Object> objects_;
  std::vector<Event> events_;
  int64_t revision_ = 100;
  Listener listener_;
};

// A replica. It rejects requests that expect another instance; `run` answers
// the others.
class Replica {
 public:
  using Run = std::function<void(const Replica& replica,
                                 const Message& request,
                                 Connection& connection)>;

  Replica(const std::string& ip, std::string id, Record* record, Run run);

  const std::string& id() const { return id_; }
  std::string address() const;
  // Its entry in the store.
  std::string Spec(const std::string& service, int slots, bool is_engine) const;

 private:
  const std::string ip_;
  const std::string id_;
  Record* const record_;
  const Run run_;
  Listener listener_;
};

// Head of a success of a replica, up to the headers of the framing.
std::string SuccessHead(const Message& request);
// A complete success of a replica.
std::string Success(const Message& request, const std::string& body);

// A process of the system, started with the command of deploy/system.toml.
class Front {
 public:
  struct Options {
    std::string name;
    std::string ip;
    std::string zone;
    std::string store_ip;
    uint16_t store_port = 0;
    std::vector<std::string> seed_ips;
    std::string folder;  // for the settings and the log
  };

  Front(Options options, Record* record);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  void Start();
  // Starts the process again if it has ended by itself, as the platform does.
  // Returns true if it had.
  bool RestartIfEnded();
  bool WaitUntilReady(int timeout_ms);
  void Signal(int signal);
  // Waits for the end of the process. Returns false after `timeout_ms`.
  bool WaitForEnd(int timeout_ms);

  const std::string& ip() const { return options_.ip; }
  uint16_t port() const { return port_; }
  int ends_by_itself() const { return ends_by_itself_; }

 private:
  const Options options_;
  Record* const record_;
  uint16_t port_ = 0;
  uint16_t ready_port_ = 0;
  pid_t pid_ = -1;
  int ends_by_itself_ = 0;
};

// Addresses, a temporary folder and the limit on the time of a case.
class Case {
 public:
  // `folder` is where record.txt is written.
  explicit Case(const std::string& folder);
  Case(const Case&) = delete;
  Case& operator=(const Case&) = delete;

  // False with TROUBLE=0.
  bool trouble() const { return trouble_; }
  // A loopback address of this case: 127.A.B.n.
  std::string Ip(int n) const;
  const std::string& temporary_folder() const { return temporary_folder_; }
  Record* record() { return &record_; }
  // Removes the temporary folder and ends the process without waiting for the
  // threads of the stand-ins. The processes of the system end with it.
  [[noreturn]] void End(int exit_code);

 private:
  Record record_;
  bool trouble_ = true;
  std::string network_;
  std::string temporary_folder_;
};

// A route of the configuration.
struct Route {
  std::string path_prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 1200;
  int target_latency_ms = 150;
  int max_attempts = 1;
  bool resumable = false;
};

inline constexpr const char* kHost = "review.example";

std::string ConfigurationSpec(int version,
                              const std::vector<Route>& routes,
                              const std::vector<std::string>& plain_services,
                              const std::vector<std::string>& engine_services);

// A request of a client with the host of the configuration.
std::string Request(const std::string& method,
                    const std::string& path,
                    const std::string& id,
                    int deadline_ms,
                    const std::string& more_headers = "",
                    const std::string& body = "");

}  // namespace review

#endif  // ENDIVEYARD_REVIEW_SUPPORT_SUPPORT_H_
