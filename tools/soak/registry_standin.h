#ifndef ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_
#define ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "soak/http_peer.h"

namespace endiveyard::soak {

// The platform's store: lists, and watches that wait.
class RegistryStandin {
 public:
  explicit RegistryStandin(const std::string& ip);

  uint16_t port() const { return listener_.port(); }
  // Writes an object. `spec` is JSON.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Delete(const std::string& kind, const std::string& name);

 private:
  struct Change {
    int64_t revision;
    std::string kind;
    std::string name;
    std::string object;
    bool deleted;
  };

  void Serve(HttpPeer& peer);
  std::string Read(const std::string& target);
  // Reads or writes one object. Returns the response, or nullopt for a request
  // that lists or watches.
  std::optional<std::string> HandleObject(const HttpMessage& request);
  std::string WriteObject(const std::string& kind,
                          const std::string& name,
                          const std::string& body);
  void Record(const std::string& kind,
              const std::string& name,
              const std::string& spec,
              bool deleted);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Change> changes_;
  int64_t revision_ = 100;
  HttpListener listener_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_
