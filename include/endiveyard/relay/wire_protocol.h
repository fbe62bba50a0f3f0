#ifndef ENDIVEYARD_RELAY_WIRE_PROTOCOL_H_
#define ENDIVEYARD_RELAY_WIRE_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/placement/prompt_shape.h"
#include "endiveyard/placement/replica_load.h"
#include "endiveyard/placement/replica_view.h"
#include "endiveyard/placement/survival_checks.h"

namespace endiveyard {

// Header fields in the order of arrival.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Metadata from the headers of a caller's request.
struct RequestMetadata {
  std::string request_id;             // empty when the caller sent none
  std::optional<Duration> time_left;  // until the caller's deadline
  std::optional<PromptShape> prompt;
  std::optional<int64_t> last_event_id;  // set when a stream is resumed
  // Id of the attempt that brought the first event of the resumed stream; empty
  // if the caller did not name one.
  std::string resumed_request_id;
  // Empty if the caller stated none, or several that differ.
  std::string api_key;
};

// Metadata from the headers of a target's response.
struct ResponseMetadata {
  std::optional<std::string> request_id;
  // False for a response that does not come from the target itself.
  bool signed_by_target = false;
  bool not_run = false;  // the target states that it did not run the request
  // Callers take the status for a promise that the request has not run and will
  // not run.
  bool reads_as_not_run = false;
  bool has_content_encoding = false;  // the body is not as the target wrote it
  std::optional<ReportedLoad> load;
  // Limit on the requests per second from all instances together.
  std::optional<double> requests_per_second;
  // The response states a limit that cannot be read.
  bool has_invalid_rate_limit = false;
  bool leaving = false;  // the target is leaving and takes no new work
  // Time for which the target, which rejected the request, wants no further one
  // from this instance.
  std::optional<Duration> pause;
  // Name of a header of the target whose value cannot be read and has no
  // effect; empty if there is none.
  std::string_view invalid_header;
};

// Handle of the KV cache of a prompt, which a prefill engine keeps for another
// engine to fetch.
struct KvHandle {
  std::string handle;
  double tokens = 0;

  bool operator==(const KvHandle& other) const {
    return handle == other.handle && tokens == other.tokens;
  }
};

// Values of the headers that endiveyard itself sets on a call to a target.
struct CallHeaders {
  std::string expected_replica_id;
  Duration time_left{};
  int priority = 0;  // in the target's queue; 0 is the most urgent
  bool prefill_only = false;
  // The configuration has customers: what the caller states of its key and its
  // customer is replaced by `customer`, empty for an anonymous caller.
  bool has_customers = false;
  std::string customer;
  std::string kv_source;     // "IP:PORT/HANDLE" of the KV cache, or empty
  std::string cache_source;  // "IP:PORT" of an engine to copy cached parts from
  std::optional<int64_t> last_event_id;
};

// Translates between the types of endiveyard and the headers and calls of the
// platform that it is deployed on. Implementations keep no state between
// requests.
class WireProtocol {
 public:
  virtual ~WireProtocol() = default;

  virtual RequestMetadata DecodeRequest(const HeaderList& headers) const = 0;
  virtual ResponseMetadata DecodeResponse(int status,
                                          const HeaderList& headers) const = 0;
  // Returns the caller's `headers` without those that only endiveyard may set,
  // together with those of `call`.
  virtual HeaderList EncodeCall(const HeaderList& headers,
                                const CallHeaders& call) const = 0;
  // Header of an error response that states when to retry.
  virtual std::pair<std::string, std::string> RetryAfterHeader(
      Duration retry_after) const = 0;
  virtual std::optional<KvHandle> DecodeKvHandle(
      std::string_view body) const = 0;
  // Method and path of the call that releases a handle.
  virtual std::pair<std::string, std::string> ReleaseKvCall(
      std::string_view handle) const = 0;
  // Returns the headers of a request by which `replica`, and no other one,
  // shows that it runs.
  virtual HeaderList EncodeProbe(const Replica& replica) const = 0;
  // Returns what the complete response to a probe of `replica` shows. A
  // response that does not say whose it is shows nothing, and one that states
  // an id but not the process shows kSameId.
  virtual SurvivalProbeOutcome DecodeProbeAnswer(
      const Replica& replica,
      int status,
      const HeaderList& headers,
      std::string_view body) const = 0;
  virtual std::string ReadinessPath() const = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_RELAY_WIRE_PROTOCOL_H_
