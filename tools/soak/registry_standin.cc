#include "soak/registry_standin.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <set>

namespace endiveyard::soak {
namespace {

// As the settings of the processes state.
constexpr int64_t kHistoryMs = 20000;
constexpr int64_t kCompactionIntervalMs = 500;
// Of a list. The platform's pages are larger; the lists of a soak would fit on
// one.
constexpr size_t kPageItems = 8;
constexpr int64_t kUsualAnswerMs = 10;
// Watches that wait for less only read what has changed already.
constexpr int64_t kMinWatchMs = 100;
constexpr int64_t kSlowFactor = 50;

std::string QueryText(const std::string& target, const std::string& name) {
  const std::string query = "&" + target.substr(target.find('?') + 1);
  const std::string field = "&" + name + "=";
  const size_t at = query.find(field);
  if (at == std::string::npos) {
    return "";
  }
  const size_t begin = at + field.size();
  return query.substr(begin, query.find('&', begin) - begin);
}

int64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::string text = QueryText(target, name);
  return text.empty() ? -1 : std::atoll(text.c_str());
}

constexpr std::string_view kSpecField = "\"spec\":";

// Returns the spec of an object, the last of its fields.
std::string SpecOf(const std::string& object) {
  const size_t begin = object.find(kSpecField) + kSpecField.size();
  return object.substr(begin, object.rfind('}') - begin);
}

bool IsWrite(const HttpMessage& request) {
  return request.start_line.compare(0, 4, "GET ") != 0;
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
  Put(kind, name, std::vector<std::string>{spec});
}

void RegistryStandin::Put(const std::string& kind,
                          const std::string& name,
                          const std::vector<std::string>& specs) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RecordLostAgain();
  Record({0, 0, kind, name, specs, false, false});
}

void RegistryStandin::Delete(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RecordLostAgain();
  Record({0, 0, kind, name, {"null"}, true, false});
}

void RegistryStandin::SetTrouble(const RegistryTrouble& trouble) {
  const std::lock_guard<std::mutex> lock(mutex_);
  deafenings_ += trouble.deafens_watches ? 1 : 0;
  trouble_ = trouble;
  changed_.notify_all();
}

RegistryTrouble RegistryStandin::trouble() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return trouble_;
}

void RegistryStandin::ResetConnections() {
  for (const auto& it : listeners_) {
    it->ResetConnections();
  }
}

int64_t RegistryStandin::era() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return era_;
}

int RegistryStandin::EndedDeafWatches(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ended_deaf_watches_[kind];
}

void RegistryStandin::DropHistory() {
  const std::lock_guard<std::mutex> lock(mutex_);
  compacted_revision_ = revision_;
  ++watch_cuts_;
  changed_.notify_all();
}

void RegistryStandin::Restore(int64_t age_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RecordLostAgain();
  const int64_t copied_at_ms = NowMs() - age_ms;
  while (!changes_.empty() && changes_.back().at_ms > copied_at_ms) {
    revision_ = changes_.back().revision - 1;
    if (!changes_.back().by_caller) {
      lost_.push_front(std::move(changes_.back()));
    }
    changes_.pop_back();
  }
  compacted_revision_ = std::min(compacted_revision_, revision_);
  ++era_;
  ++watch_cuts_;
  changed_.notify_all();
}

void RegistryStandin::WriteLostAgain() {
  const std::lock_guard<std::mutex> lock(mutex_);
  RecordLostAgain();
}

void RegistryStandin::RecordLostAgain() {
  for (Change& it : std::exchange(lost_, {})) {
    Record(std::move(it));
  }
}

void RegistryStandin::Record(Change change) {
  change.revision = ++revision_;
  change.at_ms = NowMs();
  changes_.push_back(std::move(change));
  Compact();
  changed_.notify_all();
}

