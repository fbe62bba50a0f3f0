#ifndef ENDIVEYARD_RELAY_ADMIN_LISTENER_H_
#define ENDIVEYARD_RELAY_ADMIN_LISTENER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"

namespace endiveyard {

struct AdminResponse {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

// HTTP listener for readiness probes of the platform and for metrics scrapes.
// Connections are persistent. Single-threaded.
class AdminListener {
 public:
  // `handler` gets the path of each request, without the query.
  AdminListener(boost::asio::io_context& io,
                std::function<AdminResponse(std::string_view path)> handler);
  ~AdminListener();
  AdminListener(const AdminListener&) = delete;
  AdminListener& operator=(const AdminListener&) = delete;

  // Binds to IP:PORT and starts accepting connections; port 0 picks a free
  // one. Errors: kUnavailable.
  absl::Status Listen(const std::string& ip, uint16_t port);
  uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_RELAY_ADMIN_LISTENER_H_
