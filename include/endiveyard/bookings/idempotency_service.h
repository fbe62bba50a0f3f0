#ifndef ENDIVEYARD_BOOKINGS_IDEMPOTENCY_SERVICE_H_
#define ENDIVEYARD_BOOKINGS_IDEMPOTENCY_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "endiveyard/base/time_point.h"
#include "endiveyard/base/timer_service.h"
#include "endiveyard/bookings/idempotency_shard.h"
#include "endiveyard/object_api/object_api.h"
#include "endiveyard/serving/serving_messages.h"

namespace endiveyard {

struct IdempotencyServiceOptions {
  // Identifies this process incarnation. Must differ from the writer of every
  // earlier process, so it contains a random part. No spaces.
  std::string writer;
  IdempotencyLimits limits;
  // Time limit of one call to the object API. Calls block the thread, so an
  // answer may be late by up to this time.
  Duration call_timeout = std::chrono::milliseconds(500);
  Duration tick_interval = std::chrono::milliseconds(10);
  // Interval at which one shard, in turn, is checked for expired entries.
  Duration truncation_interval = std::chrono::seconds(10);
  // Maximum number of accepted intents that are unanswered, or committed and
  // not closed.
  size_t max_open_intents = 4096;
};

// Ensures that a request with an idempotency key is executed at most once: an
// intent is committed to a log in the object API before the request is sent,
// and its outcome is recorded for repeats of the request. Runs the
// kIdempotencyShards shards on one thread. The first intent of a shard starts
// its log.
class IdempotencyService {
 public:
  using Callback = std::function<void(IntentResolved)>;

  // `callback` runs on the thread of the service and must not wait for that
  // thread. Precondition: `api` and `timers` outlive the service.
  IdempotencyService(ObjectApi* api,
                     TimerService* timers,
                     IdempotencyServiceOptions options,
                     Callback callback);
  // Stops without waiting for outcomes to be written.
  ~IdempotencyService();
  IdempotencyService(const IdempotencyService&) = delete;
  IdempotencyService& operator=(const IdempotencyService&) = delete;

  // Accepts an intent, which then gets exactly one IntentResolved. Returns
  // false if the service is full or stopping; nothing is committed then, and
  // the request must not be sent. Does not block.
  bool Commit(CommitIntent intent);

  // Closes an intent that was answered with kCommitted. Each such intent has
  // to be closed once. The outcome of one that is never closed remains unknown,
  // and its key stays blocked for the retention. Does not block.
  void Record(RecordOutcome outcome);

  // Stops accepting intents, spends up to `flush_timeout` on writing the
  // outcomes recorded so far, answers the remaining intents with kUnavailable
  // and ends the thread. Returns false if outcomes were left unwritten.
  bool Stop(Duration flush_timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_BOOKINGS_IDEMPOTENCY_SERVICE_H_