void RegistryStandin::Compact() {
  const int64_t now_ms = NowMs();
  if (now_ms - compacted_at_ms_ < kCompactionIntervalMs) {
    return;
  }
  compacted_at_ms_ = now_ms;
  const auto begin_of_history = std::find_if(
      changes_.begin(), changes_.end(),
      [&](const Change& it) { return now_ms - it.at_ms <= kHistoryMs; });
  std::deque<Change> kept(std::make_move_iterator(begin_of_history),
                          std::make_move_iterator(changes_.end()));
  std::set<Key> seen;
  for (auto it = std::make_reverse_iterator(begin_of_history);
       it != changes_.rend(); ++it) {
    compacted_revision_ = std::max(compacted_revision_, it->revision);
    if (seen.insert({it->kind, it->name}).second && !it->deleted) {
      kept.push_front(std::move(*it));
    }
  }
  changes_ = std::move(kept);
}

std::string RegistryStandin::ObjectIn(const Change& change, size_t view) {
  return R"({"metadata":{"name":")" + change.name + R"(","revision":)" +
         std::to_string(change.revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
         change.specs[change.specs.size() == 1 ? 0 : view] +
         R"(,"status":null})";
}

std::string RegistryStandin::Respond(const std::string& status,
                                     const std::string& body) const {
  return "HTTP/1.1 " + status + "\r\nStore-Era: " + std::to_string(era_) +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string RegistryStandin::List(const std::string& kind,
                                  const std::string& after,
                                  size_t view) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, const Change*> objects;
  for (const Change& it : changes_) {
    if (it.kind == kind && it.deleted) {
      objects.erase(it.name);
    } else if (it.kind == kind) {
      objects[it.name] = &it;
    }
  }
  std::string items;
  size_t count = 0;
  auto it = objects.upper_bound(after);
  for (; it != objects.end() && count < kPageItems; ++it, ++count) {
    items += (items.empty() ? "" : ",") + ObjectIn(*it->second, view);
  }
  return Respond("200 OK", R"({"items":[)" + items + R"(],"has_more":)" +
                               (it == objects.end() ? "false" : "true") +
                               R"(,"current_rev":)" +
                               std::to_string(revision_) + "}");
}

std::string RegistryStandin::Watch(const std::string& kind,
                                   int64_t revision,
                                   int64_t wait_ms,
                                   size_t view) {
  std::unique_lock<std::mutex> lock(mutex_);
  const uint64_t cuts = watch_cuts_;
  const auto is_gone = [&] {
    return cuts != watch_cuts_ || revision < compacted_revision_ ||
           revision > revision_;
  };
  std::string events;
  const auto collect = [&] {
    events.clear();
    for (const Change& it : changes_) {
      if (it.kind == kind && it.revision > revision) {
        events += std::string(events.empty() ? "" : ",") + R"({"deleted":)" +
                  (it.deleted ? "true" : "false") + R"(,"object":)" +
                  ObjectIn(it, view) + "}";
      }
    }
    return !events.empty();
  };
  const bool may_be_deaf = wait_ms >= kMinWatchMs;
  bool is_deaf = may_be_deaf && trouble_.deafens_watches;
  const uint64_t deafenings = deafenings_;
  if (!is_gone() && !collect()) {
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
      is_deaf = is_deaf || (may_be_deaf && deafenings != deafenings_);
      return is_gone() || (!is_deaf && collect());
    });
  }
  ended_deaf_watches_[kind] += is_deaf ? 1 : 0;
  if (is_deaf) {
    collect();
  }
  if (is_gone()) {
    return Respond("410 Gone", "{}");
  }
  return Respond("200 OK", R"({"events":[)" + events + R"(],"current_rev":)" +
                               std::to_string(revision_) + "}");
}

std::optional<std::string> RegistryStandin::HandleObject(
    const HttpMessage& request,
    size_t view) {
  const std::string prefix = "/objects/";
  const std::string path = request.Target().substr(prefix.size());
  const size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const size_t query = path.find('?');
  const std::string name =
      slash == std::string::npos
          ? ""
          : path.substr(slash + 1, query == std::string::npos
                                       ? std::string::npos
                                       : query - slash - 1);
  if (slash == std::string::npos && !IsWrite(request)) {
    return std::nullopt;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.start_line.compare(0, 5, "POST ") == 0) {
    const std::string named = "\"name\":\"";
    const size_t begin = request.body.find(named) + named.size();
    return Create(
        kind, request.body.substr(begin, request.body.find('"', begin) - begin),
        request.body);
  }
  if (request.start_line.compare(0, 4, "PUT ") == 0) {
    return Replace(kind, name, request.body);
  }
  if (request.start_line.compare(0, 7, "DELETE ") == 0) {
    return Remove(kind, name, QueryNumber(request.Target(), "revision"));
  }
  const Change* const current = Find(kind, name);
  return current == nullptr ? Respond("404 Not Found", "{}")
                            : Respond("200 OK", ObjectIn(*current, view));
}

