#ifndef ENDIVEYARD_OBJECT_API_HTTP_OBJECT_API_H_
#define ENDIVEYARD_OBJECT_API_HTTP_OBJECT_API_H_

#include <memory>
#include <string>

#include "endiveyard/object_api/object_api.h"

namespace endiveyard {

// HTTP client of the object API. Each call opens a new connection, because
// cpprestsdk resends a request, even a PUT, if the server closes a pooled
// connection after reading the request.
//
// `timeout` bounds the whole call. A write without a complete response returns
// kOutcomeUnknown, or kUnavailable if no connection was established.
class HttpObjectApi : public ObjectApi {
 public:
  // `address` is "host:port".
  explicit HttpObjectApi(const std::string& address);
  ~HttpObjectApi() override;

  absl::StatusOr<std::optional<StoredObject>> Get(const std::string& key,
                                                  Duration timeout) override;
  absl::StatusOr<ObjectList> List(const std::string& prefix,
                                  Duration timeout) override;
  WriteResult PutIf(const std::string& key,
                    const std::string& value,
                    uint64_t if_version,
                    Duration timeout) override;
  WriteResult Delete(const std::string& key,
                     uint64_t if_version,
                     Duration timeout) override;
  absl::StatusOr<WatchResult> Watch(const std::string& prefix,
                                    uint64_t since,
                                    Duration wait) override;
  absl::StatusOr<InstanceList> ListInstances(Duration timeout) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_API_HTTP_OBJECT_API_H_
