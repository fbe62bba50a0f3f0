#ifndef ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_
#define ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "soak/http_peer.h"

namespace endiveyard::soak {

// What is wrong with the registry for the time being.
struct RegistryTrouble {
  bool is_silent = false;  // calls hang
  bool is_busy = false;    // calls get 503
  bool is_slow = false;    // answers take 50 times as long
  // Writes are carried out and not answered.
  bool loses_answers = false;
  // Watches that wait hear of no change any more, until their time is over.
  bool deafens_watches = false;
  std::vector<bool> turned_away{};  // views whose calls get 503
  std::vector<bool> cut{};          // views whose calls hang

  bool IsTurnedAway(size_t view) const {
    return is_busy || (view < turned_away.size() && turned_away[view]);
  }
  bool IsSilent(size_t view) const {
    return is_silent || (view < cut.size() && cut[view]);
  }
};

// The platform's store: lists, and watches that wait.
class RegistryStandin {
 public:
  // Serves `views` of the objects, each at a port of its own.
  RegistryStandin(const std::string& ip, size_t views);

  uint16_t port(size_t view) const { return listeners_[view]->port(); }
  size_t views() const { return listeners_.size(); }
  // Writes an object. `spec` is JSON.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  // Writes an object that differs between the views.
  void Put(const std::string& kind,
           const std::string& name,
           const std::vector<std::string>& specs);
  void Delete(const std::string& kind, const std::string& name);

  void SetTrouble(const RegistryTrouble& trouble);
  void ResetConnections();
  // Returns how many watches of a kind have ended that had heard of no change.
  int EndedDeafWatches(const std::string& kind);
  // Cuts the watches that wait; those from an earlier revision get 410.
  void DropHistory();
  // Comes back from a copy that is `age_ms` old, in a new era. All that was
  // written since is gone.
  void Restore(int64_t age_ms);
  // Writes again what was lost of Put() and Delete(), which also do so.
  void WriteLostAgain();

 private:
  struct Change {
    int64_t revision = 0;
    int64_t at_ms = 0;
    std::string kind;
    std::string name;
    std::vector<std::string> specs;  // by view, or one for all
    bool deleted = false;
    bool by_caller = false;
  };
  using Key = std::pair<std::string, std::string>;  // kind and name

  void Serve(HttpPeer& peer, size_t view);
  // Waits while calls hang. Returns false if the connection has ended.
  bool WaitWhileSilent(HttpPeer& peer, size_t view);
  std::string Answer(const HttpMessage& request, size_t view);
  RegistryTrouble trouble();
  int64_t era();
  std::string Respond(const std::string& status, const std::string& body) const;
  std::string List(const std::string& kind,
                   const std::string& after,
                   size_t view);
  std::string Watch(const std::string& kind,
                    int64_t revision,
                    int64_t wait_ms,
                    size_t view);
  static std::string ObjectIn(const Change& change, size_t view);
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
  void Record(Change change);
  void RecordLostAgain();
  // Drops what has been replaced for longer than the history lasts.
  void Compact();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Change> changes_;
  std::deque<Change> lost_;  // of Put() and Delete(), in a restore
  int64_t revision_ = 100;
  int64_t era_ = 1;
  int64_t compacted_revision_ = 0;  // older watches get 410
  int64_t compacted_at_ms_ = 0;
  uint64_t watch_cuts_ = 0;
  uint64_t deafenings_ = 0;
  std::map<std::string, int> ended_deaf_watches_;  // by kind
  RegistryTrouble trouble_;
  std::vector<std::unique_ptr<HttpListener>> listeners_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_REGISTRY_STANDIN_H_
