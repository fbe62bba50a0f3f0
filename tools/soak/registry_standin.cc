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

std::string Response(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

RegistryStandin::RegistryStandin(const std::string& ip, size_t views) {
  for (size_t n = 0; n < views; ++n) {
    listeners_.push_back(std::make_unique<HttpListener>(
        ip, [this, n](HttpPeer& peer) { Serve(peer, n); }));
  }
}

void RegistryStandin::Put(const std::string& kind,
                          const std::string& name,
                          const std::string& spec) {
  Record(kind, name, {spec}, false);
}

void RegistryStandin::Put(const std::string& kind,
                          const std::string& name,
                          const std::vector<std::string>& specs) {
  Record(kind, name, specs, false);
}

void RegistryStandin::Delete(const std::string& kind, const std::string& name) {
  Record(kind, name, {"null"}, true);
}

void RegistryStandin::Record(const std::string& kind,
                             const std::string& name,
                             const std::vector<std::string>& specs,
                             bool deleted) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  std::vector<std::string> objects;
  objects.reserve(specs.size());
  for (const std::string& it : specs) {
    std::string object = R"({"metadata":{"name":")" + name +
                         R"(","revision":)" + std::to_string(revision_) +
                         R"(,"created":1,"finalizers":[],"deleting":false},)"
                         R"("spec":)";
    object += it;
    object += R"(,"status":null})";
    objects.push_back(std::move(object));
  }
  changes_.push_back({revision_, kind, name, std::move(objects), deleted});
  changed_.notify_all();
}

const std::string& RegistryStandin::ObjectIn(const Change& change,
                                             size_t view) {
  return change.objects[change.objects.size() == 1 ? 0 : view];
}

std::string RegistryStandin::Read(const std::string& target, size_t view) {
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
        objects[it.name] = ObjectIn(it, view);
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
               R"(,"object":)" + ObjectIn(it, view) + "}");
      }
    }
    return !entries.empty();
  };
  changed_.wait_for(
      lock, std::chrono::milliseconds(QueryNumber(target, "wait_ms")), collect);
  return R"({"events":[)" + entries + R"(],"current_rev":)" +
         std::to_string(revision_) + "}";
}

std::optional<std::string> RegistryStandin::HandleObject(
    const HttpMessage& request,
    size_t view) {
  const std::string prefix = "/objects/";
  const std::string path = request.Target().substr(prefix.size());
  const size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  if (request.start_line.compare(0, 4, "GET ") != 0) {
    const std::string named = "\"name\":\"";
    const size_t begin = request.body.find(named) + named.size();
    return WriteObject(
        kind, request.body.substr(begin, request.body.find('"', begin) - begin),
        request.body);
  }
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = changes_.rbegin(); it != changes_.rend(); ++it) {
    if (it->kind == kind && it->name == path.substr(slash + 1)) {
      return Response("200 OK", ObjectIn(*it, view));
    }
  }
  return Response("404 Not Found", "{}");
}

std::string RegistryStandin::WriteObject(const std::string& kind,
                                         const std::string& name,
                                         const std::string& body) {
  const std::string revision_field = "\"revision\":";
  const std::string spec_field = "\"spec\":";
  const size_t spec = body.find(spec_field) + spec_field.size();
  const size_t revision = body.rfind(revision_field, spec);
  const int64_t expected =
      revision == std::string::npos
          ? 0
          : std::atoll(body.c_str() + revision + revision_field.size());
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    int64_t current = 0;
    for (const Change& it : changes_) {
      current = it.kind == kind && it.name == name ? it.revision : current;
    }
    if (current != expected) {
      return Response("409 Conflict", "{}");
    }
  }
  Record(kind, name, {body.substr(spec, body.rfind('}') - spec)}, false);
  return Response("200 OK", "{}");
}

void RegistryStandin::Serve(HttpPeer& peer, size_t view) {
  constexpr int kIdleMs = 60000;
  while (true) {
    const HttpMessage request = peer.Read(kIdleMs);
    if (!request.complete) {
      return;
    }
    if (const auto answer = HandleObject(request, view)) {
      if (!peer.Send(*answer)) {
        return;
      }
      continue;
    }
    if (!peer.Send(Response("200 OK", Read(request.Target(), view)))) {
      return;
    }
  }
}

}  // namespace endiveyard::soak
