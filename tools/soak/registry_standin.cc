#include "soak/registry_standin.h"

#include <chrono>
#include <cstdlib>

namespace endiveyard::soak {
namespace {

int64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::string query = "&" + target.substr(target.find('?') + 1);
  const size_t at = query.find("&" + name + "=");
  return at == std::string::npos
             ? -1
             : std::atoll(query.c_str() + at + name.size() + 2);
}

}  // namespace

RegistryStandin::RegistryStandin(const std::string& ip)
    : listener_(ip, [this](HttpPeer& peer) { Serve(peer); }) {}

void RegistryStandin::Put(const std::string& kind,
                          const std::string& name,
                          const std::string& spec) {
  Record(kind, name, spec, false);
}

void RegistryStandin::Delete(const std::string& kind, const std::string& name) {
  Record(kind, name, "null", true);
}

void RegistryStandin::Record(const std::string& kind,
                             const std::string& name,
                             const std::string& spec,
                             bool deleted) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  changes_.push_back({revision_, kind, name,
                      R"({"metadata":{"name":")" + name + R"(","revision":)" +
                          std::to_string(revision_) +
                          R"(,"created":1,"finalizers":[],"deleting":false},)" +
                          R"("spec":)" + spec + R"(,"status":null})",
                      deleted});
  changed_.notify_all();
}

std::string RegistryStandin::Read(const std::string& target) {
  const std::string prefix = "/objects/";
  const std::string kind =
      target.substr(prefix.size(), target.find('?') - prefix.size());
  const int64_t watch = QueryNumber(target, "watch");
  std::unique_lock<std::mutex> lock(mutex_);
  std::string entries;
  const auto append = [&entries](const std::string& entry) {
    entries += (entries.empty() ? "" : ",") + entry;
  };
  if (watch < 0) {
    std::map<std::string, std::string> objects;
    for (const Change& it : changes_) {
      if (it.kind == kind && it.deleted) {
        objects.erase(it.name);
      } else if (it.kind == kind) {
        objects[it.name] = it.object;
      }
    }
    for (const auto& it : objects) {
      append(it.second);
    }
    return R"({"items":[)" + entries + R"(],"has_more":false,"current_rev":)" +
           std::to_string(revision_) + "}";
  }
  const auto collect = [&] {
    for (const Change& it : changes_) {
      if (it.kind == kind && it.revision > watch) {
        append(std::string(R"({"deleted":)") + (it.deleted ? "true" : "false") +
               R"(,"object":)" + it.object + "}");
      }
    }
    return !entries.empty();
  };
  changed_.wait_for(
      lock, std::chrono::milliseconds(QueryNumber(target, "wait_ms")), collect);
  return R"({"events":[)" + entries + R"(],"current_rev":)" +
         std::to_string(revision_) + "}";
}

void RegistryStandin::Serve(HttpPeer& peer) {
  constexpr int kIdleMs = 60000;
  while (true) {
    const HttpMessage request = peer.Read(kIdleMs);
    if (!request.complete) {
      return;
    }
    const std::string body = Read(request.Target());
    if (!peer.Send("HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
                   "Content-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

}  // namespace endiveyard::soak
