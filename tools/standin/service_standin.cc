#include "standin/service_standin.h"

#include <cpprest/http_listener.h>
#include <cpprest/json.h>
#include <cpprest/producerconsumerstream.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <mutex>
#include <stdexcept>

#include "standin/process_standin.h"

namespace endiveyard {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::methods;
using web::http::status_codes;
using web::json::value;

}  // namespace

class ServiceStandin::Impl {
 public:
  explicit Impl(const std::string& listen) : listener_("http://" + listen) {
    listener_.support([this](http_request request) { HandleRequest(request); });
    listener_.open().wait();
  }

  ~Impl() { listener_.close().wait(); }

  void SetFaults(const ServiceFaults& faults) {
    std::lock_guard<std::mutex> lock(mutex_);
    faults_ = faults;
  }

  int64_t executions() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return executions_;
  }

 private:
  void HandleRequest(http_request request) {
    const std::string path = request.request_uri().path();
    if (path == "/admin/executions") {
      value body = value::object();
      body["executions"] = value::number(executions());
      request.reply(status_codes::OK, body);
    } else if (path == "/admin/faults") {
      HandleFaults(request);
    } else if (request.method() == methods::GET) {
      value body = value::object();
      body["path"] = value::string(path);
      body["available"] = value::number(42);
      request.reply(status_codes::OK, body);
    } else {
      // Reads the complete body before the request counts as run.
      request.extract_string(true).then(
          [this, request, path](pplx::task<std::string> task) mutable {
            try {
              Execute(request, path, task.get());
            } catch (const std::exception&) {
              request.reply(status_codes::BadRequest);
            }
          });
    }
  }

  void HandleFaults(http_request& request) {
    request.extract_json().then(
        [this, request](pplx::task<value> task) mutable {
          const value body = task.get();
          const auto count = [&](const char* name) {
            return body.has_field(name) ? body.at(name).as_integer() : 0;
          };
          ServiceFaults faults;
          faults.lose_answers = count("lose_answers");
          faults.refuse_requests = count("refuse_requests");
          SetFaults(faults);
          request.reply(status_codes::OK);
        });
  }

  void Execute(http_request& request,
               const std::string& path,
               const std::string& body) {
    bool lose_response = false;
    int64_t number = 0;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (faults_.refuse_requests > 0) {
        --faults_.refuse_requests;
        request.reply(status_codes::ServiceUnavailable);
        return;
      }
      number = ++executions_;
      if (faults_.lose_answers > 0) {
        --faults_.lose_answers;
        lose_response = true;
      }
    }
    if (lose_response) {
      CloseWithoutResponse(request);
      return;
    }
    value response_body = value::object();
    response_body["path"] = value::string(path);
    response_body["booking"] = value::number(number);
    response_body["bytes"] = value::number(static_cast<int64_t>(body.size()));
    request.reply(status_codes::Created, response_body);
  }

  // Sends a body shorter than its declared length, which makes the listener
  // close the connection.
  static void CloseWithoutResponse(http_request& request) {
    constexpr size_t kDeclaredBytes = 1 << 20;
    concurrency::streams::producer_consumer_buffer<uint8_t> stream_buffer;
    http_response response(status_codes::OK);
    response.set_body(stream_buffer.create_istream(), kDeclaredBytes);
    stream_buffer.putc('{');
    stream_buffer.close(std::ios_base::out);
    request.reply(response).then([](pplx::task<void> task) {
      try {
        task.get();
      } catch (const std::exception&) {
        // Expected: the truncated body makes the reply fail.
      }
    });
  }

  mutable std::mutex mutex_;
  ServiceFaults faults_;
  int64_t executions_ = 0;
  web::http::experimental::listener::http_listener listener_;
};

ServiceStandin::ServiceStandin(const std::string& listen)
    : impl_(std::make_unique<Impl>(listen)) {}
ServiceStandin::~ServiceStandin() = default;

void ServiceStandin::SetFaults(const ServiceFaults& faults) {
  impl_->SetFaults(faults);
}

int64_t ServiceStandin::executions() const {
  return impl_->executions();
}

int RunServiceStandin(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string listen = "127.0.0.1:9200";
  po::options_description description("standin service");
  description.add_options()("help", "print this text")(
      "listen", po::value(&listen), "IP:PORT");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (values.count("help") != 0) {
    std::cout << description;
    return 0;
  }
  BlockStopSignals();
  ServiceStandin service(listen);
  WaitForStopSignal();
  return 0;
}

}  // namespace endiveyard
