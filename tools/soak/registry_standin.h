#ifndef ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_
#define ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "soak/http_peer.h"

namespace endiveyard::soak {

// The platform's store: lists, and watches that wait.
class RegistryStandin {
 public:
  // Serves `views` of the objects, each at a port of its own.
  RegistryStandin(const std::string& ip, size_t views);

  uint16_t port(size_t view) const { return listeners_[view]->port(); }
  // Writes an object. `spec` is JSON.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  // Writes an object that differs between the views.
  void Put(const std::string& kind,
           const std::string& name,
           const std::vector<std::string>& specs);
  void Delete(const std::string& kind, const std::string& name);

 private:
  struct Change {
    int64_t revision;
    std::string kind;
    std::string name;
    std::vector<std::string> objects;  // by view, or one for all
    bool deleted;
  };

  void Serve(HttpPeer& peer, size_t view);
  std::string Read(const std::string& target, size_t view);
  static const std::string& ObjectIn(const Change& change, size_t view);
  // Reads or writes one object. Returns the response, or nullopt for a request
  // that lists or watches.
  std::optional<std::string> HandleObject(const HttpMessage& request,
                                          size_t view);
  // The latest change of an object; nullptr if there is none, or it is deleted.
  const Change* Find(const std::string& kind, const std::string& name) const;
  std::string Create(const std::string& kind,
                     const std::string& name,
                     const std::string& body);
  std::string Replace(const std::string& kind,
                      const std::string& name,
                      const std::string& body);
  // `revision` is negative for any.
  std::string Remove(const std::string& kind,
                     const std::string& name,
                     int64_t revision);
  void Record(const std::string& kind,
              const std::string& name,
              const std::vector<std::string>& specs,
              bool deleted);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Change> changes_;
  int64_t revision_ = 100;
  std::vector<std::unique_ptr<HttpListener>> listeners_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_