const RegistryStandin::Change* RegistryStandin::Find(
    const std::string& kind,
    const std::string& name) const {
  const auto it = std::find_if(
      changes_.rbegin(), changes_.rend(),
      [&](const Change& it) { return it.kind == kind && it.name == name; });
  return it == changes_.rend() || it->deleted ? nullptr : &*it;
}

std::string RegistryStandin::Create(const std::string& kind,
                                    const std::string& name,
                                    const std::string& body) {
  if (Find(kind, name) != nullptr) {
    return Respond("409 Conflict", "{}");
  }
  Record({0, 0, kind, name, {SpecOf(body)}, false, true});
  return Respond("201 Created", "{}");
}

std::string RegistryStandin::Replace(const std::string& kind,
                                     const std::string& name,
                                     const std::string& body) {
  const std::string revision_field = "\"revision\":";
  const size_t revision = body.rfind(revision_field, body.find(kSpecField));
  const Change* const current = Find(kind, name);
  if (current == nullptr) {
    return Respond("404 Not Found", "{}");
  }
  // Without a revision, whatever there is is replaced.
  if (revision != std::string::npos &&
      std::atoll(body.c_str() + revision + revision_field.size()) !=
          current->revision) {
    return Respond("409 Conflict", "{}");
  }
  Record({0, 0, kind, name, {SpecOf(body)}, false, true});
  return Respond("200 OK", "{}");
}

std::string RegistryStandin::Remove(const std::string& kind,
                                    const std::string& name,
                                    int64_t revision) {
  const Change* const current = Find(kind, name);
  if (current == nullptr) {
    return Respond("404 Not Found", "{}");
  }
  if (revision >= 0 && revision != current->revision) {
    return Respond("409 Conflict", "{}");
  }
  Record({0, 0, kind, name, {"null"}, true, true});
  return Respond("200 OK", "{}");
}

bool RegistryStandin::WaitWhileSilent(HttpPeer& peer, size_t view) {
  constexpr int kIntervalMs = 10;
  while (trouble().IsSilent(view)) {
    SleepMs(kIntervalMs);
  }
  return !peer.HasEnded();
}

std::string RegistryStandin::Answer(const HttpMessage& request, size_t view) {
  if (trouble().IsTurnedAway(view)) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Respond("503 Service Unavailable", "{}");
  }
  if (const auto answer = HandleObject(request, view)) {
    return *answer;
  }
  const std::string target = request.Target();
  const size_t begin = std::string_view("/objects/").size();
  const std::string kind = target.substr(begin, target.find('?') - begin);
  const int64_t watch = QueryNumber(target, "watch");
  return watch < 0 ? List(kind, QueryText(target, "after"), view)
                   : Watch(kind, watch, QueryNumber(target, "wait_ms"), view);
}

void RegistryStandin::Serve(HttpPeer& peer, size_t view) {
  constexpr int kIdleMs = 60000;
  while (true) {
    const HttpMessage request = peer.Read(kIdleMs);
    const int64_t era_of_call = era();
    if (!request.complete) {
      return;
    }
    if (!WaitWhileSilent(peer, view)) {
      // A write may be carried out after its caller has given up.
      if (IsWrite(request) && era() == era_of_call) {
        Answer(request, view);
      }
      return;
    }
    const std::string answer = Answer(request, view);
    if (trouble().loses_answers && IsWrite(request)) {
      peer.WaitForEnd(kIdleMs);
      return;
    }
    if (trouble().is_slow) {
      SleepMs(kUsualAnswerMs * kSlowFactor);
    }
    if (!WaitWhileSilent(peer, view) || !peer.Send(answer)) {
      return;
    }
  }
}

}  // namespace endiveyard::soak
