#ifndef ENDIVEYARD_TELEMETRY_LOG_EVENT_H_
#define ENDIVEYARD_TELEMETRY_LOG_EVENT_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// One entry of the event catalogue, which docs/events.md shows to operators.
// Numbers are never reused.
struct LogEventEntry {
  int number;
  LogLevel level;
  std::string_view name;
  std::string_view meaning;
  std::string_view action;  // what an operator does about it
};

// All events. The hundreds of a number give the part of the system: 1xx
// process, 2xx serving, 3xx targets, 4xx bookings, 5xx leases, shards and
// orders, 6xx configuration, 7xx peers, 8xx object API and registry, 9xx
// relayed requests.
const std::vector<LogEventEntry>& LogEventCatalogue();

// Returns the entry, or nullptr when the number is not in the catalogue.
const LogEventEntry* FindLogEvent(int number);

// Writes each event to stderr as one line of key=value pairs. Thread-safe.
class EventLogger {
 public:
  // `level` is debug, info, warn or error; anything else means info. `instance`
  // is written in every line.
  EventLogger(std::string_view level, std::string_view instance);
  ~EventLogger();
  EventLogger(const EventLogger&) = delete;
  EventLogger& operator=(const EventLogger&) = delete;

  // Precondition: `number` is in the catalogue. An unknown number is logged at
  // level error as not_in_catalogue, so that the missing entry is noticed.
  void Log(int number, std::string_view detail) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_LOG_EVENT_H_
