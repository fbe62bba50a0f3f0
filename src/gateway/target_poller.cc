#include "gateway/target_poller.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>

#include <exception>
#include <map>
#include <mutex>
#include <utility>

#include "gateway/closable_callback.h"
#include "gateway/target_load_json.h"

namespace endiveyard {
namespace {

using web::http::http_response;
using web::http::methods;
using web::http::client::http_client;
using web::http::client::http_client_config;
using web::json::value;

constexpr std::chrono::seconds kPollTimeout(2);

std::vector<uint64_t> ParseHashes(const value& array) {
  std::vector<uint64_t> hashes;
  for (const value& it : array.as_array()) {
    hashes.push_back(std::stoull(it.as_string()));
  }
  return hashes;
}

struct PolledTarget {
  std::shared_ptr<http_client> client;
  uint64_t next_cache_event = 0;
  bool polling = false;
};

}  // namespace

class TargetPoller::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(EventCallback on_event, FailureCallback on_failure)
      : on_event_(std::move(on_event)), on_failure_(std::move(on_failure)) {}

  void SetTargets(const std::vector<TargetInfo>& targets) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, PolledTarget> next;
    for (const TargetInfo& it : targets) {
      if (it.kind != TargetKind::kEngine) {
        continue;
      }
      const auto existing = targets_.find(it.id);
      if (existing != targets_.end()) {
        next[it.id] = existing->second;
        continue;
      }
      http_client_config config;
      config.set_timeout(kPollTimeout);
      next[it.id].client =
          std::make_shared<http_client>("http://" + it.address, config);
    }
    targets_ = std::move(next);
  }

  void Poll() {
    std::vector<std::pair<std::string, PolledTarget>> targets_to_poll;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (auto& [id, target] : targets_) {
        if (!target.polling) {
          target.polling = true;
          targets_to_poll.emplace_back(id, target);
        }
      }
    }
    for (const auto& [id, target] : targets_to_poll) {
      PollTarget(id, target);
    }
  }

  void Stop() {
    on_event_.Close();
    on_failure_.Close();
  }

 private:
  void PollTarget(const std::string& id, const PolledTarget& target) {
    auto self = shared_from_this();
    const auto client = target.client;
    const uint64_t since = target.next_cache_event;
    client->request(methods::GET, "/v1/load")
        .then([](http_response response) { return response.extract_json(); })
        .then([self, id, client, since](const value& body) {
          self->on_event_(LoadReported{id, ParseTargetLoad(body)});
          return client->request(
              methods::GET, "/v1/cache_events?since=" + std::to_string(since));
        })
        .then([](http_response response) { return response.extract_json(); })
        .then([self, id](pplx::task<value> task) {
          try {
            self->HandleCacheEvents(id, task.get());
          } catch (const std::exception&) {
            self->on_failure_(id);
          }
          self->FinishPoll(id);
        });
  }

  void HandleCacheEvents(const std::string& id, const value& body) {
    CacheChanged changed;
    changed.target = id;
    changed.sequence = body.at("sequence").as_number().to_uint64();
    changed.stored = ParseHashes(body.at("stored"));
    changed.evicted = ParseHashes(body.at("evicted"));
    if (changed.stored.empty() && changed.evicted.empty()) {
      return;
    }
    {
      std::lock_guard<std::mutex> lock(mutex_);
      const auto it = targets_.find(id);
      if (it != targets_.end()) {
        it->second.next_cache_event =
            changed.sequence + changed.stored.size() + changed.evicted.size();
      }
    }
    on_event_(changed);
  }

  void FinishPoll(const std::string& id) {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = targets_.find(id);
    if (it != targets_.end()) {
      it->second.polling = false;
    }
  }

  ClosableCallback<ServingEvent> on_event_;
  ClosableCallback<const std::string&> on_failure_;
  std::mutex mutex_;
  std::map<std::string, PolledTarget> targets_;
};

TargetPoller::TargetPoller(EventCallback on_event, FailureCallback on_failure)
    : impl_(
          std::make_shared<Impl>(std::move(on_event), std::move(on_failure))) {}
TargetPoller::~TargetPoller() {
  Stop();
}

void TargetPoller::Stop() {
  impl_->Stop();
}

void TargetPoller::SetTargets(const std::vector<TargetInfo>& targets) {
  impl_->SetTargets(targets);
}

void TargetPoller::Poll() {
  impl_->Poll();
}

}  // namespace endiveyard
